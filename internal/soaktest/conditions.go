package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Conditions are the effects of a plan on the cluster that change what the rules allow. Times are by the clock of the
// events.
type Conditions struct {
	NonIdempotent map[string]bool // by class
	// DiscoveryUnreachable are the intervals in which at least one node could not reach discovery.
	DiscoveryUnreachable []Interval
	// DelayedHosts are the hosts whose events may be recorded late, because the host hung or its link delayed bytes.
	DelayedHosts map[string]bool
	// DescriptorsExhausted are the intervals, by node, in which idle clients used up the node's file descriptors. The node
	// may then close new connections without reading from them.
	DescriptorsExhausted map[string][]Interval
}

// Interval is the time between two moments, both inclusive.
type Interval struct{ From, To time.Duration }

func (i Interval) contains(at time.Duration) bool { return i.From <= at && at <= i.To }

// exhaustionMargin is how long before idle clients connect, and after they disconnect, a node may lack descriptors.
const exhaustionMargin = time.Second

// startupTime is how long a restarted node takes to reach discovery.
const startupTime = time.Second

// conditions returns the conditions of a plan that started at begin. Faults without a duration last until end.
func (p Plan) conditions(begin, end time.Duration) Conditions {
	c := Conditions{
		NonIdempotent:        map[string]bool{"order": true},
		DelayedHosts:         map[string]bool{},
		DescriptorsExhausted: map[string][]Interval{},
	}
	for _, fault := range p.Faults {
		interval := Interval{begin + fault.At.AsDuration(), begin + fault.At.AsDuration() + fault.Duration.AsDuration()}
		if fault.Duration == 0 {
			interval.To = end
		}
		switch {
		case fault.Target == discoveryTarget:
			interval.To += fault.Period.AsDuration()
			c.DiscoveryUnreachable = append(c.DiscoveryUnreachable, interval)
		case strings.HasPrefix(fault.Target, nodeLinkPrefix), strings.HasPrefix(fault.Target, nodePrefix):
			interval.To += startupTime
			c.DiscoveryUnreachable = append(c.DiscoveryUnreachable, interval)
		case fault.Kind == "hang" || strings.HasPrefix(fault.Target, hostLinkPrefix):
			c.DelayedHosts[strings.TrimPrefix(fault.Target, "link-")] = true
		}
	}
	for _, idle := range p.IdleClients {
		node := fmt.Sprint(nodePrefix, idle.Node+1)
		from := begin + idle.At
		interval := Interval{from - exhaustionMargin, from + idle.Duration + exhaustionMargin}
		c.DescriptorsExhausted[node] = append(c.DescriptorsExhausted[node], interval)
	}
	return c
}

// PropagatedBy returns the time at which a change counts as known to all nodes. It is the end of the first interval
// after the change that has the given length and throughout which discovery was reachable.
func PropagatedBy(change, length time.Duration, unreachable []Interval) time.Duration {
	from := change
	intervals := slices.Clone(unreachable)
	slices.SortFunc(intervals, func(a, b Interval) int { return int(a.From - b.From) })
	for _, i := range intervals {
		if i.To > from && i.From < from+length {
			from = i.To
		}
	}
	return from + length
}
