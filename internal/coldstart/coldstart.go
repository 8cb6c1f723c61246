package coldstart

import (
	"math/rand/v2"
	"time"
)

// Scheduler is the state of one node's cold start. It is not safe for concurrent use.
type Scheduler struct {
	cfg Config
	rng *rand.Rand

	hasList         bool
	source          Source
	revision        int64
	lastConfirmedAt time.Duration // when the service last sent or confirmed the held list

	callInFlight bool          // a call is being made, or its watch is active
	listReceived bool          // and it has brought the list
	callPlanned  bool          // plannedAt is set
	plannedAt    time.Duration // of the next call
	callRequired bool          // the service must be called, whatever peers send
	backoff      time.Duration // between calls since they fail; 0 while they don't
	notBefore    time.Duration // Retry-After of the service

	lastPeerContactAt time.Duration // when a peer last answered
	calls             int
	failedCalls       int
}

// New creates a Scheduler. held describes the list that is known already; with NoSource there is none.
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

// ListRequestDue reports whether the service is to be called now. If so the call counts as in flight until ListRequestFailed. It
// may be asked at any time.
func (s *Scheduler) ListRequestDue(now time.Duration) bool {
	if s.callInFlight {
		return false
	}
	peersKeepCurrent := s.source == SourcePeer && s.listAge(now) < s.maxPeerListAge()
	if peersKeepCurrent && !s.callRequired {
		s.callPlanned = false
		return false
	}
	s.adjustPlan(now)
	if now < s.plannedAt || now < s.notBefore {
		return false
	}
	s.callPlanned = false
	s.callInFlight = true
	s.listReceived = false
	s.calls++
	return true
}

// adjustPlan plans a call if there is none, and moves the planned one where conditions have changed.
func (s *Scheduler) adjustPlan(now time.Duration) {
	if !s.callPlanned {
		s.plan(max(now, s.notBefore), s.spreadInterval(now))
	}
	// Once its peers fall silent the node calls for itself: the plan may be that of one of many.
	latest := max(now, s.notBefore) + s.spreadInterval(now)
	if s.plannedAt > latest {
		s.plannedAt = latest - s.jitter(s.spreadInterval(now)/2)
	}
	// Processes that were suspended together are resumed in the same instant.
	if now > s.plannedAt+suspensionThreshold {
		s.plannedAt = now + s.jitter(s.spreadInterval(now))
	}
}

// plan plans the next call at a random time of an interval.
func (s *Scheduler) plan(from, interval time.Duration) {
	s.callPlanned = true
	s.plannedAt = from + s.jitter(interval)
}

// NextListRequestIn returns the time after which ListRequestDue is to be asked again at the latest.
func (s *Scheduler) NextListRequestIn(now time.Duration) time.Duration {
	if !s.callPlanned {
		return noCall
	}
	return max(s.plannedAt-now, 0)
}

// spreadInterval returns the interval over which the nodes spread their calls.
func (s *Scheduler) spreadInterval(now time.Duration) time.Duration {
	if s.backoff > 0 {
		return s.backoff
	}
	fleets := float64(s.cfg.NodeCount) / smallFleetSize
	if s.cfg.Peers && s.calls == 0 && s.cfg.Index < firstCallers {
		return s.cfg.PollInterval / firstCallerDivisor
	}
	if s.cfg.Peers && now-s.lastPeerContactAt < peerSilenceTimeout {
		longest := maxBackoffPolls * s.cfg.PollInterval
		return s.atLeastMinSpread(time.Duration(float64(longest) * min(1, fleets/fullSpreadFleets)))
	}
	// Half of PollInterval leaves the other half for a retry.
	return s.atLeastMinSpread(time.Duration(float64(s.cfg.PollInterval/2) * min(1, fleets/2-0.5)))
}

func (s *Scheduler) atLeastMinSpread(interval time.Duration) time.Duration {
	return max(interval, s.cfg.PollInterval/minSpreadDivisor)
}

// jitter draws a random part of an interval.
func (s *Scheduler) jitter(interval time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(interval))
}

// ListRequestFailed records that a call failed, or that its watch broke. retryAfter is what the service asked for, 0 for
// nothing; it is honoured up to the longest backoff.
func (s *Scheduler) ListRequestFailed(now time.Duration, retryAfter time.Duration) {
	longest := maxBackoffPolls * s.cfg.PollInterval
	s.callInFlight = false
	s.failedCalls++
	if s.listReceived { // the watch broke: the service was well until now
		s.backoff = 0
		s.listReceived = false
	} else {
		s.backoff = min(max(2*s.backoff, s.spreadInterval(now)), longest)
	}
	s.notBefore = now + min(max(retryAfter, 0), longest)
	// At least half of the backoff passes, and nodes that failed together retry apart.
	s.plan(max(s.notBefore, now+s.backoff/2), s.spreadInterval(now))
}

// ListReceived records that the service has sent a list or confirmed the held one.
func (s *Scheduler) ListReceived(now time.Duration, revision int64, hosts int) {
	s.hasList = s.hasList || hosts > 0
	s.source = SourceDiscovery
	s.revision = revision
	s.lastConfirmedAt = now
	s.listReceived = true
	s.callRequired = false
	s.backoff = 0
	s.notBefore = 0
}

// Heartbeat records that the service has confirmed an idle watch, and reports whether that confirms the held list.
func (s *Scheduler) Heartbeat(now time.Duration) bool {
	watchActive := s.callInFlight && s.listReceived
	if watchActive {
		s.lastConfirmedAt = now
	}
	return watchActive
}

// SetService switches to another list service, which knows no revision of the former one.
func (s *Scheduler) SetService(service string) {
	s.cfg.Service = service
	s.revision = -1
	s.callInFlight = false
	s.listReceived = false
	s.callPlanned = false
	s.backoff = 0
	s.notBefore = 0
	if s.source != NoSource {
		s.source = SourceFile // the held list is of the former service: nothing confirms it
	}
}

// MarkStale makes the node call the service itself, whatever its peers send, until the service has answered.
func (s *Scheduler) MarkStale(now time.Duration) {
	if !s.callInFlight && !s.callRequired {
		s.plan(max(now, s.notBefore), s.spreadInterval(now))
	}
	s.callRequired = true
}

// PeerContacted records that a peer has answered, whatever it sent.
func (s *Scheduler) PeerContacted(now time.Duration) {
	s.lastPeerContactAt = max(s.lastPeerContactAt, now)
}

// maxPeerListAge returns the age from which a peer's list is refreshed by a call of this node.
func (s *Scheduler) maxPeerListAge() time.Duration { return s.cfg.PollInterval * 3 / 5 }

func (s *Scheduler) listAge(now time.Duration) time.Duration { return max(now-s.lastConfirmedAt, 0) }

// State describes a cold start.
type State struct {
	Phase        Phase
	Source       Source
	Revision     int64
	Age          time.Duration // of the held list; 0 if there is none
	ListRequests int           // to the service so far
	Failed       int           // of these, failed calls and broken watches
	Next         time.Duration // time until the next call; 0 if none is planned
}

// State returns the state of the cold start.
func (s *Scheduler) State(now time.Duration) State {
	state := State{Source: s.source, Revision: s.revision, ListRequests: s.calls, Failed: s.failedCalls}
	if s.callPlanned {
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
