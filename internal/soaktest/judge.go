package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"onyxstream/internal/fakeserver"
)

// Limits are the times of the rules, and the tolerances of their measurement.
type Limits struct {
	AnswerGrace      time.Duration // after the client's deadline, for its answer
	DrainGrace       time.Duration // after all nodes know that a host drains, for new connections to it
	Propagation      time.Duration // for a change of the endpoint list to reach all nodes, while discovery is reachable
	DisconnectNotice time.Duration // after a client has disconnected, for a connection to a host on its behalf
	RecordDelay      time.Duration // from an event to its record, on a busy machine
}

// DefaultLimits are the limits of the operators' rules.
var DefaultLimits = Limits{
	AnswerGrace:      500 * time.Millisecond,
	DrainGrace:       450 * time.Millisecond,
	Propagation:      6 * time.Second,
	DisconnectNotice: 100 * time.Millisecond,
	RecordDelay:      250 * time.Millisecond,
}

// Verdict is the result of Judge.
type Verdict struct {
	Requests, Served, Rejected, Failed int
	// Exempt counts requests without an answer that no rule covers: their node was killed, or had no descriptors left.
	Exempt         int
	RuleViolations []string // one line each
}

// clientPrefix starts the source of clients' events; the node that they connected to follows.
const clientPrefix = "c-"

// judge checks the events of a run against the rules.
type judge struct {
	verdict    Verdict
	events     []fakeserver.Event
	limits     Limits
	conditions Conditions

	requests []*request
	receipts map[string]bool            // of hosts, as "id receipt"
	kills    map[string][]time.Duration // by node
}

// request is one request, on a connection to one node.
type request struct {
	id, node       string
	sentAt         time.Duration
	deadline       time.Duration
	answers        []string
	answeredAt     time.Duration // of the first answer
	disconnectedAt time.Duration // by the client; 0 for never
	brokenAt       time.Duration // 0 for never
}

// Judge checks the events of a run against the rules.
func Judge(events []fakeserver.Event, limits Limits, conditions Conditions) Verdict {
	j := &judge{
		events:     events,
		limits:     limits,
		conditions: conditions,
		receipts:   map[string]bool{},
		kills:      map[string][]time.Duration{},
	}
	j.groupEvents()
	for _, r := range j.requests {
		j.judgeAnswer(r)
	}
	j.judgeDisconnects()
	j.judgeOverloads()
	j.judgeDrains()
	j.judgeRetries()
	return j.verdict
}

func (j *judge) addViolation(format string, args ...any) {
	j.verdict.RuleViolations = append(j.verdict.RuleViolations, fmt.Sprintf(format, args...))
}

// groupEvents collects the requests of clients, the receipts of hosts and the kills of nodes.
func (j *judge) groupEvents() {
	open := map[string]*request{} // by the key of the connection
	for _, event := range j.events {
		node, isClient := strings.CutPrefix(event.Source, clientPrefix)
		switch {
		case event.Kind == fakeserver.EventFault && (event.Detail == "kill" || event.Detail == "lose"):
			j.kills[event.Source] = append(j.kills[event.Source], event.At)
		case !isClient && event.Kind == fakeserver.EventEstablished:
			j.receipts[event.ID+" "+event.Detail] = true
		case !isClient:
		case event.Kind == fakeserver.EventRequested:
			deadline, _ := time.ParseDuration(event.Detail)
			r := &request{id: event.ID, node: node, sentAt: event.At, deadline: deadline}
			open[event.Key] = r
			j.requests = append(j.requests, r)
		case open[event.Key] != nil:
			open[event.Key].addEvent(event)
		}
	}
}

// addEvent adds an event of the client after its request.
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

// judgeAnswer checks that a request whose opening line was sent completely got one complete answer in time.
func (j *judge) judgeAnswer(r *request) {
	j.verdict.Requests++
	latest := r.sentAt + r.deadline + j.limits.AnswerGrace + j.limits.RecordDelay
	if len(r.answers) == 0 {
		j.judgeMissingAnswer(r, latest)
		return
	}
	if r.answeredAt > latest {
		j.addViolation("%s at %s, sent at %v with a deadline of %v: %q only at %v",
			r.id, r.node, r.sentAt, r.deadline, r.answers[0], r.answeredAt)
	}
	word, receipt, _ := strings.Cut(r.answers[0], " ")
	switch word {
	case "UP":
		j.verdict.Served++
		if !j.receipts[r.id+" "+receipt] {
			j.addViolation("%s: %q was issued by no host", r.id, r.answers[0])
		}
		return // what follows are lines of the host
	case "BUSY":
		j.verdict.Rejected++
	default:
		j.verdict.Failed++
	}
	if len(r.answers) > 1 {
		j.addViolation("%s: more than one answer: %q", r.id, r.answers)
	}
}

