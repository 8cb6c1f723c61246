package loadtest

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Difference is one figure of two builds or settings, each from one run or several.
type Difference struct {
	Path   string     `json:"path"`
	Class  string     `json:"class"` // "all" for all together
	Figure string     `json:"figure"`
	Base   []float64  `json:"base"`
	New    []float64  `json:"new"`
	Median [2]float64 `json:"medians"`
	Noise  float64    `json:"noise"` // what the difference of medians would be by chance alone, about; -1 where not known
	Word   string     `json:"verdict"`
}

// Verdicts of a comparison.
const (
	Same    = "within noise"
	Better  = "better"
	Worse   = "worse"
	Other   = "differs" // a figure of which neither way is better
	Unknown = "noise unknown"
)

// leastRuns is how many runs of each side tell noise from a difference.
const leastRuns = 3

// figures are what is compared; sign is 1 where more is better, -1 where less is, 0 where neither.
var figures = []struct {
	name string
	sign float64
	of   func(c *ClassResult) (float64, bool)
}{
	{"served, share", 1, func(c *ClassResult) (float64, bool) { return c.share("served") }},
	{"refused, share", -1, func(c *ClassResult) (float64, bool) { return c.share("refused") }},
	{"neither, share", -1, func(c *ClassResult) (float64, bool) {
		served, ok := c.share("served")
		refused, _ := c.share("refused")
		unsent, _ := c.share("unsent")
		return 1 - served - refused - unsent, ok
	}},
	{"latency p50, ms", -1, func(c *ClassResult) (float64, bool) { return c.Latency["served"].P50, c.Latency["served"].Count > 0 }},
	{"latency p99, ms", -1, func(c *ClassResult) (float64, bool) { return c.Latency["served"].P99, c.Latency["served"].Count > 0 }},
	{"service p50, ms", -1, func(c *ClassResult) (float64, bool) { return c.Service.P50, c.Service.Count > 0 }},
	{"service p99, ms", -1, func(c *ClassResult) (float64, bool) { return c.Service.P99, c.Service.Count > 0 }},
	{"line p50, ms", -1, func(c *ClassResult) (float64, bool) { return c.Message.P50, c.Message.Count > 0 }},
	{"line p99, ms", -1, func(c *ClassResult) (float64, bool) { return c.Message.P99, c.Message.Count > 0 }},
	{"broken, share of served", -1, func(c *ClassResult) (float64, bool) { return c.ofServed(c.Broken) }},
	{"moved, share of served", 0, func(c *ClassResult) (float64, bool) { return c.ofServed(c.Moved) }},
}

func (c *ClassResult) share(outcome string) (float64, bool) {
	return float64(c.Outcomes[outcome]) / float64(max(c.Asked, 1)), c.Asked > 0
}

func (c *ClassResult) ofServed(n int64) (float64, bool) {
	served := c.Outcomes["served"]
	return float64(n) / float64(max(served, 1)), served > 0
}

// All puts the classes of a path together; shares and percentiles are of all requests.
func (r *Result) All(path string) (ClassResult, error) {
	all := ClassResult{Path: path, Class: "all", Outcomes: map[string]int64{}, Tries: map[string]int64{}, Latency: map[string]Summary{}}
	latency := map[string]Summary{}
	for i := range r.Classes {
		c := &r.Classes[i]
		if c.Path != path {
			continue
		}
		all.Asked += c.Asked
		all.Late += c.Late
		all.Ended, all.Moved, all.Broken = all.Ended+c.Ended, all.Moved+c.Moved, all.Broken+c.Broken
		all.Dropped, all.Cut, all.Returns = all.Dropped+c.Dropped, all.Cut+c.Cut, all.Returns+c.Returns
		all.Sent, all.Answered = all.Sent+c.Sent, all.Answered+c.Answered
		for k, n := range c.Outcomes {
			all.Outcomes[k] += n
		}
		for k, n := range c.Tries {
			all.Tries[k] += n
		}
		for k, s := range c.Latency {
			if err := merge(latency, k, s); err != nil {
				return all, err
			}
		}
		for k, s := range map[string]Summary{"service": c.Service, "back": c.Back, "message": c.Message} {
			if err := merge(latency, "."+k, s); err != nil {
				return all, err
			}
		}
	}
	all.Service, all.Back, all.Message = latency[".service"], latency[".back"], latency[".message"]
	for k, s := range latency {
		if k[0] != '.' {
			all.Latency[k] = s
		}
	}
	return all, nil
}

