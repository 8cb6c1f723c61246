package loadtest

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"onyxstream/internal/testcluster"
)

// Result is the result of a run, with all that it takes to repeat the run and to compare it with others.
type Result struct {
	Format   int       `json:"format"`
	Tool     string    `json:"tool"`
	Go       string    `json:"go"`
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Scenario string    `json:"scenario,omitempty"` // the text of the scenario file
	Trace    string    `json:"trace,omitempty"`
	Speed    float64   `json:"speed,omitempty"`
	Loop     string    `json:"loop"`
	Began    time.Time `json:"began"`
	Seconds  float64   `json:"seconds"` // from the first request to the end
	Partial  bool      `json:"partial"` // the run was canceled, or its source failed
	// BehindReason says why the generator fell behind, which makes the figures invalid; "" where it did not.
	BehindReason  string `json:"behind,omitempty"`
	PartialReason string `json:"why,omitempty"` // "" unless Partial

	Lateness    Summary       `json:"lateness"` // of the generator: from the intended time to the dial
	WakeupDelay Summary       `json:"wake"`     // of the generator's goroutines: a part of every latency
	Classes     []ClassResult `json:"classes"`
	Timeline    []Interval    `json:"line"`
	FleetEvents []FleetEvent  `json:"marks,omitempty"`
	// WrongReceipts counts receipts that no host issued for their connection: above 0 only by a fault.
	WrongReceipts int64                          `json:"wrong_receipts"`
	Nodes         *testcluster.Usage             `json:"nodes,omitempty"`
	Hosts         []HostCount                    `json:"hosts,omitempty"`
	ListService   *testcluster.DiscoveryRequests `json:"list,omitempty"`  // calls to the list service
	Startup       []testcluster.StartStep        `json:"start,omitempty"` // the start of the fleet, before the first request
	Generator     testcluster.Usage              `json:"self"`            // the generator's process, which includes the fake servers
}

// ownUsage returns the resources that this process has used so far.
func ownUsage() (u testcluster.Usage) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.PeakMB = float64(r.Maxrss) / 1024
	}
	return u
}

// resultFormat is the version of the file format. It grows with changes that older readers can't read.
const resultFormat = 1

// ClassResult has the figures of one class on one path: "node", or "direct" for requests sent to hosts.
type ClassResult struct {
	Path          string             `json:"path"`
	Class         string             `json:"class"`
	Requests      int64              `json:"asked"`
	Outcomes      map[string]int64   `json:"outcomes"` // of requests, by name
	Attempts      map[string]int64   `json:"tries"`
	Late          int64              `json:"late"`    // served after the deadline, measured from the intended time
	Latency       map[string]Summary `json:"latency"` // by outcome, from the intended time
	Service       Summary            `json:"service"` // of the served attempt alone
	Reconnect     Summary            `json:"back"`    // from the intended reconnect until served
	Message       Summary            `json:"message"`
	LinesSent     int64              `json:"lines_sent"`
	LinesAnswered int64              `json:"lines_answered"`
	Completed     int64              `json:"ended"` // established connections that lasted to their end
	Migrated      int64              `json:"moved"`
	Broken        int64              `json:"broken"`
	Dropped       int64              `json:"dropped"` // in a reconnect surge
	Aborted       int64              `json:"cut"`     // open when the run ended
	Reconnects    int64              `json:"returns"`
}

// Interval is a part of the timeline. Requests are assigned by their intended time.
type Interval struct {
	At         float64          `json:"at_s"`
	Width      float64          `json:"width_s"`
	Intended   int64            `json:"intended"`
	Outcomes   map[string]int64 `json:"outcomes,omitempty"`
	Reconnects int64            `json:"back"`
	Open       int64            `json:"open"`
	P50        float64          `json:"p50_ms"`
	P99        float64          `json:"p99_ms"`
}

// FleetEvent is a fault, or a change of a node's health.
type FleetEvent struct {
	At          float64 `json:"at_s"`
	Subject     string  `json:"who"`
	Description string  `json:"what"`
}

// HostCount has the numbers of a fake host's events by kind.
type HostCount struct {
	ID      string           `json:"id"`
	Records map[string]int64 `json:"records"`
}

// Version names the build, with its revision where that is known.
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

// Write writes the result to a file as JSON, atomically.
func (r *Result) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadResult reads a result file.
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
