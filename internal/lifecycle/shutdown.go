package lifecycle

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/multiprocess"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

// drainPollInterval is how often a shutdown checks whether a client is left or a successor is ready.
const drainPollInterval = 20 * time.Millisecond

// gracefulShutdown is a shutdown in progress.
type gracefulShutdown struct {
	node        *node.Node
	proxy       *proxy.Proxy
	passThrough bool // connections continue through other nodes when this process ends, so they need no migration
	schedule    shutdownSchedule

	// successorReady reports whether another process of the node can take over the connections.
	successorReady func() bool
}

// shutDownGracefully stops serving clients before the termination grace period is over: it drains the node, and hands
// off the connections if a successor is ready.
func (p *process) shutDownGracefully() {
	p.log.Info("shutting down gracefully",
		zap.Int64("in_flight", p.node.InFlightRequests()), zap.Int64("established", p.node.EstablishedConnections()))
	schedule := newShutdownSchedule(p.cfg.Settings.Settings, time.Now())
	p.node.BeginShutdown(schedule.answerAt)
	p.coordinator.BeginShutdown() // last, because it writes a file and the grace period is running
	shutdown := &gracefulShutdown{
		node:           p.node,
		proxy:          p.proxy,
		passThrough:    p.cfg.Settings.PassThrough,
		schedule:       schedule,
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

// drain serves until the front has noticed the shutdown and no client is left, or until the deadline. Meanwhile it
// migrates the established connections, spread over the remaining time so that the other nodes don't get all of them at
// once. In pass-through mode the connections stay here until the deadline. drain returns true as soon as a successor is
// ready.
func (s *gracefulShutdown) drain() (successorReady bool) {
	migrated := s.passThrough
	for now := time.Now(); now.Before(s.schedule.deadline); now = time.Now() {
		if !now.Before(s.schedule.frontNoticed) && !s.hasClients() {
			break
		}
		if s.successorReady() {
			return true
		}
		if !migrated && !now.Before(s.schedule.migrateFrom) {
			s.node.MigrateAll(s.schedule.migrateBy)
			migrated = true
		}
		s.awaitNextCheck(migrated)
	}
	return false
}

// awaitNextCheck waits for drainPollInterval, or until the next step of drain is due.
func (s *gracefulShutdown) awaitNextCheck(migrated bool) {
	next := s.schedule.deadline
	if !migrated {
		next = s.schedule.migrateFrom
	}
	time.Sleep(min(drainPollInterval, time.Until(next)))
}

// hasClients reports whether there are established connections, requests in flight, or clients whose opening line has
// not been read yet. A client is counted by the proxy before the node knows its request, and by the node until it knows
// that its connection is established.
func (s *gracefulShutdown) hasClients() bool {
	known := s.node.InFlightRequests() + s.node.EstablishedConnections()
	pending := s.proxy.PendingRequests() + s.proxy.PendingOpenings()
	return known+int64(pending) > 0
}

// handOff passes the established connections to the successor and waits until no client is left, or until the deadline.
// Requests in flight get their final answer from this process, and are handed off if they become established. A
// connection that can't be handed off is migrated, also if it is established after the hand-off has ended.
func (s *gracefulShutdown) handOff(coordinator *multiprocess.Coordinator) {
	coordinator.HandOff(s.schedule.handOffUntil, s.hasClients)
	s.node.MigrateAll(s.schedule.handOffMigrateBy)
	for time.Now().Before(s.schedule.deadline) && s.hasClients() {
		time.Sleep(min(drainPollInterval, time.Until(s.schedule.deadline)))
	}
}
