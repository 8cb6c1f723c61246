package testcluster

import (
	"slices"
	"time"

	"onyxstream/internal/fakeserver"
)

// The functions of this file count events that fake servers and links recorded, by the cluster's clock. They do not use
// reports of nodes or agents.

// EventTimes returns the times of the events of one kind from one source, in ascending order.
func EventTimes(events []fakeserver.Event, source, kind string) []time.Duration {
	var times []time.Duration
	for _, event := range events {
		if event.Kind == kind && event.Source == source {
			times = append(times, event.At)
		}
	}
	slices.Sort(times)
	return times
}

// MaxInWindow returns the largest number of times within any window of the given length. The times must be sorted.
func MaxInWindow(times []time.Duration, window time.Duration) (largest int) {
	first := 0
	for i, at := range times {
		for times[first] <= at-window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// CountBetween returns the number of times in the interval from (inclusive) to (exclusive).
func CountBetween(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// requestWindow is the window of DiscoveryRequests.MaxIn100ms.
const requestWindow = 100 * time.Millisecond

// DiscoveryRequests counts the requests to the discovery service and what it sent.
type DiscoveryRequests struct {
	Requests   int `json:"calls"`
	ListsSent  int `json:"told"`   // lists and updates, including those on open watches
	Rejected   int `json:"turned"` // rejected requests
	MaxIn100ms int `json:"most"`   // largest number of requests within 100 ms
}

// CountDiscoveryRequests counts the recorded requests to the discovery service.
func CountDiscoveryRequests(events []fakeserver.Event) DiscoveryRequests {
	requests := EventTimes(events, fakeserver.SourceDiscovery, fakeserver.EventRequested)
	return DiscoveryRequests{
		Requests:   len(requests),
		ListsSent:  len(EventTimes(events, fakeserver.SourceDiscovery, fakeserver.EventListSent)),
		Rejected:   len(EventTimes(events, fakeserver.SourceDiscovery, fakeserver.EventDiscoveryRejected)),
		MaxIn100ms: MaxInWindow(requests, requestWindow),
	}
}

// StartStep counts the requests to discovery and the connection setups at hosts in one time step after a launch.
type StartStep struct {
	At               float64 `json:"at_s"` // start of the step, in seconds since the launch
	Requests         int     `json:"calls"`
	Rejected         int     `json:"turned"`  // rejected requests
	Setups           int     `json:"set_ups"` // connection setups at all hosts
	MaxSetupsPerHost int     `json:"most"`    // connection setups at the host with the most
}

const (
	stepWidth = 100 * time.Millisecond
	maxSteps  = 3000 // 5 minutes
)

// StartSteps counts the events after a launch by time step, up to the last step with an event or to maxSteps.
func StartSteps(events []fakeserver.Event, launched time.Duration) []StartStep {
	var steps []StartStep
	setupsByHost := map[int]map[string]int{} // by step
	for _, event := range events {
		index := int((event.At - launched) / stepWidth)
		if event.At < launched || index >= maxSteps || !countsInStep(event) {
			continue
		}
		for len(steps) <= index {
			steps = append(steps, StartStep{At: (time.Duration(len(steps)) * stepWidth).Seconds()})
		}
		step := &steps[index]
		switch event.Kind {
		case fakeserver.EventRequested:
			step.Requests++
		case fakeserver.EventDiscoveryRejected:
			step.Rejected++
		default:
			if setupsByHost[index] == nil {
				setupsByHost[index] = map[string]int{}
			}
			setupsByHost[index][event.Source]++
			step.Setups++
			step.MaxSetupsPerHost = max(step.MaxSetupsPerHost, setupsByHost[index][event.Source])
		}
	}
	return steps
}

// countsInStep reports whether StartSteps counts an event.
func countsInStep(event fakeserver.Event) bool {
	switch event.Kind {
	case fakeserver.EventRequested, fakeserver.EventDiscoveryRejected:
		return event.Source == fakeserver.SourceDiscovery
	case fakeserver.EventOpened:
		return true
	}
	return false
}

// MaxSetupBurst returns the largest number of connection setups at one host within a window, and the ID of that host.
func MaxSetupBurst(events []fakeserver.Event, hosts []string, window time.Duration) (largest int, host string) {
	for _, id := range hosts {
		if n := MaxInWindow(EventTimes(events, id, fakeserver.EventOpened), window); n > largest {
			largest, host = n, id
		}
	}
	return largest, host
}
