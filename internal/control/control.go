// Package control is how an instance is told what operators want of it, and tells how it is. This file is the pure
// part: the messages, and the register that makes a command take effect once. No socket and no clock is in it.
package control

import (
	"errors"
	"fmt"
	"time"
)

// The kinds of commands.
const (
	Drain      = "drain"       // take nothing new, send away what stands
	Resume     = "resume"      // end a drain
	HostDrain  = "host-drain"  // an operator's word that a host drains, for this instance
	HostResume = "host-resume" // that word taken back
)

// The states of an instance.
const (
	Serving  = "serving"
	Draining = "draining" // takes nothing new; connections stand or requests are owed
	Drained  = "drained"  // takes nothing new, and holds nothing
	Stopping = "stopping" // its process ends
)

// Command is one order to an instance. It is known by its operation, and ordered by its fence: a number that whoever
// gives orders raises with each operation. Times are spans, so that clocks an hour apart don't matter.
type Command struct {
	Operation    string        `json:"operation"`
	Fence        uint64        `json:"fence"`
	Kind         string        `json:"kind"`
	Host         string        `json:"host,omitempty"` // of host-drain and host-resume
	DrainTimeout time.Duration `json:"within_ns,omitempty"`
	RetryAfter   time.Duration `json:"retry_after_ns,omitempty"` // when those who are turned away may come again
	// AdmitFor is how long a node that drains still takes whom the front sends that has not noticed yet, and Keep says that
	// what stands stays where packets pass through: it goes on by way of other nodes when this one ends.
	AdmitFor        time.Duration `json:"open_ns,omitempty"`
	KeepConnections bool          `json:"keep,omitempty"`
	// HostMustExist has a word on a host that nobody has refused, instead of held until it comes.
	HostMustExist bool `json:"known,omitempty"`
	// GivenAt is when an order that reached another process of the node first was given there; zero for now.
	GivenAt time.Time `json:"-"`
}

// The bounds of a command.
const (
	mostName   = 128
	mostWithin = 24 * time.Hour
	mostAfter  = time.Hour
)

// Check says what is wrong with a command.
func (c *Command) Check() error {
	switch {
	case c.Operation == "" || len(c.Operation) > mostName:
		return fmt.Errorf("operation: it has 1 to %d bytes", mostName)
	case c.Fence == 0:
		return errors.New("fence: it is above 0")
	case c.DrainTimeout < 0 || c.DrainTimeout > mostWithin:
		return fmt.Errorf("within_ns: %s is not between 0 and %s", c.DrainTimeout, mostWithin)
	case c.AdmitFor < 0 || c.AdmitFor > mostWithin:
		return fmt.Errorf("open_ns: %s is not between 0 and %s", c.AdmitFor, mostWithin)
	case c.RetryAfter < 0 || c.RetryAfter > mostAfter:
		return fmt.Errorf("retry_after_ns: %s is not between 0 and %s", c.RetryAfter, mostAfter)
	}
	switch c.Kind {
	case Drain, Resume:
		if c.Host != "" {
			return fmt.Errorf("host: %s is about the instance, not a host", c.Kind)
		}
	case HostDrain, HostResume:
		if c.Host == "" || len(c.Host) > mostName {
			return fmt.Errorf("host: it has 1 to %d bytes", mostName)
		}
	default:
		return fmt.Errorf("kind: %q is none of %q", c.Kind, []string{Drain, Resume, HostDrain, HostResume})
	}
	return nil
}

// The verdicts on a command.
const (
	Done     = "done"    // it took effect now, or did when it came first
	Rejected = "refused" // a newer one holds
)

