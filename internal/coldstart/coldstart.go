// Package coldstart decides how a node comes to know the list of hosts where hundreds start at once: when this node asks
// the list service, what it takes from others that were told, and how old what it knows is. It is pure: events and the
// time come in, on the node's monotonic clock. internal/node, internal/control and internal/lifecycle act for it.
package coldstart

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Phase is the part of a start that a node is in.
type Phase uint8

// The parts.
const (
	NoList      Phase = iota // no list is known: nobody can be placed
	StaleList                // a list is known, and nobody has confirmed it within the time that the settings allow
	CurrentList              // confirmed within that time
)

// String names a part as operators read it.
func (p Phase) String() string { return [...]string{"none", "old", "current"}[p] }

// Source is where the list that a node holds came from.
type Source string

// The sources.
const (
	NoSource      Source = ""
	SourceFile    Source = "file"    // the configuration's list as it was last held
	SourceFolder  Source = "folder"  // the node's own lasting folder
	SourcePeer    Source = "peer"    // another node passed it on
	SourceService Source = "service" // the list service told it
)

// Config is what bounds a start. Times are spans.
type Config struct {
	NodeCount    int           // how many start together, by the settings
	Index        int           // of this node among them, from 0
	PollInterval time.Duration // the longest time between questions to the list, by the settings
	Peers        bool          // lists are passed on
	Service      string        // the name that all nodes know the list service by
}

const (
	// fewNodes is how many may ask within a twentieth of PollInterval: their calls wait for each other and no harm is done.
	fewNodes = 25
	// restTimes is how many times PollInterval a node's calls lie apart that fail, and those of nodes that are told by
	// others. The service must bear a call of every node in PollInterval, so this is a quarter of that, whatever the size.
	restTimes = 4
	// firstAsk is how many nodes, by their index, ask at once for all where lists are passed on.
	firstAsk = 4
	// aloneAfter is for how long no other node may have answered before this one counts as alone.
	aloneAfter = 6 * time.Second
	// stoodStill is how late a call may be before the process counts as one that did not run meanwhile.
	stoodStill = time.Second
	// MaxAge is the age from which on a list is worth nothing to anyone.
	MaxAge = 24 * time.Hour
	// UnknownAge is what a list of unknown age counts as.
	UnknownAge = MaxAge / 2
)

// Offer is a list that somebody passes on, without its hosts.
type Offer struct {
	Service  string        // that told it first
	Revision int64         // its number there
	Age      time.Duration // since the service last told or confirmed it
	Hosts    int
}

// Scheduler is the memory of one node's start.
type Scheduler struct {
	cfg Config
	rng *rand.Rand

	source    Source
	revision  int64
	confirmed time.Duration // when the service last told or confirmed what is held
	known     bool          // there is a list

	out    bool          // a call is under way, or its watch stands
	told   bool          // and has brought the list
	due    time.Duration // when the next call goes out, once planned
	plan   bool          // due means something
	must   bool          // a call is to be made, whatever others tell
	rest   time.Duration // what calls lie apart since they fail; 0 while they don't
	not    time.Duration // no call before, by the service's own word
	heard  time.Duration // when another node last answered
	calls  int
	failed int
}

// New begins a start. held says what is known already: its source is Nowhere where nothing is.
func New(cfg Config, rng *rand.Rand, now time.Duration, source Source, held Offer) *Scheduler {
	s := &Scheduler{cfg: cfg, rng: rng, heard: now}
	if source != NoSource && held.Hosts > 0 {
		s.known, s.source, s.revision, s.confirmed = true, source, held.Revision, now-held.Age
	}
	return s
}

// CallDue reports whether a call to the service goes out now. It is asked often; a call that it lets go is ended by Failed, or
// goes on for as long as its watch stands.
func (s *Scheduler) CallDue(now time.Duration) bool {
	if s.out {
		return false
	}
	if s.source == SourcePeer && s.age(now) < s.freshFor() && !s.must {
		s.plan = false // somebody else asks for this node
		return false
	}
	if !s.plan {
		s.plan, s.due = true, max(now, s.not)+s.jitter(s.span(now))
	}
	// Others that fall silent leave the node to itself: what was planned for one of many may be far off.
	if alone := max(now, s.not) + s.span(now); s.due > alone {
		s.due = alone - s.jitter(s.span(now)/2)
	}
	if now > s.due+stoodStill { // with all who were stopped and go on in the same instant
		s.due = now + s.jitter(s.span(now))
	}
	if now < s.due || now < s.not {
		return false
	}
	s.plan, s.out, s.told = false, true, false
	s.calls++
	return true
}

// noCall stands for a call that is not planned.
const noCall = time.Hour

// NextCallIn is the time until Due is to be asked again at the latest.
func (s *Scheduler) NextCallIn(now time.Duration) time.Duration {
	if !s.plan {
		return noCall
	}
	return max(s.due-now, 0)
}

// span is the time over which the nodes that would call the service spread their calls.
func (s *Scheduler) span(now time.Duration) time.Duration {
	if s.rest > 0 {
		return s.rest
	}
	size := float64(s.cfg.NodeCount) / fewNodes
	if s.cfg.Peers && s.calls == 0 && s.cfg.Index < firstAsk {
		return s.cfg.PollInterval / 100
	}
	if s.cfg.Peers && now-s.heard < aloneAfter { // the first that is told tells the others
		return s.least(time.Duration(float64(restTimes*s.cfg.PollInterval) * min(1, size/8)))
	}
	// Half of the time allowed is twice as fast as the service must bear, and leaves the other half for a repeat.
	return s.least(time.Duration(float64(s.cfg.PollInterval/2) * min(1, size/2-0.5)))
}

