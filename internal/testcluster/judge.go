package testcluster

import (
	"slices"
	"time"

	"onyxstream/internal/fakeserver"
)

// Judges over ledgers: what stand-ins and links saw on the rig's one clock, never what processes say of themselves.

// EventTimes picks the times of one's records of a kind, in order.
func EventTimes(recs []fakeserver.Event, who, what string) (out []time.Duration) {
	for _, r := range recs {
		if r.Kind == what && r.Source == who {
			out = append(out, r.At)
		}
	}
	slices.Sort(out)
	return out
}

// MaxInWindow is the largest number of times within any span.
func MaxInWindow(times []time.Duration, span time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for times[first] <= at-span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// CountBetween counts the times from one moment to another, the end left out.
func CountBetween(times []time.Duration, from, to time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// DiscoveryCalls is what the list service saw.
type DiscoveryCalls struct {
	Calls      int `json:"calls"`
	ListsSent  int `json:"told"`   // lists and news, those to watches that stand included
	Rejected   int `json:"turned"` // calls that were turned away
	MaxIn100ms int `json:"most"`   // calls within 100 ms
}

// CountDiscoveryCalls judges the calls to the list service.
func CountDiscoveryCalls(recs []fakeserver.Event) DiscoveryCalls {
	asked := EventTimes(recs, "discovery", fakeserver.EventRequested)
	return DiscoveryCalls{Calls: len(asked), ListsSent: len(EventTimes(recs, "discovery", fakeserver.EventListSent)), Rejected: len(EventTimes(recs, "discovery", fakeserver.EventCallRejected)),
		MaxIn100ms: MaxInWindow(asked, 100*time.Millisecond)}
}

// StartStep is a part of a start.
type StartStep struct {
	At               float64 `json:"at_s"` // its begin, from the start of the processes on
	Calls            int     `json:"calls"`
	Rejected         int     `json:"turned"`
	Setups           int     `json:"set_ups"` // at all hosts
	MaxSetupsPerHost int     `json:"most"`    // of them at one
}

// stepWidth is a step's length, and mostSteps bounds how many there are.
const (
	stepWidth = 100 * time.Millisecond
	maxSteps  = 3000
)

// StartSteps counts what the list service and the hosts saw of a start, step by step, to the last step with anything in it.
func StartSteps(recs []fakeserver.Event, launched time.Duration) (out []StartStep) {
	at := map[int]map[string]int{}
	for _, x := range recs {
		i := int((x.At - launched) / stepWidth)
		if x.At < launched || i >= maxSteps {
			continue
		}
		call, turned, host := x.Source == "discovery" && x.Kind == fakeserver.EventRequested, x.Source == "discovery" && x.Kind == fakeserver.EventCallRejected, x.Kind == fakeserver.EventOpened
		if !call && !turned && !host {
			continue
		}
		for len(out) <= i {
			out = append(out, StartStep{At: (time.Duration(len(out)) * stepWidth).Seconds()})
		}
		switch s := &out[i]; {
		case call:
			s.Calls++
		case turned:
			s.Rejected++
		default:
			if at[i] == nil {
				at[i] = map[string]int{}
			}
			at[i][x.Source]++
			s.Setups, s.MaxSetupsPerHost = s.Setups+1, max(s.MaxSetupsPerHost, at[i][x.Source])
		}
	}
	return out
}

// MaxSetupBurst is the largest number of set-ups at one host within a span, and which host that was.
func MaxSetupBurst(recs []fakeserver.Event, hosts []string, span time.Duration) (most int, host string) {
	for _, h := range hosts {
		if n := MaxInWindow(EventTimes(recs, h, fakeserver.EventOpened), span); n > most {
			most, host = n, h
		}
	}
	return most, host
}