// Answer is what an instance says to a command. The same command is always given the same answer by one start of an
// instance, whatever has come since it took effect.
type Answer struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"why,omitempty"`
	Fence   uint64 `json:"fence"` // of what holds for the instance, or the host
	Boot    string `json:"boot"`  // which start of the instance answers
}

// HostStatus is a host as an instance sees it.
type HostStatus struct {
	ID          string `json:"id"`
	State       string `json:"state"` // live, draining or gone
	Overridden  bool   `json:"word"`  // by an operator's word
	Connections int    `json:"open"`  // connections of this instance there
}

// ListStatus is how an instance came to its list of hosts, where its cold start is on.
type ListStatus struct {
	State           string  `json:"state"`            // none, old or current
	Source          string  `json:"source,omitempty"` // file, folder, peer or service
	AgeSeconds      float64 `json:"age_s"`            // since the service told or confirmed it
	Calls           int     `json:"calls"`            // to the service, and how many of them failed or broke
	Failed          int     `json:"failed"`
	NextCallSeconds float64 `json:"next_call_s"` // until the next call, 0 where none is planned
}

// Status is how an instance is.
type Status struct {
	Name           string              `json:"name"`
	Boot           string              `json:"boot"` // changes with each start
	State          string              `json:"state"`
	Operation      string              `json:"operation,omitempty"` // that made it so
	Fence          uint64              `json:"fence"`
	InFlight       int64               `json:"owed"` // requests that wait for their final answer
	Established    int64               `json:"open"` // connections that stand
	UptimeSeconds  float64             `json:"up_s"`
	Revision       int64               `json:"revision"` // of the list of hosts
	List           *ListStatus         `json:"list,omitempty"`
	Hosts          []HostStatus        `json:"hosts,omitempty"`
	RuleViolations uint64              `json:"broken_rules,omitempty"` // how often a check found a rule broken, see package invariant
	Abandoned      []AbandonedRequests `json:"given_up,omitempty"`     // requests that were refused or failed
	Serial         uint64              `json:"serial"`                 // counts changes, for those who follow them
}

// AbandonedRequests counts requests that were refused or failed for one reason.
type AbandonedRequests struct {
	Reason   string `json:"why"`
	Requests int    `json:"requests"`
}

// mostScopes bounds the hosts that words are held for, and mostAnswers the operations that are known again.
const (
	mostScopes  = 1024
	mostAnswers = 4096
)

// Register makes each command take effect once, and never after a newer one. Drain and resume of the instance are one
// scope, the words on each host are one of their own.
type Register struct {
	boot    string
	scopes  map[string]held
	answers map[string]given
	undo    func()   // takes back what Take has noted last; before the next Take
	order   []string // of answers, the oldest first
	orders  uint64   // given by hand
}

type held struct {
	operation string
	fence     uint64
	kind      string
}

type given struct {
	command Command
	answer  Answer
}

// NewRegister makes an empty register of an instance's start.
func NewRegister(boot string) *Register {
	return &Register{boot: boot, scopes: map[string]held{}, answers: map[string]given{}}
}

// Take says what becomes of a command; act is true where it is to be carried out now. An error says that the command
// can't be what its sender means: the same operation with other contents, or more hosts than are held.
func (r *Register) Take(c Command) (a Answer, act bool, err error) {
	if err := c.Check(); err != nil {
		return a, false, err
	}
	id := c.Operation + "\x00" + c.Host
	if g, ok := r.answers[id]; ok {
		if g.command != c {
			return a, false, fmt.Errorf("operation: %q was given with other contents before", c.Operation)
		}
		return g.answer, false, nil
	}
	was, known := r.scopes[c.Host]
	if !known && len(r.scopes) >= mostScopes {
		return a, false, fmt.Errorf("host: words on %d hosts are held, no more can be", mostScopes)
	}
	a = Answer{Verdict: Done, Fence: c.Fence, Boot: r.boot}
	r.undo = func() { // the same command is to be tried again, not to be known
		r.restore(c.Host, was, known)
		delete(r.answers, id)
		r.order = r.order[:len(r.order)-1]
	}
	switch {
	case known && c.Fence < was.fence:
		a.Verdict, a.Fence = Rejected, was.fence
		a.Reason = fmt.Sprintf("operation %s with fence %d holds, %d is older", was.operation, was.fence, c.Fence)
	case known && c.Fence == was.fence:
		return a, false, fmt.Errorf("fence: %d is that of operation %q already", c.Fence, was.operation)
	default:
		r.scopes[c.Host] = held{c.Operation, c.Fence, c.Kind}
		act = !known || was.kind != c.Kind || c.Kind == Drain // a new drain may have another time to be done by
	}
	if len(r.order) >= mostAnswers {
		delete(r.answers, r.order[0])
		r.order = r.order[1:]
	}
	r.answers[id], r.order = given{c, a}, append(r.order, id)
	return a, act, nil
}

// Order makes a command of a front whose callers know no operations and fences: an order given by hand, after all that
// has come so far. It gets an operation of its own and the fence that holds, so that whoever gives orders by number is
// neither refused nor contradicted by it. undo takes back what was noted, for an order that could not be carried out.
func (r *Register) Order(c Command) (full Command, undo func(), err error) {
	was, known := r.scopes[c.Host]
	r.orders++
	c.Operation, c.Fence = fmt.Sprintf("by-hand-%s-%d", r.boot, r.orders), max(was.fence, 1)
	if err := c.Check(); err != nil {
		return c, nil, err
	}
	if !known && len(r.scopes) >= mostScopes {
		return c, nil, fmt.Errorf("words on %d hosts are held, no more can be", mostScopes)
	}
	r.scopes[c.Host] = held{c.Operation, was.fence, c.Kind}
	return c, func() { r.restore(c.Host, was, known) }, nil
}

// restore makes a scope what it was.
func (r *Register) restore(host string, was held, known bool) {
	if r.scopes[host] = was; !known {
		delete(r.scopes, host)
	}
}

// Holds tells which operation holds for the instance.
func (r *Register) Holds() (operation string, fence uint64) {
	h := r.scopes[""]
	return h.operation, h.fence
}
