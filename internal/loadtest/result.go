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

// Result is the result of a run, with everything needed to repeat the run and to compare it with others.
type Result struct {
	// The run.
	Format   int       `json:"format"`
	Tool     string    `json:"tool"`
	Go       string    `json:"go"`
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Scenario string    `json:"scenario,omitempty"` // text of the scenario file
	Trace    string    `json:"trace,omitempty"`
	Speed    float64   `json:"speed,omitempty"`
	Loop     string    `json:"loop"`
	Began    time.Time `json:"began"`
	Seconds  float64   `json:"seconds"` // from the first request to the end
	Partial  bool      `json:"partial"` // the run was canceled, or its source failed
	// BehindReason is why the generator fell behind, which makes the figures invalid; "" if it did not.
	BehindReason  string `json:"behind,omitempty"`
	PartialReason string `json:"why,omitempty"` // "" unless Partial

	// Measurements of the load.
	Lateness    Summary       `json:"lateness"` // of the generator: from a request's intended time to its first connect
	WakeupDelay Summary       `json:"wake"`     // of the generator's sleeping goroutines; every latency includes it
	Classes     []ClassResult `json:"classes"`
	Timeline    []Interval    `json:"line"`
	FleetEvents []FleetEvent  `json:"marks,omitempty"`

	// WrongReceipts is the number of receipts that no host issued for their connection. It is above 0 only if there is a
	// fault between client and host.
	WrongReceipts int64 `json:"wrong_receipts"`

	// The fleet and the generator.
	Nodes     *testcluster.Usage             `json:"nodes,omitempty"`
	Hosts     []HostCount                    `json:"hosts,omitempty"`
	Discovery *testcluster.DiscoveryRequests `json:"list,omitempty"`  // list requests to discovery
	Startup   []testcluster.StartStep        `json:"start,omitempty"` // startup of the fleet, before the first request
	Generator testcluster.Usage              `json:"self"`            // of the generator's process, fake servers included
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

// resultFormat is the version of the file format. It increases with each change that older readers cannot read.
const resultFormat = 1

// ClassResult has the figures of one class on one path: "node" for requests sent to nodes, or "direct" for requests sent
// to hosts.
type ClassResult struct {
	Path     string           `json:"path"`
	Class    string           `json:"class"`
	Requests int64            `json:"asked"`
	Outcomes map[string]int64 `json:"outcomes"` // requests by outcome name
	Attempts map[string]int64 `json:"tries"`    // attempts by outcome name
	Late     int64            `json:"late"`     // served requests whose latency exceeded the deadline

	// Times.
	Latency   map[string]Summary `json:"latency"` // by outcome name, from the intended time
	Service   Summary            `json:"service"` // service time of the served attempt alone
	Reconnect Summary            `json:"back"`    // from the intended time of a reconnect until it is served
	Message   Summary            `json:"message"` // from a line's intended time to its echo

	// Lines from clients, and their echoes.
	LinesSent     int64 `json:"lines_sent"`
	LinesAnswered int64 `json:"lines_answered"`

	// Established connections by the reason for their end, and reconnects.
	Completed  int64 `json:"ended"` // ended as intended
	Migrated   int64 `json:"moved"`
	Broken     int64 `json:"broken"`
	Dropped    int64 `json:"dropped"` // dropped by the client in a reconnect surge
	Aborted    int64 `json:"cut"`     // still open when the run ended
	Reconnects int64 `json:"returns"`
}

// Interval is one interval of the timeline. A request belongs to the interval of its intended time.
type Interval struct {
	At         float64          `json:"at_s"` // start of the interval, since the first request
	Width      float64          `json:"width_s"`
	Intended   int64            `json:"intended"`
	Outcomes   map[string]int64 `json:"outcomes,omitempty"`
	Reconnects int64            `json:"back"`
	Open       int64            `json:"open"`   // established connections at the last sample in the interval
	P50        float64          `json:"p50_ms"` // latency of served requests
	P99        float64          `json:"p99_ms"` // latency of served requests
}

// FleetEvent is a fault, or a change of a node's health as the front sees it.
type FleetEvent struct {
	At          float64 `json:"at_s"` // since the first request
	Subject     string  `json:"who"`  // source of the event
	Description string  `json:"what"`
}

// HostCount has the number of a fake host's events by kind.
type HostCount struct {
	ID      string           `json:"id"`
	Records map[string]int64 `json:"records"`
}

// Version returns the name of the program, with the revision that it was built from if the revision is known.
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
		return nil, fmt.Errorf("%s: invalid result file: %w", path, err)
	}
	if r.Format != resultFormat {
		return nil, fmt.Errorf("%s: unsupported result format %d, want %d", path, r.Format, resultFormat)
	}
	return r, nil
}
