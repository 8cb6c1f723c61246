package wire

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Fields may come in any order. Unknown and empty fields are ignored, and a flag is set by the value 1 only.
func TestParseOpening_Fields_AreRead(t *testing.T) {
	const id = "OPEN 9b1f 7f3a "
	for _, c := range []struct {
		line string
		want Opening
	}{
		{id + "c=chat,t=acme,d=2000,g=5c0f", Opening{Class: "chat", Tenant: "acme", Timeout: 2 * time.Second, Group: "5c0f"}},
		{id + "d=12.5,r=1,again=1,mid=1", Opening{Timeout: 12500 * time.Microsecond, Retry: true, Reconnect: true, MidFlow: true}},
		{id + "r=0,h=3.5,at=s-1,new=thing,,odd", Opening{Load: 3.5, CurrentHost: "s-1"}},
		{"OPEN 9b1f 7f3a", Opening{}},
	} {
		kind, o, err := ParseOpening([]byte(c.line))
		if err != nil || kind != OpeningRequest || o.ID != "9b1f" || o.Key != "7f3a" {
			t.Errorf("line %q: %+v, error %v, want a request with id 9b1f and key 7f3a", c.line, o, err)
		}
		o.ID, o.Key, o.line, o.timeoutStart, o.timeoutEnd = "", "", "", 0, 0
		if o != c.want {
			t.Errorf("line %q parsed as %+v, want %+v", c.line, o, c.want)
		}
	}
	if kind, _, err := ParseOpening([]byte("PING")); kind != OpeningHealthCheck || err != nil {
		t.Errorf("PING parsed as %v, error %v, want a health check", kind, err)
	}
}

// A line that a host could not use must not be forwarded: the host would reject it and count as an outlier.
func TestParseOpening_Malformed_IsAnError(t *testing.T) {
	for _, line := range []string{"", "GET / HTTP/1.1", "OPEN", "OPEN ", "OPEN a", "OPEN a ", "OPEN  b c=x", "open a b", "PING x",
		"OPEN a b d=soon", "OPEN a b d=-1", "OPEN a b d=NaN", "OPEN a b d=1e300", "OPEN a b h=-2", "OPEN a b h=Inf",
		"OPEN a b d=", "OPEN a b d", "OPEN a b d=0", "OPEN a b d=0x10", "OPEN a b d=1e3", "OPEN a b d=+5", "OPEN a b d=.5", "OPEN a b d=1.2.3",
		"OPEN a b d= 5", "OPEN a b d=99999999999", "OPEN a b d=20,d=20", "OPEN a b c=x,c=y", "OPEN a b c=x\x00", "OPEN a\tb c d=5",
		"OPEN a b c=\x7f", "OPEN a b c=\xff", "OPEN a b h=0x1p4", "OPEN " + strings.Repeat("a", maxName+1) + " b",
		"OPEN a " + strings.Repeat("b", maxName+1)} {
		if _, _, err := ParseOpening([]byte(line)); err == nil {
			t.Errorf("line %q: no error, want one", line)
		}
	}
}

// A host gets the client's line unchanged, with unknown fields, except for the value of the timeout.
func TestOpening_Forward_RewritesOnlyTimeout(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"OPEN a b c=x,d=2000,g=1,new=7", "OPEN a b c=x,d=250,g=1,new=7"},
		{"OPEN a b d=1", "OPEN a b d=250"},
		{"OPEN a b c=d=5,d=20", "OPEN a b c=d=5,d=250"},
		{"OPEN a b c=x", "OPEN a b c=x"},
		{"OPEN a b", "OPEN a b"},
	} {
		_, o, err := ParseOpening([]byte(c.line))
		if got := string(o.Forward(250 * time.Millisecond)); err != nil || got != c.want+"\r\n" {
			t.Errorf("line %q forwarded as %q, want %q, error %v", c.line, got, c.want, err)
		}
	}
	_, o, _ := ParseOpening([]byte("OPEN a b d=9"))
	if got := string(o.Forward(-time.Second)); got != "OPEN a b d=1\r\n" {
		t.Errorf("line with an expired timeout forwarded as %q, want a timeout of 1 ms", got)
	}
}

// FuzzOpening checks that a valid line reaches the host unchanged, except for the value of the timeout.
func FuzzOpening(f *testing.F) {
	for _, line := range []string{"OPEN a b c=x,d=5", "OPEN a b d=1,d=2", "OPEN a b", "PING", "OPEN a b =,=,d=,h="} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		kind, o, err := ParseOpening([]byte(line))
		if err != nil || kind != OpeningRequest {
			return
		}
		if o.Timeout < 0 || o.Timeout > maxTimeout {
			t.Errorf("timeout %v, want 0 to 10m", o.Timeout)
		}
		out := string(o.Forward(7 * time.Millisecond))
		if want := line[:o.timeoutStart] + "7" + line[o.timeoutEnd:]; o.timeoutEnd > 0 && out != want+"\r\n" || o.timeoutEnd == 0 && out != line+"\r\n" {
			t.Errorf("line %q forwarded as %q, want only its timeout replaced by 7", line, out)
		}
	})
}

// A timeout below one microsecond is not rounded down to 0, which stands for no timeout.
func TestParseOpening_LeastTimeout_IsNotZero(t *testing.T) {
	for _, d := range []string{"0.0001", "0.0004", "0.001", "1"} {
		_, o, err := ParseOpening([]byte("OPEN id key c=chat,d=" + d))
		if err != nil || o.Timeout <= 0 {
			t.Errorf("d=%s: timeout %v, error %v, want a timeout above 0", d, o.Timeout, err)
		}
	}
}

// openingWithFields returns a line of the longest length, with as many fields of distinct names as fit.
func openingWithFields() string {
	var line strings.Builder
	line.WriteString("OPEN id key c=chat")
	for i := 0; line.Len() < MaxLine-8; i++ {
		fmt.Fprintf(&line, ",z%x", i)
	}
	return line.String()
}

// Parsing a line with very many short fields must not take a multiple of the line's memory: hundreds of clients may
// send such lines at once.
func TestParseOpening_ManyFields_LittleMemory(t *testing.T) {
	line := []byte(openingWithFields())
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if _, _, err := ParseOpening(line); err != nil {
				b.Fatal(err)
			}
		}
	})
	if got := result.AllocedBytesPerOp(); got > 4*int64(len(line)) {
		t.Errorf("%d bytes allocated for a line of %d, want at most four times its length", got, len(line))
	}
}

// A repeated name must be found wherever it is, also among very many others.
func TestParseOpening_ManyFields_DuplicateFound(t *testing.T) {
	line := openingWithFields()
	if _, _, err := ParseOpening([]byte(line)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"c", "z0", "z1f"} {
		if _, _, err := ParseOpening([]byte(line + "," + name)); err == nil {
			t.Errorf("no error for a second field %q", name)
		}
	}
}
