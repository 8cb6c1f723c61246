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

var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "onyxstream")
	// Linked against the C library, like the deployment's: a static program ignores the library that hides the vDSO.
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "onyxstream/cmd/onyxstream").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// number is a figure of the environment, or what is usual.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return usual
}

// Troubles that overlap, drawn from a seed, break no rule at a fleet of real processes. ONYXSTREAM_SOAK plays so many
// seeds from ONYXSTREAM_SEED on, with ONYXSTREAM_NODES nodes and clients for ONYXSTREAM_SOAK_SECONDS; ONYXSTREAM_SOAK_LOGS names a folder for the logs of runs in
// which a rule broke.
func TestSoak_OverlappingTroubles_RulesHold(t *testing.T) {
	program, err := built()
	if err != nil {
		t.Fatal(err)
	}
	shape := Shape{Nodes: number("ONYXSTREAM_NODES", 24), Hosts: 12, Length: time.Duration(number("ONYXSTREAM_SOAK_SECONDS", 8)) * time.Second}
	first := number("ONYXSTREAM_SEED", 1)
	for seed := first; seed < first+number("ONYXSTREAM_SOAK", 2); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			plan := Draw(uint64(seed), shape)
			logs := os.Getenv("ONYXSTREAM_SOAK_LOGS")
			report, err := Play(t.Context(), plan, shape, Config{Program: program, Rate: 150, Debug: logs != ""})
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if report == nil {
				return
			}
			t.Logf("seed %d, %s: %d troubles, %d system calls failed, %d clock steps seen, %d asked, %d served, %d refused, %d failed, %d exempt", seed, plan.Mode,
				len(plan.Faults)+len(plan.Reloads)+len(plan.Crowds)+len(plan.Calls), report.CallsFailed, report.ClockSteps, report.Asked, report.Served, report.Refused, report.Failed, report.Exempt)
			for _, line := range report.Broken() {
				t.Errorf("seed %d: %s", seed, line)
			}
			if report.Served < report.Asked/5 {
				t.Errorf("seed %d: %d of %d are served", seed, report.Served, report.Asked)
			}
			if logs != "" && t.Failed() {
				keep(t, logs, seed, plan, report)
			}
		})
	}
}

// keep writes what a run leaves for whoever looks for the cause.
func keep(t *testing.T, folder string, seed int, plan Plan, report *Report) {
	t.Helper()
	var ledger strings.Builder
	if err := fakeserver.WriteRecords(&ledger, fakeserver.NewClock(), report.Records, 0); err != nil {
		t.Fatal(err)
	}
	var told strings.Builder
	for _, x := range plan.Faults {
		fmt.Fprintf(&told, "%v for %v: %s on %s by %g over %v\n", x.At.AsDuration(), x.For.AsDuration(), x.What, x.On, x.By, x.Over.AsDuration())
	}
	fmt.Fprintf(&told, "reloads %+v\ncrowds %+v\ncalls %+v\n", plan.Reloads, plan.Crowds, plan.Calls)
	for name, text := range map[string]string{"log": string(report.Log), "ledger": ledger.String(), "plan": told.String()} {
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("seed%d.%s", seed, name)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// A seed gives one plan, and other seeds others; troubles overlap in each.
func TestDraw_SameSeed_SamePlan(t *testing.T) {
	shape := Shape{Nodes: 24, Hosts: 12, Length: 20 * time.Second}
	for seed := range uint64(50) {
		plan := Draw(seed, shape)
		if diff := cmp.Diff(plan, Draw(seed, shape)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		if cmp.Equal(plan.Faults, Draw(seed+1, shape).Faults) {
			t.Errorf("seed %d and the next one give the same faults", seed)
		}
		f := fleet(plan, shape)
		if err := f.Check(classes, []string{"acme"}); err != nil {
			t.Fatal(err)
		}
		if err := f.CheckFaults(plan.Faults); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if n := overlapping(plan); n < 5 {
			t.Errorf("seed %d: troubles overlap only %d times", seed, n)
		}
	}
}

// overlapping counts pairs of troubles that begin within a moment.
func overlapping(p Plan) (n int) {
	var at []time.Duration
	for _, x := range p.Faults {
		at = append(at, x.At.AsDuration())
	}
	for i, a := range at {
		for _, b := range at[:i] {
			if (a - b).Abs() < overlap {
				n++
			}
		}
	}
	return n
}
