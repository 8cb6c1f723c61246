package main

import (
	"testing"
	"time"
)

// drainNoticeDuration is longer than the first phase of a drain, in which the node still accepts new requests because
// the front may not have noticed the drain yet.
const drainNoticeDuration = 1200 * time.Millisecond

// A draining node answers the front's PING with BUSY, even on a connection that the front opened before the drain. For
// a while the node still serves new requests. In pass-through mode it keeps its established connections. The process
// keeps running, and serves new requests again after a resume.
func TestDrain_PassMode_KeepsConnectionsAndResumes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t)}, host)
	front := node.dial(t)
	for range 8 {
		front.send("PING\r\n")
		front.expectLine("PONG")
		time.Sleep(30 * time.Millisecond) // the node treats PINGs in quicker succession as a flood
	}
	established := node.openRequest(t, "")
	established.expectLine("UP")
	node.mustSucceed(t, "resume") // succeeds although the node is not draining
	node.mustSucceed(t, "drain")
	front.send("PING\r\n")
	front.expectLine("BUSY")
	node.openRequest(t, "").expectLine("UP") // accepted, because the front may not have noticed the drain yet
	node.mustSucceed(t, "drain")
	time.Sleep(drainNoticeDuration)
	node.openRequest(t, "").expectLine("BUSY")
	node.mustSucceed(t, "ready")
	established.send("M 1\r\n")
	established.expectLine("M 1")
	node.mustSucceed(t, "resume")
	front.send("PING\r\n")
	front.expectLine("PONG")
	node.openRequest(t, "").expectLine("UP")
	node.mustSucceed(t, "drain")
	node.terminate(t) // a shutdown takes effect even during a drain
	node.waitForLog(t, "shutting down gracefully")
}

// In proxy mode a drain migrates all established connections and resets none of them. After a resume, the node migrates
// no further connections.
func TestDrain_ProxyMode_MigratesConnections(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	node, _ := startNodeWithHosts(t, nodeOptions{mode: "proxy", managementAddr: freeAddr(t)}, host)
	clients := node.establish(t, 12, "UP")
	node.mustSucceed(t, "drain")
	eventually(t, "the drain has migrated at least one connection", func() bool {
		return node.stats(t)["concurrent"] < len(clients)
	})
	node.mustSucceed(t, "resume")
	remaining := node.stats(t)["concurrent"]
	time.Sleep(time.Second)
	now := node.stats(t)["concurrent"]
	if now < remaining-1 || now == 0 { // one migration may have been in progress at the resume
		t.Errorf("%d connections established at the resume, %d one second later; want at most one fewer, and not 0",
			remaining, now)
	}
	node.mustSucceed(t, "drain")
	for _, client := range clients {
		client.expectLine("MOVE")
		client.expectClose(false)
	}
}
