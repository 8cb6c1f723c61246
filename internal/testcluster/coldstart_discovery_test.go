package testcluster

import (
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
	"onyxstream/internal/wire"
)

const startNodeCount = 12

// Half of the nodes can't reach discovery, because of a link fault of a different kind in each subtest. These nodes get
// the endpoint list from their peers.
func TestColdStart_HalfCutOffFromDiscovery_AllServed(t *testing.T) {
	for _, kind := range []string{faultRejectConnections, faultBlackhole, faultDeaf, faultMute, faultStall} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			cluster := prepare(t, startConfig(startNodeCount, nil))
			startFault(t, cluster, FaultSpec{Kind: kind, Target: "link-n1..n6"})
			launch(t, cluster)
			expectAllServed(t, cluster, startNodeCount, 2)
			if n, dialsByNode := discoveryRequests(cluster); n > startNodeCount || len(dialsByNode) > startNodeCount {
				t.Errorf("%d requests to discovery, connections by node: %v; want at most 12 of each", n, dialsByNode)
			}
		})
	}
}

// Discovery rejects all requests, with a Retry-After that is absent, long, a date or invalid. During this time the
// nodes send few requests. Soon after discovery recovers, all nodes have the endpoint list.
func TestColdStart_DiscoveryRejectsWithRetryAfter_FewRequests(t *testing.T) {
	for name, retryAfter := range map[string]string{
		"none":      "",
		"at once":   "0",
		"an hour":   "3600",
		"invalid":   "soon, -7",
		"a date":    "Tue, 01 Dec 2026 10:00:00 GMT",
		"too large": strings.Repeat("9", 40),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := prepare(t, startConfig(startNodeCount, func(config *Config) {
				config.Discovery.RetryAfter = retryAfter
				config.Discovery.PollInterval = tomlfile.Duration(2 * time.Second) // the backoff is at most four times this
			}))
			cluster.Discovery.SetMode(fakeserver.ModeUnavailable)
			launch(t, cluster)
			recoverDiscoveryAfter(cluster, 3*time.Second)
			expectAllServed(t, cluster, startNodeCount, 1)
			if n, _ := discoveryRequests(cluster); n > 4*startNodeCount {
				t.Errorf("%d requests by %d nodes while discovery rejected them, want at most 4 per node", n, startNodeCount)
			}
		})
	}
}

// While discovery is down, a third of the nodes are killed and the others stall. When discovery recovers and all nodes
// resume at once, they spread their requests to discovery over time, and all clients are served.
func TestColdStart_NodesKilledAndStalled_RequestsSpread(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(startNodeCount, nil))
	cluster.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, cluster)
	time.Sleep(500 * time.Millisecond)
	restart := startFault(t, cluster, FaultSpec{Kind: faultKill, Target: "n1..n4"})
	resume := startFault(t, cluster, FaultSpec{Kind: faultStall, Target: "n5..n12"})
	time.Sleep(5 * time.Second)
	cluster.Discovery.SetMode(fakeserver.ModeNormal)
	start := cluster.Clock.Now()
	resume()
	restart()
	expectAllServed(t, cluster, startNodeCount, 2)
	events, _ := cluster.EventLog.Events()
	requests := EventTimes(events, fakeserver.SourceDiscovery, fakeserver.EventRequested)
	if early := CountBetween(requests, start, start+100*time.Millisecond); early > startNodeCount/2 {
		t.Errorf("%d requests by %d nodes in the first 100 ms after they resume, want at most half as many as nodes", early, startNodeCount)
	}
}

