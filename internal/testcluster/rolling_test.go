package testcluster

import (
	"os"
	"strconv"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
)

// runRollingRestart plays a rolling restart and judges it.
func runRollingRestart(t *testing.T, nodes int, mode string, x RollingRestart) RequestOutcomes {
	t.Helper()
	f := coldStartConfig(nodes)
	f.ColdStart, f.Discovery.StartsUnknown, f.Mode, f.Hosts = nil, false, mode, 12
	f.TenantQuota = float64(nodes) // a node is to hold less than it could judge hosts by, as in a large fleet
	f.Discovery.CallDuration, f.Discovery.PollInterval = tomlfile.Duration(time.Millisecond), tomlfile.Duration(3*time.Second)
	r := prepare(t, f)
	launch(t, r)
	if err := r.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := r.RunRollingRestart(t.Context(), x); err != nil {
		t.Fatalf("seed %d: %v", x.Seed, err)
	}
	recs, lost := r.EventLog.Events()
	if lost > 0 {
		t.Fatalf("%d records are lost", lost)
	}
	taken := JudgeRequests(recs, mode == "proxy")
	t.Logf("seed %d, %s, %d nodes: %d asked, %d served, %d refused, %d failed, %d wrong", x.Seed, mode, nodes, taken.Requests,
		taken.Served, taken.Rejected, taken.Failed, len(taken.Violations))
	return taken
}

// Through a rolling restart in which hosts hang and are replaced, every request that a node took on gets one whole answer
// in time. ONYXSTREAM_ROLLING=350 plays it with so many nodes, ONYXSTREAM_SEED from that seed on.
func TestRollingRestart_HostsHang_NoRequestLost(t *testing.T) {
	nodes, rate := 24, 120.0
	if n, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_ROLLING")); n > 0 {
		nodes, rate = n, 400
	}
	first, _ := strconv.ParseUint(os.Getenv("ONYXSTREAM_SEED"), 10, 64)
	for i, mode := range []string{"pass", "proxy"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			seed := first + uint64(i)
			got := runRollingRestart(t, nodes, mode, RollingRestart{Seed: seed, Length: 8 * time.Second, Rate: rate})
			if got.Served < got.Requests/2 {
				t.Errorf("seed %d: %d of %d are served", seed, got.Served, got.Requests)
			}
			for _, text := range got.Violations {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// The judge sees what nodes lose that are killed with all that they owe.
func TestRollingRestart_NodesKilled_LossesReported(t *testing.T) {
	if got := runRollingRestart(t, 10, "pass", RollingRestart{Seed: 1, Length: 4 * time.Second, Rate: 200, Kill: true}); len(got.Violations) == 0 {
		t.Error("nothing is lost")
	}
}

// Each way in which a request can come to a wrong end is told from those that are right.
func TestJudgeRequests_EachOutcome_Classified(t *testing.T) {
	const ms = time.Millisecond
	var recs []fakeserver.Event
	add := func(at time.Duration, who, what, id, note string) {
		recs = append(recs, fakeserver.Event{At: at, Source: who, Kind: what, ID: id, Detail: note})
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
	got := JudgeRequests(recs, true)
	if got.Requests != 8 || got.Served != 4 || got.Rejected != 3 || len(got.Violations) != 5 {
		t.Errorf("judged as %+v", got)
	}
	if got := JudgeRequests(recs, false); len(got.Violations) != 4 {
		t.Errorf("where packets pass through, judged as %+v", got)
	}
}
