package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"onyxstream/internal/loadtest"
)

// scheduledFault is a fault in a scenario.
type scheduledFault struct {
	atMS   int
	target string
	what   string
	fields string // further lines of the fault's TOML table
}

// everyFault holds at least one fault of each kind that a scenario can have.
var everyFault = []scheduledFault{
	{100, "h1", "slow", "by = 5.0\nfor = \"300ms\""},
	{200, "store", "slow", "by = 8.0\nfor = \"500ms\""},
	{300, "h1", "steal", "by = 0.5\nfor = \"300ms\""},
	{400, "discovery", "lag", "over = \"300ms\"\nfor = \"2s\""},
	{500, "h2", "drain", "over = \"200ms\"\nfor = \"1s\""},
	{600, "h4", "add", ""},
	{700, "discovery", "freeze", "for = \"300ms\""},
	{1100, "h3", "hang", "for = \"400ms\""},
	{1200, "link-h1", "delay", "over = \"20ms\"\nfor = \"500ms\""},
	{1300, "link-h2", "limit", "by = 20000.0\nfor = \"500ms\""},
	{1700, "n1", "stall", "for = \"500ms\""},
	{2300, "link-h1", "stall", "for = \"200ms\""},
	{2600, "link-h1", "silence", "for = \"300ms\""},
	{2700, "link-h2", "deaf", "for = \"300ms\""},
	{2800, "link-h3", "reset", ""},
	{3000, "n2", "kill", "for = \"500ms\""},
	{3100, "discovery", "busy", "for = \"200ms\""},
	{3400, "discovery", "reset", "for = \"200ms\""},
	{3700, "discovery", "mute", "for = \"200ms\""},
	{4000, "discovery", "restart", ""},
	{4100, "n1", "stop", "for = \"200ms\""},
	{4200, "h4", "die", "for = \"300ms\""},
}

// everyFaultScenario returns a scenario that starts its own nodes and hosts, establishes connections, and then injects
// everyFault.
func everyFaultScenario() string {
	scenario := strings.NewReplacer(
		`for = "2s"`, `for = "5s"`,
		"retries = 3", "retries = 5\nmid_flow = true",
	).Replace(loadScenario)
	scenario += "[standing]\ncount = 20\n"
	const fleetFields = "mode = \"pass\"\nlinks = true\npark = \"2s\"\nfront_notice = \"200ms\"\n[fleet.host]"
	scenario += strings.Replace(loadFleetConfig, "[fleet.host]", fleetFields, 1)
	for _, fault := range everyFault {
		scenario += fmt.Sprintf("[[fault]]\nat = \"%dms\"\non = %q\nwhat = %q\n%s\n",
			fault.atMS, fault.target, fault.what, fault.fields)
	}
	return scenario
}

// While all kinds of faults are injected into one fleet, each fault must occur and each request must have one outcome.
func TestLoadRun_EveryFault_OneOutcomePerRequest(t *testing.T) {
	t.Parallel()
	resultPath := filepath.Join(t.TempDir(), "r.json")
	status, _, stderr := runProgram(t, "load", "run", writeFile(t, "s.toml", everyFaultScenario()), "-o", resultPath)
	if status != 0 {
		t.Fatalf("exit status %d, want 0: %s", status, stderr)
	}
	result, err := loadtest.ReadResult(resultPath)
	if err != nil {
		t.Fatal(err)
	}
	class, total := result.Classes[0], int64(0)
	for _, n := range class.Outcomes {
		total += n
	}
	oneOutcomeEach := total == class.Requests && class.Outcomes["cut"]+class.Outcomes["unsent"] == 0
	enoughServed := class.Requests >= 120 && class.Outcomes["served"] >= class.Requests/2
	if !oneOutcomeEach || !enoughServed || result.WrongReceipts != 0 {
		t.Errorf("%d requests, outcomes %v, %d wrong receipts; want at least 120, one outcome each, half served, 0 wrong",
			class.Requests, class.Outcomes, result.WrongReceipts)
	}
	if len(result.FleetEvents) < len(everyFault) {
		t.Errorf("%d fleet events for %d faults, want at least one each: %v",
			len(result.FleetEvents), len(everyFault), result.FleetEvents)
	}
}
