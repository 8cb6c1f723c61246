package proxy

import (
	"sync/atomic"
	"time"

	"onyxstream/internal/wire"
)

// Replies counts the final answers that clients of one class have had.
type Replies struct {
	Class                   string
	Success, Refused, Error uint64
}

// replies is the same while it counts. Each client is counted once, by conn.reply, where its answer is given.
type replies struct{ success, refused, failed atomic.Uint64 }

// figures are what the driver counts, from the start of the process. Anyone may read them at any time.
type figures struct {
	classes    []string
	replies    map[string]*replies // by class; the map never changes
	dispatches atomic.Uint64       // attempts written whole to hosts
	taken      atomic.Int64        // clients that have said what they want and have not ended
}

func newFigures(classes []string) *figures {
	f := &figures{classes: classes, replies: make(map[string]*replies, len(classes))}
	for _, c := range classes {
		f.replies[c] = &replies{}
	}
	return f
}

// Replies tells the final answers of each class, in the order of the settings.
func (d *Proxy) Replies() []Replies {
	out := make([]Replies, 0, len(d.figures.classes))
	for _, name := range d.figures.classes {
		r := d.figures.replies[name]
		out = append(out, Replies{name, r.success.Load(), r.refused.Load(), r.failed.Load()})
	}
	return out
}

// Dispatches tells how many attempts were written whole to hosts.
func (d *Proxy) Dispatches() uint64 { return d.figures.dispatches.Load() }

// OpenClients tells how many clients were taken and have not ended.
func (d *Proxy) OpenClients() int64 { return d.figures.taken.Load() }

// verdict is how a client fared.
type verdict uint8

const (
	brought verdict = iota // a host has it
	refused
	failed
)

// count counts a client's final answer, the first one alone. One that has left by then is not counted: nobody saw it.
func (c *conn) count(v verdict) {
	c.noteAnswer(time.Now())
	r := c.d.figures.replies[c.open.Class]
	if r == nil || c.counted.Swap(true) {
		return
	}
	switch v {
	case brought:
		r.success.Add(1)
	case refused:
		r.refused.Add(1)
	case failed:
		r.failed.Add(1)
	}
}

// countAs counts a final answer of the node's own by its line.
func (c *conn) countAs(line string) {
	if line == wire.Failure {
		c.count(failed)
	} else {
		c.count(refused)
	}
}
