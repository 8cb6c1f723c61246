package testcluster

import (
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

// CheckRequests reports each kind of violation, and no violation for valid outcomes.
func TestCheckRequests_EachOutcome_Classified(t *testing.T) {
	const ms = time.Millisecond
	var events []fakeserver.Event
	add := func(at time.Duration, source, kind, id, detail string) {
		events = append(events, fakeserver.Event{At: at, Source: source, Kind: kind, ID: id, Detail: detail})
	}
	for _, id := range []string{"served", "busy", "none", "late", "twice", "foreign", "cut", "moved"} {
		add(0, "c-n1", fakeserver.EventRequested, id, "1s")
	}
	for _, id := range []string{"served", "cut", "moved"} {
		add(5*ms, "h1", fakeserver.EventEstablished, id, id+"-1")
		add(6*ms, "c-n1", fakeserver.EventReceived, id, "UP "+id+"-1")
	}
	add(7*ms, "c-n1", fakeserver.EventReceived, "busy", "BUSY 5")
	add(8*ms, "c-n1", fakeserver.EventReset, "busy", "EOF")
	add(9*ms, "c-n1", fakeserver.EventReset, "none", "reset")
	add(9*ms, "c-n1", fakeserver.EventReceived, "twice", "BUSY")
	add(9*ms, "c-n1", fakeserver.EventReceived, "twice", "ERR")
	add(9*ms, "c-n1", fakeserver.EventReceived, "foreign", "UP served-1")
	add(20*ms, "c-n1", fakeserver.EventReset, "cut", "EOF")
	add(20*ms, "c-n1", fakeserver.EventMigrated, "moved", "")
	add(1000*ms+answerGrace+ms, "c-n1", fakeserver.EventReceived, "late", "BUSY")
	got := CheckRequests(events, true)
	if got.Requests != 8 || got.Served != 4 || got.Rejected != 3 || len(got.Violations) != 5 {
		t.Errorf("in proxy mode: outcomes %+v, want 8 requests, 4 served, 3 rejected, 5 violations", got)
	}
	if got := CheckRequests(events, false); len(got.Violations) != 4 {
		t.Errorf("in pass-through mode: outcomes %+v, want 4 violations", got)
	}
}
