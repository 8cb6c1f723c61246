package loadtest

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Difference compares one metric between two sides, such as builds or settings. Each side has one or more runs.
type Difference struct {
	Path      string     `json:"path"`
	Class     string     `json:"class"` // class name, or "all"
	Metric    string     `json:"figure"`
	Base      []float64  `json:"base"`    // one value per run
	Candidate []float64  `json:"new"`     // one value per run
	Medians   [2]float64 `json:"medians"` // of Base and Candidate
	Noise     float64    `json:"noise"`   // twice the standard error of the difference; -1 if there are too few runs
	Verdict   string     `json:"verdict"`
}

// Verdicts of a comparison.
const (
	WithinNoise  = "within noise"
	Better       = "better"
	Worse        = "worse"
	Differs      = "differs" // for a metric without a better direction
	NoiseUnknown = "noise unknown"
)

// minRuns is the number of runs on each side that are needed to estimate the noise.
const minRuns = 3

// metric is a figure of a class. Its function returns false if the class does not have the figure.
type metric struct {
	name string
	sign float64 // 1 if more is better, -1 if less is better, 0 if neither is
	of   func(c *ClassResult) (float64, bool)
}

// metrics are the metrics that Compare compares, in the order of its output. Their names are part of its JSON output; they
// use the names of outcomes in result files.
var metrics = []metric{
	{"served, share", 1, func(c *ClassResult) (float64, bool) { return c.share(Served) }},
	{"refused, share", -1, func(c *ClassResult) (float64, bool) { return c.share(Rejected) }},
	// Requests that were neither served nor rejected, without those that the generator could not send.
	{"neither, share", -1, func(c *ClassResult) (float64, bool) {
		served, ok := c.share(Served)
		rejected, _ := c.share(Rejected)
		unsent, _ := c.share(Unsent)
		return 1 - served - rejected - unsent, ok
	}},
	{"latency p50, ms", -1, func(c *ClassResult) (float64, bool) { return c.served().P50, c.served().Count > 0 }},
	{"latency p99, ms", -1, func(c *ClassResult) (float64, bool) { return c.served().P99, c.served().Count > 0 }},
	{"service p50, ms", -1, func(c *ClassResult) (float64, bool) { return c.Service.P50, c.Service.Count > 0 }},
	{"service p99, ms", -1, func(c *ClassResult) (float64, bool) { return c.Service.P99, c.Service.Count > 0 }},
	{"line p50, ms", -1, func(c *ClassResult) (float64, bool) { return c.Message.P50, c.Message.Count > 0 }},
	{"line p99, ms", -1, func(c *ClassResult) (float64, bool) { return c.Message.P99, c.Message.Count > 0 }},
	{"broken, share of served", -1, func(c *ClassResult) (float64, bool) { return c.perServed(c.Broken) }},
	{"moved, share of served", 0, func(c *ClassResult) (float64, bool) { return c.perServed(c.Migrated) }},
}

// share returns the share of the class's requests that have the given outcome. It returns false if the class has no
// requests.
func (c *ClassResult) share(outcome Outcome) (float64, bool) {
	return float64(c.Outcomes[outcome.String()]) / float64(max(c.Requests, 1)), c.Requests > 0
}

// served returns the latency of served requests.
func (c *ClassResult) served() Summary { return c.Latency[Served.String()] }

// perServed returns n divided by the number of served requests. It returns false if none was served.
func (c *ClassResult) perServed(n int64) (float64, bool) {
	served := c.Outcomes[Served.String()]
	return float64(n) / float64(max(served, 1)), served > 0
}

// errNoRuns is returned if one side of a comparison has no runs.
var errNoRuns = errors.New("each side needs at least one run")

const runTimeFormat = "2006-01-02 15:04:05"

// Compare compares runs of one load in all metrics, by path and class. It returns an error if a run is partial or if the
// generator fell behind in it, because the figures of such a run do not describe the nodes.
func Compare(base, candidate []*Result) ([]Difference, error) {
	if len(base) == 0 || len(candidate) == 0 {
		return nil, errNoRuns
	}
	for _, r := range append(slices.Clone(base), candidate...) {
		if err := checkComparable(base[0], r); err != nil {
			return nil, err
		}
	}
	var out []Difference
	for _, path := range base[0].Paths() {
		for _, class := range base[0].classNames(path) {
			differences, err := compareClass(base, candidate, path, class)
			if err != nil {
				return nil, err
			}
			out = append(out, differences...)
		}
	}
	return out, nil
}

