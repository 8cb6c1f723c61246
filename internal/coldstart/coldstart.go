package coldstart

import (
	"math/rand/v2"
	"time"
)

// Scheduler schedules one node's list requests and decides which lists the node uses. It is not safe for concurrent
// use.
type Scheduler struct {
	cfg Config
	rng *rand.Rand

	// The held list: the endpoint list that the node has now.
	hasList         bool
	source          Source
	revision        int64
	lastConfirmedAt time.Duration // when discovery last sent or confirmed the held list

	// The list request in flight and the next one.
	requestInFlight bool          // a list request is in flight, or its watch is active
	listReceived    bool          // the request in flight has delivered a list
	requestPlanned  bool          // plannedAt is set
	plannedAt       time.Duration // time of the next list request
	requestRequired bool          // a list request must be sent, whatever peers send
	backoff         time.Duration // delay between list requests while they fail; 0 while they succeed
	notBefore       time.Duration // end of the delay that discovery set with Retry-After

	// Peer contact, and counters of list requests.
	lastPeerContactAt  time.Duration // when a peer last responded
	listRequests       int
	failedListRequests int
}

// New returns a Scheduler. held describes the list that the node already has. If source is NoSource or held has no
// hosts, the node has no list.
func New(cfg Config, rng *rand.Rand, now time.Duration, source Source, held Offer) *Scheduler {
	s := &Scheduler{cfg: cfg, rng: rng, lastPeerContactAt: now}
	if source != NoSource && held.Hosts > 0 {
		s.hasList = true
		s.source = source
		s.revision = held.Revision
		s.lastConfirmedAt = now - held.Age
	}
	return s
}

// ListRequestDue reports whether a list request is to be sent now. If so, the request counts as in flight until
// ListRequestFailed. It may be called at any time.
func (s *Scheduler) ListRequestDue(now time.Duration) bool {
	if s.requestInFlight {
		return false
	}
	peersKeepCurrent := s.source == SourcePeer && s.listAge(now) < s.maxPeerListAge()
	if peersKeepCurrent && !s.requestRequired {
		s.requestPlanned = false
		return false
	}
	s.adjustPlan(now)
	if now < s.plannedAt || now < s.notBefore {
		return false
	}
	s.requestPlanned = false
	s.requestInFlight = true
	s.listReceived = false
	s.listRequests++
	return true
}

// adjustPlan plans a list request if none is planned, and moves the planned one if conditions have changed.
func (s *Scheduler) adjustPlan(now time.Duration) {
	if !s.requestPlanned {
		s.plan(max(now, s.notBefore), s.spreadInterval(now))
	}
	// A node with peers plans its list requests over a longer interval. If the peers have fallen silent since, the node
	// can no longer rely on their list requests, and moves its own forward into the shorter interval.
	latest := max(now, s.notBefore) + s.spreadInterval(now)
	if s.plannedAt > latest {
		s.plannedAt = latest - s.jitter(s.spreadInterval(now)/2)
	}
	// A plan this late means that the process was suspended. Processes that were suspended together resume at the same
	// moment, so their list requests are spread again.
	if now > s.plannedAt+suspensionThreshold {
		s.plannedAt = now + s.jitter(s.spreadInterval(now))
	}
}

// plan plans the next list request at a random time within an interval.
func (s *Scheduler) plan(from, interval time.Duration) {
	s.requestPlanned = true
	s.plannedAt = from + s.jitter(interval)
}

// NextListRequestIn returns the longest time that may pass before ListRequestDue is called again.
func (s *Scheduler) NextListRequestIn(now time.Duration) time.Duration {
	if !s.requestPlanned {
		return noListRequest
	}
	return max(s.plannedAt-now, 0)
}

// spreadInterval returns the interval over which the nodes spread their list requests. It is short for the first
// requesters, longest for nodes that get lists from their peers, and in between for nodes that don't. While list
// requests fail, it is the backoff.
func (s *Scheduler) spreadInterval(now time.Duration) time.Duration {
	if s.backoff > 0 {
		return s.backoff
	}
	smallFleets := float64(s.cfg.NodeCount) / smallFleetSize
	if s.cfg.Peers && s.listRequests == 0 && s.cfg.Index < firstRequesters {
		return s.cfg.PollInterval / firstRequesterDivisor
	}
	if s.cfg.Peers && now-s.lastPeerContactAt < peerSilenceTimeout {
		longest := maxBackoffPolls * s.cfg.PollInterval
		return s.atLeastMinSpread(time.Duration(float64(longest) * min(1, smallFleets/fullSpreadFleets)))
	}
	// The interval grows with the number of nodes, from the shortest for one small fleet to half of PollInterval for
	// three. Half of PollInterval leaves the other half for a retry.
	return s.atLeastMinSpread(time.Duration(float64(s.cfg.PollInterval/2) * min(1, smallFleets/2-0.5)))
}

