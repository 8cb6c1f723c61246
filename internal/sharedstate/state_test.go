package sharedstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func sampleState(t *testing.T) State {
	t.Helper()
	state := State{Node: "n1"}
	for _, override := range []struct {
		host     string
		draining bool
	}{{"a", true}, {"b", true}, {"a", false}} {
		if err := state.SetOverride(override.host, override.draining, noon); err != nil {
			t.Fatal(err)
		}
	}
	state.SetDrain(Drain{Active: true, Deadline: noon.Add(time.Second), AdmissionCutoff: noon, KeepConnections: true})
	return state
}

func TestDecode_EncodedState_IsEqual(t *testing.T) {
	state := sampleState(t)
	text, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text, "n1")
	if diff := cmp.Diff(state, got); diff != "" || err != nil {
		t.Errorf("Decode of an encoded state: error %v, diff (-want +got):\n%s", err, diff)
	}
	if state.Serial != 4 || len(state.Overrides) != 2 || state.Overrides[0].Serial != 3 || state.Overrides[0].Draining {
		t.Errorf("state after 3 overrides of 2 hosts and a drain: got %+v", state)
	}
}

// Decode must accept only a complete and unchanged state of this node and this version.
func TestDecode_CutChangedOrForeign_IsRejected(t *testing.T) {
	state := sampleState(t)
	text, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range text { // cut the text at i, or flip a bit at i
		if _, err := Decode(text[:i], "n1"); err == nil {
			t.Errorf("state cut at byte %d: accepted, want an error", i)
		}
		changed := bytes.Clone(text)
		changed[i] ^= 1
		if _, err := Decode(changed, "n1"); err == nil && i > len(stateFormat) && i != len(stateFormat)+1 {
			if got, _ := Decode(changed, "n1"); cmp.Diff(state, got) != "" {
				t.Errorf("state changed at byte %d: accepted as a different state", i)
			}
		}
	}
	if _, err := Decode(text, "n2"); err == nil || !strings.Contains(err.Error(), `of node "n1"`) {
		t.Errorf("state of another node: got error %v", err)
	}
	_, err = Decode([]byte("onyxstream-handover-9 0 0\n"), "n1")
	if err == nil || !strings.Contains(err.Error(), "another version") {
		t.Errorf("state of another version: got error %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	state := State{Node: "n1", Serial: 1, Overrides: []HostOverride{{"a", true, noon, 1}}}
	text, _ := state.Encode()
	f.Add(text)
	f.Add([]byte("onyxstream-handover-1 00000000 2\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := Decode(text, "n1")
		if err == nil && (decoded.Node != "n1" || len(decoded.Overrides) > maxOverrides) {
			t.Errorf("Decode(%q) = %+v, want an error", text, decoded)
		}
	})
}

func TestSetOverride_LimitReached_RejectsUntilResumptionsExpire(t *testing.T) {
	state := State{Node: "n1"}
	for i := range maxOverrides {
		if err := state.SetOverride(fmt.Sprint("h", i), i%2 == 0, noon); err != nil {
			t.Fatal(err)
		}
	}
	if err := state.SetOverride("more", true, noon); err != ErrOverrideLimit {
		t.Errorf("override beyond the limit: got error %v, want ErrOverrideLimit", err)
	}
	if err := state.SetOverride("h0", false, noon); err != nil {
		t.Errorf("override of a host that has one, at the limit: %v", err)
	}
	err := state.SetOverride("more", true, noon.Add(resumeRetention+time.Second))
	if err != nil || len(state.Overrides) != maxOverrides/2 {
		t.Errorf("after the retention: error %v, %d overrides, want half of the limit", err, len(state.Overrides))
	}
}
