package balancer

import "time"

// No node sees the backend that all servers call to set a connection up, such as a session store. Each node spaces
// its sends where set-ups fail or are slow at several servers, and adapts the interval to the outcomes.

const (
	pacingReleaseFactor    = 16              // multiple of the baseline rate at which pacing ends
	maxSendInterval        = 3 * time.Second // a node that tries no server for 4 s counts as down
	initialSetupLimit      = 1               // set-ups in flight at a node that has seen none succeed
	maxAwaitingSetup       = 64              // requests that wait for one of them
	minConsecutiveFailures = 2               // servers that fail one after the other, from which a low sample paces
)

// pacingState limits the rate of set-ups.
type pacingState struct {
	interval            time.Duration // between sends, 0 while set-ups are not paced
	nextSendAt          time.Duration
	changedAt           time.Duration // of the interval: outcomes of earlier sends don't count
	setupTime           time.Duration // moving average over all servers
	lastFailed          *server       // the last one that failed a set-up
	consecutiveFailures int           // of set-ups, those of one server after another counted once
	inFlight            int           // set-ups without an outcome
	queue               []*request    // waiting to be sent
	timerAt             time.Duration // when the queue's timer falls due
}

// admit sends a request, queues it where set-ups are paced, or rejects it where its turn comes too late. That bound
// follows the shortest deadline for all classes, so that those of long deadlines do not take every turn.
func (b *Balancer) admit(req *request) {
	timeLeft := req.deadline - b.now
	wait := b.pacing.nextSendAt - b.now
	turn := wait + b.pacing.interval*time.Duration(len(b.pacing.queue))
	switch {
	case b.drain.Active && b.now >= b.drain.AdmissionCutoff && !req.MidFlow:
		b.rejectOrFail(req, b.drain.RetryAfter, ReasonDraining)
	case req.MidFlow && len(req.attempts) == 0: // no set-up: it continues on its server
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

// setupLimitReached reports whether a node that has just started has as many set-ups in flight as it may: one, and one
// for each that succeeded. Nodes that restart amid an overload would otherwise keep it up. Nodes with more traffic
// learn soon enough.
func (b *Balancer) setupLimitReached() bool {
	return b.pacing.interval <= 0 && b.lowSample() && b.pacing.inFlight >= initialSetupLimit+int(b.rates.setupsTotal)
}

// awaitSetup queues a request until one of the set-ups in flight ends, or rejects it.
func (b *Balancer) awaitSetup(req *request, timeLeft time.Duration) {
	waited := req.TimeLeft - timeLeft
	if waited > min(req.TimeLeft, b.derived.minDeadline)/2 || len(b.pacing.queue) >= maxAwaitingSetup {
		b.rejectOrFail(req, b.derived.minSetupObjective, ReasonSlowStart)
		return
	}
	if b.pacing.nextSendAt <= b.now+timerTolerance { // looked at again even if no set-up ends
		b.pacing.nextSendAt = b.now + b.derived.minSetupObjective
	}
	b.pacing.queue = append(b.pacing.queue, req)
}

// resumeQueue admits all queued requests anew.
func (b *Balancer) resumeQueue() {
	queued := b.pacing.queue
	b.pacing.queue = nil
	for _, req := range queued {
		if !req.answered {
			b.admit(req)
		}
	}
}

// armPacingTimer sets one timer for the whole queue.
func (b *Balancer) armPacingTimer() {
	if len(b.pacing.queue) > 0 && b.pacing.timerAt != b.pacing.nextSendAt {
		b.pacing.timerAt = b.pacing.nextSendAt
		b.emit(SetTimer{b.pacing.timerAt, pacingToken})
	}
}

// observeSetup adapts the interval to how long a set-up took, or to its failure. Slow set-ups in general mean that
// the backend behind all servers is overloaded. Outcomes of sends before the last change of the interval don't
// count, nor do repeated failures of a single server. Two servers that fail one after the other count at a node
// with a low sample, and at one that has seen nothing succeed.
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

// failuresShowOverload reports whether failures of several servers, one after the other, show an overload before the average
// set-up time does.
func (b *Balancer) failuresShowOverload() bool {
	if b.pacing.consecutiveFailures < minConsecutiveFailures {
		return false
	}
	_, estimated := b.baselineInterval()
	return b.lowSample() || estimated && b.rates.setupsTotal == 0
}

// tightenPacing lengthens the interval after a set-up that failed or was slow.
func (b *Balancer) tightenPacing(failed bool, took time.Duration) {
	if b.pacing.interval == 0 {
		b.log("connection set-up pacing started: set-ups fail or are slow at several servers")
	}
	next := min(max(b.pacing.interval, b.tightenedInterval(failed, took)), maxSendInterval)
	b.pacing.nextSendAt += next - b.pacing.interval // counted from the last send
	b.pacing.interval = next
	b.pacing.changedAt = b.now
}

// tightenedInterval is the baseline after a failed set-up, and a quarter of it or more after a slow one. A node
// with a low sample takes the longest interval at once, as each step would take a time-out; its set-ups count as
// failed from the shortest objective on, or classes of long deadlines would leave the others no turn.
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

// relaxPacing shortens the interval, and ends pacing where that is far below the baseline.
func (b *Balancer) relaxPacing(interval time.Duration) {
	baseline, _ := b.baselineInterval()
	if b.pacing.interval > 0 && interval < baseline/pacingReleaseFactor {
		interval = 0
		b.log("connection set-up pacing ended")
	}
	b.pacing.interval = interval
	b.pacing.nextSendAt = min(b.pacing.nextSendAt, b.now+interval)
}

// relaxWithTime shortens the interval once set-ups sent since its last change have had time to end.
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

// baselineInterval is the usual time between set-ups; estimated for a node that has just started.
func (b *Balancer) baselineInterval() (interval time.Duration, estimated bool) {
	age := (b.now - b.rates.startedAt).Seconds()
	rate := max(b.rates.setups, 1/b.derived.limitRecovery.Seconds())
	estimated = age*rateSmoothing < 1
	if estimated {
		rate = max(rate, b.rates.setupsTotal/max(age, 1))
	}
	return time.Duration(float64(time.Second) / rate), estimated
}
