package main

import (
	"testing"
	"time"
)

// drainNoticeDuration is longer than a draining node accepts new requests from a front end that has not noticed.
const drainNoticeDuration = 1200 * time.Millisecond

// A draining node answers the front end's PING with BUSY, also on a connection that the front end keeps open, serves
// new requests for a while, and in pass mode keeps its connections. It runs on, and resumes on command.
func TestDrain_PassMode_KeepsConnectionsAndResumes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t)}, host)
	frontend := node.dial(t)
	for range 8 {
		frontend.send("PING\r\n")
		frontend.expectLine("PONG")
		time.Sleep(30 * time.Millisecond) // PINGs in quicker succession count as a flood
	}
	established := node.openRequest(t, "")
	established.expectLine("UP")
	node.mustSucceed(t, "resume") // without a drain before it
	node.mustSucceed(t, "drain")
	frontend.send("PING\r\n")
	frontend.expectLine("BUSY")
	node.openRequest(t, "").expectLine("UP") // the front end has not noticed yet
	node.mustSucceed(t, "drain")
	time.Sleep(drainNoticeDuration)
	node.openRequest(t, "").expectLine("BUSY")
	node.mustSucceed(t, "ready")
	established.send("M 1\r\n")
	established.expectLine("M 1")
	node.mustSucceed(t, "resume")
	frontend.send("PING\r\n")
	frontend.expectLine("PONG")
	node.openRequest(t, "").expectLine("UP")
	node.mustSucceed(t, "drain")
	node.terminate(t) // a shutdown takes effect during a drain too
	node.waitForLog(t, "shutting down gracefully")
}

// In proxy mode a drain migrates all established connections and resets none. Once resumed, the node migrates no
// further connection.
func TestDrain_ProxyMode_MigratesConnections(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	node, _ := startNodeWithHosts(t, nodeOptions{mode: "proxy", managementAddr: freeAddr(t)}, host)
	clients := node.establish(t, 12, "UP")
	node.mustSucceed(t, "drain")
	eventually(t, "some are migrated", func() bool { return node.stats(t)["concurrent"] < len(clients) })
	node.mustSucceed(t, "resume")
	remaining := node.stats(t)["concurrent"]
	time.Sleep(time.Second)
	now := node.stats(t)["concurrent"]
	if now < remaining-1 || now == 0 { // one migration may have been under way
		t.Errorf("%d were established when the node resumed, %d a second later", remaining, now)
	}
	node.mustSucceed(t, "drain")
	for _, client := range clients {
		client.expectLine("MOVE")
		client.expectClose(false)
	}
}
