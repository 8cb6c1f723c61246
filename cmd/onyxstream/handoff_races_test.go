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

// The tests in this file stop one of a node's two processes with a signal, or begin its shutdown, during a hand-off of
// connections between them. They force the order of events by stopping the process that must act second.

// offerPending reports whether dir holds an offer of connections that has been neither accepted nor withdrawn.
func offerPending(t testing.TB, dir string) bool {
	t.Helper()
	names, err := filepath.Glob(dir + "/*.offer")
	if err != nil {
		t.Fatal(err)
	}
	return len(names) > 0
}

// pendingHandoff is a node whose predecessor process has offered connections that the successor has not accepted. Both
// processes are stopped by SIGSTOP.
type pendingHandoff struct {
	dir       string // holds the offer
	node      *nodeProcess
	successor *nodeProcess
	clients   []*testClient
}

// stopDuringOffer establishes connections, starts a successor, begins the predecessor's shutdown, and stops both
// processes while an offer is pending. If the predecessor withdraws its offer before it can be stopped, stopDuringOffer
// tries again with new processes.
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
	t.Fatal("could not stop a process while its offer was pending")
	return pendingHandoff{}
}

// A successor begins its shutdown after it has accepted only some connections of a predecessor that is shutting down.
// From this moment on, neither process may hand off connections to the other. Each connection is handed off at most
// once, and then migrated.
func TestHandoff_BothProcessesStop_EachHandedOffOnce(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	handoff := stopDuringOffer(t, host, "proxy", 20) // more connections than fit in one offer
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
				t.Errorf("received %q, error %v, then %q, error %v; want MOVE, then EOF", line, err, rest, end)
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
		t.Errorf("%d connections handed off %d times in total, want at most once each", len(clients), n)
	}
}

// handedOffField matches the number of connections that a log line reports as handed off.
var handedOffField = regexp.MustCompile(`"handed_off": (\d+)`)

// connectionsHandedOff returns the number of connections that the process has handed off according to its log.
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

// The predecessor is stopped while the successor accepts its offer, for longer than an offer is valid. When the
// predecessor continues, it must not touch the connections, which then belong to the successor.
func TestHandoff_OfferingProcessStopped_OfferAccepted(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	handoff := stopDuringOffer(t, host, "pass", 5)
	node, successor, clients := handoff.node, handoff.successor, handoff.clients
	successor.sendSignal(t, syscall.SIGCONT)
	for _, client := range clients { // the successor must relay the line, because the predecessor is stopped
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
