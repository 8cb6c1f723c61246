package testcluster

import (
	"slices"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

// Each function of event_counts.go gets events that it must count and events that it must ignore.
func TestEventCounts_KnownEvents_CountsMatch(t *testing.T) {
	const ms = time.Millisecond
	at := func(source, kind string, times ...time.Duration) (out []fakeserver.Event) {
		for _, when := range times {
			out = append(out, fakeserver.Event{At: when, Source: source, Kind: kind})
		}
		return out
	}
	var events []fakeserver.Event
	events = append(events, at("h1", fakeserver.EventOpened, 0, 40*ms, 200*ms)...)
	events = append(events, at("h10", fakeserver.EventOpened, 10*ms, 20*ms, 99*ms, 100*ms, 109*ms)...) // not h1's
	events = append(events, at(fakeserver.SourceDiscovery, fakeserver.EventRequested, 0, 99*ms, 100*ms)...)
	events = append(events, at(fakeserver.SourceDiscovery, fakeserver.EventDiscoveryRejected, 150*ms)...)
	if n, host := MaxSetupBurst(events, []string{"h1", "h10"}, 100*ms); n != 5 || host != "h10" {
		t.Errorf("largest burst: %d at %s, want 5 at h10", n, host)
	}
	if n, _ := MaxSetupBurst(events, []string{"h1"}, 100*ms); n != 2 {
		t.Errorf("largest burst at h1: %d, want 2", n)
	}
	if got := CountDiscoveryRequests(events); got != (DiscoveryRequests{Requests: 3, Rejected: 1, MaxIn100ms: 2}) {
		t.Errorf("requests to discovery: %+v, want 3 in total, 1 rejected, at most 2 in 100 ms", got)
	}
	if n := CountBetween(EventTimes(events, "h10", fakeserver.EventOpened), 20*ms, 100*ms); n != 2 {
		t.Errorf("%d openings from 20 ms to 100 ms, want 2", n)
	}
	want := []StartStep{
		{At: 0, Requests: 2, Setups: 3, MaxSetupsPerHost: 3},
		{At: 0.1, Rejected: 1, Setups: 1, MaxSetupsPerHost: 1},
	}
	if steps := StartSteps(events, 50*ms); !slices.Equal(steps, want) {
		t.Errorf("steps: %+v, want %+v", steps, want)
	}
}
