package main

import (
	"strings"
	"testing"
	"time"
)

func TestSocketLimit_Reached_RejectsThenRecovers(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), socketLimit: 64}, discovery.addr)
	var clients []*testClient
	for range 40 {
		client := node.openRequest(t, "")
		if line := client.expectLine(""); strings.HasPrefix(line, "BUSY ") {
			break
		}
		clients = append(clients, client)
	}
	if len(clients) == 0 || len(clients) == 40 {
		t.Fatalf("%d of 40 were served within 64 descriptors", len(clients))
	}
	if n := node.openDescriptors(t); n > 64 {
		t.Errorf("%d descriptors held, 64 allowed", n)
	}
	for _, client := range clients {
		client.send("M\r\n")
		client.expectLine("M")
		_ = client.conn.Close()
	}
	eventually(t, "there is room again", func() bool { return strings.HasPrefix(node.openRequest(t, "").expectLine(""), "UP ") })
}

// At the system's own limit an accept fails. That must pause the listener, not end it.
func TestListener_AcceptFails_KeepsAccepting(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), socketLimit: 256, descriptorLimit: 32}, discovery.addr)
	var clients []*testClient
	for range 60 {
		clients = append(clients, node.openRequest(t, ""))
	}
	eventually(t, "an accept fails", func() bool { return strings.Contains(node.log.String(), "accept failed") })
	for _, client := range clients {
		_ = client.conn.Close()
	}
	eventually(t, "clients are served again", func() bool { return strings.HasPrefix(node.openRequest(t, "").expectLine(""), "UP ") })
}

func TestDescriptors_ConnectionsEnd_AllReleased(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	hostB.setReply("ERR\r\n")
	all := endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	node := startNode(t, nodeOptions{initialList: all}, discovery.addr)
	eventually(t, "the watch is on", func() bool { return len(discovery.requestPaths()) == 1 })
	eventually(t, "one is served, and stays", func() bool { return strings.HasPrefix(node.openRequest(t, "").expectLine(""), "UP ") })
	time.Sleep(time.Second) // what the start left open is closed
	before := node.openDescriptors(t)
	for i := range 60 {
		client := node.openRequest(t, "")
		if i%5 == 0 { // leaves before the answer
			_ = client.conn.Close()
			continue
		}
		if strings.HasPrefix(client.expectLine(""), "UP ") {
			switch i % 5 {
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
	eventually(t, "all descriptors are given back", func() bool { return node.openDescriptors(t) <= before })
	eventually(t, "the hosts are left", func() bool { return hostA.openConnections()+hostB.openConnections() == 1 })
}
