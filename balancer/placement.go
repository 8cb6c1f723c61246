package balancer

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
)

const (
	reinstateDelay = 2 * time.Second // time after which a reinstated server gets the next request, whatever its key

	maxGroupProbes       = 4 // servers on which a group may open its first connection in an overloaded fleet
	lowSampleGroupProbes = 2 // maxGroupProbes at a node with a low sample
	lowSampleReplicas    = 4 // replicas of each group at a node with a low sample
	minReconnectReplicas = 3 // replicas among which a reconnecting client gets a replica other than its usual one

	minZoneLocalCost = 0.05 // lowest cross-zone cost at which clients are kept in this node's zone
)

// tablePosition is the position at which the table scan for a request begins.
type tablePosition struct {
	hash     uint64 // hash of the request's or of its group's first entry
	replica  int    // index of this client's replica among the group's
	replicas int    // number of the group's replicas
}

// preferredEntry returns the request's position in the table. Requests with a group are placed by the hash of the
// group, because connections of a group share work on a server. Other requests are placed by the hash of their client
// key, and requests without a key by the hash of their id. A group with several replicas has an entry for each, with a
// hash derived from that of the first. The client key selects a replica; most keys keep it when the number changes.
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
	if req.Reconnect && b.lowSample() && !req.MidFlow { // the reason for the reconnect probably persists
		position.replicas = max(position.replicas, minReconnectReplicas)
		others := uint64(position.replicas - 1)
		skip := 1 + int(xxhash.Sum64String(string(req.ID))%others)
		position.replica = (position.replica + skip) % position.replicas
	}
	return position
}

// candidateEntry returns the i-th entry of a scan: first the preferred entry, then those of the group's other replicas,
// then the entries after the preferred one.
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

// replicaCount returns the number of replicas of a group, which grows with the group's share of this node's connections
// and with the number of servers. A node with a low sample can detect neither the size of a group nor a hot spot. At
// such a node each group has the same small number of replicas, and fewer while much of the fleet's weight is missing,
// because each replica costs load.
func (b *Balancer) replicaCount(group string) int {
	servers := float64(len(b.table.members))
	zoneLocal := b.settings.CrossZoneCost >= minZoneLocalCost
	if zoneLocal { // the group has replicas of its own in each zone
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

// lowSample reports whether this node has a low sample: according to the quotas it has too few connections on each
// server to judge the server by them.
func (b *Balancer) lowSample() bool {
	quota := b.derived.connectionQuota
	return quota > 0 && quota < minOverloadConnections*float64(len(b.table.members))
}

// isZoneLocal reports whether clients with this preferred entry are kept in this node's zone. All clients are kept if
// the zone's servers have the capacity, on the assumption that every zone gets the same number of clients. Otherwise
// only the fraction that these servers have capacity for is kept. The hash decides which clients belong to it.
func (b *Balancer) isZoneLocal(hash uint64) bool {
	if b.settings.CrossZoneCost < minZoneLocalCost {
		return false
	}
	zoneShare := b.fleet.zoneWeight * float64(b.settings.Zones) / max(b.fleet.weight, 1e-9)
	return float64(mix(hash, uint64(b.settings.Zone)+1)) < zoneShare*math.MaxUint64
}

// isEligible reports whether a server may get a request: the attempt must be safe and within the server's slow-start
// budget.
func (b *Balancer) isEligible(srv *server, req *request) bool {
	return b.mayAttempt(req, srv) && b.hasSlowStartBudget(srv)
}

// selectServer selects the first hop of the request's preferred entry, or the second hop for a mid-flow arrival while
// that entry changes. If that server can't get the request, it selects the best server among the candidate entries,
// which are the same at every node. It returns nil if there is none.
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

// overdueReinstated returns a server that operators reinstated and that has had no request for reinstateDelay, or nil.
// Operators expect to see such a server used, even if few clients hash to its entries.
func (b *Balancer) overdueReinstated(req *request) *server {
	for _, srv := range b.reinstated {
		due := b.now >= srv.reinstatedAt+reinstateDelay
		if due && !req.MidFlow && b.isEligible(srv, req) && !b.isEjected(srv) {
			return srv
		}
	}
	return nil
}

// candidateRank ranks the servers that may get a request in place of its preferred one. The lowest rank is best.
type candidateRank int

const (
	rankHasGroup   candidateRank = iota // has connections of the group, so the request adds no group cost
	rankNext                            // has the next entry
	rankOverloaded                      // is overloaded; the least loaded one is best
	rankEjected                         // is ejected; the one whose ejection ends first is best
)

// tableScan is one search of the table for the server of a request.
type tableScan struct {
	*Balancer
	request       *request
	zoneLocal     bool // only servers in this node's zone are preferred
	pastPreferred bool // the scan has visited the preferred server
	probesLeft    int  // servers on which the group may still open its first connection in an overloaded fleet

	best      *server
	bestRank  candidateRank
	bestScore float64 // orders servers of the same rank; the lowest score is best
}

// midFlowServer returns the server of a mid-flow connection according to the table, however loaded the server is, or
// nil if that server can't get the request.
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

// consider examines the next server of the scan. It reports whether the request goes there and the scan ends.
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
		return false // the group would cost load on one more server
	}
	switch {
	case ejected:
		s.propose(srv, rankEjected, srv.ejectedUntil.Seconds())
	case s.exceedsLimit(srv, s.request, addedLoad): // another connection would delay the messages of all
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

// propose makes a server the best one if it is better than the best one so far.
func (s *tableScan) propose(srv *server, rank candidateRank, score float64) {
	if s.best == nil || rank < s.bestRank || rank == s.bestRank && score < s.bestScore {
		s.best, s.bestRank, s.bestScore = srv, rank, score
	}
}
