package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// invalidOpeningLines returns inputs that the node must reject as an opening line. One of them has the ID of an open
// request.
func invalidOpeningLines() []string {
	return []string{
		"GET / HTTP/1.1\r\n\r\n",
		"\r\n",
		"\x16\x03\x01\x02\x00\x01\n",
		"OPEN\r\n",
		"OPEN key c=chat,t=acme,d=500\r\n",
		"OPEN  key c=chat,t=acme,d=500\r\n",
		"OPEN x y d=500\r\n",
		"OPEN x y c=odd,t=acme,d=500\r\n",
		"OPEN x y c=chat,t=odd,d=500\r\n",
		"OPEN x y c=chat,t=acme,d=soon\r\n",
		"OPEN x y c=chat,t=acme,d=\r\n",
		"OPEN x y c=chat,t=acme,d=-5\r\n",
		"OPEN x y c=chat,t=acme,d=0x5\r\n",
		"OPEN x y c=chat,t=acme,d=5e3\r\n",
		"OPEN x y c=chat,t=acme,d=99999999999999\r\n",
		"OPEN x y c=chat,t=acme,d=500,d=500\r\n",
		"OPEN x y c=chat,t=ac\x01me,d=500\r\n",
		"OPEN held y c=chat,t=acme,d=2000\r\n",
		strings.Repeat("x", 10<<10),
		"OPEN " + strings.Repeat("y", 5000) + "\r\n",
		strings.Repeat("OPEN m key c=chat,t=acme,d=2000\r\n", 300),
		"PING\r\nOPEN a b\r\n",
	}
}

// A client that sends a bad opening line must get an error, and no host may receive any part of the line.
func TestProtocolViolation_BadOpening_RejectedByNode(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	established := node.dial(t)
	established.send("OPEN held key c=chat,t=acme,d=2000\r\n")
	established.expectLine("UP ")
	for _, text := range invalidOpeningLines() {
		client := node.dial(t)
		_, _ = io.WriteString(client.conn, text)
		if strings.HasPrefix(text, "PING") {
			client.expectLine("PONG")
		}
		client.expectLine("ERR")
		_ = client.conn.Close()
	}
	if n := len(host.openingLines()); n != 1 {
		t.Errorf("host received %d opening lines, want only that of the first client", n)
	}
	established.send("M 1\r\n")
	established.expectLine("M 1")
	node.openRequest(t, "").expectLine("UP ")
}

// A client that sends more data before its final answer must get an error, even if the node has already forwarded its
// opening line.
func TestProtocolViolation_ClientSpeaksEarly_Closed(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setResponse("")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, "")
	eventually(t, "the host has received the opening line", func() bool { return len(host.openingLines()) == 1 })
	client.send("OPEN more key c=chat,t=acme,d=2000\r\n")
	client.expectLine("ERR")
	client.expectClose(false)
	eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
}

// sendEndlessly connects and repeatedly sends text, with a pause after each time. The returned channel receives true if
// the node closed the connection within waitLimit, and false otherwise.
func sendEndlessly(t *testing.T, node *nodeProcess, text string, pause time.Duration) (closed chan bool) {
	t.Helper()
	client := node.dial(t)
	go func() {
		for {
			if _, err := io.WriteString(client.conn, text); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	closed = make(chan bool, 1)
	go func() {
		_, err := io.Copy(io.Discard, client.reader)
		netError, ok := err.(net.Error)
		closed <- !ok || !netError.Timeout()
	}()
	return closed
}

// The node must close the connection of a client that sends an endless line, a trickle of bytes, an incomplete line, or
// PINGs in quick succession. A client that stops in the middle of its line and stays must get an error before.
func TestProtocolViolation_EndlessInput_Closed(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	half, halfClosed := node.dial(t), node.dial(t)
	half.send("OPEN half a line")
	halfClosed.send("OPEN half")
	_ = halfClosed.conn.CloseWrite()
	for name, closed := range map[string]chan bool{
		"a flood":   sendEndlessly(t, node, strings.Repeat("x", 64<<10), 0),
		"a trickle": sendEndlessly(t, node, "x", 100*time.Millisecond),
		"pings":     sendEndlessly(t, node, "PING\r\n", time.Millisecond),
	} {
		if !<-closed {
			t.Errorf("node did not close the connection with %s", name)
		}
	}
	half.expectLine("ERR")
	half.expectClose(false)
	halfClosed.expectClose(false)
	if n := len(host.openingLines()); n != 0 {
		t.Errorf("host received %d opening lines, want none", n)
	}
}

// A client that uses the id of another client's open request must get an error. The first request must not be affected,
// even if the second client disconnects at once.
func TestDuplicateRequestID_SecondRejected_FirstUnaffected(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setResponse("")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	for i := range 2 {
		line := fmt.Sprintf("OPEN same%d key c=chat,t=acme,d=900\r\n", i)
		first := node.dial(t)
		first.send(line)
		eventually(t, "the host has received the first request", func() bool { return len(host.openingLines()) == i+1 })
		for range 5 {
			second, disconnecting := node.dial(t), node.dial(t)
			disconnecting.send(line)
			_ = disconnecting.conn.Close()
			second.send(line)
			second.expectLine("ERR")
		}
		first.expectLine("BUSY") // the host never responds, so the balancer rejects the request at its deadline
	}
	if strings.Contains(node.log.String(), "request deadline exceeded") {
		t.Error("balancer lost a request: the node's fallback timer answered it")
	}
}
