package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
	"onyxstream/internal/wire"
)

// On SIGHUP the node follows the discovery service that the file names: with its complete list, whatever revision the
// old one had reached, and without a change to established connections.
func TestReload_DiscoveryChanged_NewListFollowed(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldList := endpointListJSON(41, true, hostA.endpoint(wire.Serving))
	oldDiscovery := newFakeDiscovery(t, oldList)
	node := startNode(t, nodeOptions{initialList: oldList}, oldDiscovery.addr)
	established := node.openRequest(t, "")
	established.expectLine("UP from-ha")
	eventually(t, "the first watch request", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostB.endpoint(wire.Serving)))
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reloaded")
	eventually(t, "the new list has replaced the old one", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb")
	})
	eventually(t, "the old watch is closed", func() bool { return oldDiscovery.OpenRequests() == 0 })
	oldDiscovery.setUnavailable(true)
	for range 10 {
		node.openRequest(t, "").expectLine("UP from-hb")
	}
	eventually(t, "the new watch request", func() bool { return len(discovery.requestPaths()) >= 2 })
	paths := discovery.requestPaths()
	if paths[0] != "/catalog/members" || paths[1] != "/catalog/members?watch=1&after=3" {
		t.Errorf("requested %q", paths)
	}
	if n := len(oldDiscovery.requestPaths()); n != 1 {
		t.Errorf("the old discovery received %d requests", n)
	}
	discovery.sendEvent(endpointListJSON(4, false, hostA.endpoint(wire.Serving), hostB.endpoint(wire.Draining)))
	eventually(t, "changes are followed", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-ha")
	})
	established.send("M still here\r\n")
	established.expectLine("M still here")
}

// While the new discovery service is unavailable the old list stays in use, and the request is repeated.
func TestReload_NewDiscoveryDown_OldListRetained(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldList := endpointListJSON(41, true, hostA.endpoint(wire.Serving))
	oldDiscovery := newFakeDiscovery(t, oldList)
	node := startNode(t, nodeOptions{initialList: oldList}, oldDiscovery.addr)
	eventually(t, "the first watch request", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostB.endpoint(wire.Serving)))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	eventually(t, "the new discovery receives a second request", func() bool { return len(discovery.requestPaths()) >= 2 })
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.setUnavailable(false)
	eventually(t, "its list is in use", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb")
	})
	for _, path := range discovery.requestPaths() {
		if strings.Contains(path, "after=41") {
			t.Errorf("the new discovery received a revision of the old one: %q", path)
		}
	}
}

// A file that is not valid changes nothing. A field that cannot change while the node runs is named in the log.
func TestReload_InvalidOrFixedFields_Ignored(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, discovery := startNodeWithHosts(t, nodeOptions{}, host)
	eventually(t, "the first watch request", func() bool { return len(discovery.requestPaths()) == 1 })
	established := node.openRequest(t, "")
	established.expectLine("UP ")
	node.reload(t, `"sockets":256`, `"sockets":"many"`)
	node.waitForLog(t, `field \"limits.sockets\"`)
	node.reload(t, `"sockets":"many"`, `"sockets":256`, discovery.addr, "nowhere")
	node.waitForLog(t, `field \"discovery\"`)
	node.reload(t, `"discovery":"nowhere",`, "")
	node.waitForLog(t, `field \"discovery\": \"\" is not a TCP address`)
	node.reload(t, `"listen"`, `"discovery":"`+discovery.addr+`","listen"`, "}", "")
	node.waitForLog(t, "parse configuration")
	options := nodeOptions{mode: "pass", initialList: endpointListJSON(0, true), socketLimit: 512}
	text, _ := os.ReadFile(writeConfig(t, "127.0.0.1:1", discovery.addr, options))
	if err := os.WriteFile(node.configPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	node.reload(t)
	node.waitForLog(t, `"field": "listen"`)
	node.waitForLog(t, `"field": "limits.sockets"`)
	if strings.Contains(node.log.String(), `"field": "settings"`) {
		t.Error("settings that are the same are named as ignored")
	}
	established.send("M\r\n")
	established.expectLine("M")
	node.openRequest(t, "").expectLine("UP ")
	if n := len(discovery.requestPaths()); n != 1 {
		t.Errorf("discovery received %d requests, though its address is the same", n)
	}
}

func TestReload_RepeatedAndDuringShutdown_StopsCleanly(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, discovery := startNodeWithHosts(t, nodeOptions{mode: "proxy"}, host)
	established := node.openRequest(t, "")
	established.expectLine("UP ")
	previousAddr := discovery.addr
	for range 6 {
		next := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint(wire.Serving)))
		node.reload(t, previousAddr, next.addr)
		previousAddr = next.addr
	}
	last := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint(wire.Serving)))
	node.reload(t, previousAddr, last.addr)
	eventually(t, "the last discovery is watched", func() bool { return len(last.requestPaths()) >= 2 })
	node.openRequest(t, "").expectLine("UP ")
	node.terminate(t)
	node.waitForLog(t, "shutting down gracefully")
	afterShutdown := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint(wire.Serving)))
	node.reload(t, last.addr, afterShutdown.addr)
	established.expectLine("MOVE\r\n")
	established.expectClose(false)
	if err := <-node.exited; err != nil {
		t.Errorf("the node exited with %v", err)
	}
}

