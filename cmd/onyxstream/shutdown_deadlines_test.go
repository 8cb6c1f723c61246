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
	_, _ = fmt.Fprintf(conn, "OPEN id%d %d c=chat,t=acme,d=%d\r\n", nextID(), setup.Milliseconds(), s.deadline.Milliseconds())
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