// Discovery is restored with an older endpoint list that is shorter or empty. Nodes use that list even if peers gossip
// the newer one: hosts that discovery does not list get no clients. When discovery has the complete list again, all
// clients are served.
func TestColdStart_DiscoveryRestoredWithOlderList_Followed(t *testing.T) {
	for name, listed := range map[string]int{"shorter": 2, "empty": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := prepare(t, startConfig(6, func(config *Config) {
				config.Discovery.PollInterval = tomlfile.Duration(2 * time.Second)
			}))
			var all []wire.Endpoint
			for _, host := range cluster.Hosts() {
				all = append(all, cluster.HostEndpoint(host, wire.Serving))
			}
			cluster.Discovery.Set(all...) // revision 2
			launch(t, cluster)
			expectAllServed(t, cluster, 6, 2)
			cluster.Discovery.Restore(1, all[:listed]...)
			isListed := map[string]bool{}
			for _, endpoint := range all[:listed] {
				isListed[endpoint.ID] = true
			}
			// Nodes that got the list from peers send a list request to discovery when no peer confirms the list any
			// longer.
			time.Sleep(8 * time.Second)
			from := cluster.Clock.Now()
			if listed > 0 {
				expectAllServed(t, cluster, 6, 2)
				for id := range setupsByHost(cluster, from) {
					if !isListed[id] {
						t.Errorf("%s got clients, but discovery lists only %v", id, isListed)
					}
				}
			} else {
				for _, probe := range probeAllNodes(t.Context(), cluster, 6, 2, 0, 2*time.Second) {
					rejectedFast := probe.WithoutRetryAfter == 0 && probe.Failed == 0 && probe.MaxLatency <= 500*time.Millisecond
					if probe.ServedAt > 0 || !rejectedFast {
						t.Errorf("client with an empty endpoint list: %+v, want rejections with Retry-After within 500 ms", probe)
					}
				}
				if got := setupsByHost(cluster, from); len(got) > 0 {
					t.Errorf("hosts that are not listed got clients: %v", got)
				}
			}
			cluster.Discovery.Restore(3, all...)
			expectAllServed(t, cluster, 6, 1)
		})
	}
}

// Soon after the start a reload sets the address of another discovery service. Nodes use its endpoint list, no longer
// gossip the old one, and spread their list requests to the new service over time.
func TestColdStart_DiscoveryAddressChanges_RequestsSpread(t *testing.T) {
	t.Parallel()
	const nodes = 40
	cluster := prepare(t, startConfig(nodes, func(config *Config) { config.Discovery.NodeLinks = false }))
	onlyHost := cluster.Hosts()[0]
	eventLog := fakeserver.NewEventLog(cluster.Clock)
	next, err := fakeserver.NewDiscovery("", cluster.Clock, eventLog, 1, cluster.HostEndpoint(onlyHost, wire.Serving))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Close)
	launch(t, cluster)
	expectAllServed(t, cluster, nodes, 1)
	start := cluster.Clock.Now()
	for i := range nodes {
		if err := cluster.SwitchDiscovery(i, next.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "all nodes use the new list", func() bool {
		from := cluster.Clock.Now()
		expectAllServed(t, cluster, nodes, 1)
		got := setupsByHost(cluster, from)
		return len(got) == 1 && got[onlyHost.ID()] > 0
	})
	events, _ := eventLog.Events()
	var listRequests []time.Duration // one per node, which gets the complete list and then opens a watch
	for _, event := range events {
		isListRequest := event.Kind == fakeserver.EventRequested && !strings.Contains(event.Detail, "watch")
		if isListRequest && event.At >= start {
			listRequests = append(listRequests, event.At)
		}
	}
	if burst := MaxInWindow(listRequests, 200*time.Millisecond); len(listRequests) == 0 || burst > nodes/3 {
		t.Errorf("%d of %d nodes send list requests to the new service in 200 ms, want at most a third; %d list requests in all",
			burst, nodes, len(listRequests))
	}
}

// Two hundred clients connect to a node that has no endpoint list. Each client is rejected with a Retry-After, and
// served when the node has a list.
func TestColdStart_ManyClientsNoList_RejectedThenServed(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(3, func(config *Config) { config.ColdStart.Peers = 2 }))
	cluster.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, cluster)
	recoverDiscoveryAfter(cluster, 2*time.Second)
	for _, probe := range cluster.ProbeAdmission(t.Context(), 1, 200, time.Second, time.Second, 40*time.Second) {
		if probe.ServedAt == 0 || probe.WithoutRetryAfter > 0 || probe.Failed > 0 {
			t.Errorf("client of a node without a list: %+v, want served after rejections with Retry-After", probe)
		}
	}
}
