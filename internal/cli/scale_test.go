package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/scaletest"
)

func TestScaleRun_InvalidFile_NamesLineAndField(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.toml")
	if err := os.WriteFile(path, []byte("name = \"x\"\nhollow = [3, 10]\nhosts = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	status, out, errs := runMain("scale", "run", path)
	if want := path + ":3: hosts: 1 is not between 2"; status != ExitUsage || !strings.Contains(errs, want) || out != "" {
		t.Errorf("status %d, stderr %q, stdout %q; want status %d, stderr with %q and no stdout", status, errs, out, ExitUsage, want)
	}
	if status, _, errs = runMain("scale", "hollow", "none"); status != ExitUsage {
		t.Errorf("invalid number of nodes: status %d, %s; want status 2", status, errs)
	}
}

func TestPrintScale_Result_HasAllTables(t *testing.T) {
	r := scaletest.Result{Spec: scaletest.Spec{Target: scaletest.Target{Nodes: 2600}}, Shortage: "2600 hollow nodes: short of memory",
		Samples: []scaletest.Sample{{Kind: scaletest.Real, Nodes: 3, Changes: scaletest.Phase{BytesPerS: 1088, Latency: scaletest.Latency{Max: 7 * time.Millisecond}}}},
		Ratios:  []scaletest.CostRatios{{Nodes: 3, Bytes: 1, Memory: 0.37}},
		Fits:    []scaletest.Fit{{Metric: "nodes, memory, MB", AtTarget: 200, Budget: 100}, {Metric: "service, at rest, bytes/s", AtTarget: 31200, WithinBudget: true}}}
	var out bytes.Buffer
	if err := printScale(&out, r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1088", "7ms", "0.37", "at 2600 nodes", "NO", "incomplete measurement: 2600 hollow nodes: short of memory"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}
