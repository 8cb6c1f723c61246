package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
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

// requestWhileSuspended sends a request while an earlier process of the node is suspended, so that the successor accepts
// it, and checks the answer.
func (p *nodeProcess) requestWhileSuspended(t *testing.T, earlier *nodeProcess, id, want string) {
	t.Helper()
	earlier.sendSignal(t, syscall.SIGSTOP)
	defer earlier.sendSignal(t, syscall.SIGCONT)
	eventually(t, "the earlier process is suspended", func() bool { return earlier.allThreadsStopped(t) })
	p.openWithID(t, id).expectLine(want)
}

// While a connection is open, its id must not be served by the successor, however many requests have come since.
func TestRequestID_OpenDuringManyRequests_NotServedBySuccessor(t *testing.T) {
	t.Parallel()
	const laterRequests = 4200 // more than a process's file of claims holds
	options, discovery := inheritedSocketOptions(t, newFakeHost(t, "h1"))
	node := startNode(t, options, discovery.addr)
	id := fmt.Sprintf("again%d", nextID())
	node.openWithID(t, id).expectLine("UP")
	for range laterRequests {
		client := node.openWithID(t, fmt.Sprintf("later%d", nextID()))
		client.expectLine("UP")
		_ = client.conn.Close()
	}
	successor := startSuccessor(t, options, discovery.addr)
	successor.requestWhileSuspended(t, node, id, "ERR")
}

// While a connection is open, its id must not be served by a successor, even if it was opened two processes earlier and
// that process ended long ago.
func TestRequestID_OpenSinceEarlierProcess_NotServedBySuccessor(t *testing.T) {
	t.Parallel()
	options, discovery := inheritedSocketOptions(t, newFakeHost(t, "h1"))
	first := startNode(t, options, discovery.addr)
	id := fmt.Sprintf("again%d", nextID())
	first.openWithID(t, id).expectLine("UP")
	second := startSuccessor(t, options, discovery.addr)
	first.terminate(t)
	first.waitForCleanExit(t)
	claims, err := filepath.Glob(fmt.Sprintf("%s/*-%d.ids", options.sharedDir(), first.cmd.Process.Pid))
	if err != nil || len(claims) != 1 {
		t.Fatalf("files of the ids of the first process: %v, error %v; want one", claims, err)
	}
	longAgo := time.Now().Add(-time.Hour)
	if err := os.Chtimes(claims[0], longAgo, longAgo); err != nil {
		t.Fatal(err)
	}
	third := startSuccessor(t, options, discovery.addr)
	third.requestWhileSuspended(t, second, id, "ERR")
}
