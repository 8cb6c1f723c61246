package testcluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
)

// buildProgram builds the onyxstream program once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-built")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "onyxstream")
	out, err := exec.Command("go", "build", "-o", path, "onyxstream/cmd/onyxstream").CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(out)
	}
	return path, err
})

// coldStartConfig returns a cluster with cold start, whose discovery serves one call in 10 ms and rejects those that wait
// for 1 s.
func coldStartConfig(nodes int) Config {
	return Config{
		Nodes: nodes,
		Hosts: 20,
		Host: HostConfig{
			Cores:          4,
			ConnectionLoad: 0.001,
			SetupWork:      tomlfile.Duration(time.Millisecond),
		},
		Discovery: DiscoveryConfig{
			CallDuration:  tomlfile.Duration(10 * time.Millisecond),
			MaxWait:       tomlfile.Duration(time.Second),
			StartsUnknown: true,
			NodeLinks:     true,
		},
		ColdStart: &ColdStartConfig{Peers: 4},
	}
}

// startConfig returns a small cluster with cold start, after a change.
func startConfig(nodes int, change func(*Config)) Config {
	config := coldStartConfig(nodes)
	config.Hosts = 4
	config.Discovery.PollInterval = tomlfile.Duration(3 * time.Second)
	if change != nil {
		change(&config)
	}
	return config
}

// coldHostConfig returns hosts in slow start that can collapse. One does 15 set-ups a second when cold, 50 when warm.
func coldHostConfig() HostConfig {
	return HostConfig{
		Cores:             1,
		ConnectionLoad:    0.0001,
		SetupWork:         tomlfile.Duration(20 * time.Millisecond),
		SlowStartFraction: 0.3,
		SlowStartDuration: tomlfile.Duration(10 * time.Second),
		CollapseMultiple:  4,
		CollapseAfter:     tomlfile.Duration(time.Second),
		StartsCold:        true,
	}
}

// prepare prepares a cluster with one class and tenant, and closes it after the test. ONYXSTREAM_LOG names a file for the
// logs of its processes.
func prepare(t *testing.T, config Config) *Cluster {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	classes := []ClassConfig{{Name: "chat", Deadline: 3 * time.Second}}
	tenants := []string{"acme"}
	if err := config.Check(classes, tenants); err != nil {
		t.Fatal(err)
	}
	options := Options{Program: program, Classes: classes, Tenants: tenants, Seed: 1}
	if path := os.Getenv("ONYXSTREAM_LOG"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		options.Log = file
	}
	cluster, err := Prepare(config, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// launch starts the processes.
func launch(t *testing.T, cluster *Cluster) {
	t.Helper()
	if err := cluster.Launch(); err != nil {
		t.Fatal(err)
	}
}

// startFault starts a fault and returns what ends it.
func startFault(t *testing.T, cluster *Cluster, fault FaultSpec) (end func()) {
	t.Helper()
	endFault, err := cluster.StartFault(fault)
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if err := endFault(); err != nil {
			t.Fatal(err)
		}
	}
}

// recoverDiscoveryAfter has discovery answer normally after a delay.
func recoverDiscoveryAfter(cluster *Cluster, delay time.Duration) {
	go func() {
		time.Sleep(delay)
		cluster.Discovery.SetMode(fakeserver.ModeNormal)
	}()
}

// status returns a node's status; it is empty while the node is not running.
func (c *Cluster) status(t *testing.T, node int) control.Status {
	t.Helper()
	client, err := control.Dial("unix:"+c.ControlSocket(node), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	status, _ := client.Status(t.Context())
	return status
}

// command runs a command of the program with the first agent and returns its output.
func (c *Cluster) command(t *testing.T, args ...string) string {
	t.Helper()
	args = append(args, "--agent", c.AgentSocket(0))
	out, _ := exec.CommandContext(t.Context(), c.options.Program, args...).CombinedOutput()
	return string(out)
}

// probeAllNodes runs admission probes against all nodes concurrently.
func probeAllNodes(
	ctx context.Context, cluster *Cluster, nodes, clients int, spread, patience time.Duration,
) (all []AdmissionProbe) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() {
			probes := cluster.ProbeAdmission(ctx, i, clients, spread, time.Second, patience)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, probes...)
		})
	}
	wg.Wait()
	return all
}

// expectAllServed runs admission probes against all nodes. All must be served, and be rejected only with Retry-After.
func expectAllServed(t *testing.T, cluster *Cluster, nodes, clients int) []AdmissionProbe {
	t.Helper()
	all := probeAllNodes(t.Context(), cluster, nodes, clients, 200*time.Millisecond, 40*time.Second)
	if err := cluster.Err(); err != nil {
		t.Fatal(err)
	}
	for _, probe := range all {
		switch {
		case probe.ServedAt == 0:
			t.Errorf("a client of n%d is never served: %+v", probe.Node+1, probe)
		case probe.WithoutRetryAfter > 0:
			t.Errorf("a client of n%d was rejected without Retry-After: %+v", probe.Node+1, probe)
		}
	}
	return all
}

// discoveryCalls returns the number of calls to discovery so far, and of connections by node.
func discoveryCalls(cluster *Cluster) (n int, callers map[string]int) {
	events, _ := cluster.EventLog.Events()
	callers = map[string]int{}
	for _, event := range events {
		if node, ok := strings.CutSuffix(event.Source, ">list"); ok && event.Kind == fakeserver.EventDialed {
			callers[node]++
		}
	}
	return CountDiscoveryCalls(events).Calls, callers
}

// setupsByHost returns how many openings each host received from a time on.
func setupsByHost(cluster *Cluster, from time.Duration) map[string]int {
	events, _ := cluster.EventLog.Events()
	setups := map[string]int{}
	for _, event := range events {
		if event.Kind == fakeserver.EventOpened && event.At >= from {
			setups[event.Source]++
		}
	}
	return setups
}

// expectCachedLists waits until nodes have cached their lists.
func expectCachedLists(t *testing.T, cluster *Cluster, nodes ...int) {
	t.Helper()
	for _, node := range nodes {
		waitUntil(t, fmt.Sprintf("n%d caches its list", node+1), func() bool {
			_, err := os.Stat(filepath.Join(cluster.CacheFolder(node), "hosts.list"))
			return err == nil
		})
	}
}

// waitUntil waits for a condition for at most 30 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}
