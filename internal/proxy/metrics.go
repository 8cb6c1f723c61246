package proxy

import (
	"sync/atomic"
	"time"

	"onyxstream/internal/wire"
)

// AnswerCounts counts the final answers to clients of one class.
type AnswerCounts struct {
	Class                    string
	Success, Rejected, Error uint64
}

// answerCounters counts Replies. Each client is counted once, by countReply.
type answerCounters struct{ success, rejected, errored atomic.Uint64 }

// metrics are counted from the start of the process. Any goroutine may read them.
type metrics struct {
	classes     []string
	answers     map[string]*answerCounters // by class; the map never changes
	dispatches  atomic.Uint64              // attempts whose opening line was written completely
	openClients atomic.Int64               // admitted clients
}

func newMetrics(classes []string) *metrics {
	m := &metrics{classes: classes, answers: make(map[string]*answerCounters, len(classes))}
	for _, class := range classes {
		m.answers[class] = &answerCounters{}
	}
	return m
}

// FinalAnswers returns the final answers of each class, in the order of the settings.
func (p *Proxy) FinalAnswers() []AnswerCounts {
	all := make([]AnswerCounts, 0, len(p.metrics.classes))
	for _, class := range p.metrics.classes {
		counters := p.metrics.answers[class]
		all = append(all, AnswerCounts{
			Class:    class,
			Success:  counters.success.Load(),
			Rejected: counters.rejected.Load(),
			Error:    counters.errored.Load(),
		})
	}
	return all
}

// Dispatches returns how many opening lines were written to hosts.
func (p *Proxy) Dispatches() uint64 { return p.metrics.dispatches.Load() }

// OpenClients returns how many clients are admitted.
func (p *Proxy) OpenClients() int64 { return p.metrics.openClients.Load() }

// answerResult is the kind of a final answer.
type answerResult uint8

const (
	succeeded answerResult = iota // a host established the connection
	rejected
	errored
)

// countAnswer counts a client's first final answer.
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

// countAnswerLine counts a final answer that is not a host's by its line.
func (c *conn) countAnswerLine(line string) {
	if line == wire.Failure {
		c.countAnswer(errored)
	} else {
		c.countAnswer(rejected)
	}
}
