package testcluster

import (
	"strings"

	"onyxstream/internal/fakeserver"
)

// linksOf returns the links that a target names.
func (c *Cluster) linksOf(t target) []*fakeserver.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch t.linkOf {
	case linkOfHost:
		return c.hostLinks[t.index : t.index+1]
	case linkOfNode:
		return c.discoveryLinks[t.index : t.index+1]
	case notALink, linkOfAgent, linkOfPeers:
	}
	owner := strings.TrimPrefix(strings.TrimPrefix(t.name, "peers-"), "link-")
	var links []*fakeserver.Link
	for _, link := range c.controlLinks {
		from, to, _ := strings.Cut(link.Name(), ">")
		isPeerOf := t.linkOf == linkOfPeers && to == owner && strings.HasPrefix(from, "n")
		if from == owner || isPeerOf {
			links = append(links, link)
		}
	}
	return links
}

// linkChange starts or ends a fault on a link.
type linkChange func(*fakeserver.Link)

// linkFaultChanges returns the changes that start and end a fault. end is nil for a reset, which has no end.
func linkFaultChanges(fault FaultSpec) (start, end linkChange) {
	endBlackhole := setBlackhole(fakeserver.BothDirections, false)
	switch fault.Kind {
	case faultBlackhole:
		return setBlackhole(fakeserver.BothDirections, true), endBlackhole
	case faultDeaf:
		return setBlackhole(fakeserver.FromTarget, true), endBlackhole
	case faultMute:
		return setBlackhole(fakeserver.ToTarget, true), endBlackhole
	case faultStall:
		start = func(link *fakeserver.Link) { link.SetStalled(true) }
		return start, func(link *fakeserver.Link) { link.SetStalled(false) }
	case faultDelay:
		start = func(link *fakeserver.Link) { link.SetDelay(fault.Period.AsDuration()) }
		return start, func(link *fakeserver.Link) { link.SetDelay(0) }
	case faultRate:
		start = func(link *fakeserver.Link) { link.SetRate(int64(fault.Amount)) }
		return start, func(link *fakeserver.Link) { link.SetRate(0) }
	case faultRejectConnections:
		start = func(link *fakeserver.Link) {
			link.SetRejecting(true)
			link.ResetConnections()
		}
		return start, func(link *fakeserver.Link) { link.SetRejecting(false) }
	}
	return (*fakeserver.Link).ResetConnections, nil // faultReset
}

// setBlackhole returns a change that starts or stops dropping all bytes in a direction.
func setBlackhole(direction fakeserver.Direction, on bool) linkChange {
	return func(link *fakeserver.Link) {
		link.SetFault(direction, func(fault *fakeserver.LinkFault) { fault.Blackhole = on })
	}
}

func (c *Cluster) startLinkFault(fault FaultSpec, t target) (end func() error) {
	links := c.linksOf(t)
	c.recordFault(t.name, fault.Kind)
	startChange, endChange := linkFaultChanges(fault)
	for _, link := range links {
		startChange(link)
	}
	if endChange == nil {
		return nil
	}
	return func() error {
		for _, link := range links {
			endChange(link)
		}
		c.recordFault(t.name, detailEnd)
		return nil
	}
}
