package node

import (
	"slices"
	"time"

	"onyxstream/balancer"
)

// Once a second the node measures the message latency of each host that has connections. Where the settings allow it,
// by a ping: a host answers lines on established connections at once, however long its queue is, so that messages
// show less. Elsewhere by the median of the second's messages, as a single slow message may be due to this machine.

// hostLatency is what the node knows of a host's message latency.
type hostLatency struct {
	latencySamples  []time.Duration    // of this second's messages
	representative  balancer.RequestID // the connection that is named in reports; "" if there is none
	pingSentAt      time.Time          // of the ping without an answer; zero if there is none
	reportedSlow    bool               // the last report was above the threshold
	skipPing        bool               // a healthy host is pinged every other second
	bestPing        time.Duration      // shortest ping since the host's start, 0 if there is none
	unconfirmedPing time.Duration      // a slow ping that another is to confirm, 0 if there is none
	backlog         time.Duration      // estimated work that is queued at the host
}

// resetBaseline discards the baseline of the time before the host's last start.
func (l *hostLatency) resetBaseline() {
	l.bestPing = 0
	l.unconfirmedPing = 0
	l.backlog = 0
}

const (
	// healthyPingFraction is the part of the shortest message latency objective that a message is assumed to take at
	// a host whose ping is at its best. A host is slow from a third above its best, and at half of the objective, where
	// the balancer acts, from twice its best.
	healthyPingFraction = 1.0 / 4
	// pingJitterDivisor gives the difference between pings that is taken for jitter, as a part of the slow message
	// threshold.
	pingJitterDivisor = 16
	// slowPingInterval is the time between two pings of a slow host.
	slowPingInterval = time.Second
	// maxBacklog bounds the estimated backlog, so that it is soon forgotten once the host has caught up.
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
	if host.representative == "" || id < host.representative { // independent of the order of the map
		host.representative = id
	}
	if stats.Answered != r.countedMessages {
		r.countedMessages = stats.Answered
		host.latencySamples = append(host.latencySamples, stats.LastLatency)
	}
	if stats.OldestWait > n.slowMessageThreshold { // as good as a reply that took that long
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

// sendPing pings a host. A ping that could not be sent is not waited for.
func (n *Node) sendPing(host *hostRecord, now time.Time) {
	if n.transport.Ping(host.id, host.addr) {
		host.pingSentAt = now
	}
}

// pingNewHost pings a host at its first connection: later pings are compared with the best one, which must be measured
// before the host is under load.
func (n *Node) pingNewHost(host *hostRecord) {
	if n.pingsEnabled() && host.bestPing == 0 && host.pingSentAt.IsZero() {
		n.sendPing(host, time.Now())
	}
}

// handlePingResult evaluates a ping. The first slow ping of a healthy host is confirmed by another at once, as a single
// one may be due to this machine.
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

// messageLatency estimates the latency of a message from a ping and the best one, and how many times slower than at its
// best the host is. The network's round trip is part of both pings and cancels out.
func (n *Node) messageLatency(ping, best time.Duration) (latency time.Duration, slowdown float64) {
	latency = ping - best
	if latency <= n.slowMessageThreshold/pingJitterDivisor {
		return latency, 1
	}
	slowdown = float64(ping) / float64(best)
	objective := slowMessageDivisor * n.slowMessageThreshold
	estimate := time.Duration(slowdown * healthyPingFraction * float64(objective))
	return max(latency, estimate), slowdown
}

// updateBacklog estimates the work queued at a slow host, which a ping does not wait for. A host that was half used at
// its best gets more work than it can do once it is more than twice as slow.
func (n *Node) updateBacklog(host *hostRecord, latency time.Duration, slowdown float64) {
	if latency <= n.slowMessageThreshold {
		host.backlog = 0
		return
	}
	growth := time.Duration((slowdown/2 - 1) * float64(slowPingInterval))
	host.backlog = min(max(host.backlog+growth, 0), maxBacklog)
}

// reportLatency notifies the balancer of the message latency of a slow host, and once when it has recovered.
func (n *Node) reportLatency(host *hostRecord, latency time.Duration) {
	wasSlow := host.reportedSlow
	host.reportedSlow = latency > n.slowMessageThreshold
	if (host.reportedSlow || wasSlow) && host.representative != "" {
		n.decide(balancer.LatencyReport{ID: host.representative, Latency: latency})
	}
}
