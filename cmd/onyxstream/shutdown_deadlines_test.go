package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/netio/netiotest"
)

// The tests in this file let clients connect throughout the graceful shutdown of a node at which connections end. Each
// connection that is established must be handed off, be migrated, or be ended by its own side, for every deadline that
// the settings allow and however long its setup takes.

const (
	// frontNotice is how long after the stop signal the front may still send clients.
	frontNotice = 400 * time.Millisecond
	// arrivalInterval is the time between two groups of clients that connect during a shutdown.
	arrivalInterval = 20 * time.Millisecond
)

// setupFractions are the setup times of the clients of a group, as fractions of the deadline.
var setupFractions = []float64{0, 0.25, 0.5, 0.75, 0.97}

// newTimedHost starts a host that takes as many milliseconds to establish a connection as the request's key says. It
// echoes each line of an established connection. It returns the host's address.
func newTimedHost(t *testing.T) (addr string) {
	t.Helper()
	return netiotest.Serve(t, func(conn *net.TCPConn) {
		in := bufio.NewReader(conn)
		line, err := in.ReadString('\n')
		fields := strings.Fields(line)
		if err != nil || len(fields) < 3 {
			return
		}
		setupMS, err := strconv.Atoi(fields[2])
		if err != nil {
			return
		}
		time.Sleep(time.Duration(setupMS) * time.Millisecond)
		_, _ = io.WriteString(conn, "UP r\r\n")
		_, _ = io.Copy(conn, in)
	})
}

// clientEnd is how the connection of a client has ended.
type clientEnd int

const (
	notAccepted clientEnd = iota // the connection attempt failed, so that no process has received the request
	answered                     // rejected or failed with a final answer
	migrated                     // established, then MOVE and FIN
	open                         // established, and still connected to its host
	unanswered                   // no final answer
	cutOff                       // established, then ended without MOVE
)

// shutdownClients are the clients of one test. Each has one connection.
type shutdownClients struct {
	addr     string
	deadline time.Duration
	done     chan struct{} // closed when connections that are still open are checked
	running  sync.WaitGroup

	established atomic.Int64 // clients whose connection has been established

	mu     sync.Mutex
	ends   map[clientEnd]int
	faults []string
}

func newShutdownClients(addr string, deadline time.Duration) *shutdownClients {
	return &shutdownClients{addr: addr, deadline: deadline, done: make(chan struct{}), ends: map[clientEnd]int{}}
}

// open connects one client and follows its connection to its end.
func (s *shutdownClients) open(setup time.Duration) {
	s.running.Go(func() {
		end, detail := s.follow(setup)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ends[end]++
		if end == unanswered || end == cutOff {
			s.faults = append(s.faults, fmt.Sprintf("setup %v: %s", setup, detail))
		}
	})
}

