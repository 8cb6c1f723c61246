package node

import (
	"cmp"
	"slices"
	"time"

	"onyxstream/balancer"
)

// Fact is what this node has learnt of a host that another process of it could learn only anew, and worse: the shortest
// ping of a host is not seen while it is under load, and all later ones are held against it.
type Fact struct {
	Host  balancer.ServerID
	Since int64 // its start, as listed, Unix time in milliseconds
	Best  time.Duration
}

// Facts asks the loop what it has learnt; empty once it has ended.
func (n *Node) Facts() (facts []Fact) {
	got := make(chan []Fact, 1)
	n.post(event{kind: evFacts, tell: got})
	select {
	case facts = <-got:
	case <-n.done:
	}
	return facts
}

// Learn takes in what another process has learnt.
func (n *Node) Learn(facts []Fact) { n.post(event{kind: evLearn, facts: facts}) }

func (n *Node) facts() (out []Fact) {
	for id, m := range n.members {
		if m.best > 0 {
			out = append(out, Fact{id, m.since, m.best})
		}
	}
	slices.SortFunc(out, func(a, b Fact) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// learn believes a fact of a host as long as that is the same start of it.
func (n *Node) learn(facts []Fact) {
	for _, f := range facts {
		if m := n.members[f.Host]; m != nil && m.since == f.Since && f.Best > 0 && (m.best == 0 || f.Best < m.best) {
			m.best = f.Best
		}
	}
}