// The watch at the old discovery goes on while the new one fails, and brings events after that failure; then it ends.
// The new one is still polled: events of the old watch do not count as a watch at the new one.
func TestReload_OldWatchEventAfterNewFails_NewStillPolled(t *testing.T) {
	t.Parallel()
	hostA, hostB, hostC := newFakeHost(t, "ha"), newFakeHost(t, "hb"), newFakeHost(t, "hc")
	oldList := endpointListJSON(41, true, hostA.endpoint(wire.Serving))
	oldDiscovery := newFakeDiscovery(t, oldList)
	node := startNode(t, nodeOptions{initialList: oldList, env: []string{"PROXY_DEBUG=1"}}, oldDiscovery.addr)
	eventually(t, "the first watch request", func() bool { return oldDiscovery.OpenRequests() == 1 })
	node.waitForLog(t, "endpoint list received") // a watch without a list would be closed by the reload
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostC.endpoint(wire.Serving)))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	eventually(t, "the new discovery receives a request", func() bool { return len(discovery.requestPaths()) > 0 })
	node.waitForLog(t, "discovery answered 503")
	for i := int64(0); i < 4; i += 2 { // one of them arrives while no request to the new one is open
		oldDiscovery.sendEvent(endpointListJSON(42+i, false, hostB.endpoint(wire.Serving), hostA.endpoint(wire.Draining)))
		node.waitUntilServedBy(t, hostB.id)
		oldDiscovery.sendEvent(endpointListJSON(43+i, false, hostA.endpoint(wire.Serving), hostB.endpoint(wire.Draining)))
		node.waitUntilServedBy(t, hostA.id)
	}
	oldDiscovery.setUnavailable(true)
	eventually(t, "the old watch is closed", func() bool { return oldDiscovery.OpenRequests() == 0 })
	discovery.setUnavailable(false)
	node.waitUntilServedBy(t, hostC.id)
}

// A reload is repeated until the file can be read.
func TestReload_FileUnreadableBriefly_Retried(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	faults := &faultinject.Options{Calls: []faultinject.Call{faultinject.OpenAt}}
	node, oldDiscovery := startNodeWithHosts(t, nodeOptions{faults: faults}, hostA)
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint(wire.Serving)))
	eventually(t, "the first watch request", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	node.faults.SetRules(faultinject.Rule{Call: faultinject.OpenAt, Probability: 1, Errors: []unix.Errno{unix.ENFILE}})
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reload failed")
	node.faults.SetRules()
	node.waitUntilServedBy(t, "hb")
}

// A file that is still being written when the signal arrives is read again once it is complete.
func TestReload_FileHalfWritten_ReadOnceComplete(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, oldDiscovery := startNodeWithHosts(t, nodeOptions{}, hostA)
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint(wire.Serving)))
	eventually(t, "the first watch request", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	text, err := os.ReadFile(node.configPath)
	if err != nil {
		t.Fatal(err)
	}
	complete := strings.ReplaceAll(string(text), oldDiscovery.addr, discovery.addr)
	overwrite := func(text string) {
		if err := os.WriteFile(node.configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overwrite(complete[:len(complete)/2])
	node.sendSignal(t, syscall.SIGHUP)
	node.waitForLog(t, "configuration reload failed")
	overwrite(complete)
	node.waitUntilServedBy(t, "hb")
}