// follow opens a connection whose setup takes the given time, and returns how it ended.
func (s *shutdownClients) follow(setup time.Duration) (end clientEnd, detail string) {
	conn, err := net.DialTimeout("tcp", s.addr, waitLimit)
	if err != nil {
		return notAccepted, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	deadlineMS := s.deadline.Milliseconds()
	_, _ = fmt.Fprintf(conn, "OPEN id%d %d c=chat,t=acme,d=%d\r\n", nextID(), setup.Milliseconds(), deadlineMS)
	in := bufio.NewReader(conn)
	answer, err := in.ReadString('\n')
	switch {
	case err != nil:
		return unanswered, fmt.Sprintf("no final answer: received %q, error %v", answer, err)
	case !strings.HasPrefix(answer, "UP "):
		return answered, ""
	}
	s.established.Add(1)
	return s.followEstablished(conn, in)
}

// followEstablished waits until the connection ends, or until done is closed. An open connection must then echo a line.
func (s *shutdownClients) followEstablished(conn net.Conn, in *bufio.Reader) (end clientEnd, detail string) {
	ended := make(chan string, 1)
	go func() {
		text, err := io.ReadAll(in)
		ended <- fmt.Sprintf("received %q, error %v", text, err)
	}()
	select {
	case detail = <-ended:
	case <-s.done:
		_, _ = io.WriteString(conn, "M\r\n")
		_ = conn.(*net.TCPConn).CloseWrite()
		detail = <-ended
	}
	switch detail {
	case `received "MOVE\r\n", error <nil>`:
		return migrated, ""
	case `received "M\r\n", error <nil>`:
		return open, ""
	}
	return cutOff, "established, then " + detail
}

// arriveUntil opens groups of clients until the front has noticed that the node has been told to stop.
func (s *shutdownClients) arriveUntil(frontNoticed time.Time) {
	for time.Now().Before(frontNoticed) {
		for _, fraction := range setupFractions {
			s.open(time.Duration(fraction * float64(s.deadline)))
		}
		time.Sleep(arrivalInterval)
	}
}

// establish opens clients before the shutdown, one after another, until count of them are connected to their hosts.
func (s *shutdownClients) establish(t *testing.T, count int) {
	t.Helper()
	for opened := 1; s.established.Load() < int64(count); opened++ {
		s.open(0)
		eventually(t, "the client is answered", func() bool { return s.settled() == opened })
	}
}

// settled returns the number of clients whose connection has been established or has ended.
func (s *shutdownClients) settled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.established.Load()) + s.ends[answered] + s.ends[unanswered] + s.ends[notAccepted]
}

// finish ends the open connections, and waits until all clients have ended.
func (s *shutdownClients) finish(t *testing.T) {
	t.Helper()
	close(s.done)
	s.running.Wait()
	t.Logf("%d not accepted, %d answered, %d migrated, %d open, %d without answer, %d cut off",
		s.ends[notAccepted], s.ends[answered], s.ends[migrated], s.ends[open], s.ends[unanswered], s.ends[cutOff])
}

// expectNoFaults fails the test for each client that got no final answer or was cut off.
func (s *shutdownClients) expectNoFaults(t *testing.T) {
	t.Helper()
	for _, fault := range s.faults {
		t.Error(fault)
	}
}

// shutdownDeadlines are the longest deadlines of the settings in the tests: far below and above the times in a shutdown
// that do not depend on the deadline.
var shutdownDeadlines = []time.Duration{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 3 * time.Second, 4800 * time.Millisecond,
}

// timedHostOptions returns the options of a node in proxy mode with timed hosts.
func timedHostOptions(t *testing.T, deadline time.Duration) nodeOptions {
	t.Helper()
	return nodeOptions{
		mode:               "proxy",
		latencyObjectiveMS: int(deadline.Milliseconds()),
		deadlineMS:         int(deadline.Milliseconds()),
		socketLimit:        4096,
		managementAddr:     freeAddr(t),
		initialList:        endpointListJSON(1, true, endpointsAt(3, newTimedHost(t))...),
	}
}

// A planned restart with a deadline of 300 ms reset the clients of some nodes without MOVE, and each restart with a
// deadline below 100 ms did.
func TestShutdown_EveryDeadlineAndSetupTime_NoConnectionCutOff(t *testing.T) {
	t.Parallel()
	for _, deadline := range shutdownDeadlines {
		for _, established := range []int{0, 300} {
			t.Run(fmt.Sprintf("%v/%d", deadline, established), func(t *testing.T) {
				t.Parallel()
				options := timedHostOptions(t, deadline)
				node := startNode(t, options, newFakeDiscovery(t, options.initialList).addr)
				clients := newShutdownClients(node.addr, deadline)
				clients.establish(t, established)
				node.terminate(t)
				clients.arriveUntil(time.Now().Add(frontNotice))
				node.waitForCleanExit(t)
				clients.finish(t)
				clients.expectNoFaults(t)
			})
		}
	}
}

// successorScript is what a successor does during the shutdown of its predecessor.
type successorScript struct {
	start   func(t *testing.T, options nodeOptions, discoveryAddr string) *nodeProcess
	midway  func(t *testing.T, successor *nodeProcess) // called when half of the clients have arrived; may be nil
	atEnd   func(t *testing.T, successor *nodeProcess) // called when the predecessor has exited; may be nil
	crashes bool                                       // the successor's own connections are reset
}

