package main

import (
	"testing"
	"time"
)

// A node that drains says so to the front, on a connection that the front keeps too, serves who still comes, and keeps
// what stands where packets pass through. It stays, and is back at the word.
func TestDrain_PassMode_KeepsConnectionsAndResumes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	known := endpointListJSON(1, true, host.endpoint("SERVING"))
	node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t)}, newFakeDiscovery(t, known).addr)
	frontend := node.dial(t)
	for range 8 {
		frontend.send("PING\r\n")
		frontend.expectLine("PONG")
		time.Sleep(30 * time.Millisecond) // more often than that is a flood
	}
	established := node.openRequest(t, "")
	established.expectLine("UP")
	node.mustSucceed(t, "resume") // of no drain
	node.mustSucceed(t, "drain")
	frontend.send("PING\r\n")
	frontend.expectLine("BUSY")
	node.openRequest(t, "").expectLine("UP") // the front has not noticed yet
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
	node.terminate(t) // a stop in a drain is a stop
	node.waitForLog(t, "shutting down gracefully")
}

// drainNoticeDuration is longer than a node that drains serves those who still come.
const drainNoticeDuration = 1200 * time.Millisecond

// Where connections end at the node, a drain moves all that stands and cuts off none; back to work, the node moves no
// one more.
func TestDrain_ProxyMode_MigratesConnections(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	known := endpointListJSON(1, true, host.endpoint("SERVING"))
	node := startNode(t, nodeOptions{mode: "proxy", initialList: known, managementAddr: freeAddr(t)}, newFakeDiscovery(t, known).addr)
	var clients []*testClient
	for range 12 {
		clients = append(clients, node.openRequest(t, ""))
		clients[len(clients)-1].expectLine("UP")
	}
	node.mustSucceed(t, "drain")
	eventually(t, "some are moved", func() bool { return node.stats(t)["concurrent"] < len(clients) })
	node.mustSucceed(t, "resume")
	remaining := node.stats(t)["concurrent"]
	time.Sleep(time.Second)
	if now := node.stats(t)["concurrent"]; now < remaining-1 || now == 0 { // one was on its way
		t.Errorf("%d stood when the node was called back, %d a second later", remaining, now)
	}
	node.mustSucceed(t, "drain")
	for _, client := range clients {
		client.expectLine("MOVE")
		client.expectClose(false)
	}
}
