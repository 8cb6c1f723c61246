package testcluster

import (
	"errors"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/pki"
	"onyxstream/internal/wire"
)

// All links between one node and its peers fail. This node sends its own list requests to discovery, while the other
// nodes still gossip the list.
func TestColdStart_NodeUnreachableByPeers_SendsListRequest(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(startNodeCount, nil))
	startFault(t, cluster, FaultSpec{Kind: faultRejectConnections, Target: "peers-n9"})
	launch(t, cluster)
	expectAllServed(t, cluster, startNodeCount, 1)
	if _, dialsByNode := discoveryRequests(cluster); dialsByNode["n9"] == 0 {
		t.Errorf("n9 gets no list from peers but did not connect to discovery; connections by node: %v", dialsByNode)
	}
}

// One node can't reach discovery, and gossips the old endpoint list with which it started. Nodes with a newer list keep
// it, and send no clients to a host that is removed in the newer list.
func TestColdStart_PeerGossipsOldList_NewerListKept(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(startNodeCount, func(config *Config) { config.ColdStart.Peers = 8 }))
	var all []wire.Endpoint
	for _, host := range cluster.Hosts() {
		all = append(all, cluster.HostEndpoint(host, wire.Serving))
	}
	if err := cluster.SetKnownEndpointsOf(0, 1, all...); err != nil { // n1 alone has the old list
		t.Fatal(err)
	}
	removed := all[3]
	removed.Phase = wire.Removed
	cluster.Discovery.Set(removed)
	startFault(t, cluster, FaultSpec{Kind: faultRejectConnections, Target: "link-n1"})
	launch(t, cluster)
	expectAllServed(t, cluster, startNodeCount, 2)
	time.Sleep(time.Second) // for n1 to get the new list from its peers
	from := cluster.Clock.Now()
	expectAllServed(t, cluster, startNodeCount, 4)
	if n := setupsByHost(cluster, from)[removed.ID]; n > 0 {
		t.Errorf("removed host %s got %d clients, want 0", removed.ID, n)
	}
}

// A node knows that a host is draining. It sends no clients to this host, even after a peer sends it a list of a later
// revision in which the host is serving.
func TestColdStart_PeerListSaysServing_DrainKept(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(2, func(config *Config) { config.ColdStart.Peers = 1 }))
	hosts := cluster.Hosts()
	serving := cluster.HostEndpoint(hosts[0], wire.Serving)
	draining := cluster.HostEndpoint(hosts[0], wire.Draining)
	var rest []wire.Endpoint
	for _, host := range hosts[1:] {
		rest = append(rest, cluster.HostEndpoint(host, wire.Serving))
	}
	// n1 knows of the drain. n2 has a list of a later revision in which the host is serving. Neither can reach discovery.
	if err := cluster.SetKnownEndpointsOf(0, 5, append(rest, draining)...); err != nil {
		t.Fatal(err)
	}
	if err := cluster.SetKnownEndpointsOf(1, 6, append(rest, serving)...); err != nil {
		t.Fatal(err)
	}
	restoreLinks := startFault(t, cluster, FaultSpec{Kind: faultRejectConnections, Target: "link-n1..n2"})
	launch(t, cluster)
	waitUntil(t, "n1 gets n2's list", func() bool { return cluster.status(t, 0).Revision == 6 })
	from := cluster.Clock.Now()
	for _, probe := range cluster.ProbeAdmission(t.Context(), 0, 40, time.Second, 500*time.Millisecond, 5*time.Second) {
		if probe.ServedAt == 0 {
			t.Errorf("client of n1 was never served: %+v", probe)
		}
	}
	if n := setupsByHost(cluster, from)[hosts[0].ID()]; n > 0 {
		t.Errorf("the draining host got %d clients, want 0", n)
	}
	// Discovery lists the host as serving, with the revision that n1 already has. This ends the drain.
	cluster.Discovery.Restore(6, append(rest, serving)...)
	restoreLinks()
	waitUntil(t, "n1 uses the host again", func() bool {
		from := cluster.Clock.Now()
		cluster.ProbeAdmission(t.Context(), 0, 10, 0, 200*time.Millisecond, 2*time.Second)
		return setupsByHost(cluster, from)[hosts[0].ID()] > 0
	})
}

// Nodes gossip endpoint lists over TLS as they do over Unix sockets. When the certificate is revoked, the lists of nodes
// that can't reach discovery become old.
func TestColdStart_PeersOverTLS_ListsGossiped(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(6, func(config *Config) { config.ColdStart.TLS = true }))
	startFault(t, cluster, FaultSpec{Kind: faultRejectConnections, Target: "link-n5..n6"})
	launch(t, cluster)
	expectAllServed(t, cluster, 6, 1)
	if _, dialsByNode := discoveryRequests(cluster); dialsByNode["n1"]+dialsByNode["n2"]+dialsByNode["n3"]+dialsByNode["n4"] == 0 {
		t.Errorf("no node with a working link connected to discovery; connections by node: %v", dialsByNode)
	}
	if err := pki.Revoke(cluster.keyFolder(), listReaderName); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "n5's list is old once the certificate is revoked", func() bool {
		status := cluster.status(t, 4)
		return status.List != nil && status.List.State == "old"
	})
}

// Nodes whose configuration has no table "coldstart" each send a list request to discovery at once, and neither gossip
// nor cache the list.
func TestStart_ColdStartNotConfigured_EachSendsListRequest(t *testing.T) {
	t.Parallel()
	const nodes = 8
	cluster := prepare(t, startConfig(nodes, func(config *Config) {
		config.ColdStart = nil
		config.Agents = 1
		config.Discovery.Push = true
		config.Discovery.StartsUnknown = false
	}))
	launch(t, cluster)
	waitUntil(t, "each node has connected to discovery", func() bool {
		_, dialsByNode := discoveryRequests(cluster)
		return len(dialsByNode) == nodes
	})
	expectAllServed(t, cluster, nodes, 1)
	waitUntil(t, "the agent lists all nodes", func() bool {
		return strings.Count(cluster.command(t, "instances", "list"), "serving") == nodes
	})
	if out := cluster.command(t, "instances", "list"); strings.Contains(out, "current") {
		t.Errorf("list state shown without a cold start configuration:\n%s", out)
	}
	client, err := control.Dial("unix:"+cluster.ControlSocket(0), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var rejected *control.RemoteError
	if _, _, err := client.List(t.Context(), serviceName, -1, 0, 0, nil); !errors.As(err, &rejected) {
		t.Errorf("request for the peer list was not rejected: error %v", err)
	}
}

// The output of "instances list" shows the state of each instance's endpoint list: none, current or old.
func TestInstancesList_ColdStart_StateShown(t *testing.T) {
	t.Parallel()
	cluster := prepare(t, startConfig(3, func(config *Config) { config.ColdStart.Peers, config.Agents = 2, 1 }))
	cluster.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, cluster)
	shows := func(want string) func() bool {
		return func() bool { return strings.Count(cluster.command(t, "instances", "list"), want) == 3 }
	}
	waitUntil(t, "the agent shows three nodes without a list", shows("none, "))
	cluster.Discovery.SetMode(fakeserver.ModeNormal)
	waitUntil(t, "the agent shows three nodes with a current list", shows("current ("))
	// The nodes can reach neither discovery nor each other, so their lists become old. The agent still reaches the nodes.
	end := startFault(t, cluster, FaultSpec{Kind: faultRejectConnections, Target: "link-n1..n3"})
	waitUntil(t, "the agent shows three nodes with an old list", shows("old ("))
	end()
	waitUntil(t, "the agent shows three nodes with a current list again", shows("current ("))
}
