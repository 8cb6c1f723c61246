package testcluster

import (
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

// A judge that can't fail shows nothing: each is given what it must tell apart.
func TestJudges_KnownEvents_CountsMatch(t *testing.T) {
	const ms = time.Millisecond
	at := func(who, what string, times ...time.Duration) (out []fakeserver.Event) {
		for _, x := range times {
			out = append(out, fakeserver.Event{At: x, Source: who, Kind: what})
		}
		return out
	}
	var recs []fakeserver.Event
	recs = append(recs, at("h1", fakeserver.EventOpened, 0, 40*ms, 200*ms)...)
	recs = append(recs, at("h10", fakeserver.EventOpened, 10*ms, 20*ms, 99*ms, 100*ms, 109*ms)...) // once taken for h1's
	recs = append(recs, at("discovery", fakeserver.EventRequested, 0, 99*ms, 100*ms)...)
	recs = append(recs, at("discovery", fakeserver.EventCallRejected, 150*ms)...)
	if n, host := MaxSetupBurst(recs, []string{"h1", "h10"}, 100*ms); n != 5 || host != "h10" {
		t.Errorf("the burst is %d at %s", n, host)
	}
	if n, _ := MaxSetupBurst(recs, []string{"h1"}, 100*ms); n != 2 {
		t.Errorf("the burst at h1 is %d", n)
	}
	if c := CountDiscoveryCalls(recs); c != (DiscoveryCalls{Calls: 3, Rejected: 1, MaxIn100ms: 2}) {
		t.Errorf("the list service is counted as %+v", c)
	}
	if n := CountBetween(EventTimes(recs, "h10", fakeserver.EventOpened), 20*ms, 100*ms); n != 2 {
		t.Errorf("%d within", n)
	}
	steps := StartSteps(recs, 50*ms)
	if len(steps) != 2 || steps[0] != (StartStep{At: 0, Calls: 2, Setups: 3, MaxSetupsPerHost: 3}) || steps[1] != (StartStep{At: 0.1, Rejected: 1, Setups: 1, MaxSetupsPerHost: 1}) {
		t.Errorf("the steps are %+v", steps)
	}
}
