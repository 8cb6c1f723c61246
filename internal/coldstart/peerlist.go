package coldstart

import (
	"fmt"
	"time"
)

// Offer describes a list that a peer passes on, without its hosts.
type Offer struct {
	Service  string        // that sent it first
	Revision int64         // at that service
	Age      time.Duration // since the service last sent or confirmed it
	Hosts    int
}

// Verdict tells what is to be done with an offer.
type Verdict uint8

// The verdicts.
const (
	Ignore  Verdict = iota // not usable
	Confirm                // the same list as the held one, confirmed later
	Adopt                  // newer than the held list
)

// ConsiderPeerList judges a peer's list. It never replaces a newer list, nor one that the service itself keeps current.
// The reason is for the log, empty unless the verdict is Ignore.
func (s *Scheduler) ConsiderPeerList(now time.Duration, offer Offer) (verdict Verdict, reason string) {
	if reason = s.refusal(offer); reason != "" {
		return Ignore, reason
	}
	confirmedAt := now - max(offer.Age, 0)
	if s.hasList && offer.Revision == s.revision {
		if confirmedAt <= s.lastConfirmedAt {
			return Ignore, "held list was confirmed later"
		}
		s.lastConfirmedAt = confirmedAt
		s.source = SourcePeer
		return Confirm, ""
	}
	s.hasList = true
	s.source = SourcePeer
	s.revision = offer.Revision
	s.lastConfirmedAt = confirmedAt
	return Adopt, ""
}

// refusal returns why an offer can't be used, empty if it can.
func (s *Scheduler) refusal(offer Offer) string {
	switch {
	case offer.Service != s.cfg.Service:
		return fmt.Sprintf("list is of service %q, this node uses %q", offer.Service, s.cfg.Service)
	case offer.Age > MaxAge:
		return fmt.Sprintf("list is %s old", offer.Age.Round(time.Second))
	case offer.Hosts == 0:
		return "list has no hosts"
	case s.callInFlight && s.listReceived:
		return "list service keeps this node current"
	case s.hasList && offer.Revision < s.revision:
		return fmt.Sprintf("revision %d is behind %d", offer.Revision, s.revision)
	}
	return ""
}
