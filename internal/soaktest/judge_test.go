package soaktest

import (
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

const ms = time.Millisecond

// book is a ledger that a test writes.
type book []fakeserver.Event

func (b *book) add(at time.Duration, who, what, id, note string) {
	*b = append(*b, fakeserver.Event{At: at, Source: who, Kind: what, ID: id, Key: id, Class: "order", Detail: note})
}

func (b *book) asked(id string) { b.add(0, "c-n1", fakeserver.EventRequested, id, "1s") }

// Each way in which a request can come to a wrong end is found, and what is allowed is not.
func TestJudge_EachRule(t *testing.T) {
	late := time.Second + Usual.Late + Usual.Ledger + ms
	unsafe := Facts{Unsafe: map[string]bool{"order": true}}
	for _, c := range []struct {
		name  string
		facts Facts
		write func(b *book)
		want  string // in the one line of the verdict; "" for none
	}{
		{"served", Facts{}, func(b *book) {
			b.asked("a")
			b.add(5*ms, "h1", fakeserver.EventEstablished, "a", "h1-1")
			b.add(6*ms, "c-n1", fakeserver.EventReceived, "a", "UP h1-1")
			b.add(9*ms, "c-n1", fakeserver.EventReceived, "a", "M a line")
		}, ""},
		{"refused", Facts{}, func(b *book) { b.asked("a"); b.add(ms, "c-n1", fakeserver.EventReceived, "a", "BUSY 5") }, ""},
		{"no answer", Facts{}, func(b *book) { b.asked("a"); b.add(ms, "c-n1", fakeserver.EventReset, "a", "EOF") }, "no whole answer"},
		{"left first", Facts{}, func(b *book) { b.asked("a"); b.add(ms, "c-n1", fakeserver.EventDisconnected, "a", "") }, ""},
		{"its node was killed", Facts{}, func(b *book) {
			b.asked("a")
			b.add(ms, "n1", fakeserver.EventFault, "", "kill")
			b.add(2*ms, "c-n1", fakeserver.EventReset, "a", "reset")
		}, ""},
		{"another node was killed", Facts{}, func(b *book) {
			b.asked("a")
			b.add(ms, "n2", fakeserver.EventFault, "", "kill")
			b.add(2*ms, "c-n1", fakeserver.EventReset, "a", "reset")
		}, "no whole answer"},
		{"shut in a crowd", Facts{Crowded: map[string][]Span{"n1": {{0, time.Second}}}}, func(b *book) {
			b.asked("a")
			b.add(ms, "c-n1", fakeserver.EventReset, "a", "reset")
		}, ""},
		{"silent in a crowd", Facts{Crowded: map[string][]Span{"n1": {{0, time.Second}}}}, func(b *book) { b.asked("a") }, "no whole answer"},
		{"late", Facts{}, func(b *book) { b.asked("a"); b.add(late, "c-n1", fakeserver.EventReceived, "a", "ERR") }, "only at"},
		{"twice", Facts{}, func(b *book) {
			b.asked("a")
			b.add(ms, "c-n1", fakeserver.EventReceived, "a", "BUSY")
			b.add(ms, "c-n1", fakeserver.EventReceived, "a", "ERR")
		}, "more answers than one"},
		{"made up", Facts{}, func(b *book) { b.asked("a"); b.add(ms, "c-n1", fakeserver.EventReceived, "a", "UP h1-1") }, "no host's answer"},
		{"begun for a leaver", Facts{}, func(b *book) {
			b.asked("a")
			b.add(ms, "c-n1", fakeserver.EventDisconnected, "a", "")
			b.add(time.Second, "h1", fakeserver.EventOpened, "a", "")
		}, "its client left"},
		{"begun before it left", Facts{}, func(b *book) {
			b.asked("a")
			b.add(ms, "h1", fakeserver.EventOpened, "a", "")
			b.add(2*ms, "c-n1", fakeserver.EventDisconnected, "a", "")
		}, ""},
		{"read late by a host that hung", Facts{Delayed: map[string]bool{"h1": true}}, func(b *book) {
			b.asked("a")
			b.add(ms, "c-n1", fakeserver.EventDisconnected, "a", "")
			b.add(time.Second, "h1", fakeserver.EventOpened, "a", "")
		}, ""},
		{"sent to a drained host", Facts{}, func(b *book) {
			b.add(0, "h1", fakeserver.EventFault, "", "drains")
			b.add(Usual.Told+Usual.DrainGrace+Usual.Ledger+ms, "h1", fakeserver.EventOpened, "a", "")
		}, "which drains"},
		{"sent while not all are told", Facts{Unreachable: []Span{{time.Second, 2 * time.Second}}}, func(b *book) {
			b.add(0, "h1", fakeserver.EventFault, "", "drains")
			b.add(Usual.Told+Usual.DrainGrace+Usual.Ledger+ms, "h1", fakeserver.EventOpened, "a", "")
		}, ""},
		{"pushed over", Facts{}, func(b *book) { b.add(0, "h1", fakeserver.EventFault, "", "fell over") }, "pushed over"},
		{"repeated", unsafe, func(b *book) {
			b.add(0, "h1", fakeserver.EventOpened, "a", "")
			b.add(time.Second, "h2", fakeserver.EventOpened, "a", "")
		}, "may have run"},
		{"repeated as it never ran", unsafe, func(b *book) {
			b.add(0, "h1", fakeserver.EventOpened, "a", "")
			b.add(ms, "h1", fakeserver.EventRejected, "a", "full")
			b.add(time.Second, "h2", fakeserver.EventOpened, "a", "")
		}, ""},
		{"a safe repeat", Facts{}, func(b *book) {
			b.add(0, "h1", fakeserver.EventOpened, "a", "")
			b.add(time.Second, "h2", fakeserver.EventOpened, "a", "")
		}, ""},
	} {
		var b book
		c.write(&b)
		got := Judge(b, Usual, c.facts).Wrong
		if (c.want == "") != (len(got) == 0) || c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestToldBy_DiscoveryUnreachable(t *testing.T) {
	const within = 6 * time.Second
	s := func(from, to time.Duration) Span { return Span{from * time.Second, to * time.Second} }
	for _, c := range []struct {
		spans []Span
		want  time.Duration
	}{
		{nil, 7}, {[]Span{s(8, 9)}, 7}, {[]Span{s(0, 1)}, 7}, {[]Span{s(0, 3)}, 9}, {[]Span{s(2, 3)}, 9},
		{[]Span{s(8, 10), s(2, 3)}, 16}, {[]Span{s(2, 3), s(9, 10)}, 9},
	} {
		if got := ToldBy(time.Second, within, c.spans); got != c.want*time.Second {
			t.Errorf("%v: told by %v, want %v", c.spans, got, c.want*time.Second)
		}
	}
}

func TestSift_FindsViolationsAndCrashes(t *testing.T) {
	log := "1 info started\n2 error rule violated {}\n3 error panic while handling event\n4 debug endpoint list received\n"
	violations, crashes := sift([]byte(log))
	if len(violations) != 1 || len(crashes) != 1 {
		t.Errorf("violations %q, crashes %q", violations, crashes)
	}
}
