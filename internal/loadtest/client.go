package loadtest

import "time"

// maxRetryWait bounds the wait before a retry, both for exponential backoff and for Retry-After.
const maxRetryWait = time.Minute

// client performs one request: its attempts, its connection and its reconnects. Only one goroutine uses it.
type client struct {
	*engine
	request *Request
	path    string // pathNode or pathDirect
}

func (e *engine) newClient(r *Request) *client {
	return &client{engine: e, request: r, path: pathOf(r)}
}

// updateStats calls f with the statistics of the client's class while the recorder's lock is held.
func (c *client) updateStats(f func(*classStats)) { c.recorder.updateClass(c.path, c.request.Class, f) }

// run performs the request. If the request is served, run then holds its connection until the connection ends. It calls
// onOutcome when the outcome of the request is recorded and, unless the request is unsent, again when it returns.
func (c *client) run(intended time.Duration, onOutcome func()) {
	defer onOutcome()
	result := c.requestWithRetries("")
	if result.outcome == Unsent {
		c.recordUnsent(c.request, c.path, result.localError)
		return
	}
	c.recorder.requestFinished(c.request, c.path, result.outcome, c.now()-intended, c.deadlines[c.request.Class])
	onOutcome()
	if result.outcome == Served {
		c.updateStats(func(s *classStats) { record(s.service, result.serviceTime) })
		c.holdConnection(result)
	}
}

// requestWithRetries makes attempts until an attempt is served, no further retry is allowed, or the run ends. Each opening
// line gets the fields in addition to its usual ones.
func (c *client) requestWithRetries(fields string) *attemptResult {
	behavior := &c.scenario.Clients
	rng := requestRand(c.scenario.Seed^retryStream, c.request.Number)
	wait := behavior.RetryWait.AsDuration()
	for retries := 0; ; retries++ {
		attemptFields := fields
		if retries > 0 && behavior.MarkRetries {
			attemptFields = joinFields(fields, fieldRetry)
		}
		result := c.attempt(c.newID(), attemptFields)
		c.updateStats(func(s *classStats) { s.attempts[result.outcome]++ })
		if result.outcome.isFinal() || retries >= behavior.Retries {
			return result
		}
		c.close(result)
		pause := time.Duration((0.5 + rng.Float64()) * float64(wait)) // jitter around the mean
		if result.retryAfter > 0 && *behavior.HonorRetryAfter {
			pause = result.retryAfter + time.Duration(rng.Float64()*0.1*float64(result.retryAfter)) // jitter of up to 10%, never sooner
		}
		if behavior.Backoff == backoffExponential {
			wait = min(wait*2, maxRetryWait)
		}
		if !c.pause(pause) {
			return result
		}
	}
}

// isFinal reports whether no retry follows an attempt with this outcome.
func (o Outcome) isFinal() bool { return o == Served || o == Unsent || o == Aborted }

func joinFields(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

// pause waits for d. It returns false if the run ends first.
func (e *engine) pause(d time.Duration) bool {
	if e.ended.Load() {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.stop:
		return false
	}
}

// reconnect establishes a new connection after a delay. It returns nil if the client is not served or the run ends.
func (c *client) reconnect(delay time.Duration) *attemptResult {
	if !c.pause(delay) {
		return nil
	}
	intended := c.now()
	c.recorder.updateBucket(intended, func(b *bucket) { b.reconnects++ })
	result := c.requestWithRetries(fieldReconnect)
	c.updateStats(func(s *classStats) {
		s.reconnects++
		if result.outcome == Served {
			record(s.reconnect, c.now()-intended)
		}
	})
	if result.outcome != Served {
		c.close(result)
		return nil
	}
	return result
}

// reconnectDelay draws the delay before the client reconnects.
func (c *client) reconnectDelay() time.Duration {
	shortest := c.scenario.Clients.ReconnectDelay[0].AsDuration()
	longest := c.scenario.Clients.ReconnectDelay[1].AsDuration()
	fraction := requestRand(c.scenario.Seed^reconnectStream, c.request.Number).Float64()
	return shortest + time.Duration(fraction*float64(longest-shortest))
}
