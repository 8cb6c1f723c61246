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

// On SIGHUP the node must switch to the discovery service named in the configuration file. It must start from a
// snapshot of the new service, even if the old service had a higher revision, and keep established connections.
func TestReload_DiscoveryChanged_NewListFollowed(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldList := endpointListJSON(41, true, hostA.endpoint(wire.Serving))
	oldDiscovery := newFakeDiscovery(t, oldList)
	node := startNode(t, nodeOptions{initialList: oldList}, oldDiscovery.addr)
	established := node.openRequest(t, "")
	established.expectLine("UP from-ha")
	eventually(t, "the node opens its first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
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
	eventually(t, "the node opens a watch at the new discovery", func() bool { return len(discovery.requestPaths()) >= 2 })
	paths := discovery.requestPaths()
	if paths[0] != "/catalog/members" || paths[1] != "/catalog/members?watch=1&after=3" {
		t.Errorf("new discovery received requests %q, want a list request and then a watch from revision 3", paths)
	}
	if n := len(oldDiscovery.requestPaths()); n != 1 {
		t.Errorf("old discovery received %d requests, want 1", n)
	}
	discovery.sendEvent(endpointListJSON(4, false, hostA.endpoint(wire.Serving), hostB.endpoint(wire.Draining)))
	eventually(t, "a watch event of the new discovery is applied", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-ha")
	})
	established.send("M still here\r\n")
	established.expectLine("M still here")
}

// While the new discovery service is unavailable, the node must keep using the old endpoint list and repeat its list
// request.
func TestReload_NewDiscoveryDown_OldListRetained(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldList := endpointListJSON(41, true, hostA.endpoint(wire.Serving))
	oldDiscovery := newFakeDiscovery(t, oldList)
	node := startNode(t, nodeOptions{initialList: oldList}, oldDiscovery.addr)
	eventually(t, "the node opens its first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostB.endpoint(wire.Serving)))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	eventually(t, "the new discovery receives a second request", func() bool { return len(discovery.requestPaths()) >= 2 })
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.setUnavailable(false)
	eventually(t, "the new list is in use", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb")
	})
	for _, path := range discovery.requestPaths() {
		if strings.Contains(path, "after=41") {
			t.Errorf("new discovery received a revision of the old discovery: %q", path)
		}
	}
}

// A reload of an invalid file must have no effect. If the file changes fields that are fixed while the node runs, the
// log must name them.
func TestReload_InvalidOrFixedFields_Ignored(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, discovery := startNodeWithHosts(t, nodeOptions{}, host)
	eventually(t, "the node opens its first watch", func() bool { return len(discovery.requestPaths()) == 1 })
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
		t.Error("log reports the unchanged settings as ignored")
	}
	established.send("M\r\n")
	established.expectLine("M")
	node.openRequest(t, "").expectLine("UP ")
	if n := len(discovery.requestPaths()); n != 1 {
		t.Errorf("discovery received %d requests, want 1 because its address is unchanged", n)
	}
}

// After several reloads in quick succession the node must follow the discovery service of the last one. A reload during
// a graceful shutdown must not disturb the shutdown: the node must migrate its connections and exit with status 0.
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
		t.Errorf("node exited with %v, want status 0", err)
	}
}

// After a reload the node keeps its watch at the old discovery service as long as list requests to the new one fail. In
// this test the old watch delivers events after such a failure and then ends. The node must still repeat its list
// request to the new service: it must not mistake events of the old watch for a working watch at the new service.
func TestReload_OldWatchEventAfterNewFails_NewStillPolled(t *testing.T) {
	t.Parallel()
	hostA, hostB, hostC := newFakeHost(t, "ha"), newFakeHost(t, "hb"), newFakeHost(t, "hc")
	oldList := endpointListJSON(41, true, hostA.endpoint(wire.Serving))
	oldDiscovery := newFakeDiscovery(t, oldList)
	node := startNode(t, nodeOptions{initialList: oldList, env: []string{"PROXY_DEBUG=1"}}, oldDiscovery.addr)
	eventually(t, "the node opens its first watch", func() bool { return oldDiscovery.OpenRequests() == 1 })
	node.waitForLog(t, "endpoint list received") // the reload would close a watch that has not yet received a list
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostC.endpoint(wire.Serving)))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	eventually(t, "the new discovery receives a request", func() bool { return len(discovery.requestPaths()) > 0 })
	node.waitForLog(t, "discovery responded with status 503")
	for i := int64(0); i < 4; i += 2 { // one of the events arrives while no request to the new service is open
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

// If the configuration file cannot be opened, the node must retry the reload until it succeeds.
func TestReload_FileUnreadableBriefly_Retried(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	faults := &faultinject.Options{Calls: []faultinject.Call{faultinject.OpenAt}}
	node, oldDiscovery := startNodeWithHosts(t, nodeOptions{faults: faults}, hostA)
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint(wire.Serving)))
	eventually(t, "the node opens its first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	node.faults.SetRules(faultinject.Rule{Call: faultinject.OpenAt, Probability: 1, Errors: []unix.Errno{unix.ENFILE}})
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reload failed")
	node.faults.SetRules()
	node.waitUntilServedBy(t, "hb")
}

// If the configuration file is incomplete when SIGHUP arrives, the node must retry the reload until the file is
// complete.
func TestReload_FileHalfWritten_ReadWhenComplete(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, oldDiscovery := startNodeWithHosts(t, nodeOptions{}, hostA)
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint(wire.Serving)))
	eventually(t, "the node opens its first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
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
