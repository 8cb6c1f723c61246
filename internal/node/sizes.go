package node

import (
	"fmt"
	"sort"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// memoryDivisor is the part of the memory, one in so many, that what is known of hosts may take: the collector wants as much
// again, and clients the rest.
const memoryDivisor = 3

// MaxHosts is how many hosts a list may have in so much memory.
func MaxHosts(memoryMB int) int {
	return sort.Search(1<<20, func(n int) bool { return balancer.EstimateMemory(n+1) > memoryMB<<20/memoryDivisor })
}

// CheckSize says whether a list fits into so much memory.
func CheckSize(hosts, memoryMB int) error {
	if most := MaxHosts(memoryMB); hosts > most {
		return fmt.Errorf("members: %d hosts, %d are the most in %d MB", hosts, most, memoryMB)
	}
	return nil
}

// SetMemoryLimit has the node take no more hosts than fit into so much memory. It is called before Run.
func (n *Node) SetMemoryLimit(memoryMB int) { n.memoryLimitMB = memoryMB }

// limitToMemory is news of the hosts as far as there is memory for them. Of a list that is too large no new host is taken; what
// it says of those that are held binds, as the node has been told of it.
func (n *Node) limitToMemory(c *wire.EndpointList) *wire.EndpointList {
	if n.memoryLimitMB == 0 {
		return c
	}
	hosts, fresh := 0, 0
	for _, m := range n.hosts {
		if !m.unlisted {
			hosts++
		}
	}
	held := make([]wire.Endpoint, 0, len(c.Endpoints))
	for _, e := range c.Endpoints {
		switch m := n.hosts[balancer.ServerID(e.ID)]; {
		case m != nil && !m.unlisted:
			held = append(held, e)
		case e.Phase != wire.Removed:
			fresh++
		}
	}
	if c.Complete {
		hosts = len(held)
	}
	err := CheckSize(hosts+fresh, n.memoryLimitMB)
	if fresh == 0 || err == nil {
		return c
	}
	n.log.Error("a list is too large: no new host of it is taken", zap.Int64("revision", c.Revision), zap.Error(err))
	return &wire.EndpointList{Revision: c.Revision, Complete: c.Complete, Endpoints: held}
}
