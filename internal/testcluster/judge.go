package testcluster

import (
	"slices"
	"time"

	"onyxstream/internal/fakeserver"
)

// Judges over ledgers: what stand-ins and links saw on the rig's one clock, never what processes say of themselves.

// Times picks the times of one's records of a kind, in order.
func Times(recs []fakeserver.Event, who, what string) (out []time.Duration) {
	for _, r := range recs {
		if r.Kind == what && r.Source == who {
			out = append(out, r.At)
		}
	}
	slices.Sort(out)
	return out
}

// Most is the largest number of times within any span.
func Most(times []time.Duration, span time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for times[first] <= at-span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Within counts the times from one moment to another, the end left out.
func Within(times []time.Duration, from, to time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// ListCount is what the list service saw.
type ListCount struct {
	Calls  int `json:"calls"`
	Told   int `json:"told"`   // lists and news, those to watches that stand included
	Turned int `json:"turned"` // calls that were turned away
	Most   int `json:"most"`   // calls within 100 ms
}

// Counted judges the calls to the list service.
func Counted(recs []fakeserver.Event) ListCount {
	asked := Times(recs, "discovery", fakeserver.EventRequested)
	return ListCount{Calls: len(asked), Told: len(Times(recs, "discovery", fakeserver.EventListSent)), Turned: len(Times(recs, "discovery", fakeserver.EventCallRejected)),
		Most: Most(asked, 100*time.Millisecond)}
}

// Step is a part of a start.
type Step struct {
	At     float64 `json:"at_s"` // its begin, from the start of the processes on
	Calls  int     `json:"calls"`
	Turned int     `json:"turned"`
	SetUps int     `json:"set_ups"` // at all hosts
	Most   int     `json:"most"`    // of them at one
}

// stepWidth is a step's length, and mostSteps bounds how many there are.
const (
	stepWidth = 100 * time.Millisecond
	mostSteps = 3000
)

// Steps counts what the list service and the hosts saw of a start, step by step, to the last step with anything in it.
func Steps(recs []fakeserver.Event, launched time.Duration) (out []Step) {
	at := map[int]map[string]int{}
	for _, x := range recs {
		i := int((x.At - launched) / stepWidth)
		if x.At < launched || i >= mostSteps {
			continue
		}
		call, turned, host := x.Source == "discovery" && x.Kind == fakeserver.EventRequested, x.Source == "discovery" && x.Kind == fakeserver.EventCallRejected, x.Kind == fakeserver.EventOpened
		if !call && !turned && !host {
			continue
		}
		for len(out) <= i {
			out = append(out, Step{At: (time.Duration(len(out)) * stepWidth).Seconds()})
		}
		switch s := &out[i]; {
		case call:
			s.Calls++
		case turned:
			s.Turned++
		default:
			if at[i] == nil {
				at[i] = map[string]int{}
			}
			at[i][x.Source]++
			s.SetUps, s.Most = s.SetUps+1, max(s.Most, at[i][x.Source])
		}
	}
	return out
}

// Burst is the largest number of set-ups at one host within a span, and which host that was.
func Burst(recs []fakeserver.Event, hosts []string, span time.Duration) (most int, host string) {
	for _, h := range hosts {
		if n := Most(Times(recs, h, fakeserver.EventOpened), span); n > most {
			most, host = n, h
		}
	}
	return most, host
}
