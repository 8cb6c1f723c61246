package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
)

// idleWait is how long the loop waits for an event when no timer is set.
const idleWait = time.Hour

// Run is the event loop. It returns nil when the context is cancelled. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	if !n.settings.PollList && n.scheduler == nil {
		n.watch()
	}
	for {
		timer.Reset(n.timeToNextTask(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case e := <-n.events:
			n.recoverPanics(func() { n.handle(e) })
		case <-timer.C:
		case now := <-ticker.C:
			n.recoverPanics(func() { n.handleTick(now) })
		}
		n.runDueTasks()
	}
}

// timeToNextTask returns the time until the earliest task of runDueTasks is due.
func (n *Node) timeToNextTask(now time.Time) time.Duration {
	return min(n.timers.wait(n.clockTime(now)), n.timeToShutdown(now), n.timeToMigration(now), n.timeToListRequest())
}

// runDueTasks runs all tasks that are due: the balancer's timers, a list request of the cold start, a batch of
// migrations, and the shutdown.
func (n *Node) runDueTasks() {
	now := n.now() // read once, so that a timer set by one of these tasks waits for the next iteration
	for token, due := n.timers.next(now); due; token, due = n.timers.next(now) {
		n.recoverPanics(func() { n.notifyBalancer(balancer.Timer{Token: token}) })
	}
	if n.timeToListRequest() == 0 {
		n.recoverPanics(n.requestListIfDue)
	}
	if n.timeToMigration(time.Now()) == 0 {
		n.recoverPanics(func() { n.migrateNextBatch(time.Now()) })
	}
	if n.timeToShutdown(time.Now()) == 0 {
		n.recoverPanics(n.answerInFlight)
	}
}

// recoverPanics prevents a panic in the handling of one event from ending the process, which would break every
// connection. The connection of the affected request gives it a final answer when its deadline has passed.
func (n *Node) recoverPanics(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.pendingEvents = n.pendingEvents[:0]
			n.log.Error("panic while handling event", zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	f()
}

// handle dispatches one event. Reply channels are buffered, so sending a reply never blocks.
func (n *Node) handle(e event) {
	switch e := e.(type) {
	case requestEvent:
		n.handleRequestEvent(e)
	case listReceived:
		n.handleList(e)
	case watchFailed:
		n.handleWatchFailed(e)
	case discoveryAddrChanged:
		n.handleDiscoveryAddr(e)
	case pingCompleted:
		if host := n.hosts[e.host]; host != nil {
			n.handlePingResult(host, e.took)
		}
	case migrateAllRequested:
		n.startMigration(e.deadline, time.Now())
	case shutdownRequested:
		n.shutdownAt = e.deadline
	case drainRequested:
		e.reply <- n.startDrain(e.plan)
	case drainCancelled:
		e.reply <- n.cancelDrain()
	case hostOverrideReceived:
		e.reply <- n.overrideHost(e.host, e.drain, e.mustExist, e.reenabledAt)
	case viewRequested:
		e.reply <- n.buildView()
	case pingBaselinesRequested:
		e.reply <- n.pingBaselines()
	case pingBaselinesReceived:
		n.mergePingBaselines(e.baselines)
	case heartbeatReceived, peerListReceived, peerContacted, coldStartStateRequested:
		n.handleColdStartEvent(e)
	}
}

// notifyBalancer passes an event to the balancer and performs the resulting actions. Events that these actions queue
// are handled in the same way before it returns.
func (n *Node) notifyBalancer(e balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, e)
	for i := 0; i < len(n.pendingEvents); i++ {
		for _, action := range n.balancer.Handle(n.now(), n.pendingEvents[i]) {
			n.perform(action)
		}
	}
	clear(n.pendingEvents)
	n.pendingEvents = n.pendingEvents[:0]
}

// perform carries out one action of the balancer.
func (n *Node) perform(action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		n.startAttempt(a)
	case balancer.Reject:
		n.rejectRequest(a)
	case balancer.Fail:
		n.failRequest(a)
	case balancer.Cancel:
		if r := n.requests[a.ID]; r != nil && r.attemptActive && !r.established {
			r.conn.Cancel(a.Attempt)
		}
	case balancer.Migrate:
		if r := n.requests[a.ID]; r != nil {
			n.migrate(r)
		}
	case balancer.SetTimer:
		n.timers.add(a.At, a.Token)
	case balancer.WatchList:
		n.requestList()
	case balancer.Log:
		n.log.Info(a.Text)
	}
}
