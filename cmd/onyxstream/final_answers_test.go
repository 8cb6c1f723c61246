package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Each admitted request gets exactly one complete answer in time, whatever the client, the node's machine or other
// clients do meanwhile.

// A client that closes its sending side after the opening line can still read.
func TestRequest_ClientHalfCloses_IsAnswered(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, "")
	eventually(t, "the host has received the request", func() bool { return len(host.openings()) == 1 })
	if err := client.conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	client.expectLine("ERR")
	client.expectClose(false)
	eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
}

// A client's deadline runs from the last byte of its line, not from the moment at which a node that was stopped reads
// it. The deadline that the node sends to the host shows which of the two applied, however slow the machine is. The
// balancer answers at the end of that time; the answer slack keeps the node's own fallback timer from answering first.
func TestDeadline_NodeStopped_CountsUnreadTime(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	node, _ := startNodeWithHosts(t, nodeOptions{latencyObjectiveMS: 9000, answerSlackMS: 5000}, host)
	node.sendSignal(t, syscall.SIGSTOP)
	eventually(t, "all of its threads are stopped", func() bool { return node.allThreadsStopped(t) })
	client := node.dial(t)
	const deadlineMS, unreadMS = 4500, 1800
	client.send(fmt.Sprintf("OPEN a key c=chat,t=acme,d=%d\r\n", deadlineMS))
	time.Sleep(unreadMS * time.Millisecond)
	node.sendSignal(t, syscall.SIGCONT)
	client.expectLine("BUSY")
	remaining := advertisedDeadlineMS(t, host)
	const maxRemaining = deadlineMS - unreadMS + clockTickMS
	if remaining > maxRemaining {
		t.Errorf("the host received a deadline of %d ms; %d of %d ms had passed, so at most %d",
			remaining, unreadMS, deadlineMS, maxRemaining)
	}
}

// clockTickMS bounds the error of the system's receive timestamps, which count in ticks.
const clockTickMS = 20

// advertisedDeadlineMS returns the deadline in the one opening line that a host has received.
func advertisedDeadlineMS(t *testing.T, host *fakeHost) int {
	t.Helper()
	lines := host.openings()
	if len(lines) != 1 {
		t.Fatalf("the host received %q; want one line", lines)
	}
	_, rest, _ := strings.Cut(lines[0], ",d=")
	value, _, _ := strings.Cut(rest, ",")
	milliseconds, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("the host received %q: %v", lines[0], err)
	}
	return milliseconds
}

// When a node evicts clients for new connections, those that have had their final answer go first. A client that is
// evicted in the middle of its opening line is rejected with an answer.
func TestEviction_PartialOpening_ServedOrRejected(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{socketLimit: 128}, host)
	first := node.dial(t)
	first.send("OPEN half key c=chat,")
	time.Sleep(100 * time.Millisecond) // the node has read it
	for range 60 {                     // more than can be pending at one time; they stay connected after their answer
		client := node.dial(t)
		client.send("nonsense\r\n")
		client.expectLine("ERR")
	}
	first.send("t=acme,d=2500\r\n")
	first.expectLine("UP ")
	second := node.dial(t)
	second.send("OPEN second key c=chat,")
	time.Sleep(100 * time.Millisecond)
	var silent []net.Conn
	eventually(t, "a client is evicted", func() bool {
		for range 20 {
			conn, err := net.Dial("tcp", node.addr)
			if err == nil {
				_, _ = io.WriteString(conn, "O")
				silent = append(silent, conn)
			}
		}
		return strings.Contains(node.log.String(), "client evicted")
	})
	second.expectLine("BUSY")
	for _, conn := range silent {
		_ = conn.Close()
	}
}
