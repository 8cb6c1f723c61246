package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
)

const (
	// tickInterval is the time between two ticks of the loop.
	tickInterval = 250 * time.Millisecond
	// ticksPerMeasurement makes the node measure latency once a second. The simulator reports slow messages at the same
	// rate.
	ticksPerMeasurement = 4
	// maxHostsCountedEachTick is the largest number of hosts that are counted at every tick. Larger fleets are counted
	// once a second.
	maxHostsCountedEachTick = 512
	// unresponsiveAfter is how long a message may wait for its response before the host counts as unresponsive. The
	// client is migrated if its host is unresponsive at two ticks in a row. One tick is not enough: at the first tick
	// after the node itself was suspended, all messages seem to have waited that long.
	unresponsiveAfter = 750 * time.Millisecond
)

// handleTick does the periodic work: it counts hosts, restarts a broken watch, migrates the clients of unresponsive
// hosts, and measures latency.
func (n *Node) handleTick(now time.Time) {
	n.tickCount++
	n.observeClock(now)
	measure := n.tickCount%ticksPerMeasurement == 0
	if measure || len(n.hosts) <= maxHostsCountedEachTick { // the hosts that the balancer avoids change with time
		n.countHosts()
	}
	n.checkWatch(now)
	if measure {
		n.resetRepresentatives()
	}
	for id, r := range n.requests {
		if r.isEstablished() && !r.migrating {
			n.checkConnection(id, r, now, measure)
		}
	}
	if measure && n.slowMessageThreshold > 0 {
		n.measureLatency(now)
	}
}

// checkConnection migrates the client if its host is unresponsive, and collects latency samples if measure is set.
func (n *Node) checkConnection(id balancer.RequestID, r *request, now time.Time, measure bool) {
	stats := r.conn.MessageStats(now)
	wasUnresponsive := r.unresponsive
	r.unresponsive = stats.OldestWait > unresponsiveAfter
	if wasUnresponsive && r.unresponsive {
		n.log.Info("host unresponsive, migrating client", zap.String("host", string(r.host.id)),
			zap.Duration("waiting", stats.OldestWait))
		n.migrate(r)
	}
	if measure {
		n.collectSamples(id, r, stats)
	}
}
