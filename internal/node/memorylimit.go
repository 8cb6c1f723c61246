package node

import (
	"fmt"
	"sort"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

const (
	// memoryDivisor determines the share of the memory for hosts, a third. The garbage collector needs another third,
	// and the connections need the rest.
	memoryDivisor = 3
	// hostLimitCeiling is the largest result of MaxHosts.
	hostLimitCeiling = 1 << 20
)

// MaxHosts returns the largest number of hosts in an endpoint list for a memory limit in MB.
func MaxHosts(memoryMB int) int {
	return sort.Search(hostLimitCeiling, func(hosts int) bool {
		return balancer.EstimateMemory(hosts+1) > memoryMB<<20/memoryDivisor
	})
}

// CheckSize returns an error if hosts exceeds MaxHosts.
func CheckSize(hosts, memoryMB int) error {
	limit := MaxHosts(memoryMB)
	if hosts > limit {
		return fmt.Errorf("members: %d hosts exceed the limit of %d for %d MB", hosts, limit, memoryMB)
	}
	return nil
}

// SetMemoryLimit makes the node ignore all new hosts of a list that exceeds MaxHosts. It must be called before Run.
func (n *Node) SetMemoryLimit(memoryMB int) { n.memoryLimitMB = memoryMB }

// limitToMemory removes all new hosts from a list if they exceed the memory limit. The entries of listed hosts are kept
// in any case.
func (n *Node) limitToMemory(list *wire.EndpointList) *wire.EndpointList {
	if n.memoryLimitMB == 0 {
		return list
	}
	known, added := n.splitKnown(list)
	hosts := len(known)
	if !list.Complete {
		hosts = n.countListed()
	}
	err := CheckSize(hosts+added, n.memoryLimitMB)
	if added == 0 || err == nil {
		return list
	}
	n.log.Error("endpoint list exceeds memory limit, new hosts ignored", zap.Int64("revision", list.Revision),
		zap.Error(err))
	return &wire.EndpointList{Revision: list.Revision, Complete: list.Complete, Endpoints: known}
}

// splitKnown returns the entries of a list whose hosts are already listed, and the number of hosts that it adds.
func (n *Node) splitKnown(list *wire.EndpointList) (known []wire.Endpoint, added int) {
	known = make([]wire.Endpoint, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		host := n.hosts[balancer.ServerID(endpoint.ID)]
		switch {
		case host != nil && !host.unlisted:
			known = append(known, endpoint)
		case endpoint.Phase != wire.Removed:
			added++
		}
	}
	return known, added
}

func (n *Node) countListed() int {
	listed := 0
	for _, host := range n.hosts {
		if !host.unlisted {
			listed++
		}
	}
	return listed
}
