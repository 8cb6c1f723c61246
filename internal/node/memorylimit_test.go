package node

import (
	"fmt"
	"slices"
	"testing"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// endpoints returns n endpoints in a phase.
func endpoints(n int, phase wire.Phase) (out []wire.Endpoint) {
	for i := range n {
		out = append(out, endpoint(fmt.Sprintf("s%05d", i), phase))
	}
	return out
}

// A list of 3,200 hosts must fit into the platform's memory. The new hosts of a list that is too large must be ignored,
// but its changes to known hosts must be applied.
func TestList_TooLargeForMemory_NewHostsDropped(t *testing.T) {
	n, _, logs := newTestNode(t)
	n.SetMemoryLimit(64)
	n.applyList(snapshotOf(1, endpoints(3200, wire.Serving)...), balancer.ListSnapshot, false)
	if len(n.hosts) != 3200 || logs.Len() != 0 {
		t.Fatalf("%d hosts, want 3200 and no log message; logged %v", len(n.hosts), logs.All())
	}
	withoutSecond := endpoints(9000, wire.Serving)[2:]
	large := append([]wire.Endpoint{endpoint("s00000", wire.Draining)}, withoutSecond...)
	n.applyList(snapshotOf(2, large...), balancer.ListSnapshot, false)
	states := []balancer.ServerState{n.hosts["s00000"].state, n.hosts["s00001"].state, n.hosts["s00002"].state}
	want := []balancer.ServerState{balancer.Draining, balancer.Removed, balancer.Live}
	if len(n.hosts) != 3200 || !slices.Equal(states, want) {
		t.Errorf("%d hosts, states of the first %v; want 3200 hosts, states %v", len(n.hosts), states, want)
	}
	lines := logs.FilterMessage("endpoint list exceeds memory limit, new hosts ignored").All()
	if len(lines) != 1 || lines[0].ContextMap()["error"] != "members: 8999 hosts exceed the limit of 8192 for 64 MB" {
		t.Errorf("logged %v, want one error with the limit", lines)
	}
	// The limit also applies to a delta.
	changes := slices.Concat(endpoints(2, wire.Draining), endpoints(9000, wire.Serving)[3200:])
	n.applyList(changesOf(3, changes...), balancer.ListDelta, false)
	if n.hosts["s03250"] != nil {
		t.Error("a delta added a host beyond the limit")
	}
}