func merge(into map[string]Summary, k string, s Summary) error {
	h, err := s.Histogram()
	if err != nil {
		return err
	}
	was := into[k]
	old, err := was.Histogram()
	if err != nil {
		return err
	}
	old.Merge(h)
	into[k] = summary(old, true)
	return nil
}

// Paths names the paths that a run has: "node" first.
func (r *Result) Paths() (out []string) {
	for _, c := range r.Classes {
		if !slices.Contains(out, c.Path) {
			out = append(out, c.Path)
		}
	}
	return out
}

// Compare sets runs of one load side by side. Runs that are partial, or in which the generator fell behind, are
// refused: their figures are not the node's.
func Compare(base, next []*Result) ([]Difference, error) {
	if len(base) == 0 || len(next) == 0 {
		return nil, errors.New("each side needs a run at least")
	}
	for _, r := range append(slices.Clone(base), next...) {
		switch {
		case r.Partial:
			return nil, fmt.Errorf("a run of %s is partial (%s): it can't be compared", r.Began.Format("2006-01-02 15:04:05"), r.Why)
		case r.Behind != "":
			return nil, fmt.Errorf("in a run of %s the generator fell behind (%s): it can't be compared",
				r.Began.Format("2006-01-02 15:04:05"), r.Behind)
		case r.Name != base[0].Name || r.Loop != base[0].Loop || r.Speed != base[0].Speed:
			return nil, fmt.Errorf("the runs are of other loads: %q and %q", base[0].Name, r.Name)
		}
	}
	var out []Difference
	for _, path := range base[0].Paths() {
		classes := []string{"all"}
		for _, c := range base[0].Classes {
			if c.Path == path {
				classes = append(classes, c.Class)
			}
		}
		for _, class := range classes {
			for _, f := range figures {
				d := Difference{Path: path, Class: class, Figure: f.name}
				var err error
				if d.Base, err = values(base, path, class, f.of); err != nil {
					return nil, err
				}
				if d.New, err = values(next, path, class, f.of); err != nil {
					return nil, err
				}
				if len(d.Base) == 0 || len(d.New) == 0 {
					continue
				}
				d.judge(f.sign)
				out = append(out, d)
			}
		}
	}
	return out, nil
}

func values(runs []*Result, path, class string, of func(*ClassResult) (float64, bool)) (out []float64, err error) {
	for _, r := range runs {
		c, found := ClassResult{}, false
		if class == "all" {
			if c, err = r.All(path); err != nil {
				return nil, err
			}
			found = c.Asked > 0
		}
		for _, k := range r.Classes {
			if k.Path == path && k.Class == class {
				c, found = k, true
			}
		}
		if v, ok := of(&c); found && ok {
			out = append(out, v)
		}
	}
	return out, nil
}

// judge says whether the difference is over the noise: twice the standard error of the difference by both sides'
// spread, and no overlap of the runs, since few runs tell little of a spread.
func (d *Difference) judge(sign float64) {
	d.Median = [2]float64{median(d.Base), median(d.New)}
	d.Noise, d.Word = -1, Unknown
	if len(d.Base) < leastRuns || len(d.New) < leastRuns {
		return
	}
	d.Noise = 2 * math.Sqrt(stat.Variance(d.Base, nil)/float64(len(d.Base))+stat.Variance(d.New, nil)/float64(len(d.New)))
	diff := d.Median[1] - d.Median[0]
	apart := slices.Min(d.New) > slices.Max(d.Base) || slices.Max(d.New) < slices.Min(d.Base)
	switch {
	case !apart || math.Abs(diff) <= d.Noise:
		d.Word = Same
	case sign == 0:
		d.Word = Other
	case diff*sign > 0:
		d.Word = Better
	default:
		d.Word = Worse
	}
}

func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	if n := len(s); n%2 == 0 {
		return (s[n/2-1] + s[n/2]) / 2
	}
	return s[len(s)/2]
}
