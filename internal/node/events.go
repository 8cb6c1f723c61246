package node

import (
	"sync"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// event is a message to the event loop. The loop handles events one at a time, in the order they were posted.
type event interface{ event() }

// requestEvent is an event that concerns one request.
type requestEvent interface {
	event
	source() requestRef
}

// requestRef identifies a request and the connection that posts the event. Two clients may choose the same request id,
// so an event is ignored if its connection is not the request's own.
type requestRef struct {
	id   balancer.RequestID
	conn ClientConn
}

func (requestRef) event() {}

func (ref requestRef) source() requestRef { return ref }

// concerns reports whether the event's connection is that of request r. A nil connection matches any request.
func (ref requestRef) concerns(r *request) bool {
	return r != nil && (ref.conn == nil || ref.conn == r.conn)
}

// Events of connections.
type (
	requestArrived struct {
		requestRef
		opening  *wire.Opening
		deadline time.Time // when the client stops waiting
	}
	connectionResumed struct {
		requestRef
		opening *wire.Opening
		reply   chan<- resumePoint
	}
	connectionInherited struct {
		requestRef
		opening *wire.Opening
	}
	attemptConnected struct {
		requestRef
		attempt int
	}
	attemptWritten struct {
		requestRef
		attempt int
		at      time.Time
	}
	connectionEstablished struct {
		requestRef
		attempt int
		took    time.Duration
	}
	attemptEnded struct {
		requestRef
		attempt int
		took    time.Duration
		outcome balancer.Outcome
	}
	loadReported struct {
		requestRef
		load float64
	}
	clientDisconnected struct {
		requestRef
		attemptsTaken int // number of attempts that the connection has received
	}
)

// Events of discovery and health checks.
type (
	listReceived struct {
		sequence uint64
		list     *wire.EndpointList
	}
	watchFailed struct {
		sequence   uint64
		retryAfter time.Duration // delay that discovery asked for; 0 if none
	}
	discoveryAddrChanged struct{ addr string }
	pingCompleted        struct {
		host balancer.ServerID
		took time.Duration // negative if the host could not be pinged
	}
)

// Events of operators and of the process that runs the node.
type (
	drainRequested struct {
		plan  DrainPlan
		reply chan<- error
	}
	drainCancelled       struct{ reply chan<- error }
	hostOverrideReceived struct {
		host        balancer.ServerID
		drain       bool
		mustExist   bool
		reenabledAt time.Time // zero if the host was not restarted
		reply       chan<- error
	}
	viewRequested          struct{ reply chan<- View }
	migrateAllRequested    struct{ deadline time.Time }
	shutdownRequested      struct{ deadline time.Time }
	pingBaselinesRequested struct{ reply chan<- []PingBaseline }
	pingBaselinesReceived  struct{ baselines []PingBaseline }
)

// Events of the cold start.
type (
	heartbeatReceived struct{ sequence uint64 }
	peerListReceived  struct {
		list  PeerList
		reply chan<- bool
	}
	peerContacted           struct{}
	coldStartStateRequested struct{ reply chan<- coldstart.State }
)

func (listReceived) event()            {}
func (watchFailed) event()             {}
func (discoveryAddrChanged) event()    {}
func (pingCompleted) event()           {}
func (drainRequested) event()          {}
func (drainCancelled) event()          {}
func (hostOverrideReceived) event()    {}
func (viewRequested) event()           {}
func (migrateAllRequested) event()     {}
func (shutdownRequested) event()       {}
func (pingBaselinesRequested) event()  {}
func (pingBaselinesReceived) event()   {}
func (heartbeatReceived) event()       {}
func (peerListReceived) event()        {}
func (peerContacted) event()           {}
func (coldStartStateRequested) event() {}

// loadReports is a pool of load reports. Each established connection sends one every second, so they must not allocate.
var loadReports = sync.Pool{New: func() any { return new(loadReported) }}

func newLoadReport(ref requestRef, load float64) *loadReported {
	report := loadReports.Get().(*loadReported)
	report.requestRef = ref
	report.load = load
	return report
}

// release returns a handled report to the pool.
func (report *loadReported) release() {
	*report = loadReported{}
	loadReports.Put(report)
}

// post adds an event to the loop's queue. It blocks while the queue is full. After the loop has ended, it drops the
// event.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// query posts an event and waits for the reply; ok is false if the loop has ended.
func query[T any](n *Node, e event, reply <-chan T) (result T, ok bool) {
	n.post(e)
	select {
	case result = <-reply:
		return result, true
	case <-n.done:
		return result, false
	}
}

// postAndWait posts an event and waits for the loop's reply. It returns ErrLoopBusy if that takes longer than
// commandTimeout, and ErrStopped if the loop has ended.
func (n *Node) postAndWait(e event, reply <-chan error) error {
	timeout := time.NewTimer(commandTimeout)
	defer timeout.Stop()
	select {
	case n.events <- e:
	case <-timeout.C:
		return ErrLoopBusy
	case <-n.done:
		return ErrStopped
	}
	select {
	case err := <-reply:
		return err
	case <-timeout.C:
		return ErrLoopBusy
	case <-n.done:
		return ErrStopped
	}
}
