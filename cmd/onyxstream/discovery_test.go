package main

import (
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

func TestDrainingHost_NewRequests_GoElsewhere(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	all := endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	node := startNode(t, nodeOptions{initialList: all}, discovery.addr)
	var established *testClient
	eventually(t, "a connection on ha", func() bool {
		established = node.openRequest(t, "")
		return strings.Contains(established.expectLine("UP "), "from-ha")
	})
	eventually(t, "the node watches", func() bool { return len(discovery.requestPaths()) > 0 })
	discovery.sendEvent(endpointListJSON(2, false, hostA.endpoint("DRAINING")))
	// Past the grace not one may come; how soon the news arrives is not the test's to say.
	eventually(t, "a run of connections with none on ha", func() bool {
		before := len(hostA.openings())
		for range 8 {
			node.openRequest(t, "").expectLine("UP ")
		}
		time.Sleep(500 * time.Millisecond)
		return len(hostA.openings()) == before
	})
	before := len(hostA.openings())
	for range 20 {
		node.openRequest(t, "").expectLine("UP from-hb")
	}
	if len(hostA.openings()) != before {
		t.Error("the draining host got something new")
	}
	established.send("M still here\r\n")
	established.expectLine("M still here")
}

func TestWatch_Lost_ResumedWhileServing(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	discovery := newFakeDiscovery(t, endpointListJSON(5, true, hostA.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(4, true, hostA.endpoint("SERVING"))}, discovery.addr)
	eventually(t, "the first watch", func() bool { return len(discovery.requestPaths()) == 1 })
	if call := discovery.requestPaths()[0]; call != "/catalog/members?watch=1&after=4" {
		t.Errorf("asked %q", call)
	}
	discovery.setUnavailable(true)
	eventually(t, "calls that fail", func() bool { return len(discovery.requestPaths()) >= 3 })
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.Raw(endpointListJSON(6, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING")))
	discovery.setUnavailable(false)
	eventually(t, "the new host is used", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb")
	})
	discovery.sendEvent(`{"revision":`)
	calls := len(discovery.requestPaths())
	eventually(t, "a watch that speaks nonsense is left", func() bool { return len(discovery.requestPaths()) > calls })
	node.openRequest(t, "").expectLine("UP ")
}

// A watch whose connection stands but that says nothing, not even its beat, is as good as lost.
func TestWatch_Silent_Resumed(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	eventually(t, "the first watch", func() bool { return len(discovery.requestPaths()) == 1 })
	discovery.Answer(fakeserver.Mute)
	eventually(t, "the node asks again", func() bool { return len(discovery.requestPaths()) > 1 })
	node.openRequest(t, "").expectLine("UP ")
}

// A large fleet is served, and a list that replaces half of it is followed.
func TestEndpointList_ThousandHosts_Followed(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	all := endpointsAt(1024, hostA.Addr())
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, all...))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, all...)}, discovery.addr)
	node.openRequest(t, "").expectLine("UP from-ha")
	eventually(t, "the watch", func() bool { return discovery.Watching() == 1 })
	for i := range all[:512] {
		all[i].Phase = wire.Draining
	}
	for _, m := range endpointsAt(512, hostB.Addr()) {
		m.ID = "new" + m.ID
		all = append(all, m)
	}
	discovery.sendEvent(endpointListJSON(2, false, all...))
	eventually(t, "the new half is served from", func() bool {
		line, _ := node.openRequest(t, "").reader.ReadString('\n')
		return strings.HasPrefix(line, "UP from-hb")
	})
	if strings.Contains(node.log.String(), "exceeds memory limit") {
		t.Error("the list is too large")
	}
}
