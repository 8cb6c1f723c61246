package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// What can't be served is told so, and no host hears of it.
func TestProtocolViolation_BadOpening_RejectedByNode(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	established := node.dial(t)
	established.send("OPEN held key c=chat,t=acme,d=2000\r\n")
	established.expectLine("UP ")
	flood := strings.Repeat("OPEN m key c=chat,t=acme,d=2000\r\n", 300)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\r\n", "\x16\x03\x01\x02\x00\x01\n", "OPEN\r\n", "OPEN key c=chat,t=acme,d=500\r\n",
		"OPEN  key c=chat,t=acme,d=500\r\n", "OPEN x y d=500\r\n", "OPEN x y c=odd,t=acme,d=500\r\n", "OPEN x y c=chat,t=odd,d=500\r\n",
		"OPEN x y c=chat,t=acme,d=soon\r\n", "OPEN x y c=chat,t=acme,d=\r\n", "OPEN x y c=chat,t=acme,d=-5\r\n",
		"OPEN x y c=chat,t=acme,d=0x5\r\n", "OPEN x y c=chat,t=acme,d=5e3\r\n", "OPEN x y c=chat,t=acme,d=99999999999999\r\n",
		"OPEN x y c=chat,t=acme,d=500,d=500\r\n", "OPEN x y c=chat,t=ac\x01me,d=500\r\n", "OPEN held y c=chat,t=acme,d=2000\r\n",
		strings.Repeat("x", 10<<10), "OPEN " + strings.Repeat("y", 5000) + "\r\n", flood, "PING\r\nOPEN a b\r\n"} {
		client := node.dial(t)
		_, _ = io.WriteString(client.conn, text)
		if strings.HasPrefix(text, "PING") {
			client.expectLine("PONG")
		}
		client.expectLine("ERR")
		_ = client.conn.Close()
	}
	if n := len(host.openings()); n != 1 {
		t.Errorf("the host got %d lines, want that of the first client", n)
	}
	established.send("M 1\r\n")
	established.expectLine("M 1")
	node.openRequest(t, "").expectLine("UP ")
}

// One that does not wait for its answer is not served, though its first line was sent on before it spoke.
func TestProtocolViolation_ClientSpeaksEarly_Closed(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	client := node.openRequest(t, "")
	eventually(t, "its line is at the host", func() bool { return len(host.openings()) == 1 })
	client.send("OPEN more key c=chat,t=acme,d=2000\r\n")
	client.expectLine("ERR")
	client.expectClose(false)
	eventually(t, "the host is left", func() bool { return host.openConnections() == 0 })
}

// A flood without an end, a trickle, half a line, pings in haste: each gets an error or a close by itself.
func TestProtocolViolation_EndlessInput_Closed(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	endless := func(text string, pause time.Duration) chan bool {
		client := node.dial(t)
		go func() {
			for {
				if _, err := io.WriteString(client.conn, text); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}()
		ended := make(chan bool, 1)
		go func() {
			_, err := io.Copy(io.Discard, client.reader)
			late, ok := err.(net.Error)
			ended <- !ok || !late.Timeout()
		}()
		return ended
	}
	half, halfClosed := node.dial(t), node.dial(t)
	half.send("OPEN half a line")
	halfClosed.send("OPEN half")
	_ = halfClosed.conn.CloseWrite()
	for what, ended := range map[string]chan bool{"a flood": endless(strings.Repeat("x", 64<<10), 0), "a trickle": endless("x", 100*time.Millisecond),
		"pings": endless("PING\r\n", time.Millisecond)} {
		if !<-ended {
			t.Errorf("%s is not ended", what)
		}
	}
	half.expectClose(false)
	halfClosed.expectClose(false)
	if n := len(host.openings()); n != 0 {
		t.Errorf("the host got %d lines", n)
	}
}

// The id of another client's open request: the second one gets an error, and the first does not feel it, also where
// the second leaves at once.
func TestDuplicateRequestID_SecondRejected_FirstUnaffected(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	for i := range 2 {
		line := fmt.Sprintf("OPEN same%d key c=chat,t=acme,d=900\r\n", i)
		first := node.dial(t)
		first.send(line)
		eventually(t, "the first is at the host", func() bool { return len(host.openings()) == i+1 })
		for range 5 {
			second, leaver := node.dial(t), node.dial(t)
			leaver.send(line)
			_ = leaver.conn.Close()
			second.send(line)
			second.expectLine("ERR")
		}
		first.expectLine("BUSY") // the host never answers, so it is the module's own word, in its time
	}
	if strings.Contains(node.log.String(), "request deadline exceeded") {
		t.Error("a first client was forgotten")
	}
}
