package main

import (
	"fmt"
	"strings"
	"testing"

	"onyxstream/internal/wire"
)

func TestRequest_OnlyHostBusy_RejectedWithoutRetry(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("BUSY\r\n")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, "")
	client.expectLine("BUSY ")
	client.expectClose(false)
	if n := len(host.openings()); n != 1 {
		t.Errorf("%d attempts went to the host", n)
	}
}

func TestFailover_HostsFail_EachAttemptSentOnce(t *testing.T) {
	t.Parallel()
	var hosts []*fakeHost
	for i := range 3 {
		hosts = append(hosts, newFakeHost(t, fmt.Sprint("h", i)))
	}
	hosts[0].setReply("ERR\r\n")
	hosts[1].kill()
	node, _ := startNodeWithHosts(t, nodeOptions{}, hosts...)
	served := 0
	for range 12 {
		// Where set-ups fail at several hosts the balancer may pace them, and reject what would wait too long.
		line := node.openRequest(t, "").expectLine("")
		switch {
		case line == "UP from-h2\r\n":
			served++
		case !strings.HasPrefix(line, "BUSY"):
			t.Errorf("answered %q", line)
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
	expectDistinctRequests(t, hosts[0])
}

// expectDistinctRequests wants each opening line of a host to have an id of its own.
func expectDistinctRequests(t *testing.T, host *fakeHost) {
	t.Helper()
	seen := map[string]bool{}
	for _, line := range host.openings() {
		id := strings.Fields(line)[1]
		if seen[id] {
			t.Errorf("request %s was sent twice to one host", id)
		}
		seen[id] = true
	}
}

func TestOpening_MidFlowOrInherited_ReachesItsHost(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, _ := startNodeWithHosts(t, nodeOptions{}, hostA, hostB)
	node.openRequest(t, ",mid=1").expectLine("UP ")
	lines := append(hostA.openings(), hostB.openings()...)
	if len(lines) != 1 || !strings.HasSuffix(lines[0], ",mid=1") {
		t.Errorf("the hosts received %q", lines)
	}
	for _, host := range []*fakeHost{hostA, hostB, hostA, hostB} {
		client := node.openRequest(t, ",at="+host.id)
		client.expectLine("UP from-" + host.id)
		client.send("M 1\r\n")
		client.expectLine("M 1")
	}
}

func TestInheritedConnection_HostUnknown_WaitsForList(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "late")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint(wire.Serving)))
	node := startNode(t, nodeOptions{}, discovery.addr) // its initial list lacks the host: the watch adds it
	node.openRequest(t, ",at=late").expectLine("UP from-late")
}

// A client whose host never answers gets one answer by its deadline, and nothing after it.
func TestRequest_HostHangs_RejectedOnce(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	node, _ := startNodeWithHosts(t, nodeOptions{latencyObjectiveMS: 100}, host)
	client := node.openRequest(t, "")
	client.expectLine("BUSY")
	client.expectClose(false)
	eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
}

func TestRequest_ManyClients_EachGetsOneAnswer(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, _ := startNodeWithHosts(t, nodeOptions{socketLimit: 1024}, hostA, hostB)
	const clientCount = 200
	answers := make(chan string, clientCount)
	for range clientCount {
		client := node.openRequest(t, "")
		go func() {
			line, err := client.reader.ReadString('\n')
			if err != nil {
				line = err.Error()
			}
			answers <- line
		}()
	}
	for range clientCount {
		line := <-answers
		if !strings.HasPrefix(line, "UP ") && !strings.HasPrefix(line, "BUSY") {
			t.Errorf("answered %q", line)
		}
	}
}
