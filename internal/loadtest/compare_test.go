package loadtest

import (
	"path/filepath"
	"testing"
	"time"
)

// resultsWithP99 writes and rereads one result per latency. Each has 1,000 requests, 20 of them with that latency in ms.
func resultsWithP99(t *testing.T, latencies ...float64) (out []*Result) {
	t.Helper()
	for _, latency := range latencies {
		recorder := newStatsRecorder(time.Second)
		for i := range 1000 {
			d := time.Millisecond
			if i >= 980 {
				d = time.Duration(latency * float64(time.Millisecond))
			}
			r := &Request{Class: "chat", IntendedAt: time.Duration(i) * time.Millisecond}
			recorder.requestStarted(r, pathNode, 0)
			recorder.requestFinished(r, pathNode, Served, d, time.Second)
		}
		e := &engine{scenario: scenario(t, ""), recorder: recorder}
		path := filepath.Join(t.TempDir(), "r.json")
		if err := e.result(time.Now(), false, nil).Write(path); err != nil {
			t.Fatal(err)
		}
		result, err := ReadResult(path)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, result)
	}
	return out
}

// p99Verdict compares runs and returns the verdict on the 99th percentile latency of all classes.
func p99Verdict(t *testing.T, base, candidate []*Result) string {
	t.Helper()
	differences, err := Compare(base, candidate)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range differences {
		if d.Class == allClasses && d.Metric == "latency p99, ms" {
			return d.Verdict
		}
	}
	return "missing"
}

// Compare calls a difference better or worse only if it exceeds the noise, which takes three runs on each side to estimate.
// It rejects partial runs and runs with a late generator, whose figures do not describe the nodes.
func TestCompare_RereadResults_VerdictByNoise(t *testing.T) {
	base := resultsWithP99(t, 10, 11, 12, 10)
	for _, c := range []struct {
		candidate []*Result
		want      string
	}{
		{resultsWithP99(t, 20, 21, 19), Worse},
		{resultsWithP99(t, 5, 6, 5), Better},
		{resultsWithP99(t, 11, 10, 12), WithinNoise},
		{resultsWithP99(t, 30, 10, 50), WithinNoise},
		{resultsWithP99(t, 40, 41), NoiseUnknown},
	} {
		if got := p99Verdict(t, base, c.candidate); got != c.want {
			t.Errorf("change of p99 from about 11 ms to %v ms: %s, want %s", c.candidate[0].Classes[0].Latency["served"].P99, got, c.want)
		}
	}
	partial := resultsWithP99(t, 10)
	partial[0].Partial = true
	if _, err := Compare(base, partial); err == nil {
		t.Error("Compare of a partial run returned no error")
	}
	behind := resultsWithP99(t, 10)
	behind[0].BehindReason = "late"
	if _, err := Compare(behind, base); err == nil {
		t.Error("Compare of a run in which the generator fell behind returned no error")
	}
}
