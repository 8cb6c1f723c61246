package soaktest

import (
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

const ms = time.Millisecond

// testLedger collects the events of a test case.
type testLedger []fakeserver.Event

// add appends an event of class order whose connection has the request's ID as its key.
func (b *testLedger) add(at time.Duration, source, kind, id, detail string) {
	*b = append(*b, fakeserver.Event{At: at, Source: source, Kind: kind, ID: id, Key: id, Class: "order", Detail: detail})
}

// request appends a request of a client of n1 at time 0, with a deadline of 1 s.
func (b *testLedger) request(id string) { b.add(0, "c-n1", fakeserver.EventRequested, id, "1s") }

// lateAnswer is just after the latest time of a final answer to a request with a deadline of 1 s.
var lateAnswer = time.Second + DefaultLimits.AnswerGrace + DefaultLimits.RecordDelay + ms

// drainedLate is just after the latest time at which nodes may connect to a host whose drain began at time 0.
var drainedLate = DefaultLimits.Propagation + DefaultLimits.DrainGrace + DefaultLimits.RecordDelay + ms

var (
	orderNonIdempotent = Conditions{NonIdempotent: map[string]bool{"order": true}}
	exhausted          = Conditions{DescriptorsExhausted: map[string][]Interval{"n1": {{0, time.Second}}}}
)

// checkerCases are short ledgers, each with at most one rule violation.
var checkerCases = []struct {
	name       string
	conditions Conditions
	write      func(b *testLedger)
	want       string // part of the only violation; "" for none
}{
	{"served", Conditions{}, func(b *testLedger) {
		b.request("a")
		b.add(5*ms, "h1", fakeserver.EventEstablished, "a", "h1-1")
		b.add(6*ms, "c-n1", fakeserver.EventReceived, "a", "UP h1-1")
		b.add(9*ms, "c-n1", fakeserver.EventReceived, "a", "M a line")
	}, ""},
	{"rejected", Conditions{}, func(b *testLedger) { b.request("a"); b.add(ms, "c-n1", fakeserver.EventReceived, "a", "BUSY 5") }, ""},
	{"no answer", Conditions{}, func(b *testLedger) { b.request("a"); b.add(ms, "c-n1", fakeserver.EventReset, "a", "EOF") }, "no complete answer"},
	{"client disconnected", Conditions{}, func(b *testLedger) { b.request("a"); b.add(ms, "c-n1", fakeserver.EventDisconnected, "a", "") }, ""},
	{"node killed", Conditions{}, func(b *testLedger) {
		b.request("a")
		b.add(ms, "n1", fakeserver.EventFault, "", "kill")
		b.add(2*ms, "c-n1", fakeserver.EventReset, "a", "reset")
	}, ""},
	{"another node killed", Conditions{}, func(b *testLedger) {
		b.request("a")
		b.add(ms, "n2", fakeserver.EventFault, "", "kill")
		b.add(2*ms, "c-n1", fakeserver.EventReset, "a", "reset")
	}, "no complete answer"},
	{"closed while descriptors are exhausted", exhausted, func(b *testLedger) {
		b.request("a")
		b.add(ms, "c-n1", fakeserver.EventReset, "a", "reset")
	}, ""},
	{"silent while descriptors are exhausted", exhausted, func(b *testLedger) { b.request("a") }, "no complete answer"},
	{"late", Conditions{}, func(b *testLedger) { b.request("a"); b.add(lateAnswer, "c-n1", fakeserver.EventReceived, "a", "ERR") }, "late answer"},
	{"two answers", Conditions{}, func(b *testLedger) {
		b.request("a")
		b.add(ms, "c-n1", fakeserver.EventReceived, "a", "BUSY")
		b.add(ms, "c-n1", fakeserver.EventReceived, "a", "ERR")
	}, "more than one answer"},
	{"unknown receipt", Conditions{}, func(b *testLedger) { b.request("a"); b.add(ms, "c-n1", fakeserver.EventReceived, "a", "UP h1-1") }, "no host issued the receipt"},
	{"connected after the client disconnected", Conditions{}, func(b *testLedger) {
		b.request("a")
		b.add(ms, "c-n1", fakeserver.EventDisconnected, "a", "")
		b.add(time.Second, "h1", fakeserver.EventOpened, "a", "")
	}, "its client disconnected"},
	{"connected before the client disconnected", Conditions{}, func(b *testLedger) {
		b.request("a")
		b.add(ms, "h1", fakeserver.EventOpened, "a", "")
		b.add(2*ms, "c-n1", fakeserver.EventDisconnected, "a", "")
	}, ""},
	{"recorded late by a host that hung", Conditions{DelayedHosts: map[string]bool{"h1": true}}, func(b *testLedger) {
		b.request("a")
		b.add(ms, "c-n1", fakeserver.EventDisconnected, "a", "")
		b.add(time.Second, "h1", fakeserver.EventOpened, "a", "")
	}, ""},
	{"connected to a draining host", Conditions{}, func(b *testLedger) {
		b.add(0, "h1", fakeserver.EventFault, "", fakeserver.DetailDrain)
		b.add(drainedLate, "h1", fakeserver.EventOpened, "a", "")
	}, "draining host"},
	{"connected before the drain has propagated", Conditions{DiscoveryUnreachable: []Interval{{time.Second, 2 * time.Second}}}, func(b *testLedger) {
		b.add(0, "h1", fakeserver.EventFault, "", fakeserver.DetailDrain)
		b.add(drainedLate, "h1", fakeserver.EventOpened, "a", "")
	}, ""},
	{"overloaded", Conditions{}, func(b *testLedger) { b.add(0, "h1", fakeserver.EventFault, "", fakeserver.DetailCollapse) }, "overloaded at"},
	{"retried", orderNonIdempotent, func(b *testLedger) {
		b.add(0, "h1", fakeserver.EventOpened, "a", "")
		b.add(time.Second, "h2", fakeserver.EventOpened, "a", "")
	}, "may have run"},
	{"retried after a rejection", orderNonIdempotent, func(b *testLedger) {
		b.add(0, "h1", fakeserver.EventOpened, "a", "")
		b.add(ms, "h1", fakeserver.EventRejected, "a", "full")
		b.add(time.Second, "h2", fakeserver.EventOpened, "a", "")
	}, ""},
	{"retried an idempotent request", Conditions{}, func(b *testLedger) {
		b.add(0, "h1", fakeserver.EventOpened, "a", "")
		b.add(time.Second, "h2", fakeserver.EventOpened, "a", "")
	}, ""},
}

// CheckRules reports a violation of each rule, and reports no violation for events that the rules allow.
func TestCheckRules_EachRule_FindsViolation(t *testing.T) {
	for _, c := range checkerCases {
		var b testLedger
		c.write(&b)
		got := CheckRules(b, DefaultLimits, c.conditions).RuleViolations
		if (c.want == "") != (len(got) == 0) || c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)) {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.want)
		}
	}
}

