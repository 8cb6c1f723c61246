package node

import (
	"cmp"
	"slices"
	"time"

	"onyxstream/balancer"
)

// PingBaseline is the best ping of a host. During a hot restart, one process of a node passes it on to the other,
// because a process that starts under load cannot measure it.
type PingBaseline struct {
	Host        balancer.ServerID
	StartedAtMS int64 // the host's last start as listed, Unix time in ms
	BestPing    time.Duration
}

// PingBaselines returns the best ping of each measured host, sorted by host id; nil if the loop has ended. It may be
// called from any goroutine.
func (n *Node) PingBaselines() []PingBaseline {
	reply := make(chan []PingBaseline, 1)
	baselines, _ := query(n, pingBaselinesRequested{reply: reply}, reply)
	return baselines
}

// MergePingBaselines adds the baselines that another process has measured. It may be called from any goroutine.
func (n *Node) MergePingBaselines(baselines []PingBaseline) {
	n.post(pingBaselinesReceived{baselines: baselines})
}

func (n *Node) pingBaselines() (baselines []PingBaseline) {
	for id, host := range n.hosts {
		if host.bestPing > 0 {
			baselines = append(baselines, PingBaseline{Host: id, StartedAtMS: host.startedAtMS, BestPing: host.bestPing})
		}
	}
	slices.SortFunc(baselines, func(a, b PingBaseline) int { return cmp.Compare(a.Host, b.Host) })
	return baselines
}

// mergePingBaselines keeps the shorter ping of each host. Baselines from another start of the host are ignored.
func (n *Node) mergePingBaselines(baselines []PingBaseline) {
	for _, baseline := range baselines {
		host := n.hosts[baseline.Host]
		if host == nil || host.startedAtMS != baseline.StartedAtMS || baseline.BestPing <= 0 {
			continue
		}
		if host.bestPing == 0 || baseline.BestPing < host.bestPing {
			host.bestPing = baseline.BestPing
		}
	}
}
