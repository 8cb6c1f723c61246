package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"onyxstream/internal/loadtest"
)

// Every fault there is, on one fleet, with connections that stood before: all play, and every request still has its one
// outcome.
func TestLoadRun_EveryFault_OneOutcomePerRequest(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`for = "2s"`, `for = "5s"`, "retries = 3", "retries = 5\nmid_flow = true").Replace(loadScenario) +
		"[standing]\ncount = 20\n" + strings.Replace(loadFleetConfig, "[fleet.host]", "mode = \"pass\"\nlinks = true\npark = \"2s\"\nfront_notice = \"200ms\"\n[fleet.host]", 1)
	faultCount := 0
	addFault := func(at int, on, what, more string) {
		faultCount++
		text += fmt.Sprintf("[[fault]]\nat = \"%dms\"\non = %q\nwhat = %q\n%s\n", at, on, what, more)
	}
	addFault(100, "h1", "slow", "by = 5.0\nfor = \"300ms\"")
	addFault(200, "store", "slow", "by = 8.0\nfor = \"500ms\"")
	addFault(300, "h1", "steal", "by = 0.5\nfor = \"300ms\"")
	addFault(400, "discovery", "lag", "over = \"300ms\"\nfor = \"2s\"")
	addFault(500, "h2", "drain", "over = \"200ms\"\nfor = \"1s\"")
	addFault(600, "h4", "add", "")
	addFault(700, "discovery", "freeze", "for = \"300ms\"")
	addFault(1100, "h3", "hang", "for = \"400ms\"")
	addFault(1200, "link-h1", "delay", "over = \"20ms\"\nfor = \"500ms\"")
	addFault(1300, "link-h2", "limit", "by = 20000.0\nfor = \"500ms\"")
	addFault(1700, "n1", "stall", "for = \"500ms\"")
	addFault(2300, "link-h1", "stall", "for = \"200ms\"")
	addFault(2600, "link-h1", "silence", "for = \"300ms\"")
	addFault(2700, "link-h2", "deaf", "for = \"300ms\"")
	addFault(2800, "link-h3", "reset", "")
	addFault(3000, "n2", "kill", "for = \"500ms\"")
	addFault(3100, "discovery", "busy", "for = \"200ms\"")
	addFault(3400, "discovery", "reset", "for = \"200ms\"")
	addFault(3700, "discovery", "mute", "for = \"200ms\"")
	addFault(4000, "discovery", "restart", "")
	addFault(4100, "n1", "stop", "for = \"200ms\"")
	addFault(4200, "h4", "die", "for = \"300ms\"")
	result := filepath.Join(t.TempDir(), "r.json")
	status, _, errs := runProgram(t, "load", "run", writeFile(t, "s.toml", text), "-o", result)
	if status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	r, err := loadtest.ReadResult(result)
	if err != nil {
		t.Fatal(err)
	}
	class, total := r.Classes[0], int64(0)
	for _, n := range class.Outcomes {
		total += n
	}
	if total != class.Asked || class.Asked < 120 || class.Outcomes["served"] < class.Asked/2 || class.Outcomes["cut"]+class.Outcomes["unsent"] > 0 || r.Wrong != 0 {
		t.Errorf("asked %d, outcomes %v, %d wrong receipts", class.Asked, class.Outcomes, r.Wrong)
	}
	if len(r.Marks) < faultCount {
		t.Errorf("%d marks of %d faults: %v", len(r.Marks), faultCount, r.Marks)
	}
}