// While discovery is unreachable, changes do not propagate. A change is known to all nodes only after the first
// interval of the given length in which discovery was reachable throughout.
func TestPropagatedBy_DiscoveryUnreachable_Later(t *testing.T) {
	const length = 6 * time.Second
	s := func(from, to time.Duration) Interval { return Interval{from * time.Second, to * time.Second} }
	for _, c := range []struct {
		unreachable []Interval
		want        time.Duration
	}{
		{nil, 7}, {[]Interval{s(8, 9)}, 7}, {[]Interval{s(0, 1)}, 7}, {[]Interval{s(0, 3)}, 9}, {[]Interval{s(2, 3)}, 9},
		{[]Interval{s(8, 10), s(2, 3)}, 16}, {[]Interval{s(2, 3), s(9, 10)}, 9},
	} {
		if got := PropagatedBy(time.Second, length, c.unreachable); got != c.want*time.Second {
			t.Errorf("%v: propagated by %v, want %v", c.unreachable, got, c.want*time.Second)
		}
	}
}

// In a node's log, findErrors must find the violated invariant and the panic, and ignore the other lines.
func TestFindErrors_NodeLog_ViolationsAndCrashes(t *testing.T) {
	log := "1 info started\n2 error rule violated {}\n3 error panic while handling event\n4 debug endpoint list received\n"
	violations, crashes := findErrors([]byte(log))
	if len(violations) != 1 || len(crashes) != 1 {
		t.Errorf("violations %q, crashes %q; want one of each", violations, crashes)
	}
}
