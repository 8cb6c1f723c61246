package testcluster

import (
	"fmt"
	"strings"
	"time"

	"onyxstream/internal/fakeserver"
)

// RequestOutcomes counts the outcomes of the requests that clients sent completely to nodes. The events of clients and
// hosts show the outcomes.
type RequestOutcomes struct {
	Requests int `json:"asked"`
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	// Violations describes each request that did not get exactly one complete final answer in time.
	Violations []string `json:"wrong"`
}

// answerGrace is how long after the timeout of a request its final answer may arrive.
const answerGrace = 500 * time.Millisecond

// requestEvents are the events that a client recorded for one request.
type requestEvents struct {
	id                 string
	sentAt, answeredAt time.Duration
	timeout            time.Duration
	answers            []string
	resetByNode        bool
}

// requestLog holds the events of a run by request.
type requestLog struct {
	requests map[string]*requestEvents // by ID
	order    []string                  // IDs in the order sent
	receipts map[receiptKey]bool
}

// receiptKey identifies a receipt that a host issued for a request.
type receiptKey struct{ id, receipt string }

// CheckRequests checks that every request got one complete final answer in time, and that the answer to an established
// request holds a receipt that a host issued. If resetIsViolation is set, an established connection that its node ended
// without MOVE is a violation.
//
// A client's events have the ID of its request: EventRequested with the timeout as the detail, EventReceived with each
// complete line, and finally EventDisconnected, EventMigrated or EventReset.
func CheckRequests(events []fakeserver.Event, resetIsViolation bool) RequestOutcomes {
	log := groupByRequest(events)
	outcomes := RequestOutcomes{Requests: len(log.order)}
	for _, id := range log.order {
		outcomes.check(log.requests[id], log.receipts, resetIsViolation)
	}
	return outcomes
}

// groupByRequest collects the events of clients by request, and the receipts of hosts.
func groupByRequest(events []fakeserver.Event) requestLog {
	log := requestLog{requests: map[string]*requestEvents{}, receipts: map[receiptKey]bool{}}
	for _, event := range events {
		if !strings.HasPrefix(event.Source, clientPrefix) {
			if event.Kind == fakeserver.EventEstablished {
				log.receipts[receiptKey{event.ID, event.Detail}] = true
			}
			continue
		}
		if event.Kind == fakeserver.EventRequested {
			timeout, _ := time.ParseDuration(event.Detail)
			log.requests[event.ID] = &requestEvents{id: event.ID, sentAt: event.At, timeout: timeout}
			log.order = append(log.order, event.ID)
			continue
		}
		if request := log.requests[event.ID]; request != nil {
			request.add(event)
		}
	}
	return log
}

// add adds an event that the client recorded after it sent the request.
func (r *requestEvents) add(event fakeserver.Event) {
	switch event.Kind {
	case fakeserver.EventReceived:
		if len(r.answers) == 0 {
			r.answeredAt = event.At
		}
		r.answers = append(r.answers, event.Detail)
	case fakeserver.EventReset:
		r.resetByNode = true
	}
}

// check counts one request by its final answer, and adds its violations.
func (o *RequestOutcomes) check(request *requestEvents, receipts map[receiptKey]bool, resetIsViolation bool) {
	if len(request.answers) == 0 {
		o.addViolation(request, "no complete final answer")
		return
	}
	answer := request.answers[0]
	if latency := request.answeredAt - request.sentAt; latency > request.timeout+answerGrace {
		o.addViolation(request, "%q after %v", answer, latency)
	}
	word, receipt, _ := strings.Cut(answer, " ")
	switch word {
	case "UP":
		o.Served++
		if !receipts[receiptKey{request.id, receipt}] {
			o.addViolation(request, "no host issued the receipt in %q", answer)
		}
		if resetIsViolation && request.resetByNode {
			o.addViolation(request, "established connection ended by node without MOVE")
		}
		return // further lines belong to the established connection
	case "BUSY":
		o.Rejected++
	default:
		o.Failed++
	}
	if len(request.answers) > 1 {
		o.addViolation(request, "more than one final answer: %q", request.answers)
	}
}

func (o *RequestOutcomes) addViolation(request *requestEvents, format string, args ...any) {
	prefix := fmt.Sprintf("%s, sent at %v with a timeout of %v: ", request.id, request.sentAt, request.timeout)
	o.Violations = append(o.Violations, prefix+fmt.Sprintf(format, args...))
}
