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
func launch(t *testing.T, r *Cluster) {
	t.Helper()
	if err := r.Launch(); err != nil {
		t.Fatal(err)
	}
}

// startFault begins a fault.
func startFault(t *testing.T, r *Cluster, x FaultSpec) (end func()) {
	t.Helper()
	over, err := r.StartFault(x)
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

// expectAllServed has a client come to each node and wants it served, every answer at once and every refusal with advice.
func expectAllServed(t *testing.T, r *Cluster, nodes, clients int) []AdmissionProbe {
	t.Helper()
	all := probeAllNodes(t.Context(), r, nodes, clients, 200*time.Millisecond, 40*time.Second)
	if err := r.Err(); err != nil {
		t.Fatal(err)
	}
	for _, k := range all {
		switch {
		case k.ServedAt == 0:
			t.Errorf("a client of n%d is never served: %+v", k.Node+1, k)
		case k.WithoutRetryAfter > 0:
			t.Errorf("a client of n%d was turned away with no word of when to come back: %+v", k.Node+1, k)
		}
	}
	return all
}

// discoveryCalls counts those to the list service so far, and through which nodes' links they came.
func discoveryCalls(r *Cluster) (n int, by map[string]int) {
	recs, _ := r.EventLog.Events()
	by = map[string]int{}
	for _, x := range recs {
		if node, ok := strings.CutSuffix(x.Source, ">list"); ok && x.Kind == fakeserver.EventDialed {
			by[node]++
		}
	}
	return CountDiscoveryCalls(recs).Calls, by
}

// setupsByHost counts what hosts were sent from a moment on.
func setupsByHost(r *Cluster, from time.Duration) map[string]int {
	recs, _ := r.EventLog.Events()
	out := map[string]int{}
	for _, x := range recs {
		if x.Kind == fakeserver.EventOpened && x.At >= from {
			out[x.Source]++
		}
	}
	return out
}

// expectCachedLists waits until a file appears in each of the folders.
func expectCachedLists(t *testing.T, r *Cluster, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		waitUntil(t, fmt.Sprintf("n%d keeps its list", i+1), func() bool {
			_, err := os.Stat(filepath.Join(r.CacheFolder(i), "hosts.list"))
			return err == nil
		})
	}
}

func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			t.Fatalf("never: %s", what)
		}
	}
}

func startConfig(nodes int, change func(*Config)) Config {
	f := coldStartConfig(nodes)
	f.Hosts, f.Discovery.PollInterval = 4, tomlfile.Duration(3*time.Second)
	if change != nil {
		change(&f)
	}
	return f
}
