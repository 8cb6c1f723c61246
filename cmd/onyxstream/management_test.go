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

// managementCall sends a command to the management listener and returns the whole answer.
func (p *nodeProcess) managementCall(t testing.TB, command string) string {
	t.Helper()
	conn, err := net.Dial("tcp", p.managementAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	_, _ = io.WriteString(conn, command+"\r\n")
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%s: %q, %v", command, answer, err)
	}
	return string(answer)
}

// mustSucceed sends a management command that must succeed.
func (p *nodeProcess) mustSucceed(t testing.TB, command string) {
	t.Helper()
	if got := p.managementCall(t, command); !strings.HasPrefix(got, "YES") {
		t.Fatalf("%s: %q", command, got)
	}
}

// mustFail sends a management command that must be refused.
func (p *nodeProcess) mustFail(t testing.TB, command string) {
	t.Helper()
	if got := p.managementCall(t, command); !strings.HasPrefix(got, "NO ") {
		t.Fatalf("%s: %q", command, got)
	}
}

// stats returns the node's statistics by name, without the prefix "svc.".
func (p *nodeProcess) stats(t testing.TB) map[string]int {
	t.Helper()
	stats := map[string]int{}
	lines := strings.Split(strings.TrimSuffix(p.managementCall(t, "show-stat"), "\r\n"), "\r\n")
	if lines[0] != "YES" || lines[len(lines)-1] != "END" {
		t.Fatalf("the statistics are %q", lines)
	}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("a statistic is %q", line)
		}
		stats[strings.TrimPrefix(name, "svc.")] = n
	}
	return stats
}

// A disabled host receives no new request from the answer on, whatever the endpoint list says, and is used again once
// it is enabled.
func TestHostOverride_Disabled_IgnoresListUntilEnabled(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, discovery := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t)}, hostA, hostB)
	node.mustSucceed(t, "ready")
	node.mustFail(t, "disable-server nobody")
	node.mustFail(t, "enable-server nobody")
	node.mustSucceed(t, "disable-server ha")
	node.mustSucceed(t, "disable-server ha")
	before := len(hostA.openings())
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
	if got := len(hostA.openings()) - before; got > 0 {
		t.Errorf("the disabled host received %d opening lines", got)
	}
	eventually(t, "the statistics show the disabled host", func() bool {
		stats := node.stats(t)
		return stats["targets"] == 2 && stats["targets_disabled"] == 1
	})
	node.mustSucceed(t, "enable-server ha")
	if stats := node.stats(t); stats["targets_disabled"] != 0 {
		t.Errorf("statistics after enabling the host: %v", stats)
	}
	node.waitUntilUsed(t, hostA, before)
}

// answerCounter opens requests and counts their answers by the first word, "nothing" where there is none.
type answerCounter struct {
	node *nodeProcess
	seen map[string]int
}

func (c *answerCounter) open(t *testing.T, count int) {
	t.Helper()
	for range count {
		line, _ := c.node.openRequest(t, "").reader.ReadString('\n')
		c.seen[strings.Fields(line + "nothing")[0]]++
	}
}

// The statistics match what clients and hosts have seen, over every way in which a set-up can end.
func TestStats_MixedOutcomes_MatchPeers(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t), socketLimit: 128}, hostA, hostB)
	answers := &answerCounter{node: node, seen: map[string]int{}}
	answers.open(t, 9)
	hostA.setReply("BUSY\r\n") // the other host serves them
	answers.open(t, 6)
	hostA.setReply("ERR\r\n")
	hostB.setReply("ERR\r\n")
	answers.open(t, 3)
	hostA.setReply("UP r\r\n")
	hostB.setReply("UP r\r\n")
	time.Sleep(2 * time.Second) // both are avoided for a while
	answers.open(t, 40)         // more than there are descriptors for
	invalid := node.dial(t)
	invalid.send("OPEN x y c=nonsense,t=acme,d=2000\r\n")
	invalid.expectLine("ERR")
	seen, stats := answers.seen, node.stats(t)
	repliesMatch := stats["replies.chat.success"] == seen["UP"] &&
		stats["replies.chat.overload"] == seen["BUSY"] &&
		stats["replies.chat.error"] == seen["ERR"]
	if !repliesMatch {
		t.Errorf("clients received %v, the statistics are %v", seen, stats)
	}
	if seen["UP"] < 20 || seen["BUSY"] == 0 {
		t.Errorf("too few kinds of answers for a comparison: %v", seen)
	}
	if openings := len(hostA.openings()) + len(hostB.openings()); stats["dispatches"] != openings {
		t.Errorf("hosts received %d opening lines, the statistics count %d", openings, stats["dispatches"])
	}
	if stats["concurrent"] != seen["UP"] {
		t.Errorf("%d connections are established, the statistics count %d", seen["UP"], stats["concurrent"])
	}
}

// Connections that send nothing or half a command do not block the listener, and a reload does not change its address.
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
		t.Error("the log does not name the field")
	}
	node.mustSucceed(t, "ready")
	node.mustSucceed(t, "disable-server ha")
	node.openRequest(t, "").expectLine("BUSY") // the only host is disabled
}
