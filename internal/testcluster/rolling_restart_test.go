package testcluster

import (
	"os"
	"strconv"
	"testing"
	"time"

	"onyxstream/internal/tomlfile"
)

// runRollingRestart runs a rolling restart on a new cluster and checks its requests.
func runRollingRestart(t *testing.T, nodes int, mode string, plan RollingRestart) RequestOutcomes {
	t.Helper()
	config := coldStartConfig(nodes)
	config.ColdStart = nil
	config.Discovery.StartsUnknown = false
	config.Mode = mode
	config.Hosts = 12
	config.TenantQuota = float64(nodes) // as in a large cluster, each node has too few connections to detect outliers
	config.Discovery.RequestDuration = tomlfile.Duration(time.Millisecond)
	config.Discovery.PollInterval = tomlfile.Duration(3 * time.Second)
	cluster := prepare(t, config)
	launch(t, cluster)
	if err := cluster.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := cluster.RunRollingRestart(t.Context(), plan); err != nil {
		t.Fatalf("seed %d: %v", plan.Seed, err)
	}
	events, dropped := cluster.EventLog.Events()
	if dropped > 0 {
		t.Fatalf("%d events were dropped", dropped)
	}
	outcomes := CheckRequests(events, mode == modeProxy)
	t.Logf("seed %d, %s, %d nodes: %d requests, %d served, %d rejected, %d failed, %d violations", plan.Seed, mode, nodes,
		outcomes.Requests, outcomes.Served, outcomes.Rejected, outcomes.Failed, len(outcomes.Violations))
	return outcomes
}

// During a rolling restart in which hosts hang and are replaced, every request that was sent completely to a node gets
// one complete final answer in time. ONYXSTREAM_ROLLING sets the number of nodes, for example 350, and ONYXSTREAM_SEED
// the first seed.
func TestRollingRestart_HostsHang_NoRequestLost(t *testing.T) {
	nodes, rate := 24, 120.0
	if n, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_ROLLING")); n > 0 {
		nodes, rate = n, 400
	}
	first, _ := strconv.ParseUint(os.Getenv("ONYXSTREAM_SEED"), 10, 64)
	for i, mode := range []string{modePassThrough, modeProxy} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			seed := first + uint64(i)
			got := runRollingRestart(t, nodes, mode, RollingRestart{Seed: seed, Length: 8 * time.Second, Rate: rate})
			if got.Served < got.Requests/2 {
				t.Errorf("seed %d: %d of %d requests served, want at least half", seed, got.Served, got.Requests)
			}
			for _, violation := range got.Violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
}

// Nodes that are killed lose requests, and CheckRequests must report that.
func TestRollingRestart_NodesKilled_LossesReported(t *testing.T) {
	plan := RollingRestart{Seed: 1, Length: 4 * time.Second, Rate: 200, Kill: true}
	if got := runRollingRestart(t, 10, modePassThrough, plan); len(got.Violations) == 0 {
		t.Error("no violation reported for killed nodes")
	}
}