// judgeMissingAnswer decides whether a request may have no answer.
func (j *judge) judgeMissingAnswer(r *request, latest time.Duration) {
	inFlight := Interval{r.sentAt - time.Second, latest}
	killed := slices.ContainsFunc(j.kills[r.node], inFlight.contains)
	coversRequest := func(i Interval) bool { return i.contains(r.sentAt) }
	exhausted := slices.ContainsFunc(j.conditions.DescriptorsExhausted[r.node], coversRequest)
	switch {
	case r.disconnectedAt > 0:
	case killed, exhausted && r.brokenAt > 0:
		j.verdict.Exempt++
	default:
		j.addViolation("%s at %s, sent at %v with a deadline of %v: no complete answer, broken at %v",
			r.id, r.node, r.sentAt, r.deadline, r.brokenAt)
	}
}

// judgeDisconnects checks that hosts are not connected to for clients that have disconnected. A later request with the
// same id is another one.
func (j *judge) judgeDisconnects() {
	disconnected := map[string]time.Duration{} // by id, of clients without an answer
	lastSent := map[string]time.Duration{}     // by id
	for _, r := range j.requests {
		lastSent[r.id] = max(lastSent[r.id], r.sentAt)
		if r.disconnectedAt > 0 && len(r.answers) == 0 {
			disconnected[r.id] = r.disconnectedAt
		}
	}
	for _, event := range j.events {
		at, ok := disconnected[event.ID]
		if event.Kind != fakeserver.EventOpened || !ok || j.conditions.DelayedHosts[event.Source] || at <= lastSent[event.ID] {
			continue
		}
		if event.At > at+j.limits.DisconnectNotice+j.limits.RecordDelay {
			j.addViolation("%s: connected to %s at %v, its client disconnected at %v", event.ID, event.Source, event.At, at)
		}
	}
}

// judgeOverloads checks that the nodes together do not overload hosts in slow start.
func (j *judge) judgeOverloads() {
	for _, event := range j.events {
		if event.Kind == fakeserver.EventFault && event.Detail == fakeserver.DetailCollapse {
			j.addViolation("%s: overloaded at %v", event.Source, event.At)
		}
	}
}

// judgeDrains checks that draining hosts are not connected to once all nodes know, after the grace.
func (j *judge) judgeDrains() {
	knownAt := map[string]time.Duration{} // by host
	for _, event := range j.events {
		if event.Kind == fakeserver.EventFault && event.Detail == fakeserver.DetailDrain {
			knownAt[event.Source] = PropagatedBy(event.At, j.limits.Propagation, j.conditions.DiscoveryUnreachable)
			continue
		}
		at, draining := knownAt[event.Source]
		if event.Kind != fakeserver.EventOpened || !draining || j.conditions.DelayedHosts[event.Source] {
			continue
		}
		if event.At > at+j.limits.DrainGrace+j.limits.RecordDelay {
			j.addViolation("%s: connected to %s at %v, which drains, propagated by %v",
				event.ID, event.Source, event.At, at)
		}
	}
}

// judgeRetries checks that requests that are not idempotent are retried only where the earlier host rejected them.
func (j *judge) judgeRetries() {
	type attempt struct{ host, id string }
	lastHost := map[string]string{} // by id
	rejected := map[attempt]bool{}
	for _, event := range j.events {
		switch {
		case strings.HasPrefix(event.Source, clientPrefix) || !j.conditions.NonIdempotent[event.Class]:
		case event.Kind == fakeserver.EventRejected:
			rejected[attempt{event.Source, event.ID}] = true
		case event.Kind == fakeserver.EventOpened && !strings.Contains(event.Detail, "mid"):
			earlier, isRetry := lastHost[event.ID]
			if isRetry && !rejected[attempt{earlier, event.ID}] {
				j.addViolation("%s: sent to %s, may have run, and retried at %s", event.ID, earlier, event.Source)
			}
			lastHost[event.ID] = event.Source
		}
	}
}
