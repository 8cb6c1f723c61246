package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// In pass-through mode, a node that shuts down must keep its established connections working until it exits, and must
// serve new requests until the front has noticed.
func TestShutdown_PassMode_ServesUntilExit(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{}, host)
	established := node.openRequest(t, "")
	established.expectLine("UP ")
	node.terminate(t)
	late := node.openRequest(t, "") // accepted, because the front may not have noticed the shutdown yet
	late.expectLine("UP ")
	// The node serves established connections until its shutdown ends, because other nodes take the connections over
	// only after the process has exited.
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		established.send("M\r\n")
		established.expectLine("M")
	}
	if err := <-node.exited; err != nil {
		t.Errorf("node exited with %v, want status 0", err)
	}
	line, err := established.reader.ReadString('\n')
	if line != "" || err == nil {
		t.Errorf("received %q from a node that has exited, want an error", line)
	}
}

// A client that connects just before the front notices the shutdown may have a deadline later than the node's exit. If
// its host hangs, it must get a final answer before the node exits, and not only a closed connection.
func TestShutdown_HostHangs_WaitingClientsAnswered(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pass", "proxy"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			host := newFakeHost(t, "h1")
			host.setResponse("")
			node, _ := startNodeWithHosts(t, nodeOptions{mode: mode, latencyObjectiveMS: 9000}, host)
			var waiting []*testClient
			for _, when := range []string{"before", "after"} {
				client := node.dial(t)
				client.send("OPEN " + when + " key c=chat,t=acme,d=9000\r\n")
				waiting = append(waiting, client)
				eventually(t, "the host has received the request", func() bool { return len(host.openingLines()) == len(waiting) })
				if when == "before" {
					node.terminate(t)
					node.waitForLog(t, "shutting down gracefully")
				}
			}
			partial := node.dial(t) // its opening line arrives in two parts
			partial.send("OPEN half key c=ch")
			time.Sleep(1200 * time.Millisecond)
			partial.send("at,t=acme,d=9000\r\n")
			for _, client := range append(waiting, partial) {
				client.expectLine("BUSY ")
				client.expectClose(false)
			}
			if err := <-node.exited; err != nil {
				t.Errorf("node exited with %v, want status 0", err)
			}
		})
	}
}

// A node without connections must complete its graceful shutdown, exit with status 0, and log that it has stopped.
func TestShutdown_NothingOpen_ExitsAtOnce(t *testing.T) {
	t.Parallel()
	discovery := newFakeDiscovery(t, endpointListJSON(1, true))
	node := startNode(t, nodeOptions{}, discovery.addr)
	node.terminate(t)
	if err := <-node.exited; err != nil {
		t.Errorf("node exited with %v, want status 0", err)
	}
	if !strings.Contains(node.log.String(), "stopped") {
		t.Error("log lacks the message of a completed graceful shutdown")
	}
}

// In proxy mode, a graceful shutdown must migrate all established connections, also those that are established after
// the shutdown began.
func TestShutdown_ProxyMode_MigratesConnections(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	node, _ := startNodeWithHosts(t, nodeOptions{mode: "proxy"}, host)
	clients := node.establish(t, 10, "UP ")
	node.terminate(t)
	late := node.openRequest(t, "")
	late.expectLine("UP ")
	for _, client := range append(clients, late) {
		client.expectLine("MOVE\r\n")
		client.expectClose(false)
	}
	if err := <-node.exited; err != nil {
		t.Errorf("node exited with %v, want status 0", err)
	}
}

// A shared directory in which a call blocks holds up the steps of a graceful shutdown. The established connections must be
// migrated all the same, before the platform kills the process.
func TestShutdown_SharedFolderBlocks_ConnectionsMigrated(t *testing.T) {
	t.Parallel()
	options, discovery := inheritedSocketOptions(t, newFakeHost(t, "h1"))
	options.mode, options.deadlineMS = "proxy", 300
	node := startNode(t, options, discovery.addr)
	clients := node.establish(t, 10, "UP ")
	stateFile := strings.TrimSuffix(onlyLivenessFile(t, options), fmt.Sprintf("-%d.alive", node.cmd.Process.Pid)) + ".words"
	if err := syscall.Mkfifo(stateFile, 0o600); err != nil { // its open blocks until there is a writer
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // the process reads the file every 100 ms
	node.terminate(t)
	for _, client := range clients {
		client.expectLine("MOVE\r\n")
		client.expectClose(false)
	}
}
