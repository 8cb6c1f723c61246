package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/settings"
)

// slowDiscovery is a fake discovery service that responds to each request after a delay. It never responds to the
// first lost requests.
type slowDiscovery struct {
	delay    time.Duration
	lost     int64
	headers  bool // the response header is sent at once, and the list after the delay
	requests atomic.Int64
	inFlight atomic.Int64
	peak     atomic.Int64 // largest number of requests in flight, closeDelay after a request
}

// closeDelay is the time until the fake discovery service has noticed that a request was given up for a newer one. It
// is shorter than the time between two requests.
const closeDelay = 500 * time.Millisecond

func (d *slowDiscovery) serve(c *net.TCPConn) {
	line, _ := bufio.NewReader(c).ReadString('\n')
	n := d.requests.Add(1)
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	time.AfterFunc(closeDelay, d.recordPeak)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
	}()
	watch := strings.Contains(line, "watch=1")
	if d.headers && watch {
		_, _ = io.WriteString(c, chunkedHeader)
	}
	if n > d.lost {
		select {
		case <-time.After(d.delay):
			d.respond(c, watch)
		case <-closed:
		}
	}
	<-closed
}

func (d *slowDiscovery) recordPeak() {
	inFlight := d.inFlight.Load()
	for peak := d.peak.Load(); inFlight > peak && !d.peak.CompareAndSwap(peak, inFlight); peak = d.peak.Load() {
	}
}

func (d *slowDiscovery) respond(c *net.TCPConn, watch bool) {
	switch {
	case !watch:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(listOfB), listOfB)
	case d.headers:
		_, _ = io.WriteString(c, chunk(listOfB))
	default:
		_, _ = io.WriteString(c, chunkedHeader+chunk(listOfB))
	}
}

// A node whose discovery is crowded gave up each list request after a fixed time, lost its place in the queue, and got
// no list for as long as the crowd lasted. It must keep the requests that it has sent, however long the queue is.
func TestListRequest_ResponseSlowerThanTimeout_Received(t *testing.T) {
	const margin = time.Second // first list request of a node, and processing
	for _, delay := range []time.Duration{listRequestTimeout + 500*time.Millisecond, 3 * listRequestTimeout} {
		for _, poll := range []bool{false, true} {
			for _, headers := range []bool{false, true} {
				for _, snapshot := range []bool{false, true} {
					name := fmt.Sprintf("%v, poll %v, headers first %v, snapshot %v", delay, poll, headers, snapshot)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						discovery := &slowDiscovery{delay: delay, headers: headers}
						n := startSlowNode(t, discovery, poll, snapshot)
						expectList(t, n, delay+margin)
						if peak := discovery.peak.Load(); peak > maxAttempts {
							t.Errorf("%d list requests in flight at once, want at most %d", peak, maxAttempts)
						}
					})
				}
			}
		}
	}
}

// List requests that are lost without a trace must not hold up those after them, even if the responses are slow.
func TestListRequest_LostBeforeSlowResponses_Received(t *testing.T) {
	const delay = listRequestTimeout + 500*time.Millisecond
	for _, lost := range []int64{1, 2, 3} {
		t.Run(fmt.Sprintf("%d lost", lost), func(t *testing.T) {
			t.Parallel()
			discovery := &slowDiscovery{delay: delay, lost: lost}
			n := startSlowNode(t, discovery, true, false)
			untilRepeated := listRequestTimeout + 2500*time.Millisecond
			expectList(t, n, time.Duration(lost)*untilRepeated+delay+time.Second)
		})
	}
}

// startSlowNode starts a node that follows a slow discovery service, by a watch or, if snapshot is set, first by a
// snapshot.
func startSlowNode(t *testing.T, discovery *slowDiscovery, poll, snapshot bool) *node.Node {
	addr := netiotest.Serve(t, discovery.serve)
	configure := func(s *settings.Settings) {
		s.PollList = poll
		s.PollInterval = 10 * time.Second
	}
	if !snapshot {
		return startNode(t, addr, configure)
	}
	n := startNode(t, netiotest.RefusedAddr(t), configure)
	n.SetDiscoveryAddr(addr)
	return n
}

