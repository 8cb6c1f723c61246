package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
)

// launch starts the processes.
func launch(t *testing.T, r *Rig) {
	t.Helper()
	if err := r.Launch(); err != nil {
		t.Fatal(err)
	}
}

// strike begins a fault.
func strike(t *testing.T, r *Rig, x FaultSpec) (end func()) {
	t.Helper()
	over, err := r.Begin(x)
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if err := over(); err != nil {
			t.Fatal(err)
		}
	}
}

// allServed has a client come to each node and wants it served, every answer at once and every refusal with advice.
func allServed(t *testing.T, r *Rig, nodes, clients int) []Knock {
	t.Helper()
	all := knocks(t.Context(), r, nodes, clients, 200*time.Millisecond, 40*time.Second)
	if err := r.Failed(); err != nil {
		t.Fatal(err)
	}
	for _, k := range all {
		switch {
		case k.Served == 0:
			t.Errorf("a client of n%d is never served: %+v", k.Node+1, k)
		case k.NoAdvice > 0:
			t.Errorf("a client of n%d was turned away with no word of when to come back: %+v", k.Node+1, k)
		}
	}
	return all
}

// calls counts those to the list service so far, and through which nodes' links they came.
func calls(r *Rig) (n int, by map[string]int) {
	recs, _ := r.Ledger.Events()
	by = map[string]int{}
	for _, x := range recs {
		if node, ok := strings.CutSuffix(x.Source, ">list"); ok && x.Kind == fakeserver.EventDialed {
			by[node]++
		}
	}
	return Counted(recs).Calls, by
}

// setUps counts what hosts were sent from a moment on.
func setUps(r *Rig, from time.Duration) map[string]int {
	recs, _ := r.Ledger.Events()
	out := map[string]int{}
	for _, x := range recs {
		if x.Kind == fakeserver.EventOpened && x.At >= from {
			out[x.Source]++
		}
	}
	return out
}

// holds waits until a file appears in each of the folders.
func holds(t *testing.T, r *Rig, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		until(t, fmt.Sprintf("n%d keeps its list", i+1), func() bool {
			_, err := os.Stat(filepath.Join(r.Folder(i), "hosts.list"))
			return err == nil
		})
	}
}

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			t.Fatalf("never: %s", what)
		}
	}
}

func startFleet(nodes int, change func(*Fleet)) Fleet {
	f := coldFleet(nodes)
	f.Hosts, f.List.AskWithin = 4, tomlfile.Duration(3*time.Second)
	if change != nil {
		change(&f)
	}
	return f
}
