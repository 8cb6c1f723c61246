package node

import (
	"cmp"
	"maps"
	"slices"

	"onyxstream/balancer"
)

// HostView describes a host as the node knows it.
type HostView struct {
	ID          balancer.ServerID
	State       balancer.ServerState
	Overridden  bool // the host drains because of an operator's override
	Connections int  // connections established through this node
}

// View describes the node's state.
type View struct {
	Revision  int64                   // revision of the endpoint list
	Hosts     []HostView              // sorted by id
	Abandoned map[balancer.Reason]int // rejected and failed requests, by reason
}

// View returns the node's state, or an empty View after the loop has ended. It may be called from any goroutine.
func (n *Node) View() View {
	reply := make(chan View, 1)
	view, _ := query(n, viewRequested{reply: reply}, reply)
	return view
}

func (n *Node) buildView() View {
	view := View{Revision: n.revision, Abandoned: maps.Clone(n.abandonedCounts)}
	connections := map[balancer.ServerID]int{}
	for _, r := range n.requests {
		if r.isEstablished() {
			connections[r.host.id]++
		}
	}
	for id, host := range n.hosts {
		view.Hosts = append(view.Hosts, HostView{
			ID:          id,
			State:       host.state,
			Overridden:  n.overrides[id],
			Connections: connections[id],
		})
	}
	slices.SortFunc(view.Hosts, func(a, b HostView) int { return cmp.Compare(a.ID, b.ID) })
	return view
}