func expectList(t *testing.T, n *node.Node, within time.Duration) {
	t.Helper()
	start := time.Now()
	for len(n.View().Hosts) != 1 {
		if time.Since(start) > within {
			t.Fatalf("no list received within %v", within)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newListRequest returns a list request with attempts in flight, started at the given times.
func newListRequest(t *testing.T, start time.Time, ages ...time.Duration) *listRequest {
	request := &listRequest{maxWait: minOldestWait}
	for _, age := range ages {
		added, _ := request.addAttempt(t.Context(), start.Add(age))
		if added == nil {
			t.Fatalf("no attempt added after %v", age)
		}
		added.overdue = true
	}
	return request
}

// attemptAges returns when the attempts in flight were started.
func attemptAges(request *listRequest, start time.Time) (ages []time.Duration) {
	for _, a := range request.attempts {
		ages = append(ages, a.startedAt.Sub(start))
	}
	return ages
}

// The oldest attempt keeps its place in the queue of discovery, but not forever: it may be lost. Each time that it is
// given up, the next one is kept for longer.
func TestAddAttempt_TooManyInFlight_OldestKeptUntilMaxWait(t *testing.T) {
	start := time.Now()
	request := newListRequest(t, start, 0, 4*time.Second, 8*time.Second, 12*time.Second)
	expect := func(want ...time.Duration) {
		t.Helper()
		if got := attemptAges(request, start); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("attempts in flight were started after %v, want %v", got, want)
		}
	}
	expect(0, 8*time.Second, 12*time.Second)
	added, _ := request.addAttempt(t.Context(), start.Add(minOldestWait+time.Second))
	expect(8*time.Second, 12*time.Second, 31*time.Second)
	if request.maxWait != 2*minOldestWait {
		t.Errorf("the oldest attempt is kept for %v from now on, want %v", request.maxWait, 2*minOldestWait)
	}
	added.overdue = true
	_, _ = request.addAttempt(t.Context(), start.Add(40*time.Second))
	expect(8*time.Second, 31*time.Second, 40*time.Second)
}

// A repetition of a request must not send anything while the last attempt may still get a response in time.
func TestAddAttempt_LatestNotOverdue_NotRepeated(t *testing.T) {
	request := &listRequest{}
	first, _ := request.addAttempt(t.Context(), time.Now())
	if again, _ := request.addAttempt(t.Context(), time.Now()); first == nil || again != nil {
		t.Errorf("first attempt %v, second %v; want one, and none", first, again)
	}
}

// The node is notified once of each attempt, and by the sequence number of its last list request.
func TestEndAttempt_OverdueOrNotLatest_NotReported(t *testing.T) {
	request := newListRequest(t, time.Now(), 0, 4*time.Second)
	first, second := request.attempts[0], request.attempts[1]
	request.repeat(7)
	if sequence, report := request.endAttempt(first); report || sequence != 7 {
		t.Errorf("earlier attempt: sequence %d, reported %v; want 7, false", sequence, report)
	}
	if _, report := request.endAttempt(second); report {
		t.Error("the end of an overdue attempt is reported, want its overdue response reported only")
	}
	third, _ := request.addAttempt(context.Background(), time.Now())
	if _, report := request.endAttempt(third); !report {
		t.Error("the failure of the latest attempt is not reported")
	}
}

// Only one attempt may deliver lists, and the end of its watch is reported although it was overdue.
func TestChoose_SecondAttempt_Superseded(t *testing.T) {
	request := newListRequest(t, time.Now(), 0, 4*time.Second)
	first, second := request.attempts[0], request.attempts[1]
	if _, ok := request.choose(first); !ok {
		t.Error("the first list is not delivered")
	}
	if _, ok := request.choose(second); ok {
		t.Error("the list of another attempt is delivered too")
	}
	if request.repeat(9) {
		t.Error("a request that has delivered a list is repeated, want a new one")
	}
	if _, report := request.endAttempt(first); !report {
		t.Error("the end of the watch is not reported")
	}
}
