package proxy

import (
	"sync/atomic"
	"time"

	"onyxstream/internal/wire"
)

// Replies counts the final answers that clients of one class have had.
type Replies struct {
	Class                    string
	Success, Rejected, Error uint64
}

// replyCounters is the same while it counts. Each client is counted once, by conn.reply, where its answer is given.
type replyCounters struct{ success, rejected, errored atomic.Uint64 }

// metrics are what the driver counts, from the start of the process. Anyone may read them at any time.
type metrics struct {
	classes     []string
	replies     map[string]*replyCounters // by class; the map never changes
	dispatches  atomic.Uint64             // attempts written whole to hosts
	openClients atomic.Int64              // clients that have said what they want and have not ended
}

func newMetrics(classes []string) *metrics {
	f := &metrics{classes: classes, replies: make(map[string]*replyCounters, len(classes))}
	for _, c := range classes {
		f.replies[c] = &replyCounters{}
	}
	return f
}

// Replies tells the final answers of each class, in the order of the settings.
func (d *Proxy) Replies() []Replies {
	out := make([]Replies, 0, len(d.metrics.classes))
	for _, name := range d.metrics.classes {
		r := d.metrics.replies[name]
		out = append(out, Replies{name, r.success.Load(), r.rejected.Load(), r.errored.Load()})
	}
	return out
}

// Dispatches tells how many attempts were written whole to hosts.
func (d *Proxy) Dispatches() uint64 { return d.metrics.dispatches.Load() }

// OpenClients tells how many clients were taken and have not ended.
func (d *Proxy) OpenClients() int64 { return d.metrics.openClients.Load() }

// replyResult is how a client fared.
type replyResult uint8

const (
	succeeded replyResult = iota // a host has it
	rejected
	errored
)

// countReply counts a client's final answer, the first one alone. One that has left by then is not counted: nobody saw it.
func (c *conn) countReply(v replyResult) {
	c.noteReply(time.Now())
	r := c.proxy.metrics.replies[c.opening.Class]
	if r == nil || c.replyCounted.Swap(true) {
		return
	}
	switch v {
	case succeeded:
		r.success.Add(1)
	case rejected:
		r.rejected.Add(1)
	case errored:
		r.errored.Add(1)
	}
}

// countReplyLine counts a final answer of the node's own by its line.
func (c *conn) countReplyLine(line string) {
	if line == wire.Failure {
		c.countReply(errored)
	} else {
		c.countReply(rejected)
	}
}
