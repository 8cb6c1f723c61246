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

// offerPending reports whether connections are on offer in a folder.
func offerPending(t testing.TB, dir string) bool {
	t.Helper()
	names, err := filepath.Glob(dir + "/*.offer")
	if err != nil {
		t.Fatal(err)
	}
	return len(names) > 0
}

// stopDuringOffer brings n connections up, starts a second process and tells the first to stop. Both stand still: the first one's
// first offer is valid, and not taken. One that was taken back before its process could be stopped is tried anew.
func stopDuringOffer(t testing.TB, host *fakeHost, mode string, n int) (dir string, node, successor *nodeProcess, clients []*testClient) {
	t.Helper()
	for range 5 {
		options, discovery := inheritedSocketOptions(t, host)
		options.mode = mode
		node, clients = startNode(t, options, discovery.addr), nil
		for range n {
			clients = append(clients, node.openRequest(t, ""))
			clients[len(clients)-1].expectLine("UP")
		}
		successor = startSuccessor(t, options, discovery.addr)
		successor.sendSignal(t, syscall.SIGSTOP)
		node.terminate(t)
		eventually(t, "connections are on offer", func() bool { return offerPending(t, options.sharedDir()) })
		if node.sendSignal(t, syscall.SIGSTOP); offerPending(t, options.sharedDir()) {
			return options.sharedDir(), node, successor, clients
		}
		node.sendSignal(t, syscall.SIGCONT)
		successor.sendSignal(t, syscall.SIGCONT)
	}
	t.Fatal("no process could be stopped within the time of its offer")
	return "", nil, nil, nil
}

// A process is told to stop as it has taken over a part of what another one has, which ends too: neither is there for the
// other any more. They handed the same connections back and forth, until one ended with what it had just taken.
func TestHandoff_BothProcessesStop_NothingHandedBack(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	dir, node, successor, clients := stopDuringOffer(t, host, "proxy", 20) // more than one offer
	successor.sendSignal(t, syscall.SIGCONT)
	eventually(t, "the offer is taken", func() bool { return !offerPending(t, dir) })
	successor.terminate(t)
	var moved atomic.Int32
	var readers sync.WaitGroup
	for _, client := range clients {
		readers.Go(func() {
			line, err := client.reader.ReadString('\n')
			rest, end := io.ReadAll(client.reader)
			if moved.Add(1); line != "MOVE\r\n" || err != nil || len(rest) > 0 || end != nil {
				t.Errorf("heard %q, %v, then %q, %v; want MOVE and the end", line, err, rest, end)
			}
		})
	}
	eventually(t, "the second offers what it has, or moves it", func() bool { return offerPending(t, dir) || moved.Load() > 0 })
	node.sendSignal(t, syscall.SIGCONT)
	readers.Wait()
	node.waitForCleanExit(t)
	successor.waitForCleanExit(t)
	eventually(t, "the host is left", func() bool { return host.openConnections() == 0 })
	if n := node.connectionsHandedOff(t) + successor.connectionsHandedOff(t); n > len(clients) {
		t.Errorf("%d connections were handed over %d times", len(clients), n)
	}
}

// connectionsHandedOff counts the connections that a process has handed off, by its log.
func (p *nodeProcess) connectionsHandedOff(t testing.TB) (sum int) {
	t.Helper()
	for _, m := range regexp.MustCompile(`"handed_off": (\d+)`).FindAllStringSubmatch(p.log.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// The process that offers connections stands still while they are taken, for longer than an offer is valid. Once it goes
// on they are the other one's, and it touches none of them.
func TestHandoff_OfferingProcessStopped_OfferAccepted(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	_, node, successor, clients := stopDuringOffer(t, host, "pass", 5)
	successor.sendSignal(t, syscall.SIGCONT)
	for _, client := range clients { // only the next process can pass it on
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
