package balancer

import (
	"fmt"
	"time"
)

const (
	maxEjectedFraction  = 0.5 // fraction of the fleet's weight; if more is ejected, the cause is not in the servers
	outlierLogThreshold = 2   // number of consecutive failures at which the ejection is logged
)

// recordFailure counts a failed attempt and ejects the server for the given duration.
func (b *Balancer) recordFailure(srv *server, ejectFor time.Duration) {
	srv.consecutiveFailures++
	srv.ejectedUntil = max(srv.ejectedUntil, b.now+ejectFor)
	if srv.consecutiveFailures == outlierLogThreshold {
		b.log(fmt.Sprintf("outlier ejected server=%s consecutive_failures=%d", srv.id, srv.consecutiveFailures))
	}
}

// recordSuccess clears a server's failures and ends its ejection.
func (b *Balancer) recordSuccess(srv *server) {
	srv.consecutiveFailures = 0
	srv.ejectedUntil = 0
}

// isEjected reports whether a server is ejected at the moment.
func (b *Balancer) isEjected(srv *server) bool { return b.now < srv.ejectedUntil }

// Avoids reports whether a server currently gets no new requests because it is unknown, ejected or draining.
func (b *Balancer) Avoids(id ServerID) bool {
	srv := b.servers[id]
	if srv == nil || srv.state == inactive || srv.state == draining {
		return true
	}
	return b.isEjected(srv) && !b.fleet.ignoreEjections
}
