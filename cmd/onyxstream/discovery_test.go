package main

import (
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

// When discovery lists a host as draining, the host must receive no new request after the drain grace. Its established
// connections must stay open.
func TestDrainingHost_NewRequests_GoElsewhere(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, discovery := startNodeWithHosts(t, nodeOptions{}, hostA, hostB)
	var established *testClient
	eventually(t, "a connection is established on ha", func() bool {
		established = node.openRequest(t, "")
		return strings.Contains(established.expectLine("UP "), "from-ha")
	})
	eventually(t, "the node opens its watch", func() bool { return len(discovery.requestPaths()) > 0 })
	discovery.sendEvent(endpointListJSON(2, false, hostA.endpoint(wire.Draining)))
	// After the drain grace the host must receive no new request. The test does not check how soon the node applies the
	// watch event.
	eventually(t, "of eight new connections, none is on ha", func() bool {
		before := len(hostA.openingLines())
		for range 8 {
			node.openRequest(t, "").expectLine("UP ")
		}
		time.Sleep(500 * time.Millisecond)
		return len(hostA.openingLines()) == before
	})
	before := len(hostA.openingLines())
	for range 20 {
		node.openRequest(t, "").expectLine("UP from-hb")
	}
	if len(hostA.openingLines()) != before {
		t.Error("draining host received a new request after the drain grace")
	}
	established.send("M still here\r\n")
	established.expectLine("M still here")
}

// While discovery is unavailable, the node must serve with the endpoint list that it has. It must open a new watch when
// discovery is available again, and after a watch event that is not valid JSON.
func TestWatch_Lost_ResumedWhileServing(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	discovery := newFakeDiscovery(t, endpointListJSON(5, true, hostA.endpoint(wire.Serving)))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(4, true, hostA.endpoint(wire.Serving))}, discovery.addr)
	eventually(t, "the node opens its first watch", func() bool { return len(discovery.requestPaths()) == 1 })
	if path := discovery.requestPaths()[0]; path != "/catalog/members?watch=1&after=4" {
		t.Errorf("watch request %q, want /catalog/members?watch=1&after=4", path)
	}
	discovery.setUnavailable(true)
	eventually(t, "discovery rejects two watch requests", func() bool { return len(discovery.requestPaths()) >= 3 })
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.SetRawBody(endpointListJSON(6, true, hostA.endpoint(wire.Serving), hostB.endpoint(wire.Serving)))
	discovery.setUnavailable(false)
	eventually(t, "the host added to the list serves a request", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb")
	})
	discovery.sendEvent(`{"revision":`)
	requestCount := len(discovery.requestPaths())
	eventually(t, "the node replaces the watch that sent an invalid event", func() bool {
		return len(discovery.requestPaths()) > requestCount
	})
	node.openRequest(t, "").expectLine("UP ")
}

// A watch counts as lost if no bytes arrive on it, not even a heartbeat, although its connection is open. The node must
// open a new watch.
func TestWatch_Silent_Resumed(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, discovery := startNodeWithHosts(t, nodeOptions{}, host)
	eventually(t, "the node opens its first watch", func() bool { return len(discovery.requestPaths()) == 1 })
	discovery.SetMode(fakeserver.ModeSilent)
	eventually(t, "the node sends another request to discovery", func() bool { return len(discovery.requestPaths()) > 1 })
	node.openRequest(t, "").expectLine("UP ")
}

// A node must serve with an endpoint list of 1024 hosts, and apply a watch event that replaces half of them.
func TestEndpointList_ThousandHosts_Followed(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	all := endpointsAt(1024, hostA.Addr())
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, all...))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, all...)}, discovery.addr)
	node.openRequest(t, "").expectLine("UP from-ha")
	eventually(t, "the watch is open", func() bool { return discovery.OpenRequests() == 1 })
	for i := range all[:512] {
		all[i].Phase = wire.Draining
	}
	for _, endpoint := range endpointsAt(512, hostB.Addr()) {
		endpoint.ID = "new" + endpoint.ID
		all = append(all, endpoint)
	}
	discovery.sendEvent(endpointListJSON(2, false, all...))
	eventually(t, "the added hosts serve", func() bool {
		line, _ := node.openRequest(t, "").reader.ReadString('\n')
		return strings.HasPrefix(line, "UP from-hb")
	})
	if strings.Contains(node.log.String(), "exceeds memory limit") {
		t.Error("endpoint list exceeds the memory limit")
	}
}
