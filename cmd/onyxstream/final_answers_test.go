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

// The tests in this file check that each admitted request gets exactly one complete final answer within its deadline,
// whatever its client, other clients or the node's machine do.

// A client that half-closes its connection after the opening line can still read, so it must get a final answer.
func TestRequest_ClientHalfCloses_IsAnswered(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setResponse("")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, "")
	eventually(t, "the host has received the request", func() bool { return len(host.openingLines()) == 1 })
	if err := client.conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	client.expectLine("ERR")
	client.expectClose(false)
	eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
}

// A request's deadline runs from the arrival of the last byte of its opening line, not from the moment at which the
// node reads the line. The two moments differ if the node is stopped in between. The deadline that the node sends to
// the host shows which moment the node used, even on a slow machine. The balancer rejects the request at its deadline;
// the long answer slack keeps the node's fallback timer from answering first.
func TestDeadline_NodeStopped_CountsUnreadTime(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setResponse("")
	node, _ := startNodeWithHosts(t, nodeOptions{latencyObjectiveMS: 9000, answerSlackMS: 5000}, host)
	node.sendSignal(t, syscall.SIGSTOP)
	eventually(t, "all threads of the node are stopped", func() bool { return node.allThreadsStopped(t) })
	client := node.dial(t)
	const deadlineMS, unreadMS = 4500, 1800
	client.send(fmt.Sprintf("OPEN a key c=chat,t=acme,d=%d\r\n", deadlineMS))
	time.Sleep(unreadMS * time.Millisecond)
	node.sendSignal(t, syscall.SIGCONT)
	client.expectLine("BUSY")
	remaining := advertisedDeadlineMS(t, host)
	const maxRemaining = deadlineMS - unreadMS + clockTickMS
	if remaining > maxRemaining {
		t.Errorf("host received a deadline of %d ms; %d of %d ms had passed, want at most %d ms",
			remaining, unreadMS, deadlineMS, maxRemaining)
	}
}

// clockTickMS is the largest error of the kernel's receive timestamps, whose resolution is a clock tick.
const clockTickMS = 20

// advertisedDeadlineMS returns the deadline in the only opening line that the host received. It fails the test if the
// host received another number of opening lines.
func advertisedDeadlineMS(t *testing.T, host *fakeHost) int {
	t.Helper()
	lines := host.openingLines()
	if len(lines) != 1 {
		t.Fatalf("host received opening lines %q; want one", lines)
	}
	_, rest, _ := strings.Cut(lines[0], ",d=")
	value, _, _ := strings.Cut(rest, ",")
	milliseconds, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("host received opening line %q: %v", lines[0], err)
	}
	return milliseconds
}

// When a node evicts clients to make room for new connections, it first evicts clients that already got their final
// answer. A client that is evicted after it sent a part of its opening line must get a rejection.
func TestEviction_PartialOpening_ServedOrRejected(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{socketLimit: 128}, host)
	first := node.dial(t)
	first.send("OPEN half key c=chat,")
	time.Sleep(100 * time.Millisecond) // time for the node to read the partial line
	// More clients than can be pending at one time connect, and stay connected after their answer.
	for range 60 {
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
	eventually(t, "the node logs that it evicted a client", func() bool {
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