var successorScripts = map[string]successorScript{
	"accepts all": {start: startTestSuccessor},
	"accepts some": {
		start: func(t *testing.T, options nodeOptions, discoveryAddr string) *nodeProcess {
			options.descriptorLimit = 128 // fewer than the connections need
			return startSuccessor(t, options, discoveryAddr)
		},
	},
	"accepts none": {
		start: func(t *testing.T, options nodeOptions, discoveryAddr string) *nodeProcess {
			blockOffers(t, onlyLivenessFile(t, options))
			return startSuccessor(t, options, discoveryAddr)
		},
	},
	"is terminated half way": {
		start:  startTestSuccessor,
		midway: func(t *testing.T, successor *nodeProcess) { successor.terminate(t) },
		atEnd:  func(t *testing.T, successor *nodeProcess) { successor.waitForCleanExit(t) },
	},
	"hangs half way": {
		start:  startTestSuccessor,
		midway: func(t *testing.T, successor *nodeProcess) { successor.sendSignal(t, syscall.SIGSTOP) },
		atEnd:  func(t *testing.T, successor *nodeProcess) { successor.sendSignal(t, syscall.SIGCONT) },
	},
	"is killed half way": {
		start:   startTestSuccessor,
		midway:  func(t *testing.T, successor *nodeProcess) { successor.sendSignal(t, syscall.SIGKILL) },
		crashes: true,
	},
}

func startTestSuccessor(t *testing.T, options nodeOptions, discoveryAddr string) *nodeProcess {
	t.Helper()
	return startSuccessor(t, options, discoveryAddr)
}

// An upgrade reset the connections that were established after the hand-off had ended.
func TestHotRestart_EveryDeadlineAndSetupTime_NoConnectionCutOff(t *testing.T) {
	t.Parallel()
	for name, script := range successorScripts {
		for _, deadline := range shutdownDeadlines {
			t.Run(fmt.Sprintf("%s/%v", name, deadline), func(t *testing.T) {
				t.Parallel()
				upgradeUnderLoad(t, script, "proxy", deadline)
			})
		}
	}
}

// In pass-through mode, too, a connection that the successor has not accepted must be migrated: there is no other node
// that takes it over, because the successor serves under the same address.
func TestHotRestart_PassMode_NoConnectionCutOff(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"accepts all", "accepts some", "accepts none"} {
		for _, deadline := range []time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", name, deadline), func(t *testing.T) {
				t.Parallel()
				upgradeUnderLoad(t, successorScripts[name], "pass", deadline)
			})
		}
	}
}

// upgradeUnderLoad stops a node's process beside its successor while clients connect.
func upgradeUnderLoad(t *testing.T, script successorScript, mode string, deadline time.Duration) {
	t.Helper()
	options := timedHostOptions(t, deadline)
	options.mode = mode
	options.env = []string{"TMPDIR=" + t.TempDir()}
	options.addr, options.listener = listeningSocket(t)
	discovery := newFakeDiscovery(t, options.initialList)
	node := startNode(t, options, discovery.addr)
	clients := newShutdownClients(node.addr, deadline)
	clients.establish(t, 40) // more connections than fit in one offer
	successor := script.start(t, options, discovery.addr)
	clients.arriveUntil(time.Now().Add(frontNotice / 2))
	node.terminate(t)
	clients.arriveUntil(time.Now().Add(frontNotice / 2))
	if script.midway != nil {
		script.midway(t, successor)
	}
	clients.arriveUntil(time.Now().Add(frontNotice / 2))
	node.waitForCleanExit(t)
	if script.atEnd != nil {
		script.atEnd(t, successor)
	}
	if strings.Contains(node.log.String(), "reset without migration") {
		t.Error("the predecessor has reset established connections")
	}
	clients.finish(t)
	if !script.crashes {
		clients.expectNoFaults(t)
	}
}
