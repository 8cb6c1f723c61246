package balancer

import "time"

// All servers may depend on one backend to set up connections, such as a session store. No node can observe this
// backend. If setups fail or are slow at several servers, each node paces its setups and adapts the interval to their
// outcomes.

const (
	pacingReleaseFactor    = 16              // multiple of the baseline rate above which pacing ends
	maxSendInterval        = 3 * time.Second // must be under 4 s: a node that sends to no server for 4 s counts as down
	initialSetupLimit      = 1               // setups in flight until the first one succeeds
	maxAwaitingSetup       = 64              // requests that may be queued until a setup in flight ends
	minConsecutiveFailures = 2               // failures in a row that start pacing; see failuresShowOverload
)

// pacingState is the state of connection setup pacing.
type pacingState struct {
	interval            time.Duration // time between sends; 0 while setups are not paced
	nextSendAt          time.Duration
	changedAt           time.Duration // when interval last changed; outcomes of earlier sends don't count
	setupTime           time.Duration // moving average over all servers
	lastFailed          *server       // server at which a setup last failed
	consecutiveFailures int           // failed setups in a row; repeated failures of one server count once
	inFlight            int           // setups without an outcome
	queue               []*request    // requests that wait to be sent
	timerAt             time.Duration // when the queue's timer expires
}

// admit sends a request. While setups are paced it queues the request, or rejects it if its turn would come too late.
// The longest queue time depends on the shortest deadline of all classes; otherwise classes with long deadlines would
// get every turn.
func (b *Balancer) admit(req *request) {
	timeLeft := req.deadline - b.now
	wait := b.pacing.nextSendAt - b.now
	turn := wait + b.pacing.interval*time.Duration(len(b.pacing.queue))
	switch {
	case b.drain.Active && b.now >= b.drain.AdmissionCutoff && !req.MidFlow:
		b.rejectOrFail(req, b.drain.RetryAfter, ReasonDraining)
	case req.MidFlow && len(req.attempts) == 0: // no setup: the connection continues on its server
		b.startAttempt(req, timeLeft)
	case b.setupLimitReached():
		b.awaitSetup(req, timeLeft)
	case b.pacing.interval <= 0 || wait <= timerTolerance:
		b.pacing.nextSendAt = b.now + b.pacing.interval
		b.startAttempt(req, timeLeft)
	case turn > min(timeLeft, b.derived.minDeadline)/2:
		b.rejectOrFail(req, turn, ReasonPaced)
	default:
		b.pacing.queue = append(b.pacing.queue, req)
	}
}

// setupLimitReached reports whether a node that has just started has its maximum of setups in flight: one, plus one for
// each that succeeded. Without this limit, nodes that restart during an overload would prolong it. It applies only to
// nodes with a low sample, because nodes with more traffic detect the overload soon enough.
func (b *Balancer) setupLimitReached() bool {
	return b.pacing.interval <= 0 && b.lowSample() && b.pacing.inFlight >= initialSetupLimit+int(b.rates.setupsTotal)
}

// awaitSetup queues a request until a setup in flight ends, or rejects it if it has waited too long or the queue is
// full.
func (b *Balancer) awaitSetup(req *request, timeLeft time.Duration) {
	waited := req.TimeLeft - timeLeft
	if waited > min(req.TimeLeft, b.derived.minDeadline)/2 || len(b.pacing.queue) >= maxAwaitingSetup {
		b.rejectOrFail(req, b.derived.minSetupObjective, ReasonSlowStart)
		return
	}
	if b.pacing.nextSendAt <= b.now+timerTolerance { // try again then, even if no setup has ended
		b.pacing.nextSendAt = b.now + b.derived.minSetupObjective
	}
	b.pacing.queue = append(b.pacing.queue, req)
}

// resumeQueue calls admit again for all queued requests.
func (b *Balancer) resumeQueue() {
	queued := b.pacing.queue
	b.pacing.queue = nil
	for _, req := range queued {
		if !req.answered {
			b.admit(req)
		}
	}
}

// armPacingTimer sets a timer for the next send, one for the whole queue.
func (b *Balancer) armPacingTimer() {
	if len(b.pacing.queue) > 0 && b.pacing.timerAt != b.pacing.nextSendAt {
		b.pacing.timerAt = b.pacing.nextSendAt
		b.emit(SetTimer{b.pacing.timerAt, pacingToken})
	}
}

