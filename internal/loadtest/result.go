package loadtest

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"onyxstream/internal/testcluster"
)

// Result is what came of a run. It holds what it takes to play it again, and to compare it.
type Result struct {
	Format   int       `json:"format"`
	Tool     string    `json:"tool"`
	Go       string    `json:"go"`
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Scenario string    `json:"scenario,omitempty"` // its text
	Trace    string    `json:"trace,omitempty"`
	Speed    float64   `json:"speed,omitempty"`
	Loop     string    `json:"loop"`
	Began    time.Time `json:"began"`
	Seconds  float64   `json:"seconds"` // that requests were sent over, and answered
	Partial  bool      `json:"partial"` // it was stopped, or its trace ended in an error
	Behind   string    `json:"behind,omitempty"`
	Why      string    `json:"why,omitempty"`

	Lateness Summary                `json:"lateness"` // of the generator itself
	Wake     Summary                `json:"wake"`     // how late it was woken when it slept: in every latency
	Classes  []ClassResult          `json:"classes"`
	Line     []Stretch              `json:"line"`
	Marks    []Mark                 `json:"marks,omitempty"`
	Wrong    int64                  `json:"wrong_receipts"` // that no host gave for that connection: never above 0
	Nodes    *testcluster.Usage     `json:"nodes,omitempty"`
	Hosts    []HostCount            `json:"hosts,omitempty"`
	List     *testcluster.ListCount `json:"list,omitempty"`  // what the list service saw
	Start    []testcluster.Step     `json:"start,omitempty"` // the start of the fleet, from before the load began
	Self     testcluster.Usage      `json:"self"`            // the generator's process, with the stand-ins that run in it
}

// self is what this process has taken so far.
func self() (u testcluster.Usage) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.PeakMB = float64(r.Maxrss) / 1024
	}
	return u
}

// resultFormat counts changes of the form that older readers can't read.
const resultFormat = 1

// ClassResult is what one class saw over one path: "node", or "direct" past the nodes.
type ClassResult struct {
	Path     string             `json:"path"`
	Class    string             `json:"class"`
	Asked    int64              `json:"asked"`
	Outcomes map[string]int64   `json:"outcomes"` // of requests, all tries taken together
	Tries    map[string]int64   `json:"tries"`
	Late     int64              `json:"late"`    // served, but past the deadline from the intended moment
	Latency  map[string]Summary `json:"latency"` // by outcome, from the intended moment
	Service  Summary            `json:"service"` // of the try that was served
	Back     Summary            `json:"back"`    // of clients that came again
	Message  Summary            `json:"message"`
	Sent     int64              `json:"lines_sent"`
	Answered int64              `json:"lines_answered"`
	Ended    int64              `json:"ended"` // connections: to their end
	Moved    int64              `json:"moved"`
	Broken   int64              `json:"broken"`
	Dropped  int64              `json:"dropped"` // by a wave
	Cut      int64              `json:"cut"`     // open when the run ended
	Returns  int64              `json:"returns"`
}

// Stretch is a part of the time line, by the intended moment.
type Stretch struct {
	At       float64          `json:"at_s"`
	Width    float64          `json:"width_s"`
	Intended int64            `json:"intended"`
	Outcomes map[string]int64 `json:"outcomes,omitempty"`
	Back     int64            `json:"back"`
	Open     int64            `json:"open"`
	P50      float64          `json:"p50_ms"`
	P99      float64          `json:"p99_ms"`
}

// Mark is something that happened to the fleet.
type Mark struct {
	At   float64 `json:"at_s"`
	Who  string  `json:"who"`
	What string  `json:"what"`
}

// HostCount is what a stand-in host saw.
type HostCount struct {
	ID      string           `json:"id"`
	Records map[string]int64 `json:"records"`
}

// Version names the build: its revision where one is known.
func Version() string {
	version := "onyxstream"
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				version += " " + s.Value[:min(len(s.Value), 12)]
			}
			if s.Key == "vcs.modified" && s.Value == "true" {
				version += " changed"
			}
		}
	}
	return version
}

// result puts together what was counted.
func (e *engine) result(began time.Time, stopped bool, err error) *Result {
	s := e.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Result{Format: resultFormat, Tool: Version(), Go: runtime.Version(), Name: e.s.Name, Seed: e.s.Seed, Loop: e.s.Requests.Loop,
		Began: began, Seconds: time.Since(began).Seconds(), Partial: stopped || err != nil,
		Lateness: summary(s.lateness, true), Wake: summary(s.wake, false)}
	if err != nil {
		r.Why = err.Error()
	} else if stopped {
		r.Why = "stopped before its end"
	}
	unsent := int64(0)
	for k, t := range s.tallies {
		unsent += t.outcomes[Unsent]
		r.Classes = append(r.Classes, t.class(k))
	}
	slices.SortFunc(r.Classes, func(a, b ClassResult) int { return strings.Compare(b.Path+" "+a.Class, a.Path+" "+b.Class) })
	for i, b := range s.line {
		p := Stretch{At: (time.Duration(i) * s.width).Seconds(), Width: s.width.Seconds(), Intended: b.intended, Back: b.back, Open: b.stood,
			Outcomes: counts(b.outcomes)}
		if b.latency != nil {
			q := b.latency.ValueAtPercentilesSlice([]float64{50, 99})
			p.P50, p.P99 = ms(q[0]), ms(q[1])
		}
		r.Line = append(r.Line, p)
	}
	limit := e.s.Limits.Lateness.AsDuration()
	switch why := e.own.Load(); {
	case unsent > 0 && why != nil:
		r.Behind = fmt.Sprintf("%d requests could not be sent by the generator: %v", unsent, *why)
	case r.Lateness.P99 > limit.Seconds()*1000:
		r.Behind = fmt.Sprintf("the generator was %.3f ms late at the 99th percentile, %g ms are allowed", r.Lateness.P99,
			limit.Seconds()*1000)
	}
	return r
}

func counts(o [outcomes]int64) map[string]int64 {
	m := map[string]int64{}
	for i, n := range o {
		if n > 0 {
			m[Outcome(i).String()] = n
		}
	}
	return m
}

func (t *tally) class(k tallyKey) ClassResult {
	c := ClassResult{Path: k.path, Class: k.class, Asked: t.asked, Outcomes: counts(t.outcomes), Tries: counts(t.tries), Late: t.late,
		Latency: map[string]Summary{}, Service: summary(t.service, true), Back: summary(t.back, true), Message: summary(t.message, true),
		Sent: t.sent, Answered: t.answered, Ended: t.ended, Moved: t.moved, Broken: t.broken, Dropped: t.dropped, Cut: t.cut,
		Returns: t.returns}
	for i, h := range t.latency {
		if h.TotalCount() > 0 {
			c.Latency[Outcome(i).String()] = summary(h, true)
		}
	}
	return c
}

// Write writes the result as JSON, whole or not at all.
func (r *Result) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadResult reads a result, and says what is wrong with the file.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: no result of a run: %w", path, err)
	}
	if r.Format != resultFormat {
		return nil, fmt.Errorf("%s: format is %d, this program reads %d", path, r.Format, resultFormat)
	}
	return r, nil
}
