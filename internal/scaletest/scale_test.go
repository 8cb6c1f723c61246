package scaletest

import (
	"context"
	"errors"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxstream/internal/tomlfile"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// buildProgram builds the program on its first call, and returns its path on every call.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-scale")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "onyxstream")
	out, err := exec.Command("go", "build", "-o", path, "onyxstream/cmd/onyxstream").CombinedOutput()
	if err != nil {
		return "", errors.New(string(out))
	}
	return path, nil
})

func smallSpec() Spec {
	return Spec{Name: "small", Seed: 1, SimulatedSizes: []int{3, 50}, RealSizes: []int{3}, Hosts: 10, IdleDuration: tomlfile.Duration(time.Second),
		Changes: 5, ChangesPerDay: 1600, Speedup: 720, RestartShare: 0.1, MaxMemoryMB: 4000, Target: Target{Nodes: 2600, BytesPerS: 2000}}
}

// Each change reaches every simulated and every real node, including those that restart during the changes. Discovery
// sends about as many bytes to a simulated node as to a real one.
func TestRun_SmallFleets_EveryNodeReceivesEveryChange(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	spec := smallSpec()
	result, err := Run(t.Context(), spec, Options{Program: path})
	if err != nil || result.Shortage != "" {
		t.Fatalf("error %v, shortage %q; want neither", err, result.Shortage)
	}
	if len(result.Samples) != 3 {
		t.Fatalf("%d samples, want 3: 3 real, 3 simulated and 50 simulated nodes", len(result.Samples))
	}
	for _, s := range result.Samples {
		if s.Changes.Latency.Missing != 0 || s.Restart.Latency.Missing != 0 {
			t.Errorf("%d %s nodes: %d changes did not reach a node, %d while some restarted", s.Nodes, s.Kind,
				s.Changes.Latency.Missing, s.Restart.Latency.Missing)
		}
		if l := s.Changes.Latency; l.Received != spec.Changes*s.Nodes || l.Max < l.P99 || l.P99 < l.Median {
			t.Errorf("%d %s nodes: latency %+v for %d changes, want each received by every node, and ascending percentiles", s.Nodes, s.Kind, l, spec.Changes)
		}
		if l := s.Restart.Latency; l.Received != s.Nodes {
			t.Errorf("%d %s nodes, some restarting: latency %+v, want one change received by each", s.Nodes, s.Kind, l)
		}
		if s.Changes.BytesPerS <= s.Idle.BytesPerS || s.MemoryMB <= 0 {
			t.Errorf("%d %s nodes: %.0f bytes/s with changes, %.0f bytes/s at rest, %.1f MB of memory; want more bytes with changes than at rest, and some memory", s.Nodes, s.Kind, s.Changes.BytesPerS, s.Idle.BytesPerS, s.MemoryMB)
		}
	}
	transferred := map[Kind]float64{}
	for _, s := range result.Samples {
		if s.Nodes == 3 { // total bytes, because the duration depends on the machine
			transferred[s.Kind] = s.Changes.BytesPerS * s.Changes.Duration.Seconds()
		}
	}
	if len(result.Ratios) != 1 || math.Abs(transferred[Simulated]/transferred[Real]-1) > 0.2 {
		t.Errorf("traffic of simulated and real nodes differs by more than 20 %%: %v bytes, ratios %+v", transferred, result.Ratios)
	}
	if len(result.Fits) == 0 || result.Fits[0].Samples != 2 {
		t.Errorf("fits are %+v, want each from 2 samples", result.Fits)
	}
}

// If the file descriptors don't suffice for a fleet, the run ends without an error. Its result has the samples of the smaller
// fleets and names the resource.
func TestRun_InsufficientDescriptors_KeepsSamplesAndNamesResource(t *testing.T) {
	if resource := missingResource(Simulated, 2600, 1024); !strings.Contains(resource, "descriptors") {
		t.Errorf("2,600 nodes with 1,024 descriptors: missing resource is %q, want descriptors", resource)
	}
	if resource := missingResource(Simulated, 2600, 20_000); resource != "" {
		t.Errorf("2,600 nodes with 20,000 descriptors: missing resource is %q, want none", resource)
	}
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	spec := smallSpec()
	spec.RealSizes, spec.SimulatedSizes = nil, []int{2, 1000}
	result, err := Run(t.Context(), spec, Options{Program: path, Descriptors: 500})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Samples) != 1 || !strings.Contains(result.Shortage, "1000 hollow nodes: short of descriptors") {
		t.Errorf("%d samples, shortage %q; want 1 sample and a shortage of descriptors", len(result.Samples), result.Shortage)
	}
}

func TestRun_Canceled_ReturnsContextError(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	result, err := Run(ctx, smallSpec(), Options{Program: path})
	if !errors.Is(err, context.Canceled) || len(result.Samples) != 0 {
		t.Errorf("error %v, %d samples; want context.Canceled and none", err, len(result.Samples))
	}
}

