package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
)

// On SIGHUP the node follows the discovery that the file names: with its whole list, whatever version the old one
// was at, and without a word to the connections that stand.
func TestReload_DiscoveryChanged_NewListFollowed(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery := newFakeDiscovery(t, endpointListJSON(41, true, hostA.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(41, true, hostA.endpoint("SERVING"))}, oldDiscovery.addr)
	established := node.openRequest(t, "")
	established.expectLine("UP from-ha")
	eventually(t, "the first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostB.endpoint("SERVING")))
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reloaded")
	eventually(t, "the new list alone holds", func() bool {
		return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb")
	})
	eventually(t, "the old watch is left", func() bool { return oldDiscovery.Watching() == 0 })
	oldDiscovery.setUnavailable(true)
	for range 10 {
		node.openRequest(t, "").expectLine("UP from-hb")
	}
	eventually(t, "the new watch", func() bool { return len(discovery.requestPaths()) >= 2 })
	if calls := discovery.requestPaths(); calls[0] != "/catalog/members" || calls[1] != "/catalog/members?watch=1&after=3" {
		t.Errorf("asked %q", calls)
	}
	if n := len(oldDiscovery.requestPaths()); n != 1 {
		t.Errorf("the old discovery was asked %d times", n)
	}
	discovery.sendEvent(endpointListJSON(4, false, hostA.endpoint("SERVING"), hostB.endpoint("DRAINING")))
	eventually(t, "changes are followed", func() bool { return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-ha") })
	established.send("M still here\r\n")
	established.expectLine("M still here")
}

// A discovery that does not answer yet takes nothing from what is known, and is asked until it does.
func TestReload_NewDiscoveryDown_OldListKept(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery := newFakeDiscovery(t, endpointListJSON(41, true, hostA.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(41, true, hostA.endpoint("SERVING"))}, oldDiscovery.addr)
	eventually(t, "the first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostB.endpoint("SERVING")))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	eventually(t, "the new discovery is asked again", func() bool { return len(discovery.requestPaths()) >= 2 })
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.setUnavailable(false)
	eventually(t, "its list holds", func() bool { return strings.Contains(node.openRequest(t, "").expectLine("UP "), "from-hb") })
	for _, call := range discovery.requestPaths() {
		if strings.Contains(call, "after=41") {
			t.Errorf("a version of the old discovery was named to the new one: %q", call)
		}
	}
}

// What can't be read changes nothing, and what can't change is named.
func TestReload_InvalidOrFixedFields_Kept(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	eventually(t, "the first watch", func() bool { return len(discovery.requestPaths()) == 1 })
	established := node.openRequest(t, "")
	established.expectLine("UP ")
	node.reload(t, `"sockets":256`, `"sockets":"many"`)
	node.waitForLog(t, `field \"limits.sockets\"`)
	node.reload(t, `"sockets":"many"`, `"sockets":256`, discovery.addr, "nowhere")
	node.waitForLog(t, `field \"discovery\"`)
	node.reload(t, `"discovery":"nowhere",`, "")
	node.waitForLog(t, `field \"discovery\": \"\" is no address`)
	node.reload(t, `"listen"`, `"discovery":"`+discovery.addr+`","listen"`, "}", "")
	node.waitForLog(t, "can't be read")
	text, _ := os.ReadFile(writeConfig(t, "127.0.0.1:1", discovery.addr, nodeOptions{mode: "pass", initialList: endpointListJSON(0, true), socketLimit: 512}))
	if err := os.WriteFile(node.configPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	node.reload(t)
	node.waitForLog(t, `"field": "listen"`)
	node.waitForLog(t, `"field": "limits.sockets"`)
	if strings.Contains(node.log.String(), `"field": "settings"`) {
		t.Error("settings that are the same are named as left")
	}
	established.send("M\r\n")
	established.expectLine("M")
	node.openRequest(t, "").expectLine("UP ")
	if n := len(discovery.requestPaths()); n != 1 {
		t.Errorf("discovery was asked %d times, though its address is the same", n)
	}
}

func TestReload_RepeatedAndDuringShutdown_StopsCleanly(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), mode: "proxy"}, discovery.addr)
	established := node.openRequest(t, "")
	established.expectLine("UP ")
	previousAddr := discovery.addr
	for range 6 {
		next := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
		node.reload(t, previousAddr, next.addr)
		previousAddr = next.addr
	}
	last := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node.reload(t, previousAddr, last.addr)
	eventually(t, "the last one named is watched", func() bool { return len(last.requestPaths()) >= 2 })
	node.openRequest(t, "").expectLine("UP ")
	node.terminate(t)
	node.waitForLog(t, "shutting down gracefully")
	drain := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node.reload(t, last.addr, drain.addr)
	established.expectLine("MOVE\r\n")
	established.expectClose(false)
	if err := <-node.exited; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}

// The watch at the old discovery goes on while the new one refuses, and brings news behind that refusal; then it ends too.
// The new one is asked on: that news passed for a watch at it, and nothing that came to the list was heard of any more.
func TestReload_OldWatchEventAfterNewFails_NewStillPolled(t *testing.T) {
	t.Parallel()
	hostA, hostB, hostC := newFakeHost(t, "ha"), newFakeHost(t, "hb"), newFakeHost(t, "hc")
	oldDiscovery := newFakeDiscovery(t, endpointListJSON(41, true, hostA.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(41, true, hostA.endpoint("SERVING"))}, oldDiscovery.addr)
	eventually(t, "the first watch", func() bool { return oldDiscovery.Watching() == 1 })
	discovery := newFakeDiscovery(t, endpointListJSON(3, true, hostC.endpoint("SERVING")))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	waitUntilUsed := func(host *fakeHost) { // each client leaves again: they would fill the node
		t.Helper()
		eventually(t, host.id+" is used", func() bool {
			client := node.openRequest(t, "")
			defer client.conn.Close()
			return strings.Contains(client.expectLine("UP "), "from-"+host.id)
		})
	}
	eventually(t, "the new discovery is asked", func() bool { return len(discovery.requestPaths()) > 0 })
	node.waitForLog(t, "discovery answered 503")
	for i := int64(0); i < 4; i += 2 { // one of them comes while no call to the new one is out
		oldDiscovery.sendEvent(endpointListJSON(42+i, false, hostB.endpoint("SERVING"), hostA.endpoint("DRAINING")))
		waitUntilUsed(hostB)
		oldDiscovery.sendEvent(endpointListJSON(43+i, false, hostA.endpoint("SERVING"), hostB.endpoint("DRAINING")))
		waitUntilUsed(hostA)
	}
	oldDiscovery.setUnavailable(true)
	eventually(t, "the old watch has ended", func() bool { return oldDiscovery.Watching() == 0 })
	discovery.setUnavailable(false)
	waitUntilUsed(hostC)
}

// A signal to read the configuration again is not forgotten where the file can't be read just then.
func TestReload_FileUnreadableBriefly_Retried(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery, discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint("SERVING"))), newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, hostA.endpoint("SERVING")), faults: &faultinject.Options{Calls: []faultinject.Call{faultinject.OpenAt}}}, oldDiscovery.addr)
	eventually(t, "the first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	node.faults.Fail(faultinject.Rule{Call: faultinject.OpenAt, Share: 1, Errors: []unix.Errno{unix.ENFILE}})
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reload failed")
	node.faults.Fail()
	node.waitUntilServedBy(t, "hb")
}

// A file that is still being written as the signal comes is read again once it is whole.
func TestReload_FileHalfWritten_ReadOnceComplete(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery, discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint("SERVING"))), newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, hostA.endpoint("SERVING"))}, oldDiscovery.addr)
	eventually(t, "the first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
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
