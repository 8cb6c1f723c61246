package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// timesReceived returns how often a host has received an opening line with a request id.
func (h *fakeHost) timesReceived(id string) (count int) {
	for _, line := range h.openingLines() {
		if strings.HasPrefix(line, "OPEN "+id+" ") {
			count++
		}
	}
	return count
}

// leaveUnread connects to a suspended node, sends an opening line and further bytes, and closes the connection.
func (p *nodeProcess) leaveUnread(t *testing.T, id, fields string, further int, byReset bool) {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // the node's receive buffer may be full
	_, _ = fmt.Fprintf(conn, "OPEN %s k c=chat,t=acme,d=2500%s\r\n", id, fields)
	_, _ = io.WriteString(conn, strings.Repeat("M 1\r\n", further/5))
	if byReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// A client that had sent more than the node reads at once, and closed its connection while the node was busy, was
// forwarded up to 0.3 s later: its close was looked for only behind the unread bytes. The lines of mid-flow clients and of
// those that resume a connection are no exceptions.
func TestClientLeft_BytesUnread_NotForwarded(t *testing.T) {
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	for _, fields := range []string{"", ",mid=1", ",at=h1"} {
		for _, further := range []int{0, 100, 9000, 31000, 200000} {
			for _, byReset := range []bool{false, true} {
				id := fmt.Sprintf("left%d", nextID())
				node.sendSignal(t, syscall.SIGSTOP)
				eventually(t, "the node is suspended", func() bool { return node.allThreadsStopped(t) })
				node.leaveUnread(t, id, fields, further, byReset)
				time.Sleep(250 * time.Millisecond) // longer than the 0.1 s after which an attempt counts as lost
				node.sendSignal(t, syscall.SIGCONT)
				node.openRequest(t, "").expectLine("UP") // accepted after the client that has left
				time.Sleep(50 * time.Millisecond)
				if n := host.timesReceived(id); n > 0 {
					t.Errorf("fields %q, %d further bytes, reset %v: the host received the request %d times, want none",
						fields, further, byReset, n)
				}
			}
		}
	}
}
