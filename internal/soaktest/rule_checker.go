package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"onyxstream/internal/fakeserver"
)

// Limits are the time limits of the rules, and the tolerances of their measurement.
type Limits struct {
	AnswerGrace      time.Duration // how long after the client's deadline the final answer may arrive
	DrainGrace       time.Duration // how long nodes may connect to a host that they know to be draining
	Propagation      time.Duration // time for a list change to reach all nodes while discovery is reachable
	DisconnectNotice time.Duration // how long nodes may connect to hosts for a client that has disconnected
	RecordDelay      time.Duration // delay with which an event may be recorded on a busy machine
}

// DefaultLimits are the limits that operators require.
var DefaultLimits = Limits{
	AnswerGrace:      500 * time.Millisecond,
	DrainGrace:       450 * time.Millisecond,
	Propagation:      6 * time.Second,
	DisconnectNotice: 100 * time.Millisecond,
	RecordDelay:      250 * time.Millisecond,
}

// Verdict is the result of CheckRules.
type Verdict struct {
	Requests, Served, Rejected, Failed int
	// Exempt counts requests that needed no final answer, because their node was killed or had no descriptors left.
	Exempt         int
	RuleViolations []string // one line each
}

// clientPrefix is the prefix of the source of a client's events; the name of the client's node follows.
const clientPrefix = "c-"

// checker checks the events of a run against the rules.
type checker struct {
	verdict    Verdict
	events     []fakeserver.Event
	limits     Limits
	conditions Conditions

	requests []*request
	receipts map[string]bool            // issued by hosts, as "id receipt"
	kills    map[string][]time.Duration // times of kills by node
}

// request is one request on a connection to one node.
type request struct {
	id, node       string
	sentAt         time.Duration
	deadline       time.Duration
	answers        []string
	answeredAt     time.Duration // of the first answer
	disconnectedAt time.Duration // by the client; 0 for never
	brokenAt       time.Duration // 0 for never
}

// CheckRules checks the events of a run against the rules.
func CheckRules(events []fakeserver.Event, limits Limits, conditions Conditions) Verdict {
	c := &checker{
		events:     events,
		limits:     limits,
		conditions: conditions,
		receipts:   map[string]bool{},
		kills:      map[string][]time.Duration{},
	}
	c.groupEvents()
	for _, r := range c.requests {
		c.checkAnswer(r)
	}
	c.checkDisconnects()
	c.checkOverloads()
	c.checkDrains()
	c.checkRetries()
	return c.verdict
}

func (c *checker) addViolation(format string, args ...any) {
	c.verdict.RuleViolations = append(c.verdict.RuleViolations, fmt.Sprintf(format, args...))
}

// groupEvents collects the requests of clients, the receipts of hosts and the kills of nodes from the events.
func (c *checker) groupEvents() {
	open := map[string]*request{} // by the key of the connection
	for _, event := range c.events {
		node, isClient := strings.CutPrefix(event.Source, clientPrefix)
		switch {
		case event.Kind == fakeserver.EventFault && (event.Detail == "kill" || event.Detail == "lose"):
			c.kills[event.Source] = append(c.kills[event.Source], event.At)
		case !isClient && event.Kind == fakeserver.EventEstablished:
			c.receipts[event.ID+" "+event.Detail] = true
		case !isClient:
		case event.Kind == fakeserver.EventRequested:
			deadline, _ := time.ParseDuration(event.Detail)
			r := &request{id: event.ID, node: node, sentAt: event.At, deadline: deadline}
			open[event.Key] = r
			c.requests = append(c.requests, r)
		case open[event.Key] != nil:
			open[event.Key].addEvent(event)
		}
	}
}

// addEvent adds an event that the client recorded after it sent the request.
func (r *request) addEvent(event fakeserver.Event) {
	switch event.Kind {
	case fakeserver.EventReceived:
		r.answers = append(r.answers, event.Detail)
		if len(r.answers) == 1 {
			r.answeredAt = event.At
		}
	case fakeserver.EventDisconnected:
		r.disconnectedAt = event.At
	case fakeserver.EventReset:
		r.brokenAt = event.At
	}
}

