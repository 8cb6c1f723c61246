package main

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Clients that connect by hundreds and say nothing, and others that come again as soon as they are turned away, keep
// no usual client out and take no descriptors that are not theirs.
func TestConnectionSurge_RegularClients_Served(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), socketLimit: 128}, discovery.addr)
	var connections []net.Conn
	defer func() {
		for _, c := range connections {
			_ = c.Close()
		}
	}()
	stop := make(chan bool)
	defer close(stop)
	for range 4 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", node.addr); err == nil {
					_, _ = io.WriteString(c, "OPEN x y c=odd\r\n")
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}
			}
		}()
	}
	for range 15 {
		for range 30 {
			if c, err := net.Dial("tcp", node.addr); err == nil {
				connections = append(connections, c)
			}
		}
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		if n := node.openDescriptors(t); n > 128 {
			t.Errorf("%d descriptors held, 128 allowed", n)
		}
		_ = client.conn.Close()
	}
}

// Clients that say nothing fill every descriptor they can get while discovery is down, at the system's own limit. Requests
// are answered all the same, the configuration is read, and the list is followed as soon as discovery is back.
func TestConnectionSurge_DiscoveryDown_RequestsServed(t *testing.T) {
	t.Parallel()
	const sockets = 96
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint("SERVING")))
	oldDiscovery.setUnavailable(true)
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, hostA.endpoint("SERVING")), socketLimit: sockets, descriptorLimit: sockets}, oldDiscovery.addr)
	var connections []net.Conn
	defer func() {
		for _, c := range connections {
			_ = c.Close()
		}
	}()
	connectIdleClients := func() {
		for range 3 * sockets {
			if c, err := net.Dial("tcp", node.addr); err == nil {
				connections = append(connections, c)
			}
		}
	}
	connectIdleClients()
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery := newFakeDiscovery(t, endpointListJSON(2, true, hostA.endpoint("DRAINING"), hostB.endpoint("SERVING")))
	discovery.setUnavailable(true)
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reloaded")
	eventually(t, "the new discovery is asked", func() bool { return len(discovery.requestPaths()) > 0 })
	connectIdleClients()
	node.openRequest(t, "").expectLine("UP from-ha")
	discovery.setUnavailable(false)
	eventually(t, "its list is followed", func() bool {
		client := node.openRequest(t, "")
		defer client.conn.Close()
		return strings.Contains(client.expectLine("UP "), "from-hb")
	})
	connectIdleClients()
	node.openRequest(t, "").expectLine("UP from-hb")
	if n := node.openDescriptors(t); n > sockets {
		t.Errorf("%d descriptors held, %d allowed", n, sockets)
	}
}
