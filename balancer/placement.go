package balancer

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
)

const (
	reinstateDelay = 2 * time.Second // until a reinstated server is used, whatever its entries

	maxGroupProbes       = 4 // servers that a group may newly use in an overloaded fleet
	lowSampleGroupProbes = 2 // the same at a node with a low sample
	lowSampleReplicas    = 4 // replicas of each group at a node with a low sample
	minReconnectReplicas = 3 // replicas among which a reconnecting client finds another than its first

	minZoneLocalCost = 0.05 // cross-zone cost from which clients are kept in this node's zone
)

// tablePosition is where the scan of the table for a request begins.
type tablePosition struct {
	hash     uint64 // of the first entry of the request or of its group
	replica  int    // of the group's entries, the one that is this client's
	replicas int    // number of the group's entries
}

// preferredEntry returns the request's position in the table, by the hash of its client key, or of its group where
// there is one, as connections of a group share work on a server; by its own id where it has neither. A group with
// several replicas has further entries, each hashed from the first. The client's key picks one of them, and most
// keys keep their replica as the number changes.
func (b *Balancer) preferredEntry(req *request) tablePosition {
	key := cmp.Or(req.Key, string(req.ID))
	position := tablePosition{
		hash:     xxhash.Sum64String(cmp.Or(req.Group, key)),
		replicas: 1,
	}
	if req.Group == "" {
		return position
	}
	position.replicas = b.replicaCount(req.Group)
	position.replica = int(jump.Hash(xxhash.Sum64String(key), position.replicas))
	if req.Reconnect && b.lowSample() && !req.MidFlow { // what moved the client away is likely to last
		position.replicas = max(position.replicas, minReconnectReplicas)
		others := uint64(position.replicas - 1)
		skip := 1 + int(xxhash.Sum64String(string(req.ID))%others)
		position.replica = (position.replica + skip) % position.replicas
	}
	return position
}

// candidateEntry returns the i-th entry to look at: the preferred one, the group's other replicas, then the entries
// that follow the preferred one.
func (b *Balancer) candidateEntry(position tablePosition, i int) int {
	replica, offset := position.replica, 0
	if i < position.replicas {
		replica = (replica + i) % position.replicas
	} else {
		offset = i - (position.replicas - 1)
	}
	hash := position.hash
	if replica > 0 {
		hash = mix(hash, uint64(replica))
	}
	size := uint64(len(b.table.first))
	return int((hash%size + uint64(offset)) % size)
}

// replicaCount returns the number of replicas of a group: its part of what this node has open, in servers' parts. A
// node with a low sample can tell neither a group's size nor a hot spot. There each group has the same few
// replicas, fewer while much of the listed weight is gone: each replica costs load.
func (b *Balancer) replicaCount(group string) int {
	servers := float64(len(b.table.members))
	zoneLocal := b.settings.CrossZoneCost >= minZoneLocalCost
	if zoneLocal { // it has replicas in each zone
		servers *= b.fleet.zoneWeight / max(b.fleet.weight, b.fleet.zoneWeight)
	}
	switch {
	case b.lowSample() && zoneLocal:
		return 1
	case b.lowSample():
		return max(1, int(math.Round(lowSampleReplicas*b.fleet.weight/b.fleet.maxWeight)))
	}
	return 1 + int(float64(b.counts.byGroup[group])/float64(b.counts.connections+1)*servers/overloadFactor)
}

// lowSample reports whether, by the quotas, this node is to have too few connections on a server to judge it by them.
func (b *Balancer) lowSample() bool {
	quota := b.derived.connectionQuota
	return quota > 0 && quota < minOverloadConnections*float64(len(b.table.members))
}

// isZoneLocal reports whether the clients of a preferred entry are kept in this node's zone: all of them, or as
// many as its servers have capacity for if clients come to all zones alike. The hash says which.
func (b *Balancer) isZoneLocal(hash uint64) bool {
	if b.settings.CrossZoneCost < minZoneLocalCost {
		return false
	}
	zoneShare := b.fleet.zoneWeight * float64(b.settings.Zones) / max(b.fleet.weight, 1e-9)
	return float64(mix(hash, uint64(b.settings.Zone)+1)) < zoneShare*math.MaxUint64
}

// isEligible reports whether a server may get a request: a retry there is safe and its slow start allows it.
func (b *Balancer) isEligible(srv *server, req *request) bool {
	return b.mayAttempt(req, srv) && b.hasSlowStartBudget(srv)
}