func (s *Scheduler) atLeastMinSpread(interval time.Duration) time.Duration {
	return max(interval, s.cfg.PollInterval/minSpreadDivisor)
}

// jitter returns a random duration between 0 and interval.
func (s *Scheduler) jitter(interval time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(interval))
}

// ListRequestFailed records that a list request failed or is overdue, or that its watch broke. retryAfter is the
// Retry-After of discovery, or 0 if it sent none; it is honoured up to the longest backoff.
func (s *Scheduler) ListRequestFailed(now time.Duration, retryAfter time.Duration) {
	longest := maxBackoffPolls * s.cfg.PollInterval
	s.requestInFlight = false
	s.failedListRequests++
	if s.listReceived { // the watch broke: discovery worked until now, so there is no backoff
		s.backoff = 0
		s.listReceived = false
	} else {
		s.backoff = min(max(2*s.backoff, s.spreadInterval(now)), longest)
	}
	s.notBefore = now + min(max(retryAfter, 0), longest)
	// The node waits for at least half of the backoff, and jitter spreads the retries of nodes that failed together.
	s.plan(max(s.notBefore, now+s.backoff/2), s.spreadInterval(now))
}

// ListReceived records that discovery has sent a list or confirmed the held one. The list request counts as in flight
// even if ListRequestFailed has been called for it, because it was only overdue.
func (s *Scheduler) ListReceived(now time.Duration, revision int64, hosts int) {
	s.hasList = s.hasList || hosts > 0
	s.source = SourceDiscovery
	s.revision = revision
	s.lastConfirmedAt = now
	s.requestInFlight = true
	s.requestPlanned = false
	s.listReceived = true
	s.requestRequired = false
	s.backoff = 0
	s.notBefore = 0
}

// Heartbeat records a heartbeat of discovery on a watch, and reports whether it confirms the held list.
func (s *Scheduler) Heartbeat(now time.Duration) bool {
	watchActive := s.requestInFlight && s.listReceived
	if watchActive {
		s.lastConfirmedAt = now
	}
	return watchActive
}

// SetDiscoveryName switches to another discovery service. Its revisions can't be compared with those of the previous
// one.
func (s *Scheduler) SetDiscoveryName(name string) {
	s.cfg.DiscoveryName = name
	s.revision = -1
	s.requestInFlight = false
	s.listReceived = false
	s.requestPlanned = false
	s.backoff = 0
	s.notBefore = 0
	if s.source != NoSource {
		s.source = SourceFile // the held list came from the previous discovery service, so it counts as not confirmed
	}
}

// MarkStale makes the node send list requests of its own until discovery has sent or confirmed a list, even if peers
// confirm the held list in the meantime.
func (s *Scheduler) MarkStale(now time.Duration) {
	if !s.requestInFlight && !s.requestRequired {
		s.plan(max(now, s.notBefore), s.spreadInterval(now))
	}
	s.requestRequired = true
}

// PeerContacted records that a peer has responded, with a list or without one.
func (s *Scheduler) PeerContacted(now time.Duration) {
	s.lastPeerContactAt = max(s.lastPeerContactAt, now)
}

// maxPeerListAge returns the age at which the node refreshes a peer list with a list request of its own.
func (s *Scheduler) maxPeerListAge() time.Duration { return s.cfg.PollInterval * 3 / 5 }

func (s *Scheduler) listAge(now time.Duration) time.Duration { return max(now-s.lastConfirmedAt, 0) }

// State describes a cold start.
type State struct {
	Phase        Phase
	Source       Source
	Revision     int64
	Age          time.Duration // age of the held list; 0 if there is none
	ListRequests int           // list requests sent so far
	Failed       int           // number of these that failed or whose watch broke
	Next         time.Duration // time until the next list request; 0 if none is planned
}

// State returns the state of the cold start.
func (s *Scheduler) State(now time.Duration) State {
	state := State{Source: s.source, Revision: s.revision, ListRequests: s.listRequests, Failed: s.failedListRequests}
	if s.requestPlanned {
		state.Next = max(s.plannedAt-now, 0)
	}
	if !s.hasList {
		return state
	}
	state.Age = s.listAge(now)
	state.Phase = StaleList
	confirmable := s.source == SourceDiscovery || s.source == SourcePeer
	if confirmable && state.Age <= s.cfg.PollInterval {
		state.Phase = CurrentList
	}
	return state
}
