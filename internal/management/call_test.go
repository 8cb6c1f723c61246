package management

import (
	"strings"
	"testing"
)

// Calls are case-sensitive, and take no more and no fewer arguments than they need. Bytes outside printable ASCII are
// rejected anywhere in the line.
func TestParse_Lines_CallOrError(t *testing.T) {
	for _, c := range []struct {
		line    string
		want    Call
		wantErr string // part of the error's text
	}{
		{"ready", Call{Kind: Ready}, ""},
		{"show-stat", Call{Kind: ShowStat}, ""},
		{"drain", Call{Kind: Drain}, ""},
		{"resume", Call{Kind: Resume}, ""},
		{"disable-server s-1", Call{DrainHost, "s-1"}, ""},
		{" enable-server  s-1 ", Call{ResumeHost, "s-1"}, ""},
		{"", Call{}, "empty"},
		{"   ", Call{}, "empty"},
		{"READY", Call{}, "no such call"},
		{"reboot", Call{}, "no such call"},
		{"ready now", Call{}, "takes nothing more"},
		{"disable-server", Call{}, "id of one host"},
		{"disable-server a b", Call{}, "id of one host"},
		{"enable-server " + strings.Repeat("x", maxHostIDBytes+1), Call{}, "at most"},
		{"drain\x00", Call{}, "no plain text"},
		{"dis\xc3\xa9able-server a", Call{}, "no plain text"},
		{"ready\rready", Call{}, "no plain text"},
	} {
		got, err := Parse(c.line)
		if c.wantErr == "" && (err != nil || got != c.want) || c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)) {
			t.Errorf("Parse(%q) = %+v, %v: unexpected result", c.line, got, err)
		}
	}
}

// The reply to any line is one line: a caller must not be able to inject line ends into the reply.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"ready", "disable-server a", "\r\nYES", "disable-server \x00", strings.Repeat("a", 600)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		c, err := Parse(line)
		if (c.Host != "") != (err == nil && (c.Kind == DrainHost || c.Kind == ResumeHost)) {
			t.Errorf("Parse(%q) = %+v, %v, want a host ID only for calls that take one", line, c, err)
		}
		if reply := formatReply(err); strings.Count(reply, "\n") != 1 || strings.Count(reply, "\r") != 1 || !strings.HasPrefix(reply, "YES") && !strings.HasPrefix(reply, "NO ") {
			t.Errorf("reply to %q: %q, want one line that begins with YES or NO", line, reply)
		}
	})
}

// Operators' tools parse the reply to show-stat: its names, their order and the line ends must not change.
func TestStatsText_Counters_OneLineEach(t *testing.T) {
	f := Stats{FinalAnswers: []FinalAnswers{{"chat", 812, 3, 1}, {"push", 0, 0, 0}}, Dispatches: 820, Concurrent: 14, Targets: 9, Disabled: 2}
	want := "YES|svc.replies.chat.success=812|svc.replies.chat.overload=3|svc.replies.chat.error=1|" +
		"svc.replies.push.success=0|svc.replies.push.overload=0|svc.replies.push.error=0|svc.dispatches=820|" +
		"svc.concurrent=14|svc.targets=9|svc.targets_disabled=2|END|"
	if got := strings.ReplaceAll(string(f.Text()), "\r\n", "|"); got != want {
		t.Errorf("unexpected reply to show-stat: %s", got)
	}
}