// checkComparable returns an error if a run has no valid figures, or if its load differs from that of the reference.
func checkComparable(reference, r *Result) error {
	switch {
	case r.Partial:
		return fmt.Errorf("cannot compare the run of %s: it is partial (%s)", r.Began.Format(runTimeFormat), r.PartialReason)
	case r.BehindReason != "":
		return fmt.Errorf("cannot compare the run of %s: the generator fell behind (%s)",
			r.Began.Format(runTimeFormat), r.BehindReason)
	case r.Name != reference.Name || r.Loop != reference.Loop || r.Speed != reference.Speed:
		return fmt.Errorf("cannot compare runs of different loads: %q and %q", reference.Name, r.Name)
	}
	return nil
}

// classNames returns allClasses and the names of the classes of a path.
func (r *Result) classNames(path string) []string {
	names := []string{allClasses}
	for _, c := range r.Classes {
		if c.Path == path {
			names = append(names, c.Class)
		}
	}
	return names
}

// compareClass compares one class in all metrics that both sides have.
func compareClass(base, candidate []*Result, path, class string) (out []Difference, err error) {
	for _, metric := range metrics {
		d := Difference{Path: path, Class: class, Metric: metric.name}
		if d.Base, err = metricValues(base, path, class, metric.of); err != nil {
			return nil, err
		}
		if d.Candidate, err = metricValues(candidate, path, class, metric.of); err != nil {
			return nil, err
		}
		if len(d.Base) == 0 || len(d.Candidate) == 0 {
			continue
		}
		d.setVerdict(metric.sign)
		out = append(out, d)
	}
	return out, nil
}

// metricValues returns the values of a metric in the runs that have it.
func metricValues(runs []*Result, path, class string, of func(*ClassResult) (float64, bool)) (out []float64, err error) {
	for _, r := range runs {
		c, found, err := r.class(path, class)
		if err != nil {
			return nil, err
		}
		if v, ok := of(&c); found && ok {
			out = append(out, v)
		}
	}
	return out, nil
}

// class returns the result of a class. For allClasses, it returns the result of all classes combined.
func (r *Result) class(path, class string) (c ClassResult, found bool, err error) {
	if class == allClasses {
		if c, err = r.Aggregate(path); err != nil {
			return c, false, err
		}
		found = c.Requests > 0
	}
	for _, k := range r.Classes {
		if k.Path == path && k.Class == class {
			c, found = k, true
		}
	}
	return c, found, nil
}

// setVerdict decides whether the difference exceeds the noise: it must be over twice its standard error, and the ranges of
// the two sides must not overlap, because a few runs give a poor estimate of the variance.
func (d *Difference) setVerdict(sign float64) {
	d.Medians = [2]float64{median(d.Base), median(d.Candidate)}
	d.Noise = -1
	d.Verdict = NoiseUnknown
	if len(d.Base) < minRuns || len(d.Candidate) < minRuns {
		return
	}
	baseVariance := stat.Variance(d.Base, nil) / float64(len(d.Base))
	candidateVariance := stat.Variance(d.Candidate, nil) / float64(len(d.Candidate))
	d.Noise = 2 * math.Sqrt(baseVariance+candidateVariance)
	difference := d.Medians[1] - d.Medians[0]
	disjoint := slices.Min(d.Candidate) > slices.Max(d.Base) || slices.Max(d.Candidate) < slices.Min(d.Base)
	switch {
	case !disjoint || math.Abs(difference) <= d.Noise:
		d.Verdict = WithinNoise
	case sign == 0:
		d.Verdict = Differs
	case difference*sign > 0:
		d.Verdict = Better
	default:
		d.Verdict = Worse
	}
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 0 {
		return (sorted[middle-1] + sorted[middle]) / 2
	}
	return sorted[middle]
}