func TestSpec_InvalidFile_ErrorNamesLineAndField(t *testing.T) {
	good, err := os.ReadFile("../../examples/scale.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := tomlfile.Decode("scale.toml", good, &Spec{}); err != nil {
		t.Fatalf("examples/scale.toml: %v", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"hollow = [3, 10, 20, 100, 400, 1300, 2600]", "hollow = [3]", "scale.toml:7: hollow: 1 sizes"},
		{"hollow = [3, 10, 20, 100, 400, 1300, 2600]", "hollow = [30, 10]", "scale.toml:7: hollow: sizes must ascend"},
		{"real = [3, 10, 20]", "real = [300]", "scale.toml:8: real: sizes must ascend"},
		{"hosts = 100", "hosts = 1", "scale.toml:9: hosts: 1 is not between"},
		{`rest = "5s"`, `rest = "5ms"`, "scale.toml:10: rest:"},
		{"changes = 30", "changes = 0", "scale.toml:11: changes:"},
		{"per_day = 1600", "per_day = -1", "scale.toml:12: per_day:"},
		{"factor = 360", "factor = 1e9", "scale.toml:13: factor: interval between changes would be"},
		{"restart = 0.1", "restart = 1.5", "scale.toml:14: restart:"},
		{"memory_mb = 8000", "memory_mb = 0", "scale.toml:15: memory_mb:"},
		{"nodes = 2600", "nodes = 0", "scale.toml:18: target.nodes:"},
		{"seed = 1", "sede = 1", "scale.toml:6: sede: no such key"},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		if err := tomlfile.Decode("scale.toml", []byte(text), &Spec{}); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("spec with %s: got error %v, want one that begins with %s", c.new, err, c.want)
		}
	}
}

func TestFitLine_Samples_InterceptAndSlope(t *testing.T) {
	f, err := fitLine("bytes", []float64{10, 100, 1000}, []float64{25, 205, 2005}, 2600, 5000)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.Intercept-5) > 1e-6 || math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.R2-1) > 1e-9 || math.Abs(f.AtTarget-5205) > 1e-6 || f.WithinBudget || f.SizeRatio != 100 {
		t.Errorf("fit of 5 + 2 * nodes is %+v, want R2 1, 5205 at the target, over budget, and a size ratio of 100", f)
	}
	if _, err := fitLine("bytes", []float64{10}, []float64{25}, 2600, 0); !errors.Is(err, errTooFewSizes) {
		t.Errorf("one size: error %v, want errTooFewSizes", err)
	}
}

// A revision that a node logs counts for all earlier ones too. An incomplete line and a line from before the change do
// not count.
func TestPropagationRecorder_LaterRevision_CountsForEarlierOnes(t *testing.T) {
	r := newPropagationRecorder()
	line := func(at time.Time, node, revision string) string {
		return at.Format(logTimeFormat) + "\tdebug\tendpoint list received\t{\"node\": \"" + node + "\", \"revision\": " + revision + ", \"endpoints\": 1}\n"
	}
	now := time.Now()
	_, _ = r.Write([]byte(line(now.Add(-time.Second), "n1", "9")))
	r.recordChange(2)
	r.recordChange(3)
	at := time.Now().Add(20 * time.Millisecond)
	_, _ = r.Write([]byte(line(at, "n1", "3") + line(at, "n2", "2") + line(at, "n3", "3")[:40]))
	if r.isComplete(2) {
		t.Error("isComplete is true although n2 has not received revision 3")
	}
	l := r.takeLatency(2)
	if l.Missing != 1 || l.Max < 10*time.Millisecond || l.Max > time.Second {
		t.Errorf("latency is %+v, want one missing and a maximum of about 20ms", l)
	}
	if l = r.takeLatency(2); l.Max != 0 || l.Missing != 0 {
		t.Errorf("second takeLatency returns %+v, want it empty", l)
	}
}

// A read of a process's output can end anywhere in a line. Each line must still be forwarded exactly once and unsplit.
func TestLineWriter_SplitAnywhere_ForwardsWholeLines(t *testing.T) {
	r := newPropagationRecorder()
	r.recordChange(2)
	text := ""
	for _, node := range []string{"n1", "n2", "n3"} {
		text += time.Now().Add(time.Second).Format(logTimeFormat) + "\tdebug\tendpoint list received\t{\"node\": \"" + node + "\", \"revision\": 2, \"endpoints\": 1}\n"
	}
	for cut := range len(text) {
		r.recordChange(2)
		w := &lineWriter{out: r}
		_, _ = w.Write([]byte(text[:cut]))
		_, _ = w.Write([]byte(text[cut:]))
		if !r.isComplete(3) {
			t.Fatalf("split at byte %d: latencies %v, want one of each of 3 nodes", cut, r.latencies)
		}
	}
	w := &lineWriter{out: r}
	for range 100 {
		_, _ = w.Write(make([]byte, 1<<10))
	}
	if len(w.partial) > maxPartialLine {
		t.Errorf("%d bytes of an incomplete line are buffered, want at most 64 KiB", len(w.partial))
	}
}
