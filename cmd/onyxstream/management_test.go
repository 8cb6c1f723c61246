package main

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// managementCall makes an operator's call and returns the whole answer.
func (p *nodeProcess) managementCall(t testing.TB, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", p.managementAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	_, _ = io.WriteString(c, text+"\r\n")
	all, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%s: %q, %v", text, all, err)
	}
	return string(all)
}

// mustSucceed makes a call that must be carried out.
func (p *nodeProcess) mustSucceed(t testing.TB, text string) {
	t.Helper()
	if got := p.managementCall(t, text); !strings.HasPrefix(got, "YES") {
		t.Fatalf("%s: %q", text, got)
	}
}

// mustFail makes a call that must not be.
func (p *nodeProcess) mustFail(t testing.TB, text string) {
	t.Helper()
	if got := p.managementCall(t, text); !strings.HasPrefix(got, "NO ") {
		t.Fatalf("%s: %q", text, got)
	}
}

// stats asks for the figures.
func (p *nodeProcess) stats(t testing.TB) map[string]int {
	t.Helper()
	out := map[string]int{}
	lines := strings.Split(strings.TrimSuffix(p.managementCall(t, "show-stat"), "\r\n"), "\r\n")
	if lines[0] != "YES" || lines[len(lines)-1] != "END" {
		t.Fatalf("the figures are %q", lines)
	}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("a figure is %q", line)
		}
		out[strings.TrimPrefix(name, "svc.")] = n
	}
	return out
}

// A host that is taken out gets nothing new from the yes on, whatever the list says, and is used again when called back.
func TestHostOverride_Disabled_IgnoresListUntilEnabled(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING")), managementAddr: freeAddr(t)}, discovery.addr)
	node.mustSucceed(t, "ready")
	node.mustFail(t, "disable-server nobody")
	node.mustFail(t, "enable-server nobody")
	node.mustSucceed(t, "disable-server ha")
	node.mustSucceed(t, "disable-server ha")
	before := len(hostA.openings())
	restarted := hostA.endpoint("SERVING")
	restarted.StartedAtMS = time.Now().UnixMilli() // it was restarted
	for _, event := range []string{endpointListJSON(2, false, restarted), endpointListJSON(3, true, restarted, hostB.endpoint("SERVING")),
		endpointListJSON(4, false, hostA.endpoint("DELETED")), endpointListJSON(5, false, restarted)} {
		discovery.sendEvent(event)
		for range 8 {
			client := node.openRequest(t, "")
			client.expectLine("UP from-hb")
		}
	}
	if got := len(hostA.openings()) - before; got > 0 {
		t.Errorf("the host that is out was sent %d lines", got)
	}
	eventually(t, "the figures show it", func() bool {
		stats := node.stats(t)
		return stats["targets"] == 2 && stats["targets_disabled"] == 1
	})
	node.mustSucceed(t, "enable-server ha")
	if stats := node.stats(t); stats["targets_disabled"] != 0 {
		t.Errorf("called back: %v", stats)
	}
	node.waitUntilUsed(t, hostA, before)
}

// The figures are what clients and hosts have seen, over every way in which a client's set-up can end.
func TestStats_MixedOutcomes_MatchPeers(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	known := endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING"))
	node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), socketLimit: 128}, newFakeDiscovery(t, known).addr)
	seen := map[string]int{}
	openAndCount := func(extraFields string) *testClient {
		client := node.openRequest(t, extraFields)
		line, _ := client.reader.ReadString('\n')
		seen[strings.Fields(line + "nothing")[0]]++
		return client
	}
	for range 9 {
		openAndCount("")
	}
	hostA.setReply("BUSY\r\n") // the other takes them
	for range 6 {
		openAndCount("")
	}
	hostA.setReply("ERR\r\n")
	hostB.setReply("ERR\r\n")
	for range 3 {
		openAndCount("")
	}
	hostA.setReply("UP r\r\n")
	hostB.setReply("UP r\r\n")
	time.Sleep(2 * time.Second) // both are left alone for a while
	for range 40 {              // more than there are descriptors for
		openAndCount("")
	}
	invalid := node.dial(t)
	invalid.send("OPEN x y c=nonsense,t=acme,d=2000\r\n")
	invalid.expectLine("ERR")
	stats := node.stats(t)
	if stats["replies.chat.success"] != seen["UP"] || stats["replies.chat.overload"] != seen["BUSY"] || stats["replies.chat.error"] != seen["ERR"] {
		t.Errorf("clients saw %v, the figures say %v", seen, stats)
	}
	if seen["UP"] < 20 || seen["BUSY"] == 0 {
		t.Errorf("the run is too tame: %v", seen)
	}
	if openings := len(hostA.openings()) + len(hostB.openings()); stats["dispatches"] != openings {
		t.Errorf("hosts had %d lines, the figures say %d", openings, stats["dispatches"])
	}
	if stats["concurrent"] != seen["UP"] {
		t.Errorf("%d stand, the figures say %d", seen["UP"], stats["concurrent"])
	}
}

func TestManagement_SilentConnections_StillAnswers(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	known := endpointListJSON(1, true, host.endpoint("SERVING"))
	node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t)}, newFakeDiscovery(t, known).addr)
	for i := range 64 {
		c, err := net.Dial("tcp", node.managementAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, []string{"", "sho", "disable-server h"}[i%3])
	}
	node.stats(t)
	node.reload(t, node.managementAddr, freeAddr(t))
	node.waitForLog(t, "ignored until the next start")
	if !strings.Contains(node.log.String(), `"field": "management"`) {
		t.Error("the field is not named")
	}
	node.mustSucceed(t, "ready")
	node.mustSucceed(t, "disable-server ha")
	node.openRequest(t, "").expectLine("BUSY") // all are out
}
