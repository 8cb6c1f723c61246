package scaletest

import (
	"errors"

	"gonum.org/v1/gonum/stat"
)

// Fit is a linear fit of a metric to the number of nodes: Intercept + Slope * nodes.
type Fit struct {
	Metric       string  `json:"what"`
	Intercept    float64 `json:"base"`
	Slope        float64 `json:"slope"`
	R2           float64 `json:"r2"` // coefficient of determination: 1 for an exact fit
	Samples      int     `json:"samples"`
	SizeRatio    float64 `json:"spread"`    // largest fleet size divided by the smallest
	AtTarget     float64 `json:"at_target"` // extrapolated to the target size
	Budget       float64 `json:"budget"`    // at the target size; 0 for none
	WithinBudget bool    `json:"fits"`
}

var errTooFewSizes = errors.New("a linear fit requires two different fleet sizes")

// fitLine fits a line to the values at the sizes, and extrapolates it to the target size. The sizes must ascend.
func fitLine(metric string, sizes, values []float64, target int, budget float64) (Fit, error) {
	if len(sizes) < 2 || sizes[0] == sizes[len(sizes)-1] {
		return Fit{Metric: metric}, errTooFewSizes
	}
	f := Fit{Metric: metric, Samples: len(sizes), SizeRatio: sizes[len(sizes)-1] / sizes[0], Budget: budget}
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.R2 = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
	f.AtTarget = f.Intercept + f.Slope*float64(target)
	f.WithinBudget = budget == 0 || f.AtTarget <= budget
	return f, nil
}

// fleetMetric is a metric of a whole fleet. Its budget is for a fleet of the target size, 0 for none. Its name is stored in
// results; "service" in a name stands for discovery.
type fleetMetric struct {
	name   string
	budget float64
	value  func(s Sample) float64
}

// fleetMetrics returns the metrics that are fitted, with the budgets of the target.
func fleetMetrics(target Target) []fleetMetric {
	n := float64(target.Nodes)
	ofFleet := func(perNode func(s Sample) float64) func(Sample) float64 {
		return func(s Sample) float64 { return perNode(s) * float64(s.Nodes) }
	}
	return []fleetMetric{
		{"service, at rest, bytes/s", 0, ofFleet(func(s Sample) float64 { return s.Idle.BytesPerS })},
		{"service, with changes, bytes/s", target.BytesPerS * n, ofFleet(func(s Sample) float64 { return s.Changes.BytesPerS })},
		{"service, with changes, messages/s", 0, ofFleet(func(s Sample) float64 { return s.Changes.MessagesPerS })},
		{"nodes, with changes, cores", target.Cores * n, ofFleet(func(s Sample) float64 { return s.Changes.Cores })},
		{"nodes, memory, MB", target.MemoryMB * n, ofFleet(func(s Sample) float64 { return s.MemoryMB })},
		{"last node has a change, s", target.MaxPropagation.AsDuration().Seconds(), func(s Sample) float64 {
			return s.Changes.Latency.Max.Seconds()
		}},
	}
}

// fitMetrics fits all metrics to the samples of simulated fleets. It omits metrics with fewer than two sizes.
func fitMetrics(samples []Sample, target Target) (out []Fit) {
	for _, metric := range fleetMetrics(target) {
		var sizes, values []float64
		for _, s := range samples {
			if s.Kind == Simulated {
				sizes = append(sizes, float64(s.Nodes))
				values = append(values, metric.value(s))
			}
		}
		if f, err := fitLine(metric.name, sizes, values, target.Nodes, metric.budget); err == nil {
			out = append(out, f)
		}
	}
	return out
}

// CostRatios has the costs of a simulated node divided by those of a real node. Both fleets have the same size and were
// measured in the phase with changes.
type CostRatios struct {
	Nodes    int     `json:"nodes"`
	Bytes    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
	Cores    float64 `json:"cores"`
	Memory   float64 `json:"memory"`
	Median   float64 `json:"median"` // median propagation latency
}

// compareKinds compares simulated with real nodes at each size that was measured with both.
func compareKinds(samples []Sample) (out []CostRatios) {
	for _, real := range samples {
		for _, simulated := range samples {
			if real.Kind == Real && simulated.Kind == Simulated && real.Nodes == simulated.Nodes {
				out = append(out, costRatios(simulated, real))
			}
		}
	}
	return out
}

func costRatios(simulated, real Sample) CostRatios {
	return CostRatios{
		Nodes:    real.Nodes,
		Bytes:    ratio(simulated.Changes.BytesPerS, real.Changes.BytesPerS),
		Messages: ratio(simulated.Changes.MessagesPerS, real.Changes.MessagesPerS),
		Cores:    ratio(simulated.Changes.Cores, real.Changes.Cores),
		Memory:   ratio(simulated.MemoryMB, real.MemoryMB),
		Median:   ratio(simulated.Changes.Latency.Median.Seconds(), real.Changes.Latency.Median.Seconds()),
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
