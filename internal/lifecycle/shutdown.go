package lifecycle

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/multiprocess"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

// The platform kills a process that was signalled to stop at the end of its termination grace period: the longest
// deadline of a class, bounded by maxGracefulDeadline, and graceMargin.
const (
	maxGracefulDeadline = 3 * time.Second
	graceMargin         = 700 * time.Millisecond

	// preStopDelay is when the load balancer in front of the nodes has surely noticed the stop and sends no more
	// clients.
	preStopDelay = 600 * time.Millisecond

	drainPollInterval = 20 * time.Millisecond
)

// The steps before the kill, by how long before the deadline of the shutdown they are; that is exitMargin before the
// kill.
const (
	exitMargin            = 200 * time.Millisecond
	answerMargin          = exitMargin     // requests in flight are answered
	migrateMargin         = 4 * exitMargin // established connections are migrated
	handOffMargin         = 5 * exitMargin // connections are no longer offered to the successor
	handOffFallbackMargin = 2 * exitMargin // connections that the successor did not accept are migrated
)

// shutdownDeadline returns when a process that was signalled to stop now must have ended.
func shutdownDeadline(settings balancer.Settings) time.Time {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return time.Now().Add(min(longest, maxGracefulDeadline) + graceMargin - exitMargin)
}

// gracefulShutdown is a shutdown under way.
type gracefulShutdown struct {
	node        *node.Node
	proxy       *proxy.Proxy
	passThrough bool // connections go on through other nodes when this process ends, and need not be migrated
	startedAt   time.Time
	deadline    time.Time

	// successorReady reports whether another process of the node is there to take over.
	successorReady func() bool
}

// shutDownGracefully ends the service to clients within the termination grace period.
func (p *process) shutDownGracefully() {
	p.log.Info("shutting down gracefully",
		zap.Int64("in_flight", p.node.InFlightRequests()), zap.Int64("established", p.node.EstablishedConnections()))
	deadline := shutdownDeadline(p.cfg.Settings.Settings)
	p.node.BeginShutdown(deadline.Add(-answerMargin))
	p.coordinator.BeginShutdown() // behind the above: it writes a file, and the grace period runs
	shutdown := &gracefulShutdown{
		node:           p.node,
		proxy:          p.proxy,
		passThrough:    p.cfg.Settings.PassThrough,
		startedAt:      time.Now(),
		deadline:       deadline,
		successorReady: func() bool { return p.clients.inherited && p.coordinator.SuccessorReady() },
	}
	if shutdown.drain() {
		p.clients.Close() // the successor accepts the clients in the queue
		shutdown.handOff(p.coordinator)
	} else if p.clients.drainQueue() {
		shutdown.drain() // once more, for the clients that were in the queue
	}
	p.log.Info("stopped",
		zap.Int64("in_flight", p.node.InFlightRequests()), zap.Int64("established", p.node.EstablishedConnections()),
		zap.Uint64("rule_violations", p.node.Monitor().Total()))
}

// drain serves until preStopDelay has passed and no client is left, or the deadline has passed. Established
// connections are migrated after preStopDelay, spread over the time left, so that the other nodes don't get all at
// once; in pass-through mode they go on here until the deadline. It returns true as soon as a successor is ready.
func (s *gracefulShutdown) drain() (successorReady bool) {
	migrated := s.passThrough
	for now := time.Now(); now.Before(s.deadline); now = time.Now() {
		noticed := now.Sub(s.startedAt) >= preStopDelay
		if noticed && !s.hasClients() {
			break
		}
		if s.successorReady() {
			return true
		}
		if !migrated && noticed {
			s.node.MigrateAll(s.deadline.Add(-migrateMargin))
			migrated = true
		}
		time.Sleep(drainPollInterval)
	}
	return false
}

// hasClients reports whether connections are established, requests in flight, or opening lines not read yet.
func (s *gracefulShutdown) hasClients() bool {
	established := s.node.EstablishedConnections()
	pending := s.proxy.PendingRequests() + s.proxy.PendingOpenings()
	return established+int64(pending) > 0
}

// handOff passes the connections to the successor and waits until no client is left, or the deadline. Requests in
// flight are answered here, and passed on once established. Connections that can't be passed on are migrated.
func (s *gracefulShutdown) handOff(coordinator *multiprocess.Coordinator) {
	coordinator.HandOff(s.deadline.Add(-handOffMargin))
	if s.node.EstablishedConnections() > 0 {
		s.node.MigrateAll(s.deadline.Add(-handOffFallbackMargin))
	}
	for time.Now().Before(s.deadline) && s.hasUnfinishedClients() {
		time.Sleep(drainPollInterval)
	}
}

func (s *gracefulShutdown) hasUnfinishedClients() bool {
	unfinished := s.node.InFlightRequests() + s.node.EstablishedConnections()
	return unfinished+int64(s.proxy.PendingOpenings()) > 0
}
