package main

import (
	"strings"
	"testing"
	"time"
)

// serves opens a request and reports whether it is served. A connection that is established stays open.
func (p *nodeProcess) serves(t testing.TB) bool {
	t.Helper()
	return strings.HasPrefix(p.openRequest(t, "").expectLine(""), "UP ")
}

// When established connections use up the configured limit on sockets, the node must reject further requests, stay
// within the limit, and serve again after connections end. Established connections must not be affected.
func TestSocketLimit_Reached_RejectsThenRecovers(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	const attempts, socketLimit = 40, 64
	node, _ := startNodeWithHosts(t, nodeOptions{socketLimit: socketLimit}, host)
	var clients []*testClient
	for range attempts {
		client := node.openRequest(t, "")
		if strings.HasPrefix(client.expectLine(""), "BUSY ") {
			break
		}
		clients = append(clients, client)
	}
	if len(clients) == 0 || len(clients) == attempts {
		t.Fatalf("%d of %d requests served, socket limit %d; want some rejected", len(clients), attempts, socketLimit)
	}
	if n := node.openDescriptors(t); n > socketLimit {
		t.Errorf("%d descriptors open, limit %d", n, socketLimit)
	}
	for _, client := range clients {
		client.send("M\r\n")
		client.expectLine("M")
		_ = client.conn.Close()
	}
	eventually(t, "a request is served after the connections ended", func() bool { return node.serves(t) })
}

// When the process has reached its descriptor limit, accept fails. The node must pause the listener and not close it.
func TestListener_AcceptFails_KeepsAccepting(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{socketLimit: 256, descriptorLimit: 32}, host)
	var clients []*testClient
	for range 60 {
		clients = append(clients, node.openRequest(t, ""))
	}
	eventually(t, "the node logs a failed accept", func() bool { return strings.Contains(node.log.String(), "accept failed") })
	for _, client := range clients {
		_ = client.conn.Close()
	}
	eventually(t, "clients are served again", func() bool { return node.serves(t) })
}

// However a connection ends, the node must close its descriptors for the client and for the host. A leak would use up
// the socket limit.
func TestDescriptors_ConnectionsEnd_AllReleased(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	hostB.setResponse("ERR\r\n")
	node, discovery := startNodeWithHosts(t, nodeOptions{}, hostA, hostB)
	eventually(t, "the watch is open", func() bool { return len(discovery.requestPaths()) == 1 })
	eventually(t, "one request is served and stays open", func() bool { return node.serves(t) })
	time.Sleep(time.Second) // the node closes descriptors that it needs only during startup
	before := node.openDescriptors(t)
	for i := range 60 {
		openAndDisconnect(t, node, i%5)
	}
	eventually(t, "all descriptors are released", func() bool { return node.openDescriptors(t) <= before })
	eventually(t, "the hosts have one connection left", func() bool {
		return hostA.openConnections()+hostB.openConnections() == 1
	})
}

// openAndDisconnect opens a request and ends it in one of five variants, numbered from 0.
func openAndDisconnect(t *testing.T, node *nodeProcess, variant int) {
	t.Helper()
	client := node.openRequest(t, "")
	if variant == 0 { // disconnect before the final answer
		_ = client.conn.Close()
		return
	}
	if strings.HasPrefix(client.expectLine(""), "UP ") {
		switch variant {
		case 1:
			_ = client.conn.SetLinger(0)
		case 2:
			client.send("DO bye\r\n")
			client.expectLine("BYE")
		case 3:
			client.send("DO reset\r\n")
			client.expectClose(true)
		}
	}
	_ = client.conn.Close()
}
