package main

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
)

func TestRelay_HostAccepts_LinesPassUnchanged(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	client := node.openRequest(t, ",new=7")
	if up := client.expectLine("UP "); up != "UP from-h1\r\n" {
		t.Errorf("passed on %q", up)
	}
	if line := host.openings()[0]; !strings.Contains(line, " c=chat,t=acme,d=") || !strings.HasSuffix(line, ",new=7") ||
		strings.Contains(line, "d=2500,") {
		t.Errorf("the host was sent %q", line)
	}
	// Lines go on unchanged, also in pieces and several at once.
	client.send("M 1 \x00\xff one")
	client.send("\r\nLOAD 5\r\nM 3\n")
	client.expectLine("M 1 \x00\xff one\r\n")
	client.expectLine("LOAD 5\r\n")
	client.expectLine("M 3\n")
	client.send("DO bye\r\n")
	client.expectLine("BYE\r\n")
	client.expectClose(false)
}

func TestRelay_PeerCloses_OtherSideClosesAlike(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	for _, c := range []struct {
		order, last string
		byReset     bool
	}{{"DO bye", "BYE\r\n", false}, {"DO move", "MOVE\r\n", false}, {"DO reset", "", true}} {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		client.send(c.order + "\r\n")
		if c.last != "" {
			client.expectLine(c.last)
		}
		client.expectClose(c.byReset)
	}
	for _, byReset := range []bool{false, true} {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		if byReset {
			_ = client.conn.SetLinger(0)
		}
		_ = client.conn.Close()
		eventually(t, "the host sees the end", func() bool { return host.openConnections() == 0 })
	}
}

func TestMigration_HostSilent_MovedAtLineBoundary(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	client := node.openRequest(t, "")
	client.expectLine("UP ")
	client.send("DO half\r\n") // half a line is on its way when the host falls silent
	client.expectLine("MOVE\r\n")
	client.expectClose(false)
	eventually(t, "the host's side ends too", func() bool { return host.openConnections() == 0 })
}

// Who does not read holds back who writes, and loses nothing.
func TestRelay_SlowReader_LosesNothing(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	for _, way := range []string{"from the host", "both ways"} {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		if way == "from the host" {
			client.send("DO flood\r\n")
		} else {
			go func() {
				w := bufio.NewWriter(client.conn)
				for i := range fakeserver.FloodLines {
					_, _ = w.WriteString(fakeserver.FloodLine(i))
				}
				_ = w.Flush()
			}()
		}
		time.Sleep(300 * time.Millisecond) // long enough for all buffers to fill
		for i := range fakeserver.FloodLines {
			if line, err := client.reader.ReadString('\n'); err != nil || line != fakeserver.FloodLine(i) {
				t.Fatalf("%s, line %d: %.20q, error %v", way, i, line, err)
			}
		}
	}
}

// A client that is mid-flow may go on speaking: what it says waits for the connection and reaches the host behind
// the first line.
func TestOpening_MidFlowEarlyLines_FollowOpening(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	client := node.dial(t)
	client.send("PING\r\nOPEN early key c=chat,t=acme,d=2000,mid=1\r\nM early\r\n")
	client.expectLine("PONG")
	client.expectLine("UP ")
	client.expectLine("M early")
	_, _ = io.WriteString(client.conn, "M 2\r\n")
	client.expectLine("M 2")
}
