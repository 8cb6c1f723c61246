package node

import (
	"fmt"
	"slices"
	"testing"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// endpoints are n members of one phase.
func endpoints(n int, phase wire.Phase) (out []wire.Endpoint) {
	for i := range n {
		out = append(out, endpoint(fmt.Sprintf("s%05d", i), phase))
	}
	return out
}

// A list of 3,200 hosts is taken in the memory that the platform gives, one that is too large is not, and what that says
// of hosts that are held binds all the same.
func TestList_TooLargeForMemory_NewHostsDropped(t *testing.T) {
	n, _, logs := newTestNode(t)
	n.SetMemoryLimit(64)
	n.applyList(&wire.EndpointList{Revision: 1, Complete: true, Endpoints: endpoints(3200, wire.Serving)}, balancer.ListSnapshot, false)
	if len(n.hosts) != 3200 || logs.Len() != 0 {
		t.Fatalf("%d hosts are held; %v", len(n.hosts), logs.All())
	}
	large := append([]wire.Endpoint{endpoint("s00000", wire.Draining)}, endpoints(9000, wire.Serving)[2:]...) // s00001 is gone
	n.applyList(&wire.EndpointList{Revision: 2, Complete: true, Endpoints: large}, balancer.ListSnapshot, false)
	if len(n.hosts) != 3200 || n.hosts["s00000"].state != balancer.Draining || n.hosts["s00001"].state != balancer.Removed ||
		n.hosts["s00002"].state != balancer.Live {
		t.Errorf("%d hosts; the first are %+v", len(n.hosts), []balancer.ServerState{n.hosts["s00000"].state,
			n.hosts["s00001"].state, n.hosts["s00002"].state})
	}
	lines := logs.FilterMessage("endpoint list exceeds memory limit, new hosts ignored").All()
	if len(lines) != 1 || lines[0].ContextMap()["error"] != "members: 8999 hosts, 8192 are the most in 64 MB" {
		t.Errorf("logged %v", lines)
	}
	// Changes add up to too many as well.
	n.applyList(&wire.EndpointList{Revision: 3, Endpoints: slices.Concat(endpoints(2, wire.Draining), endpoints(9000, wire.Serving)[3200:])}, balancer.ListDelta, false)
	if n.hosts["s03250"] != nil {
		t.Error("a change brought too many hosts")
	}
}
