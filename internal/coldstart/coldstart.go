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
	// smallFleetSize is how many may ask within a twentieth of PollInterval: their calls wait for each other and no harm is done.
	smallFleetSize = 25
	// maxBackoffPolls is how many times PollInterval a node's calls lie apart that fail, and those of nodes that are told by
	// others. The service must bear a call of every node in PollInterval, so this is a quarter of that, whatever the size.
	maxBackoffPolls = 4
	// firstCallers is how many nodes, by their index, ask at once for all where lists are passed on.
	firstCallers = 4
	// peerSilenceTimeout is for how long no other node may have answered before this one counts as alone.
	peerSilenceTimeout = 6 * time.Second
	// maxSchedulingDelay is how late a call may be before the process counts as one that did not run meanwhile.
	maxSchedulingDelay = time.Second
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

	source          Source
	revision        int64
	lastConfirmedAt time.Duration // when the service last told or confirmed what is held
	hasList         bool          // there is a list

	callInFlight      bool          // a call is under way, or its watch stands
	listReceived      bool          // and has brought the list
	plannedAt         time.Duration // when the next call goes out, once planned
	callPlanned       bool          // due means something
	callRequired      bool          // a call is to be made, whatever others tell
	backoff           time.Duration // what calls lie apart since they fail; 0 while they don't
	notBefore         time.Duration // no call before, by the service's own word
	lastPeerContactAt time.Duration // when another node last answered
	calls             int
	failedCalls       int
}

// New begins a start. held says what is known already: its source is Nowhere where nothing is.
func New(cfg Config, rng *rand.Rand, now time.Duration, source Source, held Offer) *Scheduler {
	s := &Scheduler{cfg: cfg, rng: rng, lastPeerContactAt: now}
	if source != NoSource && held.Hosts > 0 {
		s.hasList, s.source, s.revision, s.lastConfirmedAt = true, source, held.Revision, now-held.Age
	}
	return s
}

// CallDue reports whether a call to the service goes out now. It is asked often; a call that it lets go is ended by Failed, or
// goes on for as long as its watch stands.
func (s *Scheduler) CallDue(now time.Duration) bool {
	if s.callInFlight {
		return false
	}
	if s.source == SourcePeer && s.listAge(now) < s.maxPeerListAge() && !s.callRequired {
		s.callPlanned = false // somebody else asks for this node
		return false
	}
	if !s.callPlanned {
		s.callPlanned, s.plannedAt = true, max(now, s.notBefore)+s.jitter(s.spreadInterval(now))
	}
	// Others that fall silent leave the node to itself: what was planned for one of many may be far off.
	if alone := max(now, s.notBefore) + s.spreadInterval(now); s.plannedAt > alone {
		s.plannedAt = alone - s.jitter(s.spreadInterval(now)/2)
	}
	if now > s.plannedAt+maxSchedulingDelay { // with all who were stopped and go on in the same instant
		s.plannedAt = now + s.jitter(s.spreadInterval(now))
	}
	if now < s.plannedAt || now < s.notBefore {
		return false
	}
	s.callPlanned, s.callInFlight, s.listReceived = false, true, false
	s.calls++
	return true
}

// noCall stands for a call that is not planned.
const noCall = time.Hour

// NextCallIn is the time until Due is to be asked again at the latest.
func (s *Scheduler) NextCallIn(now time.Duration) time.Duration {
	if !s.callPlanned {
		return noCall
	}
	return max(s.plannedAt-now, 0)
}

// spreadInterval is the time over which the nodes that would call the service spread their calls.
func (s *Scheduler) spreadInterval(now time.Duration) time.Duration {
	if s.backoff > 0 {
		return s.backoff
	}
	size := float64(s.cfg.NodeCount) / smallFleetSize
	if s.cfg.Peers && s.calls == 0 && s.cfg.Index < firstCallers {
		return s.cfg.PollInterval / 100
	}
	if s.cfg.Peers && now-s.lastPeerContactAt < peerSilenceTimeout { // the first that is told tells the others
		return s.atLeastMinSpread(time.Duration(float64(maxBackoffPolls*s.cfg.PollInterval) * min(1, size/8)))
	}
	// Half of the time allowed is twice as fast as the service must bear, and leaves the other half for a repeat.
	return s.atLeastMinSpread(time.Duration(float64(s.cfg.PollInterval/2) * min(1, size/2-0.5)))
}