// checkAnswer checks that a request whose opening line was sent completely got one complete final answer in time.
func (c *checker) checkAnswer(r *request) {
	c.verdict.Requests++
	latest := r.sentAt + r.deadline + c.limits.AnswerGrace + c.limits.RecordDelay
	if len(r.answers) == 0 {
		c.checkMissingAnswer(r, latest)
		return
	}
	if r.answeredAt > latest {
		c.addViolation("%s at %s, sent at %v with a deadline of %v: late answer %q at %v",
			r.id, r.node, r.sentAt, r.deadline, r.answers[0], r.answeredAt)
	}
	word, receipt, _ := strings.Cut(r.answers[0], " ")
	switch word {
	case "UP":
		c.verdict.Served++
		if !c.receipts[r.id+" "+receipt] {
			c.addViolation("%s: no host issued the receipt in %q", r.id, r.answers[0])
		}
		return // further lines are sent by the host
	case "BUSY":
		c.verdict.Rejected++
	default:
		c.verdict.Failed++
	}
	if len(r.answers) > 1 {
		c.addViolation("%s: more than one answer: %q", r.id, r.answers)
	}
}

// checkMissingAnswer checks whether a request without a final answer is exempt or a rule violation.
func (c *checker) checkMissingAnswer(r *request, latest time.Duration) {
	inFlight := Interval{r.sentAt - time.Second, latest}
	killed := slices.ContainsFunc(c.kills[r.node], inFlight.contains)
	coversRequest := func(i Interval) bool { return i.contains(r.sentAt) }
	exhausted := slices.ContainsFunc(c.conditions.DescriptorsExhausted[r.node], coversRequest)
	switch {
	case r.disconnectedAt > 0:
	case killed, exhausted && r.brokenAt > 0:
		c.verdict.Exempt++
	default:
		c.addViolation("%s at %s, sent at %v with a deadline of %v: no complete answer, connection broken at %v",
			r.id, r.node, r.sentAt, r.deadline, r.brokenAt)
	}
}

// checkDisconnects checks that nodes do not connect to hosts for clients that have disconnected. It ignores a client
// that has sent a later request with the same ID.
func (c *checker) checkDisconnects() {
	disconnected := map[string]time.Duration{} // by id, of clients without a final answer
	lastSent := map[string]time.Duration{}     // by id
	for _, r := range c.requests {
		lastSent[r.id] = max(lastSent[r.id], r.sentAt)
		if r.disconnectedAt > 0 && len(r.answers) == 0 {
			disconnected[r.id] = r.disconnectedAt
		}
	}
	for _, event := range c.events {
		at, ok := disconnected[event.ID]
		if event.Kind != fakeserver.EventOpened || !ok || c.conditions.DelayedHosts[event.Source] || at <= lastSent[event.ID] {
			continue
		}
		if event.At > at+c.limits.DisconnectNotice+c.limits.RecordDelay {
			c.addViolation("%s: connected to %s at %v, although its client disconnected at %v", event.ID, event.Source, event.At, at)
		}
	}
}

// checkOverloads checks that the nodes together do not overload hosts in slow start, which makes them collapse.
func (c *checker) checkOverloads() {
	for _, event := range c.events {
		if event.Kind == fakeserver.EventFault && event.Detail == fakeserver.DetailCollapse {
			c.addViolation("%s: overloaded at %v", event.Source, event.At)
		}
	}
}

// checkDrains checks that nodes do not connect to a draining host after the drain grace, which begins when all nodes
// know of the drain.
func (c *checker) checkDrains() {
	knownAt := map[string]time.Duration{} // by host
	for _, event := range c.events {
		if event.Kind == fakeserver.EventFault && event.Detail == fakeserver.DetailDrain {
			knownAt[event.Source] = PropagatedBy(event.At, c.limits.Propagation, c.conditions.DiscoveryUnreachable)
			continue
		}
		at, draining := knownAt[event.Source]
		if event.Kind != fakeserver.EventOpened || !draining || c.conditions.DelayedHosts[event.Source] {
			continue
		}
		if event.At > at+c.limits.DrainGrace+c.limits.RecordDelay {
			c.addViolation("%s: connected to draining host %s at %v, drain propagated by %v",
				event.ID, event.Source, event.At, at)
		}
	}
}

// checkRetries checks that a non-idempotent request is retried only if the previous host rejected it.
func (c *checker) checkRetries() {
	type attempt struct{ host, id string }
	lastHost := map[string]string{} // by id
	rejected := map[attempt]bool{}
	for _, event := range c.events {
		switch {
		case strings.HasPrefix(event.Source, clientPrefix) || !c.conditions.NonIdempotent[event.Class]:
		case event.Kind == fakeserver.EventRejected:
			rejected[attempt{event.Source, event.ID}] = true
		case event.Kind == fakeserver.EventOpened && !strings.Contains(event.Detail, "mid"):
			earlier, isRetry := lastHost[event.ID]
			if isRetry && !rejected[attempt{earlier, event.ID}] {
				c.addViolation("%s: non-idempotent request sent to %s, where it may have run, and retried at %s", event.ID, earlier, event.Source)
			}
			lastHost[event.ID] = event.Source
		}
	}
}
