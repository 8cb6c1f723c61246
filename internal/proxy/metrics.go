package proxy

import (
	"sync/atomic"
	"time"

	"onyxstream/internal/wire"
)

// FinalAnswers counts the final answers to clients of one class.
type FinalAnswers struct {
	Class                    string
	Success, Rejected, Error uint64
}

// answerCounters are the counters behind FinalAnswers. countAnswer counts each client once.
type answerCounters struct{ success, rejected, errored atomic.Uint64 }

// metrics holds counters since the start of the process. It is safe for concurrent use.
type metrics struct {
	classes     []string
	answers     map[string]*answerCounters // by class; the map is never modified
	dispatches  atomic.Uint64              // attempts whose opening line was completely written
	openClients atomic.Int64               // admitted clients
}

func newMetrics(classes []string) *metrics {
	m := &metrics{classes: classes, answers: make(map[string]*answerCounters, len(classes))}
	for _, class := range classes {
		m.answers[class] = &answerCounters{}
	}
	return m
}

// FinalAnswers returns the counts of final answers for each class, in the order of Config.Classes.
func (p *Proxy) FinalAnswers() []FinalAnswers {
	all := make([]FinalAnswers, 0, len(p.metrics.classes))
	for _, class := range p.metrics.classes {
		counters := p.metrics.answers[class]
		all = append(all, FinalAnswers{
			Class:    class,
			Success:  counters.success.Load(),
			Rejected: counters.rejected.Load(),
			Error:    counters.errored.Load(),
		})
	}
	return all
}

// Dispatches returns how many opening lines were completely written to hosts.
func (p *Proxy) Dispatches() uint64 { return p.metrics.dispatches.Load() }

// OpenClients returns the number of admitted clients.
func (p *Proxy) OpenClients() int64 { return p.metrics.openClients.Load() }

// answerResult is the kind of a final answer.
type answerResult uint8

const (
	succeeded answerResult = iota // a host established the connection
	rejected
	errored
)

// countAnswer records a final answer, and counts it in the metrics if it is the client's first.
func (c *conn) countAnswer(result answerResult) {
	c.recordAnswer(time.Now())
	counters := c.proxy.metrics.answers[c.opening.Class]
	if counters == nil || c.answerCounted.Swap(true) {
		return
	}
	switch result {
	case succeeded:
		counters.success.Add(1)
	case rejected:
		counters.rejected.Add(1)
	case errored:
		counters.errored.Add(1)
	}
}

// countAnswerLine calls countAnswer for a line with a final answer of this node: a failure or a rejection.
func (c *conn) countAnswerLine(line string) {
	if line == wire.Failure {
		c.countAnswer(errored)
	} else {
		c.countAnswer(rejected)
	}
}