func (s *Scheduler) least(d time.Duration) time.Duration { return max(d, s.cfg.PollInterval/20) }

func (s *Scheduler) jitter(span time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(span))
}

// CallFailed says that a call ended, or its watch broke, and when the service said to come again: 0 for nothing. What it says
// is believed up to the rest that a node takes by itself: a word of an hour would leave the node blind for as long.
func (s *Scheduler) CallFailed(now time.Duration, after time.Duration) {
	s.out = false
	s.failed++
	if s.told { // a watch that broke: the service was well until now
		s.rest, s.told = 0, false
	} else {
		s.rest = min(max(2*s.rest, s.span(now)), restTimes*s.cfg.PollInterval)
	}
	s.not = now + min(max(after, 0), restTimes*s.cfg.PollInterval)
	// Those who failed together must not come again together, nor at once: the first half of the rest is kept.
	s.plan, s.due = true, max(s.not, now+s.rest/2)+s.jitter(s.span(now))
}

// ListReceived says that the service told a list, or confirmed the one that is held.
func (s *Scheduler) ListReceived(now time.Duration, revision int64, hosts int) {
	s.known = s.known || hosts > 0
	s.source, s.revision, s.confirmed = SourceService, revision, now
	s.told, s.must, s.rest, s.not = true, false, 0, 0
}

// Heartbeat says that the watch stands: what is held is confirmed. It reports whether it is.
func (s *Scheduler) Heartbeat(now time.Duration) bool {
	if s.out && s.told {
		s.confirmed = now
	}
	return s.out && s.told
}

// SetService says that another service is asked from now on, which knows no revision of the old one.
func (s *Scheduler) SetService(now time.Duration, service string) {
	s.cfg.Service, s.revision = service, -1
	s.out, s.told, s.plan, s.rest, s.not = false, false, false, 0, 0
	if s.source != NoSource {
		s.source = SourceFile // what is held is of another service: nobody confirms it
	}
}

// MarkStale has the node ask the service itself, whoever else tells it.
func (s *Scheduler) MarkStale(now time.Duration) {
	if !s.out && !s.must {
		s.plan, s.due = true, max(now, s.not)+s.jitter(s.span(now))
	}
	s.must = true // until the service has told: a call that is out, or the next one, may fail
}

// PeerContacted says that another node answered, whatever it had to tell.
func (s *Scheduler) PeerContacted(now time.Duration) { s.heard = max(s.heard, now) }

// Verdict is what becomes of an offer.
type Verdict uint8

// The verdicts.
const (
	Ignore  Verdict = iota // it is of no use here
	Confirm                // what is held is no older than that
	Adopt                  // it is newer than what is held
)

// ConsiderPeerList judges a list that another node passed on. It never goes back behind what is held, and never takes the place of
// what the service itself tells. The reason is for the log.
func (s *Scheduler) ConsiderPeerList(now time.Duration, o Offer) (v Verdict, why string) {
	at := now - max(o.Age, 0)
	switch {
	case o.Service != s.cfg.Service:
		return Ignore, fmt.Sprintf("it is of the service %q, this node asks %q", o.Service, s.cfg.Service)
	case o.Age > MaxAge:
		return Ignore, fmt.Sprintf("it is %s old", o.Age.Round(time.Second))
	case o.Hosts == 0:
		return Ignore, "it has no hosts"
	case s.out && s.told:
		return Ignore, "this node is told by the service itself"
	case s.known && o.Revision < s.revision:
		return Ignore, fmt.Sprintf("its revision %d is behind %d", o.Revision, s.revision)
	case s.known && o.Revision == s.revision:
		if at > s.confirmed {
			s.confirmed, s.source = at, SourcePeer
			return Confirm, ""
		}
		return Ignore, "it is older than what is held"
	}
	s.known, s.source, s.revision, s.confirmed = true, SourcePeer, o.Revision, at
	return Adopt, ""
}

// freshFor is how old what others told may be before the node asks for itself.
func (s *Scheduler) freshFor() time.Duration { return s.cfg.PollInterval * 3 / 5 }

func (s *Scheduler) age(now time.Duration) time.Duration { return max(now-s.confirmed, 0) }

// State is how a node's start stands.
type State struct {
	Phase    Phase
	Source   Source
	Revision int64
	Age      time.Duration // of what is held; 0 where nothing is
	Calls    int           // to the service so far, and how many of them failed or broke
	Failed   int
	Next     time.Duration // until the next call; 0 where none is planned
}

// State tells how the start stands.
func (s *Scheduler) State(now time.Duration) State {
	st := State{Source: s.source, Revision: s.revision, Calls: s.calls, Failed: s.failed}
	if s.plan {
		st.Next = max(s.due-now, 0)
	}
	if !s.known {
		return st
	}
	st.Phase, st.Age = StaleList, s.age(now)
	if (s.source == SourceService || s.source == SourcePeer) && st.Age <= s.cfg.PollInterval {
		st.Phase = CurrentList
	}
	return st
}
