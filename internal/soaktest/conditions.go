package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Conditions are what a plan did to the fleet that changes what the rules allow. Times are those of the events.
type Conditions struct {
	NonIdempotent map[string]bool // classes
	// DiscoveryUnreachable are the times in which discovery was unreachable for at least one node.
	DiscoveryUnreachable []Interval
	// DelayedHosts are hosts whose events may be recorded late: they hung, or their link delayed bytes.
	DelayedHosts map[string]bool
	// DescriptorsExhausted are the times in which idle clients took a node's descriptors, by node. The node may then close
	// new connections unread.
	DescriptorsExhausted map[string][]Interval
}

// Interval is a time from one moment to another, both included.
type Interval struct{ From, To time.Duration }

func (i Interval) contains(at time.Duration) bool { return i.From <= at && at <= i.To }

// exhaustionMargin is how long before and after idle clients a node may lack descriptors.
const exhaustionMargin = time.Second

// startupTime is how long a node that was restarted takes to reach discovery.
const startupTime = time.Second

// conditions returns the conditions of a plan that began at begin. Faults without a duration last until end.
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

// PropagatedBy returns when all nodes count as notified of a change: at the end of the first time of the given length
// since the change in which discovery was reachable throughout.
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
