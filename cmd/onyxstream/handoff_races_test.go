package main

import (
	"io"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// These tests stop one of two processes of a node with a signal, or begin its shutdown, while connections pass from the
// one to the other. The order of events is forced by stopping the process that must act second.

// offerPending reports whether a directory holds an offer of connections.
func offerPending(t testing.TB, dir string) bool {
	t.Helper()
	names, err := filepath.Glob(dir + "/*.offer")
	if err != nil {
		t.Fatal(err)
	}
	return len(names) > 0
}

// pendingHandoff is a node whose first process has offered connections that its successor has not accepted. Both
// processes are stopped by SIGSTOP.
type pendingHandoff struct {
	dir       string // where the offer is
	node      *nodeProcess
	successor *nodeProcess
	clients   []*testClient
}

// stopDuringOffer establishes connections, starts a successor, begins the first process's shutdown and stops both. An
// offer that was withdrawn before its process could be stopped leads to another attempt with new processes.
func stopDuringOffer(t testing.TB, host *fakeHost, mode string, connections int) pendingHandoff {
	t.Helper()
	const maxAttempts = 5
	for range maxAttempts {
		options, discovery := inheritedSocketOptions(t, host)
		options.mode = mode
		node := startNode(t, options, discovery.addr)
		clients := node.establish(t, connections, "UP")
		successor := startSuccessor(t, options, discovery.addr)
		successor.sendSignal(t, syscall.SIGSTOP)
		node.terminate(t)
		eventually(t, "connections are offered", func() bool { return offerPending(t, options.sharedDir()) })
		node.sendSignal(t, syscall.SIGSTOP)
		if offerPending(t, options.sharedDir()) {
			return pendingHandoff{options.sharedDir(), node, successor, clients}
		}
		node.sendSignal(t, syscall.SIGCONT)
		successor.sendSignal(t, syscall.SIGCONT)
	}
	t.Fatal("no process could be stopped within the time of its offer")
	return pendingHandoff{}
}

// A successor begins its shutdown when it has accepted only a part of the connections of a process that shuts down too.
// Neither may hand connections to the other any more: each connection is handed off at most once and then migrated.
func TestHandoff_BothProcessesStop_EachHandedOffOnce(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	handoff := stopDuringOffer(t, host, "proxy", 20) // more than one offer
	node, successor, clients := handoff.node, handoff.successor, handoff.clients
	successor.sendSignal(t, syscall.SIGCONT)
	eventually(t, "the offer is accepted", func() bool { return !offerPending(t, handoff.dir) })
	successor.terminate(t)
	var migrated atomic.Int32
	var readers sync.WaitGroup
	for _, client := range clients {
		readers.Go(func() {
			line, err := client.reader.ReadString('\n')
			rest, end := io.ReadAll(client.reader)
			migrated.Add(1)
			if line != "MOVE\r\n" || err != nil || len(rest) > 0 || end != nil {
				t.Errorf("received %q, %v, then %q, %v; want MOVE and the end", line, err, rest, end)
			}
		})
	}
	eventually(t, "the successor offers or migrates its connections", func() bool {
		return offerPending(t, handoff.dir) || migrated.Load() > 0
	})
	node.sendSignal(t, syscall.SIGCONT)
	readers.Wait()
	node.waitForCleanExit(t)
	successor.waitForCleanExit(t)
	eventually(t, "the host's connections are closed", func() bool { return host.openConnections() == 0 })
	if n := node.connectionsHandedOff(t) + successor.connectionsHandedOff(t); n > len(clients) {
		t.Errorf("%d connections were handed off %d times", len(clients), n)
	}
}

var handedOffField = regexp.MustCompile(`"handed_off": (\d+)`)

// connectionsHandedOff returns the number of connections that a process has handed off, by its log.
func (p *nodeProcess) connectionsHandedOff(t testing.TB) (sum int) {
	t.Helper()
	for _, match := range handedOffField.FindAllStringSubmatch(p.log.String(), -1) {
		count, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		sum += count
	}
	return sum
}

// The process that offers connections is stopped while they are accepted, for longer than an offer is valid. When it
// continues, the connections belong to the successor and it leaves them alone.
func TestHandoff_OfferingProcessStopped_OfferAccepted(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	handoff := stopDuringOffer(t, host, "pass", 5)
	node, successor, clients := handoff.node, handoff.successor, handoff.clients
	successor.sendSignal(t, syscall.SIGCONT)
	for _, client := range clients { // only the successor can relay it
		client.send("M 1\r\n")
		client.expectLine("M 1")
	}
	node.sendSignal(t, syscall.SIGCONT)
	node.waitForCleanExit(t)
	for _, client := range clients {
		client.send("M 2\r\n")
		client.expectLine("M 2")
		client.send("DO bye\r\n")
		client.expectLine("BYE")
		client.expectClose(false)
	}
}
