package loadtest

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"
)

// result returns the result of a run that started at began. sourceError is the error that ended the source, or nil.
func (e *engine) result(began time.Time, canceled bool, sourceError error) *Result {
	stats := e.recorder
	stats.mu.Lock()
	defer stats.mu.Unlock()
	r := &Result{
		Format:      resultFormat,
		Tool:        Version(),
		Go:          runtime.Version(),
		Name:        e.scenario.Name,
		Seed:        e.scenario.Seed,
		Loop:        e.scenario.Requests.Loop,
		Began:       began,
		Seconds:     time.Since(began).Seconds(),
		Partial:     canceled || sourceError != nil,
		Lateness:    summarize(stats.lateness, true),
		WakeupDelay: summarize(stats.wakeupDelay, false),
		Timeline:    stats.intervals(),
	}
	if sourceError != nil {
		r.PartialReason = sourceError.Error()
	} else if canceled {
		r.PartialReason = "stopped before its end"
	}
	unsent := int64(0)
	for key, class := range stats.classes {
		unsent += class.outcomes[Unsent]
		r.Classes = append(r.Classes, class.result(key))
	}
	slices.SortFunc(r.Classes, compareClassResults)
	r.BehindReason = e.behindReason(r, unsent)
	return r
}

// compareClassResults orders by descending path, and by ascending class within a path.
func compareClassResults(a, b ClassResult) int {
	return strings.Compare(b.Path+" "+a.Class, a.Path+" "+b.Class)
}

// behindReason returns why the generator could not send the load as intended, or "" if it could.
func (e *engine) behindReason(r *Result, unsent int64) string {
	allowedMS := e.scenario.Limits.MaxLateness.AsDuration().Seconds() * 1000
	localError := e.localError.Load()
	switch {
	case unsent > 0 && localError != nil:
		return fmt.Sprintf("%d requests could not be sent by the generator: %v", unsent, *localError)
	case r.Lateness.P99 > allowedMS:
		return fmt.Sprintf("the generator was %.3f ms late at the 99th percentile, %g ms are allowed", r.Lateness.P99, allowedMS)
	}
	return ""
}

// intervals returns the timeline. The caller must hold the lock.
func (r *statsRecorder) intervals() (out []Interval) {
	for i, b := range r.timeline {
		interval := Interval{
			At:         (time.Duration(i) * r.bucketWidth).Seconds(),
			Width:      r.bucketWidth.Seconds(),
			Intended:   b.intended,
			Reconnects: b.reconnects,
			Open:       b.established,
			Outcomes:   outcomeCounts(b.outcomes),
		}
		if b.latency != nil {
			percentiles := b.latency.ValueAtPercentilesSlice([]float64{50, 99})
			interval.P50 = milliseconds(percentiles[0])
			interval.P99 = milliseconds(percentiles[1])
		}
		out = append(out, interval)
	}
	return out
}

// outcomeCounts returns the nonzero counters by outcome name.
func outcomeCounts(counters [outcomeCount]int64) map[string]int64 {
	counts := map[string]int64{}
	for i, n := range counters {
		if n > 0 {
			counts[Outcome(i).String()] = n
		}
	}
	return counts
}

func (s *classStats) result(key classKey) ClassResult {
	result := ClassResult{
		Path:          key.path,
		Class:         key.class,
		Requests:      s.requests,
		Outcomes:      outcomeCounts(s.outcomes),
		Attempts:      outcomeCounts(s.attempts),
		Late:          s.late,
		Latency:       map[string]Summary{},
		Service:       summarize(s.service, true),
		Reconnect:     summarize(s.reconnect, true),
		Message:       summarize(s.message, true),
		LinesSent:     s.linesSent,
		LinesAnswered: s.linesAnswered,
		Completed:     s.completed,
		Migrated:      s.migrated,
		Broken:        s.broken,
		Dropped:       s.dropped,
		Aborted:       s.aborted,
		Reconnects:    s.reconnects,
	}
	for i, histogram := range s.latency {
		if histogram.TotalCount() > 0 {
			result.Latency[Outcome(i).String()] = summarize(histogram, true)
		}
	}
	return result
}
