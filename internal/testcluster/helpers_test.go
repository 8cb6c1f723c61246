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

// buildProgram builds the onyxstream program on the first call and returns its path.
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

// coldStartConfig returns the configuration of a cluster with cold start. Its discovery takes 10 ms for each request and
// rejects requests that would wait longer than 1 s.
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
			RequestDuration: tomlfile.Duration(10 * time.Millisecond),
			MaxWait:         tomlfile.Duration(time.Second),
			StartsUnknown:   true,
			NodeLinks:       true,
		},
		ColdStart: &ColdStartConfig{Peers: 4},
	}
}

// startConfig returns the configuration of a cluster with cold start and few hosts. change, if not nil, modifies the
// configuration.
func startConfig(nodes int, change func(*Config)) Config {
	config := coldStartConfig(nodes)
	config.Hosts = 4
	config.Discovery.PollInterval = tomlfile.Duration(3 * time.Second)
	if change != nil {
		change(&config)
	}
	return config
}

// coldHostConfig returns the configuration of hosts in slow start that can collapse. A host has a capacity of 15
// connection setups per second at the start of its slow start, and of 50 afterwards.
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

// prepare prepares a cluster with one class and one tenant, and closes it after the test. ONYXSTREAM_LOG is the path of
// a file for the logs of its processes.
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

// launch starts the processes of a cluster.
func launch(t *testing.T, cluster *Cluster) {
	t.Helper()
	if err := cluster.Launch(); err != nil {
		t.Fatal(err)
	}
}

// startFault starts a fault and returns a function that ends it.
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

// recoverDiscoveryAfter makes discovery respond normally after a delay.
func recoverDiscoveryAfter(cluster *Cluster, delay time.Duration) {
	go func() {
		time.Sleep(delay)
		cluster.Discovery.SetMode(fakeserver.ModeNormal)
	}()
}

// status returns a node's status; it is empty if the status request fails.
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

// command runs a command of the program against the first agent and returns its output.
func (c *Cluster) command(t *testing.T, args ...string) string {
	t.Helper()
	args = append(args, "--agent", c.AgentSocket(0))
	out, _ := exec.CommandContext(t.Context(), c.options.Program, args...).CombinedOutput()
	return string(out)
}

// probeAllNodes runs admission probes against all nodes concurrently.
func probeAllNodes(
	ctx context.Context, cluster *Cluster, nodes, clients int, spread, timeout time.Duration,
) (all []AdmissionProbe) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() {
			probes := cluster.ProbeAdmission(ctx, i, clients, spread, time.Second, timeout)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, probes...)
		})
	}
	wg.Wait()
	return all
}

// expectAllServed runs admission probes against all nodes. All clients must be served, and rejections must have a
// Retry-After.
func expectAllServed(t *testing.T, cluster *Cluster, nodes, clients int) []AdmissionProbe {
	t.Helper()
	all := probeAllNodes(t.Context(), cluster, nodes, clients, 200*time.Millisecond, 40*time.Second)
	if err := cluster.Err(); err != nil {
		t.Fatal(err)
	}
	for _, probe := range all {
		switch {
		case probe.ServedAt == 0:
			t.Errorf("client of n%d was never served: %+v", probe.Node+1, probe)
		case probe.WithoutRetryAfter > 0:
			t.Errorf("client of n%d was rejected without Retry-After: %+v", probe.Node+1, probe)
		}
	}
	return all
}

// discoveryRequests returns the number of requests to discovery so far, and the number of connections to it by node.
func discoveryRequests(cluster *Cluster) (n int, dialsByNode map[string]int) {
	events, _ := cluster.EventLog.Events()
	dialsByNode = map[string]int{}
	for _, event := range events {
		if node, ok := strings.CutSuffix(event.Source, ">list"); ok && event.Kind == fakeserver.EventDialed {
			dialsByNode[node]++
		}
	}
	return CountDiscoveryRequests(events).Requests, dialsByNode
}

// setupsByHost returns how many opening lines each host has received since a time.
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

// expectCachedLists waits until the nodes have cached their endpoint lists.
func expectCachedLists(t *testing.T, cluster *Cluster, nodes ...int) {
	t.Helper()
	for _, node := range nodes {
		waitUntil(t, fmt.Sprintf("n%d caches its list", node+1), func() bool {
			_, err := os.Stat(filepath.Join(cluster.CacheFolder(node), "hosts.list"))
			return err == nil
		})
	}
}

// waitUntil waits until a condition holds, and fails the test after 30 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}
