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
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	client := node.openRequest(t, "")
	client.expectLine("BUSY ")
	client.expectClose(false)
	if n := len(host.openings()); n != 1 {
		t.Errorf("the host was tried %d times", n)
	}
}

func TestFailover_HostsFail_EachAttemptSentOnce(t *testing.T) {
	t.Parallel()
	var hosts []*fakeHost
	var members []wire.Endpoint
	for i := range 3 {
		host := newFakeHost(t, fmt.Sprint("h", i))
		hosts = append(hosts, host)
		members = append(members, host.endpoint("SERVING"))
	}
	hosts[0].setReply("ERR\r\n")
	hosts[1].kill()
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, members...))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, members...)}, discovery.addr)
	up := 0
	for range 12 {
		// Where set-ups fail at several hosts the module may pace them, and refuse what would wait too long.
		switch line := node.openRequest(t, "").expectLine(""); {
		case line == "UP from-h2\r\n":
			up++
		case !strings.HasPrefix(line, "BUSY"):
			t.Errorf("answered %q", line)
		}
	}
	if up == 0 {
		t.Error("none was served")
	}
	seen := map[string]bool{}
	for _, line := range hosts[0].openings() {
		id := strings.Fields(line)[1]
		if seen[id] {
			t.Errorf("%s came twice to one host", id)
		}
		seen[id] = true
	}
}

func TestOpening_MidFlowOrInherited_ReachesItsHost(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	all := endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	node := startNode(t, nodeOptions{initialList: all}, discovery.addr)
	node.openRequest(t, ",mid=1").expectLine("UP ")
	if lines := append(hostA.openings(), hostB.openings()...); len(lines) != 1 || !strings.HasSuffix(lines[0], ",mid=1") {
		t.Errorf("the hosts were sent %q", lines)
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
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{}, discovery.addr) // the list as last held lacks the host: the watch brings it
	node.openRequest(t, ",at=late").expectLine("UP from-late")
}

// A client whose host never answers gets its one answer by its deadline, and nothing after it.
func TestRequest_HostHangs_RejectedOnce(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	host.setReply("")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), latencyObjectiveMS: 100}, discovery.addr)
	client := node.openRequest(t, "")
	client.expectLine("BUSY")
	client.expectClose(false)
	eventually(t, "the host's side is closed", func() bool { return host.openConnections() == 0 })
}

// Many clients at once, each with one final answer.
func TestConcurrentClients_EachGetsOneAnswer(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	all := endpointListJSON(1, true, hostA.endpoint("SERVING"), hostB.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	node := startNode(t, nodeOptions{initialList: all, socketLimit: 1024}, discovery.addr)
	answers := make(chan string, 200)
	for range 200 {
		client := node.openRequest(t, "")
		go func() {
			line, err := client.reader.ReadString('\n')
			if err != nil {
				line = err.Error()
			}
			answers <- line
		}()
	}
	for range 200 {
		if line := <-answers; !strings.HasPrefix(line, "UP ") && !strings.HasPrefix(line, "BUSY") {
			t.Errorf("answered %q", line)
		}
	}
}
