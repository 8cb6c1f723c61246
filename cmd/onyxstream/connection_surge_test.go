package main

import (
	"io"
	"net"
	"testing"

	"onyxstream/internal/wire"
)

// idleClients holds connections of clients that send nothing.
type idleClients struct {
	connections []net.Conn
}

// connect tries to open count connections, and keeps those that succeed.
func (c *idleClients) connect(count int, addr string) {
	for range count {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			c.connections = append(c.connections, conn)
		}
	}
}

func (c *idleClients) close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}

// reconnectUntil repeats the following until stop is closed: connect, send a bad opening line, read until the node
// closes the connection.
func reconnectUntil(stop <-chan bool, addr string) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			_, _ = io.WriteString(conn, "OPEN x y c=odd\r\n")
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}
}

// Hundreds of clients connect and send nothing, and others reconnect as soon as they are rejected. Regular clients must
// still be served, and the node must stay within its descriptor limit.
func TestConnectionSurge_RegularClients_Served(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	const socketLimit = 128
	node, _ := startNodeWithHosts(t, nodeOptions{socketLimit: socketLimit}, host)
	var idle idleClients
	defer idle.close()
	stop := make(chan bool)
	defer close(stop)
	for range 4 {
		go reconnectUntil(stop, node.addr)
	}
	for range 15 {
		idle.connect(30, node.addr)
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		if n := node.openDescriptors(t); n > socketLimit {
			t.Errorf("%d descriptors open, limit %d", n, socketLimit)
		}
		_ = client.conn.Close()
	}
}

// While discovery is unavailable, idle clients take all descriptors that the node may open, up to its ulimit. Requests
// must still be served, a reload must take effect, and the node must follow the endpoint list as soon as discovery is
// available again.
func TestConnectionSurge_DiscoveryDown_RequestsServed(t *testing.T) {
	t.Parallel()
	const socketLimit = 96
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint(wire.Serving)))
	oldDiscovery.setUnavailable(true)
	node := startNode(t, nodeOptions{
		initialList:     endpointListJSON(1, true, hostA.endpoint(wire.Serving)),
		socketLimit:     socketLimit,
		descriptorLimit: socketLimit,
	}, oldDiscovery.addr)
	var idle idleClients
	defer idle.close()
	idle.connect(3*socketLimit, node.addr)
	node.openRequest(t, "").expectLine("UP from-ha")
	newList := endpointListJSON(2, true, hostA.endpoint(wire.Draining), hostB.endpoint(wire.Serving))
	discovery := newFakeDiscovery(t, newList)
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reloaded")
	eventually(t, "the new discovery receives a request", func() bool { return len(discovery.requestPaths()) > 0 })
	idle.connect(3*socketLimit, node.addr)
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.setUnavailable(false)
	node.waitUntilServedBy(t, hostB.id)
	idle.connect(3*socketLimit, node.addr)
	node.openRequest(t, "").expectLine("UP from-hb")
	if n := node.openDescriptors(t); n > socketLimit {
		t.Errorf("%d descriptors open, limit %d", n, socketLimit)
	}
}