// selectServer picks the first hop of the request's preferred entry, or the second hop for a mid-flow arrival while
// that entry changes. Where that server can't take it, the best of those that the candidate entries name, which are
// the same at every node; nil where there is none.
func (b *Balancer) selectServer(req *request) *server {
	if srv := b.overdueReinstated(req); srv != nil {
		return srv
	}
	position := b.preferredEntry(req)
	b.scans++
	scan := tableScan{
		Balancer:   b,
		request:    req,
		zoneLocal:  b.isZoneLocal(position.hash),
		probesLeft: b.fleet.maxProbes,
	}
	entries := len(b.table.first) + position.replicas
	unseen := len(b.table.members)
	for i := 0; i < entries && unseen > 0; i++ {
		entry := b.candidateEntry(position, i)
		if req.MidFlow && !scan.pastPreferred {
			if srv := scan.midFlowServer(entry); srv != nil {
				return srv
			}
		}
		srv := b.table.first[entry]
		if srv == nil || srv.lastScan == b.scans {
			continue
		}
		srv.lastScan = b.scans
		unseen--
		if scan.consider(srv) {
			return srv
		}
	}
	return scan.best
}

// overdueReinstated returns a server that operators brought back and that has got nothing for a while: they expect
// to see it used, also where clients of its entries are few.
func (b *Balancer) overdueReinstated(req *request) *server {
	for _, srv := range b.reinstated {
		due := b.now >= srv.reinstatedAt+reinstateDelay
		if due && !req.MidFlow && b.isEligible(srv, req) && !b.isEjected(srv) {
			return srv
		}
	}
	return nil
}

// candidateRank orders the servers that a request may go to instead of its preferred one; the least is best.
type candidateRank int

const (
	rankHasGroup   candidateRank = iota // the group's cost is paid there already
	rankNext                            // the next entry that names another server
	rankOverloaded                      // the least loaded one is best
	rankEjected                         // the one whose ejection ends first is best
)

// tableScan is one search of the table for the server of a request.
type tableScan struct {
	*Balancer
	request       *request
	zoneLocal     bool
	pastPreferred bool // the preferred server has been met
	probesLeft    int  // servers that the group may still newly use, in an overloaded fleet

	best      *server
	bestRank  candidateRank
	bestScore float64 // orders servers of the same rank; the least is best
}

// midFlowServer returns the server on which the table put a mid-flow connection, however loaded it is.
func (s *tableScan) midFlowServer(entry int) *server {
	for _, srv := range s.table.hops(entry) {
		if srv == nil || s.zoneLocal && srv.zone != s.settings.Zone {
			continue
		}
		if s.isEligible(srv, s.request) && !s.isEjected(srv) {
			return srv
		}
	}
	return nil
}

// consider looks at the next server of the scan and reports whether the request goes there without looking further.
func (s *tableScan) consider(srv *server) bool {
	preferred := !s.pastPreferred && (!s.zoneLocal || srv.zone == s.settings.Zone)
	s.pastPreferred = s.pastPreferred || preferred
	if !s.isEligible(srv, s.request) {
		return false
	}
	hasGroup := s.request.Group != "" && srv.groups[s.request.Group] > 0
	addedLoad := s.request.load
	if !hasGroup {
		addedLoad += s.loads.groupCost
	}
	ejected := s.isEjected(srv) && !s.fleet.ignoreEjections
	if s.pastPreferred && !ejected {
		s.probesLeft--
	}
	if s.probesLeft < 0 && !hasGroup && s.fleet.overloaded && s.request.Group != "" {
		return false // a group that scatters costs load on every server
	}
	switch {
	case ejected:
		s.propose(srv, rankEjected, srv.ejectedUntil.Seconds())
	case s.exceedsLimit(srv, s.request, addedLoad): // one more would make all of its messages late
	case s.isOverloaded(srv, addedLoad):
		s.propose(srv, rankOverloaded, s.loadOf(srv)/s.capacityOf(srv))
	case preferred:
		return true
	case hasGroup:
		s.propose(srv, rankHasGroup, 0)
	default:
		s.propose(srv, rankNext, 0)
	}
	return false
}

// propose keeps a server where it is better than the best one so far.
func (s *tableScan) propose(srv *server, rank candidateRank, score float64) {
	if s.best == nil || rank < s.bestRank || rank == s.bestRank && score < s.bestScore {
		s.best, s.bestRank, s.bestScore = srv, rank, score
	}
}
