package scaletest

import (
	"fmt"
	"time"
)

// Kind is how the nodes of a fleet are run.
type Kind string

// Values of Kind, as in result files.
const (
	Simulated Kind = "hollow" // many nodes in one process, without clients
	Real      Kind = "real"   // one process per node
)

// Sample has the measurements of one fleet. Rates and memory are per node.
type Sample struct {
	Kind        Kind          `json:"kind"`
	Nodes       int           `json:"nodes"`
	StartupTime time.Duration `json:"started_ns"` // from the fleet's start until all nodes watch the endpoint list
	MemoryMB    float64       `json:"memory_mb"`  // peak resident memory
	Idle        Phase         `json:"rest"`
	Changes     Phase         `json:"changes"`
	Restart     Phase         `json:"restart"`
}

// Phase has the measurements of one phase.
type Phase struct {
	Duration     time.Duration `json:"length_ns"`
	BytesPerS    float64       `json:"bytes_per_s"`    // to and from discovery, as TCP payload
	MessagesPerS float64       `json:"messages_per_s"` // reads and writes by discovery
	Cores        float64       `json:"cores"`          // processor time per wall-clock time
	Latency      Latency       `json:"latency"`
}

// Result is the result of a run.
type Result struct {
	Spec     Spec         `json:"spec"`
	Samples  []Sample     `json:"samples"`
	Ratios   []CostRatios `json:"differences"`
	Fits     []Fit        `json:"fits"`
	Shortage string       `json:"short"` // the resource that the machine lacked for larger fleets; "" for none
}

// ShortageError reports that the machine lacks a resource for a fleet. Results contain its text.
type ShortageError struct {
	Kind     Kind
	Nodes    int
	Resource string // name of the resource, with the amounts needed and available
}

func (e *ShortageError) Error() string {
	return fmt.Sprintf("%d %s nodes: short of %s", e.Nodes, e.Kind, e.Resource)
}
