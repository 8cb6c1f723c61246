package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
)

// idleWait is how long the loop waits for an event while nothing is planned.
const idleWait = time.Hour

// Run is the event loop. It returns when the context ends. It must be called once.
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
		timer.Reset(min(n.timers.wait(n.now()), n.timeToShutdown(time.Now()), n.nextCallIn()))
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

// runDueTasks runs whatever has fallen due: the balancer's timers, the call to the list service, and the shutdown.
func (n *Node) runDueTasks() {
	now := n.now() // read once: a timer that is set meanwhile waits for the next turn of the loop
	for token, due := n.timers.next(now); due; token, due = n.timers.next(now) {
		n.recoverPanics(func() { n.decide(balancer.Timer{Token: token}) })
	}
	if n.nextCallIn() == 0 {
		n.recoverPanics(n.callIfDue)
	}
	if n.timeToShutdown(time.Now()) == 0 {
		n.recoverPanics(n.answerInFlight)
	}
}

// recoverPanics keeps a panic in the handling of one event from ending the node, which would break every connection.
// The request concerned is answered by its connection when its deadline has passed.
func (n *Node) recoverPanics(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.pendingEvents = n.pendingEvents[:0]
			n.log.Error("panic while handling event", zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	f()
}

// handle dispatches one event. Reply channels are buffered, so that sending it never blocks.
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
		n.migrateAllBy = e.deadline
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

// decide passes an event to the balancer and performs its actions, and those of the events that follow from them.
func (n *Node) decide(e balancer.Event) {
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
