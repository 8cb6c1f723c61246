package scaletest

import (
	"errors"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line through samples: y = Base + Slope * nodes.
type Fit struct {
	What    string  `json:"what"`
	Base    float64 `json:"base"`
	Slope   float64 `json:"slope"`
	R2      float64 `json:"r2"` // 1 where the line meets all samples
	Samples int     `json:"samples"`
	Spread  float64 `json:"spread"` // the largest size over the smallest
	At      float64 `json:"at_target"`
	Budget  float64 `json:"budget"` // 0 for none
	Fits    bool    `json:"fits"`
}

var errFewSizes = errors.New("a slope needs two sizes")

// fit lays a line through samples by size and reckons it up to the target.
func fit(what string, sizes, values []float64, target int, budget float64) (Fit, error) {
	if len(sizes) < 2 || sizes[0] == sizes[len(sizes)-1] {
		return Fit{What: what}, errFewSizes
	}
	f := Fit{What: what, Samples: len(sizes), Spread: sizes[len(sizes)-1] / sizes[0], Budget: budget}
	f.Base, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.R2 = stat.RSquared(sizes, values, nil, f.Base, f.Slope)
	f.At = f.Base + f.Slope*float64(target)
	f.Fits = budget == 0 || f.At <= budget
	return f, nil
}

// fits lays lines through the samples of hollow fleets.
func fits(samples []Sample, target Target) (out []Fit) {
	n := float64(target.Nodes)
	for _, m := range []struct {
		what   string
		budget float64
		value  func(s Sample) float64
	}{
		{"service, at rest, bytes/s", 0, func(s Sample) float64 { return s.Rest.BytesPerS * float64(s.Nodes) }},
		{"service, with changes, bytes/s", target.BytesPerS * n, func(s Sample) float64 { return s.Changes.BytesPerS * float64(s.Nodes) }},
		{"service, with changes, messages/s", 0, func(s Sample) float64 { return s.Changes.MessagesPerS * float64(s.Nodes) }},
		{"nodes, with changes, cores", target.CorePart * n, func(s Sample) float64 { return s.Changes.Cores * float64(s.Nodes) }},
		{"nodes, memory, MB", target.MemoryMB * n, func(s Sample) float64 { return s.MemoryMB * float64(s.Nodes) }},
		{"last node has a change, s", target.InForceMax.AsDuration().Seconds(), func(s Sample) float64 { return s.Changes.Latency.Last.Seconds() }},
	} {
		var sizes, values []float64
		for _, s := range samples {
			if s.Kind == Hollow {
				sizes, values = append(sizes, float64(s.Nodes)), append(values, m.value(s))
			}
		}
		if f, err := fit(m.what, sizes, values, target.Nodes, m.budget); err == nil {
			out = append(out, f)
		}
	}
	return out
}

// Difference is what a hollow node costs against a real one, in fleets of one size: 1 where they cost the same.
type Difference struct {
	Nodes    int     `json:"nodes"`
	Bytes    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
	Cores    float64 `json:"cores"`
	Memory   float64 `json:"memory"`
	Median   float64 `json:"median"`
}

// differences compares samples of both kinds at the sizes that both have, with changes under way.
func differences(samples []Sample) (out []Difference) {
	for _, r := range samples {
		for _, h := range samples {
			if r.Kind == Real && h.Kind == Hollow && r.Nodes == h.Nodes {
				out = append(out, Difference{Nodes: r.Nodes, Bytes: ratio(h.Changes.BytesPerS, r.Changes.BytesPerS),
					Messages: ratio(h.Changes.MessagesPerS, r.Changes.MessagesPerS), Cores: ratio(h.Changes.Cores, r.Changes.Cores),
					Memory: ratio(h.MemoryMB, r.MemoryMB),
					Median: ratio(h.Changes.Latency.Median.Seconds(), r.Changes.Latency.Median.Seconds())})
			}
		}
	}
	return out
}

// ratio is a over b, 0 where b is not measurable.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
