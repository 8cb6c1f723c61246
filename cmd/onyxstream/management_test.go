package main

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// managementCall makes a management call on a new connection and returns the whole reply.
func (p *nodeProcess) managementCall(t testing.TB, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", p.managementAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	_, _ = io.WriteString(conn, call+"\r\n")
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("management call %s: reply %q, error %v", call, reply, err)
	}
	return string(reply)
}

// mustSucceed makes a management call that must succeed.
func (p *nodeProcess) mustSucceed(t testing.TB, call string) {
	t.Helper()
	if got := p.managementCall(t, call); !strings.HasPrefix(got, "YES") {
		t.Fatalf("management call %s: reply %q, want YES", call, got)
	}
}

// mustFail makes a management call that must fail.
func (p *nodeProcess) mustFail(t testing.TB, call string) {
	t.Helper()
	if got := p.managementCall(t, call); !strings.HasPrefix(got, "NO ") {
		t.Fatalf("management call %s: reply %q, want NO", call, got)
	}
}

// stats returns the node's statistics by name. The names are without the prefix "svc." that they have in the reply to
// the management call.
func (p *nodeProcess) stats(t testing.TB) map[string]int {
	t.Helper()
	stats := map[string]int{}
	lines := strings.Split(strings.TrimSuffix(p.managementCall(t, "show-stat"), "\r\n"), "\r\n")
	if lines[0] != "YES" || lines[len(lines)-1] != "END" {
		t.Fatalf("invalid reply to show-stat: %q", lines)
	}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("invalid line in the reply to show-stat: %q", line)
		}
		stats[strings.TrimPrefix(name, "svc.")] = n
	}
	return stats
}

// After the node has replied to the call that disables a host, the host must receive no new request, whatever the
// endpoint list says. After the host is enabled, the node must use it again.
func TestHostOverride_Disabled_IgnoresListUntilEnabled(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, discovery := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t)}, hostA, hostB)
	node.mustSucceed(t, "ready")
	node.mustFail(t, "disable-server nobody")
	node.mustFail(t, "enable-server nobody")
	node.mustSucceed(t, "disable-server ha")
	node.mustSucceed(t, "disable-server ha")
	before := len(hostA.openingLines())
	restarted := hostA.endpoint(wire.Serving)
	restarted.StartedAtMS = time.Now().UnixMilli()
	for _, event := range []string{
		endpointListJSON(2, false, restarted),
		endpointListJSON(3, true, restarted, hostB.endpoint(wire.Serving)),
		endpointListJSON(4, false, hostA.endpoint(wire.Removed)),
		endpointListJSON(5, false, restarted),
	} {
		discovery.sendEvent(event)
		node.establish(t, 8, "UP from-hb")
	}
	if got := len(hostA.openingLines()) - before; got > 0 {
		t.Errorf("disabled host received %d opening lines, want 0", got)
	}
	eventually(t, "the statistics show the disabled host", func() bool {
		stats := node.stats(t)
		return stats["targets"] == 2 && stats["targets_disabled"] == 1
	})
	node.mustSucceed(t, "enable-server ha")
	if stats := node.stats(t); stats["targets_disabled"] != 0 {
		t.Errorf("statistics after enabling the host: %v, want no disabled host", stats)
	}
	node.waitUntilUsed(t, hostA, before)
}

// finalAnswerCounter opens requests and counts their final answers by the first word. A request without an answer
// counts under "nothing".
type finalAnswerCounter struct {
	node   *nodeProcess
	counts map[string]int
}

// open opens requests one after another and counts their final answers.
func (c *finalAnswerCounter) open(t *testing.T, count int) {
	t.Helper()
	for range count {
		line, _ := c.node.openRequest(t, "").reader.ReadString('\n')
		c.counts[strings.Fields(line + "nothing")[0]]++
	}
}

// For every outcome of a connection setup, the node's statistics must match what clients and hosts have received.
func TestStats_MixedOutcomes_MatchClientsAndHosts(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t), socketLimit: 128}, hostA, hostB)
	answers := &finalAnswerCounter{node: node, counts: map[string]int{}}
	answers.open(t, 9)
	hostA.setResponse("BUSY\r\n") // the other host serves the requests
	answers.open(t, 6)
	hostA.setResponse("ERR\r\n")
	hostB.setResponse("ERR\r\n")
	answers.open(t, 3)
	hostA.setResponse("UP r\r\n")
	hostB.setResponse("UP r\r\n")
	time.Sleep(2 * time.Second) // after their errors the balancer avoids both hosts for a while
	answers.open(t, 40)         // more requests than the node has descriptors for
	invalid := node.dial(t)
	invalid.send("OPEN x y c=nonsense,t=acme,d=2000\r\n")
	invalid.expectLine("ERR")
	counts, stats := answers.counts, node.stats(t)
	answersMatch := stats["replies.chat.success"] == counts["UP"] &&
		stats["replies.chat.overload"] == counts["BUSY"] &&
		stats["replies.chat.error"] == counts["ERR"]
	if !answersMatch {
		t.Errorf("clients received final answers %v, statistics count %v; want equal numbers", counts, stats)
	}
	if counts["UP"] < 20 || counts["BUSY"] == 0 {
		t.Errorf("test is inconclusive: too few UP or BUSY answers: %v", counts)
	}
	if openingLines := len(hostA.openingLines()) + len(hostB.openingLines()); stats["dispatches"] != openingLines {
		t.Errorf("hosts received %d opening lines, statistics count %d", openingLines, stats["dispatches"])
	}
	if stats["concurrent"] != counts["UP"] {
		t.Errorf("%d connections established, statistics count %d", counts["UP"], stats["concurrent"])
	}
}

// Connections that send nothing or an incomplete call must not block the management listener. A reload must not change
// the listener's address.
func TestManagement_SilentConnections_StillAnswers(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t)}, host)
	for i := range 64 {
		conn, err := net.Dial("tcp", node.managementAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, []string{"", "sho", "disable-server h"}[i%3])
	}
	node.stats(t)
	node.reload(t, node.managementAddr, freeAddr(t))
	node.waitForLog(t, "ignored until the next start")
	if !strings.Contains(node.log.String(), `"field": "management"`) {
		t.Error("log does not name the ignored field management")
	}
	node.mustSucceed(t, "ready")
	node.mustSucceed(t, "disable-server ha")
	node.openRequest(t, "").expectLine("BUSY") // the only host is disabled
}
