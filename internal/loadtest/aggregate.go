package loadtest

import "slices"

// allClasses is the class name in the results that Aggregate returns.
const allClasses = "all"

// Aggregate combines all classes of a path into one result. Its percentiles are those of all requests together.
func (r *Result) Aggregate(path string) (ClassResult, error) {
	all := ClassResult{
		Path:     path,
		Class:    allClasses,
		Outcomes: map[string]int64{},
		Attempts: map[string]int64{},
		Latency:  map[string]Summary{},
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		if c.Path != path {
			continue
		}
		all.addCounts(c)
		if err := all.addSummaries(c); err != nil {
			return all, err
		}
	}
	return all, nil
}

func (c *ClassResult) addCounts(other *ClassResult) {
	c.Requests += other.Requests
	c.Late += other.Late
	c.Completed += other.Completed
	c.Migrated += other.Migrated
	c.Broken += other.Broken
	c.Dropped += other.Dropped
	c.Aborted += other.Aborted
	c.Reconnects += other.Reconnects
	c.LinesSent += other.LinesSent
	c.LinesAnswered += other.LinesAnswered
	for outcome, n := range other.Outcomes {
		c.Outcomes[outcome] += n
	}
	for outcome, n := range other.Attempts {
		c.Attempts[outcome] += n
	}
}

func (c *ClassResult) addSummaries(other *ClassResult) error {
	for outcome, latency := range other.Latency {
		merged, err := mergeSummaries(c.Latency[outcome], latency)
		if err != nil {
			return err
		}
		c.Latency[outcome] = merged
	}
	for _, pair := range []struct {
		into  *Summary
		other Summary
	}{
		{&c.Service, other.Service},
		{&c.Reconnect, other.Reconnect},
		{&c.Message, other.Message},
	} {
		merged, err := mergeSummaries(*pair.into, pair.other)
		if err != nil {
			return err
		}
		*pair.into = merged
	}
	return nil
}

// mergeSummaries returns the summary of the two distributions combined.
func mergeSummaries(a, b Summary) (Summary, error) {
	addend, err := b.Histogram()
	if err != nil {
		return Summary{}, err
	}
	sum, err := a.Histogram()
	if err != nil {
		return Summary{}, err
	}
	sum.Merge(addend)
	return summarize(sum, true), nil
}

// Paths returns the distinct paths of the run's requests in the order of Classes.
func (r *Result) Paths() (paths []string) {
	for _, c := range r.Classes {
		if !slices.Contains(paths, c.Path) {
			paths = append(paths, c.Path)
		}
	}
	return paths
}
