package main

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

// The node must forward the opening line with all its fields, also with those that it does not know, and with a
// deadline reduced by the time that has passed. It must relay all later lines unchanged, however their bytes arrive.
func TestRelay_HostAccepts_LinesPassUnchanged(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, ",new=7")
	if up := client.expectLine("UP "); up != "UP from-h1\r\n" {
		t.Errorf("client received %q, want UP from-h1", up)
	}
	line := host.openingLines()[0]
	hasKnownFields := strings.Contains(line, " c=chat,t=acme,d=")
	keepsUnknownField := strings.HasSuffix(line, ",new=7")
	keepsDeadline := strings.Contains(line, "d=2500,")
	if !hasKnownFields || !keepsUnknownField || keepsDeadline {
		t.Errorf("host received opening line %q, want all fields and a deadline below 2500 ms", line)
	}
	// The node relays lines unchanged, even if a line arrives in parts or several lines arrive at once.
	client.send("M 1 \x00\xff one")
	client.send("\r\nLOAD 5\r\nM 3\n")
	client.expectLine("M 1 \x00\xff one\r\n")
	client.expectLine("LOAD 5\r\n")
	client.expectLine("M 3\n")
	client.send("DO bye\r\n")
	client.expectLine("BYE\r\n")
	client.expectClose(false)
}

// When a host closes or resets a connection, the node must do the same to the client. When the client closes or resets
// it, the node must close the host's connection. A missed close would leave connections open for ever.
func TestRelay_OneSideCloses_OtherSideClosesSameWay(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	for _, test := range []struct {
		command  string
		lastLine string
		byReset  bool
	}{
		{"DO bye", "BYE\r\n", false},
		{"DO move", "MOVE\r\n", false},
		{"DO reset", "", true},
	} {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		client.send(test.command + "\r\n")
		if test.lastLine != "" {
			client.expectLine(test.lastLine)
		}
		client.expectClose(test.byReset)
	}
	for _, byReset := range []bool{false, true} {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		if byReset {
			_ = client.conn.SetLinger(0)
		}
		_ = client.conn.Close()
		eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
	}
}

// If a host sends an incomplete line and then nothing, the node must migrate the client without relaying the incomplete
// line: the client would take MOVE for the rest of that line.
func TestMigration_HostSilent_MigratedAtLineBoundary(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, "")
	client.expectLine("UP ")
	client.send("DO half\r\n") // the host sends an incomplete line and then nothing
	client.expectLine("MOVE\r\n")
	client.expectClose(false)
	eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
}

// A client that reads slowly must slow down the sender through backpressure. No line may be lost.
func TestRelay_SlowReader_LosesNothing(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	for _, direction := range []string{"from the host", "both ways"} {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		if direction == "from the host" {
			client.send("DO flood\r\n")
		} else {
			go sendFlood(client.conn)
		}
		time.Sleep(300 * time.Millisecond) // long enough for all buffers to fill
		for i := range fakeserver.FloodLines {
			line, err := client.reader.ReadString('\n')
			if err != nil || line != fakeserver.FloodLine(i) {
				t.Fatalf("flood %s, line %d: received %.20q, error %v; want the line as sent", direction, i, line, err)
			}
		}
	}
}

// sendFlood writes fakeserver.FloodLines lines to conn.
func sendFlood(conn io.Writer) {
	writer := bufio.NewWriter(conn)
	for i := range fakeserver.FloodLines {
		_, _ = writer.WriteString(fakeserver.FloodLine(i))
	}
	_ = writer.Flush()
}

// A mid-flow client may send lines before its final answer. The node must buffer them and send them to the host after
// the opening line.
func TestOpening_MidFlowEarlyLines_FollowOpening(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.dial(t)
	client.send("PING\r\nOPEN early key c=chat,t=acme,d=2000,mid=1\r\nM early\r\n")
	client.expectLine("PONG")
	client.expectLine("UP ")
	client.expectLine("M early")
	_, _ = io.WriteString(client.conn, "M 2\r\n")
	client.expectLine("M 2")
}
