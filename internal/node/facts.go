package node

import (
	"cmp"
	"slices"
	"time"

	"onyxstream/balancer"
)

// PingBaseline is what this node has learnt of a host that another process of it could learn only anew, and worse: the shortest
// ping of a host is not seen while it is under load, and all later ones are held against it.
type PingBaseline struct {
	Host        balancer.ServerID
	StartedAtMS int64 // its start, as listed, Unix time in milliseconds
	BestPing    time.Duration
}

// PingBaselines asks the loop what it has learnt; empty once it has ended.
func (n *Node) PingBaselines() (facts []PingBaseline) {
	got := make(chan []PingBaseline, 1)
	n.post(event{kind: evFacts, tell: got})
	select {
	case facts = <-got:
	case <-n.done:
	}
	return facts
}

// MergePingBaselines takes in what another process has learnt.
func (n *Node) MergePingBaselines(facts []PingBaseline) { n.post(event{kind: evLearn, facts: facts}) }

func (n *Node) pingBaselines() (out []PingBaseline) {
	for id, m := range n.hosts {
		if m.bestPing > 0 {
			out = append(out, PingBaseline{id, m.startedAtMS, m.bestPing})
		}
	}
	slices.SortFunc(out, func(a, b PingBaseline) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// mergePingBaselines believes a fact of a host as long as that is the same start of it.
func (n *Node) mergePingBaselines(facts []PingBaseline) {
	for _, f := range facts {
		if m := n.hosts[f.Host]; m != nil && m.startedAtMS == f.StartedAtMS && f.BestPing > 0 && (m.bestPing == 0 || f.BestPing < m.bestPing) {
			m.bestPing = f.BestPing
		}
	}
}
