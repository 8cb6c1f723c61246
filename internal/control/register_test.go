package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For random sequences of commands: the fence in effect only rises, a repeated command gets the same response, and a
// command with a lower fence is rejected.
func TestRegister_RandomCommands_AppliesEachOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegister("b")
		first := map[string]Response{}
		inEffect := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			fence := rapid.Uint64Range(1, 12).Draw(t, "fence")
			c := Command{Operation: fmt.Sprint("o", fence), Fence: fence, Kind: []CommandKind{Drain, Resume}[fence%2]}
			if rapid.Bool().Draw(t, "host") {
				c.Kind, c.Host = HostDrain, "h"
			}
			decision, err := r.Accept(c)
			if err != nil {
				t.Fatal(err)
			}
			response := decision.Response
			id := c.Operation + c.Host
			previous, repeated := first[id]
			switch {
			case repeated && (response != previous || decision.MustRun):
				t.Fatalf("repeated command %+v: %+v, want previous response %+v and nothing to run", c, decision, previous)
			case !repeated && (response.Verdict == Done) != (fence > inEffect[c.Host]):
				t.Fatalf("command %+v after fence %d: %+v, want done only for a higher fence", c, inEffect[c.Host], response)
			case decision.MustRun && response.Verdict != Done:
				t.Fatalf("command %+v is rejected and must run, want a rejected command not to run", c)
			}
			first[id] = response
			if response.Verdict == Done && !repeated {
				inEffect[c.Host] = fence
			}
		}
	})
}

// An invalid command, or one that reuses an operation or a fence with other contents, must not run, and its error names
// the field. However many commands arrive, the memory of the register is bounded.
func TestRegister_InvalidCommand_ReturnsError(t *testing.T) {
	r := NewRegister("b")
	good := Command{Operation: "o", Fence: 5, Kind: Drain, DrainTimeout: time.Second}
	if decision, err := r.Accept(good); err != nil || !decision.MustRun {
		t.Fatal(err)
	}
	for _, c := range []struct {
		command Command
		want    string
	}{
		{Command{Operation: "o", Fence: 5, Kind: Resume}, "other contents"},
		{Command{Operation: "p", Fence: 5, Kind: Drain}, "fence"},
		{Command{Fence: 6, Kind: Drain}, "operation"},
		{Command{Operation: "p", Kind: Drain}, "fence"},
		{Command{Operation: "p", Fence: 6, Kind: "x"}, "kind"},
		{Command{Operation: "p", Fence: 6, Kind: HostDrain}, "host"},
		{Command{Operation: "p", Fence: 6, Kind: Drain, DrainTimeout: -1}, "within"},
		{Command{Operation: strings.Repeat("p", 200), Fence: 6, Kind: Drain}, "operation"},
	} {
		if decision, err := r.Accept(c.command); decision.MustRun || err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("command %+v: must run %v, error %v, want %s", c.command, decision.MustRun, err, c.want)
		}
	}
	for i := range 3 * maxResponses {
		if _, err := r.Accept(Command{Operation: fmt.Sprint(i), Fence: uint64(i + 10), Kind: Drain}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range maxScopes + 5 {
		c := Command{Operation: fmt.Sprint("h", i), Fence: 1, Kind: HostDrain, Host: fmt.Sprint(i)}
		if _, err := r.Accept(c); i > maxScopes && err == nil {
			t.Fatal("Accept allowed more hosts with an override than maxScopes")
		}
	}
	if len(r.responses) > maxResponses || len(r.scopes) > maxScopes {
		t.Errorf("the register holds %d responses and %d scopes, above its limits", len(r.responses), len(r.scopes))
	}
}
