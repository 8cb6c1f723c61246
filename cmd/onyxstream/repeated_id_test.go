package main

import (
	"fmt"
	"testing"
	"time"
)

// openWithID sends an opening line with a given request id.
func (p *nodeProcess) openWithID(t *testing.T, id string) *testClient {
	t.Helper()
	client := p.dial(t)
	client.send(fmt.Sprintf("OPEN %s key%s c=chat,t=acme,d=2500\r\n", id, id))
	return client
}

// resumeWithID resumes a connection to host h1 under a given id.
func (p *nodeProcess) resumeWithID(t *testing.T, id string) *testClient {
	t.Helper()
	client := p.dial(t)
	client.send(fmt.Sprintf("OPEN %s key%s c=chat,t=acme,d=2500,at=h1\r\n", id, id))
	client.expectLine("UP")
	return client
}

// A request whose host was still working, or had brought it up, ran a second time when its id came again after its client
// had left.
func TestRequestID_RepeatedAfterClientLeft_NotForwarded(t *testing.T) {
	t.Parallel()
	for _, response := range []string{"", "UP x\r\n"} {
		for _, byReset := range []bool{false, true} {
			host := newFakeHost(t, "h1")
			host.setResponse(response)
			node, _ := startNodeWithHosts(t, nodeOptions{}, host)
			id := fmt.Sprintf("again%d", nextID())
			first := node.openWithID(t, id)
			eventually(t, "the host has received the request", func() bool { return host.timesReceived(id) == 1 })
			if response != "" {
				first.expectLine("UP")
			}
			if byReset {
				_ = first.conn.SetLinger(0)
			}
			_ = first.conn.Close()
			for range 5 {
				node.openWithID(t, id).expectLine("ERR")
				time.Sleep(50 * time.Millisecond)
			}
			if got := host.timesReceived(id); got != 1 {
				t.Errorf("response %q, reset %v: the host received the request %d times, want once", response, byReset, got)
			}
		}
	}
}

// An id under which a client had resumed a connection ran as a new request when it came again after the client had left.
func TestRequestID_RepeatedAfterResume_NotForwarded(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t)}, host)
	id := fmt.Sprintf("again%d", nextID())
	first := node.resumeWithID(t, id)
	_ = first.conn.Close()
	eventually(t, "the connection has ended", func() bool { return node.stats(t)["concurrent"] == 0 })
	for range 5 {
		node.openWithID(t, id).expectLine("ERR")
	}
	if got := host.timesReceived(id); got != 1 {
		t.Errorf("the host received the id %d times, want once", got)
	}
}

// A request id that one process of a node has served, or serves, ran a second time when it came to the other process of
// a hot restart.
func TestRequestID_RepeatedAtSuccessor_NotForwarded(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"waiting", "established", "resumed", "left"} {
		host := newFakeHost(t, "h1")
		if state == "waiting" || state == "left" {
			host.setResponse("")
		}
		options, discovery := inheritedSocketOptions(t, host)
		node := startNode(t, options, discovery.addr)
		id := fmt.Sprintf("again%d", nextID())
		open := node.openWithID
		if state == "resumed" {
			open = node.resumeWithID
		}
		first := open(t, id)
		eventually(t, "the host has received the request", func() bool { return host.timesReceived(id) == 1 })
		if state == "left" {
			_ = first.conn.Close()
		}
		successor := startSuccessor(t, options, discovery.addr)
		for range 20 { // either process may accept a connection
			successor.openWithID(t, id).expectLine("ERR")
		}
		node.terminate(t)
		node.waitForCleanExit(t)
		for range 5 {
			successor.openWithID(t, id).expectLine("ERR")
		}
		if got := host.timesReceived(id); got != 1 {
			t.Errorf("first request %s: the host received the id %d times, want once", state, got)
		}
	}
}
