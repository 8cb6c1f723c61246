package balancer

import "time"

// Pacing of set-ups. No node sees what all servers call to set a connection up, such as a session store: each
// spaces its sends where they fail or are slow at several servers, and adapts the interval to what comes up.

const (
	pacingReleaseFactor = 16              // the multiple of the baseline rate at which pacing ends
	maxSendInterval     = 3 * time.Second // between paced sends: who tries nobody for 4 s counts as down
	slowStartSetups     = 1               // set-ups under way at a node of which none has come up
	maxAwaitingSetup    = 64              // requests that wait for one of them
)

// admit sends a request on, lets it wait for its turn where set-ups are paced, or gives it up at once where
// that comes too late: past half of the shortest deadline for all, or the longest one took every turn.
func (b *Balancer) admit(r *request) {
	left, wait := r.deadline-b.now, b.nextSendAt-b.now
	late := wait + b.sendInterval*time.Duration(len(b.pacingQueue))
	switch {
	case b.drain.Active && b.now >= b.drain.AdmissionCutoff && !r.MidFlow: // who is mid-flow was answered long ago
		b.rejectOrFail(r, b.drain.RetryAfter, ReasonDraining)
	case r.MidFlow && len(r.attempts) == 0: // it goes on where it stands
		b.startAttempt(r, left)
	case b.slowStartFull():
		b.awaitSetup(r, left)
	case b.sendInterval <= 0 || wait <= timerTolerance:
		b.nextSendAt = b.now + b.sendInterval
		b.startAttempt(r, left)
	case late > min(left, b.minDeadline)/2:
		b.rejectOrFail(r, late, ReasonPaced)
	default:
		b.pacingQueue = append(b.pacingQueue, r)
	}
}

// slowStartFull reports whether a node that has just started has as many set-ups under way as it may, one and
// as many as came up: nodes that restart in turn amid an overload, each sending on all that came until the
// first failed, kept it up. Where a node sees much, it learns soon enough.
func (b *Balancer) slowStartFull() bool {
	return b.sendInterval <= 0 && b.lowSample() && b.setupsInFlight >= slowStartSetups+int(b.setupsTotal)
}

// awaitSetup lets a request wait for one of the set-ups under way, no longer than for a turn.
func (b *Balancer) awaitSetup(r *request, left time.Duration) {
	waited := r.TimeLeft - left // looked at each shortest aim: the first time past the half ends it
	if waited > min(r.TimeLeft, b.minDeadline)/2 || len(b.pacingQueue) >= maxAwaitingSetup {
		b.rejectOrFail(r, b.minSetupObjective, ReasonSlowStart)
		return
	}
	if b.nextSendAt <= b.now+timerTolerance { // if none comes up
		b.nextSendAt = b.now + b.minSetupObjective
	}
	b.pacingQueue = append(b.pacingQueue, r)
}

// observeSetup takes in how long a set-up took, its aim for one that failed. Set-ups slow on the whole come
// from what they all call; sending on as clients return in a wave keeps it overloaded. What was sent before
// the interval was last set tells nothing of it; a good one sent since halves it. A single error paces
// nothing, nor do those of one server alone: where hosts are few, it was taken for what all of them call. Two
// servers that fail in a row do where the node sees little, or has met nothing else so far.
func (b *Balancer) observeSetup(r *request, a *attempt, took time.Duration, failed bool) {
	aim := b.settings.Classes[r.Class].SetupLatencyObjective / 2
	if failed && a.server == b.lastFailed || !r.isSetup() {
		return
	} else if failed {
		b.lastFailed, b.consecutiveFailures = a.server, b.consecutiveFailures+1
	} else {
		b.consecutiveFailures = 0
	}
	_, guess := b.baselineInterval()
	inRow := b.consecutiveFailures >= 2 && (b.lowSample() || guess && b.setupsTotal == 0)
	b.setupTime += (min(took, 2*aim) - b.setupTime) / 4
	if a.sentAt < b.pacedAt || b.setupTime < aim && !inRow && (failed || took >= aim) {
		return
	} else if !failed && took < aim {
		b.relaxPacing(b.sendInterval / 2)
		return
	}
	if b.sendInterval == 0 {
		b.log("set-ups fail or are slow at several servers: paced")
	}
	next := min(max(b.sendInterval, b.tightenedInterval(failed, took)), maxSendInterval)
	b.nextSendAt += next - b.sendInterval // from the last send on
	b.sendInterval, b.pacedAt = next, b.now
}

// tightenedInterval is the interval after a set-up that failed or was slow: the baseline for a failed one, a quarter
// of it and more for a slow one. A node that sees little takes the longest: each step to it would take a
// time-out, in which all such nodes together send several times what comes up. Its set-ups count as failed
// from the shortest aim on: an overload at which long deadlines are still met left other classes none.
func (b *Balancer) tightenedInterval(failed bool, took time.Duration) time.Duration {
	baseline, guess := b.baselineInterval()
	switch {
	case b.lowSample() && (failed || took >= b.minSetupObjective):
		return maxSendInterval
	case !failed:
		return min(max(b.sendInterval*3/2, baseline/4), baseline)
	case guess:
		return max(b.sendInterval*2, baseline)
	}
	return baseline
}

// relaxPacing shortens the time between sends; halved on for ever it set timers for turns all in one instant.
func (b *Balancer) relaxPacing(interval time.Duration) {
	if baseline, _ := b.baselineInterval(); b.sendInterval > 0 && interval < baseline/pacingReleaseFactor {
		interval = 0
		b.log("set-ups are well: no longer paced")
	}
	b.sendInterval, b.nextSendAt = interval, min(b.nextSendAt, b.now+interval)
}

// relaxWithTime shortens the time between sends once what was sent since it was set has had time to tell.
func (b *Balancer) relaxWithTime() {
	outcomes := 2 * b.setupTime
	if b.arrivalsLastSecond+b.arrivalsThisSecond > 0 {
		outcomes += b.sendInterval / 2
	}
	if b.sendInterval > 0 && b.now > b.pacedAt+max(sweepInterval, outcomes) {
		b.pacedAt = b.now
		b.relaxPacing(b.sendInterval * 4 / 5)
	}
}

// baselineInterval is the time between connections as they usually come, for a node just started a guess.
func (b *Balancer) baselineInterval() (interval time.Duration, guess bool) {
	age, rate := (b.now - b.startedAt).Seconds(), max(b.setupRate, 1/b.limitRecovery.Seconds())
	if guess = age*rateSmoothing < 1; guess {
		rate = max(rate, b.setupsTotal/max(age, 1))
	}
	return time.Duration(float64(time.Second) / rate), guess
}

// resumeQueue looks at all that waits for its turn again.
func (b *Balancer) resumeQueue() {
	waiting := b.pacingQueue
	b.pacingQueue = nil
	for _, r := range waiting {
		if !r.answered {
			b.admit(r)
		}
	}
}
