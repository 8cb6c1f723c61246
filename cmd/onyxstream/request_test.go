package main

import (
	"fmt"
	"strings"
	"testing"

	"onyxstream/internal/wire"
)

// If the only host rejects a request, the node must reject the client and must not send the request to this host again.
func TestRequest_OnlyHostBusy_RejectedWithoutRetry(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setResponse("BUSY\r\n")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	client := node.openRequest(t, "")
	client.expectLine("BUSY ")
	client.expectClose(false)
	if n := len(host.openingLines()); n != 1 {
		t.Errorf("host received %d attempts, want 1", n)
	}
}

// If a host fails a request or refuses connections, the node must try another host. It must not send a request to the
// same host twice.
func TestFailover_HostsFail_EachAttemptSentOnce(t *testing.T) {
	t.Parallel()
	var hosts []*fakeHost
	for i := range 3 {
		hosts = append(hosts, newFakeHost(t, fmt.Sprint("h", i)))
	}
	hosts[0].setResponse("ERR\r\n")
	hosts[1].kill()
	node, _ := startNodeWithHosts(t, nodeOptions{}, hosts...)
	served := 0
	for range 12 {
		// If connection setups fail at several hosts, the balancer may pace further setups. It then rejects requests
		// that would wait too long.
		line := node.openRequest(t, "").expectLine("")
		switch {
		case line == "UP from-h2\r\n":
			served++
		case !strings.HasPrefix(line, "BUSY"):
			t.Errorf("final answer %q, want UP or BUSY", line)
		}
	}
	if served == 0 {
		t.Error("no request was served by h2")
	}
	expectDistinctRequests(t, hosts[0])
}

// expectDistinctRequests checks that all opening lines that a host received have distinct request ids.
func expectDistinctRequests(t *testing.T, host *fakeHost) {
	t.Helper()
	seen := map[string]bool{}
	for _, line := range host.openingLines() {
		id := strings.Fields(line)[1]
		if seen[id] {
			t.Errorf("request %s was sent to the same host twice", id)
		}
		seen[id] = true
	}
}

// A mid-flow request must reach a host with the field mid. A request whose field at names the host that had the
// connection before the node started must reach that host, whichever host the balancer would pick for a new request.
func TestOpening_MidFlowOrInherited_ReachesItsHost(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	node, _ := startNodeWithHosts(t, nodeOptions{}, hostA, hostB)
	node.openRequest(t, ",mid=1").expectLine("UP ")
	lines := append(hostA.openingLines(), hostB.openingLines()...)
	if len(lines) != 1 || !strings.HasSuffix(lines[0], ",mid=1") {
		t.Errorf("hosts received opening lines %q, want one with mid=1", lines)
	}
	for _, host := range []*fakeHost{hostA, hostB, hostA, hostB} {
		client := node.openRequest(t, ",at="+host.id)
		client.expectLine("UP from-" + host.id)
		client.send("M 1\r\n")
		client.expectLine("M 1")
	}
}

// If the field at of a request names a host that is not yet in the node's endpoint list, the request must wait for the
// list. A node that has just started would otherwise cut off connections that it takes over.
func TestInheritedConnection_HostUnknown_WaitsForList(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "late")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint(wire.Serving)))
	node := startNode(t, nodeOptions{}, discovery.addr) // the host is not in the initial list; the watch adds it
	node.openRequest(t, ",at=late").expectLine("UP from-late")
}

// If the host never responds, the client must get one final answer by its deadline, and nothing after it.
func TestRequest_HostHangs_RejectedOnce(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setResponse("")
	node, _ := startNodeWithHosts(t, nodeOptions{latencyObjectiveMS: 100}, host)
	client := node.openRequest(t, "")
	client.expectLine("BUSY")
	client.expectClose(false)
	eventually(t, "the host's connection is closed", func() bool { return host.openConnections() == 0 })
}

// Each of 200 concurrent clients must be served or rejected. None may be failed or left without a final answer.
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
			t.Errorf("final answer %q, want UP or BUSY", line)
		}
	}
}
