package proxy

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio"
	"onyxstream/internal/netio/netiotest"
)

// This file tests requests that cross the end of an idle connection. Such a request is either answered, or not read and
// its connection reset. A connection that is closed with neither has lost its request.

// tcpClosed is the kernel's TCP_CLOSE: a connection whose own side was not closed has been reset.
const tcpClosed = 7

// crossingOutcome is what a client gets for a request that crosses the end of its connection.
type crossingOutcome string

const (
	crossingAnswered crossingOutcome = "answered"
	crossingReset    crossingOutcome = "reset"
	crossingLost     crossingOutcome = "closed with neither an answer nor a reset"
	answeredTwice    crossingOutcome = "answered twice"
)

// resetTimeout is how long a reset may take to arrive on the loopback interface.
const resetTimeout = time.Second

// outcomeOf reads the client's side to its end.
func outcomeOf(t *testing.T, client *net.TCPConn) crossingOutcome {
	t.Helper()
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(client)
	line, err := in.ReadString('\n')
	switch {
	case err == nil && line == establishedLine:
		return crossingAnswered
	case err == nil:
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			return answeredTwice
		}
		return crossingAnswered
	case !errors.Is(err, io.EOF):
		return crossingReset
	}
	for until := time.Now().Add(resetTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if tcpState(t, client) == tcpClosed {
			return crossingReset
		}
	}
	return crossingLost
}

// dialIdle opens a connection that sends nothing, and waits until its opening line is awaited.
func (r *testNode) dialIdle(t *testing.T) (*net.TCPConn, *conn) {
	t.Helper()
	client, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	var accepted *conn
	netiotest.Eventually(t, "the opening line is awaited", func() bool {
		r.proxy.mu.Lock()
		defer r.proxy.mu.Unlock()
		for c := range r.proxy.conns {
			if c.client.RemoteAddr().String() == client.LocalAddr().String() {
				accepted = c
			}
		}
		return accepted != nil && accepted.openingRead.Load()
	})
	return client.(*net.TCPConn), accepted
}

// awaitFIN waits until the remote side has ended the connection, for at most the timeout.
func awaitFIN(t *testing.T, client *net.TCPConn, timeout time.Duration) {
	t.Helper()
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if tcpState(t, client) == closeWait {
			return
		}
	}
}

// blockedTime is how long a connection's goroutine gets to reach the point at which it waits.
const blockedTime = 200 * time.Millisecond

// A request that arrives after the node has looked for one must not be read and dropped. The test holds the proxy's
// mutex, so that code which needs it between the look and the close is held up there.
func TestIdleConnection_RequestAfterLastLook_Reset(t *testing.T) {
	for _, end := range []struct {
		name string
		end  func(*Proxy, *conn) // called with the proxy's mutex held
	}{
		{"timeout", timeOut},
		{"shutdown", func(p *Proxy, _ *conn) { p.beginShutdown(false) }},
	} {
		t.Run(end.name, func(t *testing.T) {
			r := startNode(t, zap.NewNop(), true, startCountingHost(t, establishedLine).addr)
			client, accepted := r.dialIdle(t)
			r.proxy.mu.Lock()
			end.end(r.proxy, accepted)
			awaitFIN(t, client, blockedTime)
			_, _ = io.WriteString(client, openRequest+"\r\n")
			r.proxy.mu.Unlock()
			if got := outcomeOf(t, client); got != crossingReset {
				t.Errorf("request: %s; want a reset", got)
			}
		})
	}
}

// A request that arrives after the timeout, but before the node has looked for one, is served. The test holds the
// connection's mutex, under which the node looks and closes.
func TestIdleConnection_RequestBeforeLastLook_Served(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, startCountingHost(t, establishedLine).addr)
	client, accepted := r.dialIdle(t)
	time.Sleep(blockedTime) // until the connection's goroutine waits for bytes
	accepted.mu.Lock()
	_ = accepted.client.SetReadDeadline(netio.Expired)
	time.Sleep(blockedTime)
	_, _ = io.WriteString(client, openRequest+"\r\n")
	netiotest.Eventually(t, "the request is received", func() bool { return netiotest.UnreadBytes(t, accepted.client) > 0 })
	accepted.mu.Unlock()
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	if line, err := bufio.NewReader(client).ReadString('\n'); line != establishedLine || err != nil {
		t.Errorf("request: read %q, error %v; want an established connection", line, err)
	}
}

