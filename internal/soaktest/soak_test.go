package soaktest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/faultinject"
)

func TestMain(m *testing.M) {
	faultinject.RunLauncher()
	os.Exit(m.Run())
}

// buildProgram builds the onyxstream program on the first call and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "onyxstream")
	// The program is linked against the C library, like the deployed one. A static program does not load the preloaded
	// library that hides the vDSO, and then clock steps have no effect.
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "onyxstream/cmd/onyxstream").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// environmentInt returns a positive number from the environment, or a default.
func environmentInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return defaultValue
}

// A cluster of real processes violates no rule under overlapping faults. ONYXSTREAM_SOAK is the number of seeds,
// ONYXSTREAM_SEED the first seed, ONYXSTREAM_NODES the number of nodes, and ONYXSTREAM_SOAK_SECONDS the duration of each
// plan in seconds. ONYXSTREAM_SOAK_LOGS is a folder for the logs of failed runs.
func TestSoak_OverlappingFaults_RulesHold(t *testing.T) {
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	options := PlanOptions{
		Nodes:    environmentInt("ONYXSTREAM_NODES", 24),
		Hosts:    12,
		Duration: time.Duration(environmentInt("ONYXSTREAM_SOAK_SECONDS", 8)) * time.Second,
	}
	first := environmentInt("ONYXSTREAM_SEED", 1)
	for seed := first; seed < first+environmentInt("ONYXSTREAM_SOAK", 2); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			plan := GeneratePlan(uint64(seed), options)
			logs := os.Getenv("ONYXSTREAM_SOAK_LOGS")
			report, err := RunPlan(t.Context(), plan, options, Config{Program: program, Rate: 150, Debug: logs != ""})
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if report == nil {
				return
			}
			faults := len(plan.Faults) + len(plan.Reloads) + len(plan.IdleClients) + len(plan.SyscallFaults)
			t.Logf("seed %d, %s: %d faults, %d system calls failed, %d clock steps seen, "+
				"%d requests, %d served, %d rejected, %d failed, %d exempt",
				seed, plan.Mode, faults, report.FailedSyscalls, report.ClockSteps,
				report.Requests, report.Served, report.Rejected, report.Failed, report.Exempt)
			for _, line := range report.Failures() {
				t.Errorf("seed %d: %s", seed, line)
			}
			if report.Served < report.Requests/5 {
				t.Errorf("seed %d: %d of %d requests served, want at least a fifth", seed, report.Served, report.Requests)
			}
			if logs != "" && t.Failed() {
				saveRun(t, logs, seed, plan, report)
			}
		})
	}
}

// saveRun writes the logs, the events and the plan of a failed run to a folder.
func saveRun(t *testing.T, folder string, seed int, plan Plan, report *Report) {
	t.Helper()
	var ledger strings.Builder
	if err := fakeserver.WriteEvents(&ledger, fakeserver.NewClock(), report.RecordedEvents, 0); err != nil {
		t.Fatal(err)
	}
	var planText strings.Builder
	for _, fault := range plan.Faults {
		fmt.Fprintf(&planText, "%v for %v: %s on %s by %g over %v\n", fault.At.AsDuration(), fault.Duration.AsDuration(), fault.Kind, fault.Target, fault.Amount, fault.Period.AsDuration())
	}
	fmt.Fprintf(&planText, "reloads %+v\nidle clients %+v\nsystem call faults %+v\n", plan.Reloads, plan.IdleClients, plan.SyscallFaults)
	for name, text := range map[string]string{"log": string(report.Log), "ledger": ledger.String(), "plan": planText.String()} {
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("seed%d.%s", seed, name)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// The same seed always gives the same plan, another seed gives another plan, and faults overlap in each plan.
func TestGeneratePlan_SameSeed_SamePlan(t *testing.T) {
	options := PlanOptions{Nodes: 24, Hosts: 12, Duration: 20 * time.Second}
	for seed := range uint64(50) {
		plan := GeneratePlan(seed, options)
		if diff := cmp.Diff(plan, GeneratePlan(seed, options)); diff != "" {
			t.Fatalf("seed %d gives two different plans:\n%s", seed, diff)
		}
		if cmp.Equal(plan.Faults, GeneratePlan(seed+1, options).Faults) {
			t.Errorf("seed %d and the next seed give the same faults", seed)
		}
		f := clusterConfig(plan, options)
		if err := f.Check(classes, tenants); err != nil {
			t.Fatal(err)
		}
		if err := f.CheckFaults(plan.Faults); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if n := countOverlapping(plan); n < 5 {
			t.Errorf("seed %d: %d pairs of overlapping faults, want at least 5", seed, n)
		}
	}
}

// countOverlapping counts the pairs of faults that begin within faultSpread of each other.
func countOverlapping(p Plan) (n int) {
	var at []time.Duration
	for _, fault := range p.Faults {
		at = append(at, fault.At.AsDuration())
	}
	for i, a := range at {
		for _, b := range at[:i] {
			if (a - b).Abs() < faultSpread {
				n++
			}
		}
	}
	return n
}
