package lifecycle

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/multiprocess"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

// After a stop signal, the platform kills the process at the end of its termination grace period: the longest deadline
// of all classes, at most maxGracefulDeadline, plus graceMargin.
const (
	maxGracefulDeadline = 3 * time.Second
	graceMargin         = 700 * time.Millisecond

	// preStopDelay is how long after the signal the load balancer in front of the nodes may still send clients, because
	// it has not noticed the stop yet.
	preStopDelay = 600 * time.Millisecond

	drainPollInterval = 20 * time.Millisecond
)

// The steps of the shutdown. Each margin is the time before the shutdown deadline at which the step must be complete.
// The shutdown deadline is exitMargin before the kill.
const (
	exitMargin            = 200 * time.Millisecond
	answerMargin          = exitMargin     // requests in flight get their final answer
	migrateMargin         = 4 * exitMargin // established connections are migrated
	handOffMargin         = 5 * exitMargin // connections are no longer offered to the successor
	handOffFallbackMargin = 2 * exitMargin // connections not accepted by the successor are migrated
)

// shutdownDeadline returns the time by which a process that gets the stop signal now must have stopped serving clients.
func shutdownDeadline(settings balancer.Settings) time.Time {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return time.Now().Add(min(longest, maxGracefulDeadline) + graceMargin - exitMargin)
}

// gracefulShutdown is a shutdown in progress.
type gracefulShutdown struct {
	node        *node.Node
	proxy       *proxy.Proxy
	passThrough bool // connections continue through other nodes when this process ends, so they need no migration
	startedAt   time.Time
	deadline    time.Time

	// successorReady reports whether another process of the node can take over the connections.
	successorReady func() bool
}

// shutDownGracefully stops serving clients before the termination grace period is over: it drains the node, and hands
// off the connections if a successor is ready.
func (p *process) shutDownGracefully() {
	p.log.Info("shutting down gracefully",
		zap.Int64("in_flight", p.node.InFlightRequests()), zap.Int64("established", p.node.EstablishedConnections()))
	deadline := shutdownDeadline(p.cfg.Settings.Settings)
	p.node.BeginShutdown(deadline.Add(-answerMargin))
	p.coordinator.BeginShutdown() // last, because it writes a file and the grace period is running
	shutdown := &gracefulShutdown{
		node:           p.node,
		proxy:          p.proxy,
		passThrough:    p.cfg.Settings.PassThrough,
		startedAt:      time.Now(),
		deadline:       deadline,
		successorReady: func() bool { return p.listener.inherited && p.coordinator.SuccessorReady() },
	}
	if shutdown.drain() {
		p.listener.Close() // the successor accepts the clients in the queue
		shutdown.handOff(p.coordinator)
	} else if p.listener.drainQueue() {
		shutdown.drain() // again, for the clients that were in the queue
	}
	p.log.Info("stopped",
		zap.Int64("in_flight", p.node.InFlightRequests()), zap.Int64("established", p.node.EstablishedConnections()),
		zap.Uint64("rule_violations", p.node.Monitor().Total()))
}

// drain serves until preStopDelay has passed and no client is left, or until the deadline. After preStopDelay it
// migrates the established connections, spread over the remaining time so that the other nodes don't get all of them at
// once. In pass-through mode the connections stay here until the deadline. drain returns true as soon as a successor is
// ready.
func (s *gracefulShutdown) drain() (successorReady bool) {
	migrated := s.passThrough
	for now := time.Now(); now.Before(s.deadline); now = time.Now() {
		preStopOver := now.Sub(s.startedAt) >= preStopDelay
		if preStopOver && !s.hasClients() {
			break
		}
		if s.successorReady() {
			return true
		}
		if !migrated && preStopOver {
			s.node.MigrateAll(s.deadline.Add(-migrateMargin))
			migrated = true
		}
		time.Sleep(drainPollInterval)
	}
	return false
}

// hasClients reports whether there are established connections, requests in flight, or clients whose opening line has
// not been read yet.
func (s *gracefulShutdown) hasClients() bool {
	established := s.node.EstablishedConnections()
	pending := s.proxy.PendingRequests() + s.proxy.PendingOpenings()
	return established+int64(pending) > 0
}

// handOff passes the established connections to the successor and waits until no client is left, or until the deadline.
// Requests in flight get their final answer from this process, and are handed off if they become established. A
// connection that can't be handed off is migrated.
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
