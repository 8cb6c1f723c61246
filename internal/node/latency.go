package node

import (
	"slices"
	"time"

	"onyxstream/balancer"
)

// Once a second the node measures the message latency of each host that has connections. If the settings allow it, the
// node pings the host. A ping reveals more than the latency of messages, because a host responds to lines on
// established connections at once, however long its queue is. Otherwise the node takes the median latency of the
// messages within the second, because this machine may be the cause of a single slow message.

// hostLatency is the state of a host's latency measurement.
type hostLatency struct {
	latencySamples  []time.Duration    // latencies of messages within the present second
	representative  balancer.RequestID // connection named in latency reports; "" if there is none
	pingSentAt      time.Time          // when the pending ping was sent; zero if none is pending
	reportedSlow    bool               // the last measured latency was above slowMessageThreshold
	skipPing        bool               // the last ping was skipped: a healthy host is pinged every other second
	bestPing        time.Duration      // ping baseline: shortest ping since the host's start; 0 if there is none
	unconfirmedPing time.Duration      // slow ping that a second ping must confirm; 0 if there is none
	backlog         time.Duration      // estimated work queued at the host
}

// resetBaseline discards the measurements from before the host's last start.
func (l *hostLatency) resetBaseline() {
	l.bestPing = 0
	l.unconfirmedPing = 0
	l.backlog = 0
}

const (
	// healthyLatencyFraction is the assumed message latency of a host whose ping equals its best ping, as a fraction of
	// the shortest message latency objective. It follows that a host counts as slow when its ping is a third above its
	// best ping, and reaches half of the objective when its ping is twice the best. The balancer reduces the load limit
	// of a host above 3/8 of the objective.
	healthyLatencyFraction = 1.0 / 4
	// pingJitterDivisor determines the largest difference between pings that counts as jitter: slowMessageThreshold
	// divided by it.
	pingJitterDivisor = 16
	// slowPingInterval is the time between two pings of a slow host.
	slowPingInterval = time.Second
	// maxBacklog limits the estimated backlog, so that the estimate drops quickly after the host has caught up.
	maxBacklog = 4 * time.Second
)

func (n *Node) resetRepresentatives() {
	for _, host := range n.hosts {
		host.representative = ""
	}
}

// collectSamples adds the latency of a connection's messages to the samples of its host.
func (n *Node) collectSamples(id balancer.RequestID, r *request, stats MessageStats) {
	host := r.host
	if host.representative == "" || id < host.representative { // the smallest id, so that map order doesn't matter
		host.representative = id
	}
	if stats.Answered != r.sampledMessages {
		r.sampledMessages = stats.Answered
		host.latencySamples = append(host.latencySamples, stats.LastLatency)
	}
	if stats.OldestWait > n.slowMessageThreshold { // counts like a response with this latency
		host.latencySamples = append(host.latencySamples, stats.OldestWait)
	}
}

// measureLatency measures, once a second, each host that has connections.
func (n *Node) measureLatency(now time.Time) {
	var ids []balancer.ServerID
	for id, host := range n.hosts {
		if host.representative != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.measureHost(n.hosts[id], now)
	}
}

func (n *Node) measureHost(host *hostRecord, now time.Time) {
	samples := host.latencySamples
	host.latencySamples = host.latencySamples[:0]
	if !n.pingsEnabled() {
		if len(samples) > 0 {
			slices.Sort(samples)
			n.reportLatency(host, samples[(len(samples)-1)/2])
		}
		return
	}
	host.skipPing = !host.skipPing && !host.reportedSlow
	if host.skipPing {
		return
	}
	if host.pingSentAt.IsZero() {
		n.sendPing(host, now)
		return
	}
	n.reportLatency(host, now.Sub(host.pingSentAt))
}

// pingsEnabled reports whether hosts are measured by pings.
func (n *Node) pingsEnabled() bool {
	return n.settings.ReportsLatency && n.settings.MayProbe && n.slowMessageThreshold > 0
}

// sendPing pings a host. The node does not wait for a ping that could not be sent.
func (n *Node) sendPing(host *hostRecord, now time.Time) {
	if n.transport.Ping(host.id, host.addr) {
		host.pingSentAt = now
	}
}

// pingNewHost pings a host at its first connection. Later pings are compared with the host's best ping, which must be
// measured before the host is under load.
func (n *Node) pingNewHost(host *hostRecord) {
	if n.pingsEnabled() && host.bestPing == 0 && host.pingSentAt.IsZero() {
		n.sendPing(host, time.Now())
	}
}

// handlePingResult evaluates a ping. The first slow ping of a healthy host is repeated at once and counts only if the
// second one confirms it, because this machine may be the cause of a single slow ping.
func (n *Node) handlePingResult(host *hostRecord, took time.Duration) {
	host.pingSentAt = time.Time{}
	if took < 0 {
		return
	}
	if host.bestPing == 0 || took < host.bestPing {
		host.bestPing = took
	}
	confirmed := host.unconfirmedPing > 0
	if confirmed {
		took = min(took, host.unconfirmedPing)
		host.unconfirmedPing = 0
	}
	latency, slowdown := n.messageLatency(took, host.bestPing)
	if latency > n.slowMessageThreshold && !host.reportedSlow && !confirmed {
		host.unconfirmedPing = took
		n.sendPing(host, time.Now())
		return
	}
	n.updateBacklog(host, latency, slowdown)
	n.reportLatency(host, latency+host.backlog)
}

// messageLatency estimates a host's message latency and its slowdown relative to its best ping. The network's round
// trip time is part of both pings and cancels out.
func (n *Node) messageLatency(ping, best time.Duration) (latency time.Duration, slowdown float64) {
	latency = ping - best
	if latency <= n.slowMessageThreshold/pingJitterDivisor {
		return latency, 1
	}
	slowdown = float64(ping) / float64(best)
	objective := slowMessageDivisor * n.slowMessageThreshold
	estimate := time.Duration(slowdown * healthyLatencyFraction * float64(objective))
	return max(latency, estimate), slowdown
}

// updateBacklog estimates the work queued at a slow host; a ping does not wait in this queue. The estimate assumes that
// the host was at half of its capacity at its best ping, so that its backlog grows while it is more than twice as slow.
func (n *Node) updateBacklog(host *hostRecord, latency time.Duration, slowdown float64) {
	if latency <= n.slowMessageThreshold {
		host.backlog = 0
		return
	}
	growth := time.Duration((slowdown/2 - 1) * float64(slowPingInterval))
	host.backlog = min(max(host.backlog+growth, 0), maxBacklog)
}

// reportLatency notifies the balancer of the message latency of a slow host, and once more when it has recovered.
func (n *Node) reportLatency(host *hostRecord, latency time.Duration) {
	wasSlow := host.reportedSlow
	host.reportedSlow = latency > n.slowMessageThreshold
	if (host.reportedSlow || wasSlow) && host.representative != "" {
		n.notifyBalancer(balancer.LatencyReport{ID: host.representative, Latency: latency})
	}
}