func (s *Scheduler) atLeastMinSpread(d time.Duration) time.Duration {
	return max(d, s.cfg.PollInterval/20)
}

func (s *Scheduler) jitter(span time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(span))
}

// CallFailed says that a call ended, or its watch broke, and when the service said to come again: 0 for nothing. What it says
// is believed up to the rest that a node takes by itself: a word of an hour would leave the node blind for as long.
func (s *Scheduler) CallFailed(now time.Duration, after time.Duration) {
	s.callInFlight = false
	s.failedCalls++
	if s.listReceived { // a watch that broke: the service was well until now
		s.backoff, s.listReceived = 0, false
	} else {
		s.backoff = min(max(2*s.backoff, s.spreadInterval(now)), maxBackoffPolls*s.cfg.PollInterval)
	}
	s.notBefore = now + min(max(after, 0), maxBackoffPolls*s.cfg.PollInterval)
	// Those who failed together must not come again together, nor at once: the first half of the rest is kept.
	s.callPlanned, s.plannedAt = true, max(s.notBefore, now+s.backoff/2)+s.jitter(s.spreadInterval(now))
}

// ListReceived says that the service told a list, or confirmed the one that is held.
func (s *Scheduler) ListReceived(now time.Duration, revision int64, hosts int) {
	s.hasList = s.hasList || hosts > 0
	s.source, s.revision, s.lastConfirmedAt = SourceService, revision, now
	s.listReceived, s.callRequired, s.backoff, s.notBefore = true, false, 0, 0
}

// Heartbeat says that the watch stands: what is held is confirmed. It reports whether it is.
func (s *Scheduler) Heartbeat(now time.Duration) bool {
	if s.callInFlight && s.listReceived {
		s.lastConfirmedAt = now
	}
	return s.callInFlight && s.listReceived
}

// SetService says that another service is asked from now on, which knows no revision of the old one.
func (s *Scheduler) SetService(now time.Duration, service string) {
	s.cfg.Service, s.revision = service, -1
	s.callInFlight, s.listReceived, s.callPlanned, s.backoff, s.notBefore = false, false, false, 0, 0
	if s.source != NoSource {
		s.source = SourceFile // what is held is of another service: nobody confirms it
	}
}

// MarkStale has the node ask the service itself, whoever else tells it.
func (s *Scheduler) MarkStale(now time.Duration) {
	if !s.callInFlight && !s.callRequired {
		s.callPlanned, s.plannedAt = true, max(now, s.notBefore)+s.jitter(s.spreadInterval(now))
	}
	s.callRequired = true // until the service has told: a call that is out, or the next one, may fail
}

// PeerContacted says that another node answered, whatever it had to tell.
func (s *Scheduler) PeerContacted(now time.Duration) {
	s.lastPeerContactAt = max(s.lastPeerContactAt, now)
}

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
	case s.callInFlight && s.listReceived:
		return Ignore, "this node is told by the service itself"
	case s.hasList && o.Revision < s.revision:
		return Ignore, fmt.Sprintf("its revision %d is behind %d", o.Revision, s.revision)
	case s.hasList && o.Revision == s.revision:
		if at > s.lastConfirmedAt {
			s.lastConfirmedAt, s.source = at, SourcePeer
			return Confirm, ""
		}
		return Ignore, "it is older than what is held"
	}
	s.hasList, s.source, s.revision, s.lastConfirmedAt = true, SourcePeer, o.Revision, at
	return Adopt, ""
}

// maxPeerListAge is how old what others told may be before the node asks for itself.
func (s *Scheduler) maxPeerListAge() time.Duration { return s.cfg.PollInterval * 3 / 5 }

func (s *Scheduler) listAge(now time.Duration) time.Duration { return max(now-s.lastConfirmedAt, 0) }

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
	st := State{Source: s.source, Revision: s.revision, Calls: s.calls, Failed: s.failedCalls}
	if s.callPlanned {
		st.Next = max(s.plannedAt-now, 0)
	}
	if !s.hasList {
		return st
	}
	st.Phase, st.Age = StaleList, s.listAge(now)
	if (s.source == SourceService || s.source == SourcePeer) && st.Age <= s.cfg.PollInterval {
		st.Phase = CurrentList
	}
	return st
}
