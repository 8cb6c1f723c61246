package balancer

import (
	"fmt"
	"time"
)

const (
	maxEjectedFraction  = 0.5 // share of the fleet's weight that may be ejected: more is no server's fault
	outlierLogThreshold = 2   // number of the consecutive failure that is logged
)

// recordFailure notes a failed attempt and ejects the server for a time.
func (b *Balancer) recordFailure(srv *server, ejectFor time.Duration) {
	srv.consecutiveFailures++
	srv.ejectedUntil = max(srv.ejectedUntil, b.now+ejectFor)
	if srv.consecutiveFailures == outlierLogThreshold {
		b.log(fmt.Sprintf("outlier ejected server=%s consecutive_failures=%d", srv.id, srv.consecutiveFailures))
	}
}

// recordSuccess notes a success and ends an ejection.
func (b *Balancer) recordSuccess(srv *server) {
	srv.consecutiveFailures = 0
	srv.ejectedUntil = 0
}

// isEjected reports whether a server is ejected for now.
func (b *Balancer) isEjected(srv *server) bool { return b.now < srv.ejectedUntil }

// Avoids reports whether a server gets nothing new now, as it is unknown, ejected or draining.
func (b *Balancer) Avoids(id ServerID) bool {
	srv := b.servers[id]
	if srv == nil || srv.state == inactive || srv.state == draining {
		return true
	}
	return b.isEjected(srv) && !b.fleet.ignoreEjections
}