const (
	crossings      = 100                    // requests for each kind of end
	crossingSeed   = 62                     // seed of the times at which they are sent
	crossingSpread = 100 * time.Microsecond // requests are sent within a time span of this length
)

// timeOut lets the timeout of a connection's opening line pass.
func timeOut(_ *Proxy, c *conn) { _ = c.client.SetReadDeadline(netio.Expired) }

func shutDownProxy(p *Proxy, _ *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginShutdown(false)
}

// evictUnadmitted evicts a client, unless its request has been admitted already.
func evictUnadmitted(p *Proxy, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted != nil {
		p.evict(c)
	}
}

// A request that crosses the end of an idle connection at any moment is answered or reset, whatever ends the connection.
func TestIdleConnection_RequestCrossesEnd_AnsweredOrReset(t *testing.T) {
	for name, end := range map[string]func(*Proxy, *conn){
		"timeout":  timeOut,
		"shutdown": shutDownProxy,
		"eviction": evictUnadmitted,
	} {
		t.Run(name, func(t *testing.T) {
			early, late := crossEnds(t, openRequest, end, 0)
			if lost := early[crossingLost] + late[crossingLost]; lost > 0 {
				t.Errorf("%d requests %s", lost, crossingLost)
			}
		})
	}
}

// A request that arrives just before its client is evicted is answered: the client's goroutine must not close the
// connection between the eviction's last read and its rejection.
func TestEvict_RequestJustBefore_Answered(t *testing.T) {
	early, _ := crossEnds(t, openRequest, evictUnadmitted, -crossingSpread)
	if early[crossingLost]+early[crossingReset] > 0 {
		t.Errorf("requests sent before the eviction: %v; want all answered", early)
	}
}

// A client that violates the protocol just before it is evicted gets one final answer, not a failure and a rejection.
func TestEvict_ViolationJustBefore_AnsweredOnce(t *testing.T) {
	early, late := crossEnds(t, "nonsense", evictUnadmitted, -crossingSpread)
	if twice := early[answeredTwice] + late[answeredTwice]; twice > 0 {
		t.Errorf("%d clients answered twice", twice)
	}
}

// crossEnds lets requests cross the ends of idle connections. Each request is sent up to crossingSpread after the given
// time, which counts from the beginning of the end. early has the outcomes of the requests that were written before that,
// late those of the others.
func crossEnds(t *testing.T, request string, end func(*Proxy, *conn), from time.Duration) (early, late map[crossingOutcome]int) {
	t.Helper()
	host := respondingHost(t, establishedLine)
	random := rand.New(rand.NewPCG(crossingSeed, 0))
	early, late = map[crossingOutcome]int{}, map[crossingOutcome]int{}
	for range crossings {
		outcome, isEarly := crossEnd(t, host, request, end, from+time.Duration(random.Int64N(int64(crossingSpread))))
		if isEarly {
			early[outcome]++
		} else {
			late[outcome]++
		}
	}
	t.Logf("requests written before the end: %v, others: %v", early, late)
	return early, late
}

// crossEnd ends the idle connection of a new node, and sends a request on it so much after the end has begun. isEarly
// tells whether the request was written before that.
func crossEnd(t *testing.T, host, request string, end func(*Proxy, *conn), after time.Duration) (
	_ crossingOutcome, isEarly bool,
) {
	t.Helper()
	r := startNode(t, zap.NewNop(), true, host)
	defer r.stop()
	client, accepted := r.dialIdle(t)
	defer client.Close()
	endAt := time.Now().Add(2 * crossingSpread)
	began := make(chan time.Time, 1)
	go func() {
		waitUntil(endAt)
		at := time.Now()
		end(r.proxy, accepted)
		began <- at
	}()
	waitUntil(endAt.Add(after))
	_, _ = io.WriteString(client, request+"\r\n")
	written := time.Now()
	isEarly = written.Before(<-began)
	return outcomeOf(t, client), isEarly
}

// waitUntil waits without giving up the processor, because a sleep is not exact enough.
func waitUntil(at time.Time) {
	for time.Now().Before(at) {
	}
}
