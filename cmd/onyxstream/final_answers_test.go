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

// Whoever was taken on gets one whole answer in time, whatever the client, the node's machine or a crowd do meanwhile.

// A client that ends its side after its line may still read.
func TestRequest_ClientHalfCloses_IsAnswered(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	client := node.openRequest(t, "")
	eventually(t, "the host has it", func() bool { return len(host.openings()) == 1 })
	if err := client.conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	client.expectLine("ERR")
	client.expectClose(false)
	eventually(t, "the host is left", func() bool { return host.openConnections() == 0 })
}

// A client counts its time from its line's last byte, not from when a node that stood still comes to read it. What the
// node tells the host that it will wait shows which of the two it took, however long the machine takes for the rest. The
// module answers at the end of that time; the slack keeps the backstop, which promises less, from crossing with it.
func TestDeadline_NodeStopped_CountsUnreadTime(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), latencyObjectiveMS: 9000, answerSlackMS: 5000}, discovery.addr)
	if err := node.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all of its threads stand still", func() bool { return node.allThreadsStopped(t) })
	client := node.dial(t)
	const patience, unread = 4500, 1800 // ms
	client.send(fmt.Sprintf("OPEN a key c=chat,t=acme,d=%d\r\n", patience))
	time.Sleep(unread * time.Millisecond)
	if err := node.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	client.expectLine("BUSY")
	lines := host.openings()
	if len(lines) != 1 {
		t.Fatalf("the host has %q; want one line", lines)
	}
	_, rest, _ := strings.Cut(lines[0], ",d=")
	advertised, _, _ := strings.Cut(rest, ",")
	remaining, err := strconv.Atoi(advertised)
	if err != nil {
		t.Fatalf("the host has %q: %v", lines[0], err)
	}
	if maxRemaining := patience - unread + 20; remaining > maxRemaining { // the system counts in ticks
		t.Errorf("the host is told of %d ms; of %d ms %d were over, so at most %d", remaining, patience, unread, maxRemaining)
	}
}

// Where room is made for those who come, clients that have had their last word go first; one in the middle of its first
// line that has to go is told so.
func TestEviction_PartialOpening_KeptOrRejected(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), socketLimit: 128}, discovery.addr)
	first := node.dial(t)
	first.send("OPEN half key c=chat,")
	time.Sleep(100 * time.Millisecond) // it has been read
	for range 60 {                     // past what can be heard at one time; their last word leaves them in place
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
	eventually(t, "room is made", func() bool {
		for range 20 {
			if c, err := net.Dial("tcp", node.addr); err == nil {
				_, _ = io.WriteString(c, "O")
				silent = append(silent, c)
			}
		}
		return strings.Contains(node.log.String(), "client evicted")
	})
	second.expectLine("BUSY")
	for _, c := range silent {
		_ = c.Close()
	}
}
