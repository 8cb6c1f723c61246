package testcluster

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

// Nodes use their cached list after a kill. A cached list that is truncated, of another service or dated in the future
// is ignored.
func TestColdStart_CacheFolderDamaged_Ignored(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(5, func(config *Config) {
		config.ColdStart.CacheFolder = true
		config.ColdStart.Peers = 0
	}))
	launch(t, cluster)
	expectAllServed(t, cluster, 5, 1)
	expectCachedLists(t, cluster, 0, 1, 2, 3, 4)
	cluster.Discovery.SetMode(fakeserver.ModeReset)
	restartKilled := startFault(t, cluster, FaultSpec{Kind: faultKill, Target: "n1..n4"})
	restartLost := startFault(t, cluster, FaultSpec{Kind: faultLose, Target: "n5"})
	path := func(node int) string { return filepath.Join(cluster.CacheFolder(node), "hosts.list") }
	text, err := os.ReadFile(path(1))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path(1), text[:len(text)-9], privateFile); err != nil {
		t.Fatal(err)
	}
	var cached coldstart.CachedList
	if err := json.Unmarshal(text[strings.IndexByte(string(text), '\n'):], &cached); err != nil {
		t.Fatal(err)
	}
	writeCache := func(node int, list coldstart.CachedList) {
		text, err := list.Encode()
		if err == nil {
			err = os.WriteFile(path(node), text, privateFile)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	otherService := cached
	otherService.DiscoveryName = "another"
	writeCache(2, otherService)
	future := cached
	future.Confirmed += time.Hour.Milliseconds()
	writeCache(3, future)
	restartKilled()
	restartLost()
	for node, isServed := range []bool{true, false, false, true, false} {
		for _, probe := range cluster.ProbeAdmission(t.Context(), node, 2, 0, time.Second, 2*time.Second) {
			if (probe.ServedAt > 0) != isServed || probe.WithoutRetryAfter > 0 {
				t.Errorf("client of n%d while discovery is down: %+v, want served: %v", node+1, probe, isServed)
			}
		}
	}
	cluster.Discovery.SetMode(fakeserver.ModeNormal)
	expectAllServed(t, cluster, 5, 1)
}

// After a power cut all hosts are in slow start, but the old endpoint list of the nodes does not show that. The nodes
// together must not make a host collapse, neither while discovery is down nor afterwards, and most clients are served.
func TestColdStart_AllHostsColdOldList_NoneCollapses(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(startNodeCount, func(config *Config) {
		config.Discovery.StartsUnknown = false
		config.Host = coldHostConfig()
	}))
	var old []wire.Endpoint
	for _, host := range cluster.Hosts() {
		endpoint := cluster.HostEndpoint(host, wire.Serving)
		endpoint.StartedAtMS = 0
		old = append(old, endpoint)
	}
	if err := cluster.SetKnownEndpoints(1, old...); err != nil {
		t.Fatal(err)
	}
	cluster.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, cluster)
	recoverDiscoveryAfter(cluster, 3*time.Second)
	served := 0
	all := probeAllNodes(t.Context(), cluster, startNodeCount, 80, 2*time.Second, 20*time.Second)
	for _, probe := range all {
		if probe.ServedAt > 0 {
			served++
		}
		if probe.WithoutRetryAfter > 0 {
			t.Errorf("rejected without Retry-After: %+v", probe)
		}
	}
	for _, host := range cluster.Hosts() {
		if host.State().Collapsed {
			t.Errorf("%s has collapsed under the connection setups of the nodes", host.ID())
		}
	}
	if served < len(all)*9/10 {
		t.Errorf("%d of %d clients were served, want at least 90%%", served, len(all))
	}
}

// A third of the hosts in an old endpoint list no longer exists, and discovery is down. Nodes gossip failed connection
// attempts, so that together they dial these hosts only a few times.
func TestColdStart_DeadHostsInOldList_FewDials(t *testing.T) {
	t.Parallel()
	const nodes = 24
	cluster := prepare(t, startConfig(nodes, func(config *Config) {
		config.Discovery.StartsUnknown = false
		config.HostLinks = true
		config.Hosts = 6
	}))
	cluster.Discovery.SetMode(fakeserver.ModeReset)
	startFault(t, cluster, FaultSpec{Kind: faultRejectConnections, Target: "link-h5..h6"})
	launch(t, cluster)
	time.Sleep(time.Second) // time for all nodes to start and to watch their peers
	from := cluster.Clock.Now()
	all := probeAllNodes(t.Context(), cluster, nodes, 30, 3*time.Second, 10*time.Second)
	for _, probe := range all {
		if probe.ServedAt == 0 {
			t.Errorf("client was never served: %+v", probe)
		}
	}
	events, _ := cluster.EventLog.Events()
	for _, link := range []string{"link-h5", "link-h6"} {
		// Without gossip each node dials three times or more. On a busy machine some nodes dial before gossip reaches them.
		dials := EventTimes(events, link, fakeserver.EventDialed)
		if n := CountBetween(dials, from, cluster.Clock.Now()); n == 0 || n > nodes {
			t.Errorf("%s to a host that no longer exists: dialed %d times by %d nodes, want 1 to 24 times; dialed at %v",
				link, n, nodes, dials)
		}
	}
}
