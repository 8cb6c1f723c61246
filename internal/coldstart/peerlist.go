package coldstart

import (
	"fmt"
	"time"
)

// Offer describes a list that the node has or that a peer offers, without the endpoints.
type Offer struct {
	DiscoveryName string        // name of the discovery service that the list came from
	Revision      int64         // revision of the list at discovery
	Age           time.Duration // time since discovery last sent or confirmed the list
	Hosts         int           // number of hosts in the list
}

// Verdict tells the node what to do with an offered list.
type Verdict uint8

// The verdicts.
const (
	Ignore  Verdict = iota // don't use the offered list
	Confirm                // keep the held list: the offer has the same revision and a later confirmation
	Adopt                  // replace the held list with the offered one
)

// ConsiderPeerList decides whether the node uses a peer list. A peer list never replaces a newer list, nor a list that
// an active watch keeps current. The reason is for the log, and empty unless the verdict is Ignore.
func (s *Scheduler) ConsiderPeerList(now time.Duration, offer Offer) (verdict Verdict, reason string) {
	if reason = s.ignoreReason(offer); reason != "" {
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

// ignoreReason returns the reason why an offer can't be used, or "" if it can.
func (s *Scheduler) ignoreReason(offer Offer) string {
	switch {
	case offer.DiscoveryName != s.cfg.DiscoveryName:
		return fmt.Sprintf("list is from discovery service %q, this node uses %q", offer.DiscoveryName, s.cfg.DiscoveryName)
	case offer.Age > MaxAge:
		return fmt.Sprintf("list is %s old", offer.Age.Round(time.Second))
	case offer.Hosts == 0:
		return "list has no hosts"
	case s.requestInFlight && s.listReceived:
		return "discovery keeps the held list current"
	case s.hasList && offer.Revision < s.revision:
		return fmt.Sprintf("revision %d is older than held revision %d", offer.Revision, s.revision)
	}
	return ""
}
