package main

import (
	"strings"
	"testing"
	"time"
)

func TestShutdown_PassMode_ServesUntilExit(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING"))}, discovery.addr)
	established := node.openRequest(t, "")
	established.expectLine("UP ")
	node.terminate(t)
	late := node.openRequest(t, "") // the front has not noticed yet
	late.expectLine("UP ")
	// What is open goes on until the time is up: other nodes take it over only from a process that has ended.
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		established.send("M\r\n")
		established.expectLine("M")
	}
	if err := <-node.exited; err != nil {
		t.Errorf("the node ended with %v", err)
	}
	if line, err := established.reader.ReadString('\n'); line != "" || err == nil {
		t.Errorf("heard %q from a node that has ended", line)
	}
}

// A client that came in the last moment in which the front still sends may wait for longer than the node lasts. Where
// its host hangs it has its answer before the node ends, and not the end of its connection.
func TestShutdown_HostHangs_WaitingClientsAnswered(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pass", "proxy"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			host := newFakeHost(t, "h1")
			host.setReply("")
			discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
			node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), mode: mode, latencyObjectiveMS: 9000}, discovery.addr)
			var waiting []*testClient
			for _, when := range []string{"before", "after"} {
				client := node.dial(t)
				client.send("OPEN " + when + " key c=chat,t=acme,d=9000\r\n")
				waiting = append(waiting, client)
				eventually(t, "the host has it", func() bool { return len(host.openings()) == len(waiting) })
				if when == "before" {
					node.terminate(t)
					node.waitForLog(t, "shutting down gracefully")
				}
			}
			partial := node.dial(t) // whose line comes in pieces around the stop
			partial.send("OPEN half key c=ch")
			time.Sleep(1200 * time.Millisecond)
			partial.send("at,t=acme,d=9000\r\n")
			for _, client := range append(waiting, partial) {
				client.expectLine("BUSY ")
				client.expectClose(false)
			}
			if err := <-node.exited; err != nil {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}

// Where nothing is open there is nothing to wait for.
func TestShutdown_NothingOpen_ExitsAtOnce(t *testing.T) {
	t.Parallel()
	discovery := newFakeDiscovery(t, endpointListJSON(1, true))
	node := startNode(t, nodeOptions{}, discovery.addr)
	node.terminate(t)
	if err := <-node.exited; err != nil {
		t.Errorf("the node ended with %v", err)
	}
	if !strings.Contains(node.log.String(), "stopped") {
		t.Error("it did not stop in order")
	}
}

func TestShutdown_ProxyMode_MigratesConnections(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), mode: "proxy"}, discovery.addr)
	var clients []*testClient
	for range 10 {
		client := node.openRequest(t, "")
		client.expectLine("UP ")
		clients = append(clients, client)
	}
	node.terminate(t)
	late := node.openRequest(t, "")
	late.expectLine("UP ")
	for _, client := range append(clients, late) {
		client.expectLine("MOVE\r\n")
		client.expectClose(false)
	}
	if err := <-node.exited; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}