// observeSetup adapts the interval to the duration of a setup, or to its failure. If setups are slow on average, the
// backend behind all servers is overloaded. Setups that were sent before the last change of the interval don't count,
// nor do repeated failures of a single server. At a node with a low sample, and at a new node without a successful
// setup, pacing starts as soon as two servers fail in a row.
func (b *Balancer) observeSetup(req *request, attempt *attempt, took time.Duration, failed bool) {
	if failed && attempt.server == b.pacing.lastFailed || !req.isSetup() {
		return
	}
	if failed {
		b.pacing.lastFailed = attempt.server
		b.pacing.consecutiveFailures++
	} else {
		b.pacing.consecutiveFailures = 0
	}
	threshold := b.settings.Classes[req.Class].SetupLatencyObjective / 2
	b.pacing.setupTime += (min(took, 2*threshold) - b.pacing.setupTime) / 4
	if attempt.sentAt < b.pacing.changedAt {
		return
	}
	switch {
	case !failed && took < threshold:
		b.relaxPacing(b.pacing.interval / 2)
	case b.pacing.setupTime >= threshold || b.failuresShowOverload():
		b.tightenPacing(failed, took)
	}
}

// failuresShowOverload reports whether failures of several servers in a row show an overload before the average setup
// time does. That is so at a node with a low sample, and at a new node without a successful setup.
func (b *Balancer) failuresShowOverload() bool {
	if b.pacing.consecutiveFailures < minConsecutiveFailures {
		return false
	}
	_, estimated := b.baselineInterval()
	return b.lowSample() || estimated && b.rates.setupsTotal == 0
}

// tightenPacing lengthens the interval after a setup that failed or was slow.
func (b *Balancer) tightenPacing(failed bool, took time.Duration) {
	if b.pacing.interval == 0 {
		b.log("connection setup pacing started: setups fail or are slow at several servers")
	}
	next := min(max(b.pacing.interval, b.tightenedInterval(failed, took)), maxSendInterval)
	b.pacing.nextSendAt += next - b.pacing.interval // the interval starts at the last send
	b.pacing.interval = next
	b.pacing.changedAt = b.now
}

// tightenedInterval returns the next interval: at least the baseline after a failed setup, and at least a quarter of it
// after a slow one. A node with a low sample uses the longest interval at once, because each step up would take
// another timeout. Its setups count as failed if they take at least the shortest objective of all classes;
// otherwise classes with long deadlines would leave no turn to the others.
func (b *Balancer) tightenedInterval(failed bool, took time.Duration) time.Duration {
	baseline, estimated := b.baselineInterval()
	switch {
	case b.lowSample() && (failed || took >= b.derived.minSetupObjective):
		return maxSendInterval
	case !failed:
		return min(max(b.pacing.interval*3/2, baseline/4), baseline)
	case estimated:
		return max(b.pacing.interval*2, baseline)
	}
	return baseline
}

// relaxPacing shortens the interval, and ends pacing if the new interval is far below the baseline.
func (b *Balancer) relaxPacing(interval time.Duration) {
	baseline, _ := b.baselineInterval()
	if b.pacing.interval > 0 && interval < baseline/pacingReleaseFactor {
		interval = 0
		b.log("connection setup pacing ended")
	}
	b.pacing.interval = interval
	b.pacing.nextSendAt = min(b.pacing.nextSendAt, b.now+interval)
}

// relaxWithTime shortens the interval when the setups that were sent since its last change have had time to end.
func (b *Balancer) relaxWithTime() {
	settle := 2 * b.pacing.setupTime
	if b.rates.arrivalsLastSecond+b.rates.arrivalsThisSecond > 0 {
		settle += b.pacing.interval / 2
	}
	if b.pacing.interval > 0 && b.now > b.pacing.changedAt+max(sweepInterval, settle) {
		b.pacing.changedAt = b.now
		b.relaxPacing(b.pacing.interval * 4 / 5)
	}
}

// baselineInterval returns the usual time between setups, and whether it is an estimate because the node has just
// started.
func (b *Balancer) baselineInterval() (interval time.Duration, estimated bool) {
	age := (b.now - b.rates.startedAt).Seconds()
	rate := max(b.rates.setups, 1/b.derived.limitRecovery.Seconds())
	estimated = age*rateSmoothing < 1
	if estimated {
		rate = max(rate, b.rates.setupsTotal/max(age, 1))
	}
	return time.Duration(float64(time.Second) / rate), estimated
}
