package testcluster

import (
	"context"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
)

// Logs measurements of one cold start. ONYXSTREAM_COLDSTART is the number of nodes, for example 300; without it the test
// is skipped. ONYXSTREAM_DOWN is how long discovery is down. ONYXSTREAM_MODE is "off" for nodes without cold start and
// "alone" for nodes without peers. If ONYXSTREAM_COLD is set, hosts are in slow start.
func TestColdStart_Measured_ResultsLogged(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_COLDSTART"))
	if n == 0 {
		t.Skip("ONYXSTREAM_COLDSTART is not set")
	}
	down, _ := time.ParseDuration(os.Getenv("ONYXSTREAM_DOWN"))
	config := coldStartConfig(n)
	switch os.Getenv("ONYXSTREAM_MODE") {
	case "off":
		config.ColdStart = nil
	case "alone":
		config.ColdStart.Peers = 0
	}
	cold := os.Getenv("ONYXSTREAM_COLD") != ""
	if cold {
		config.Host = coldHostConfig()
	}
	cluster := prepare(t, config)
	if down > 0 {
		cluster.Discovery.SetMode(fakeserver.ModeReset)
	}
	start := cluster.Clock.Now()
	if err := cluster.Launch(); err != nil {
		t.Fatal(err)
	}
	launched := cluster.Clock.Now()
	ctx, cancel := context.WithTimeout(t.Context(), down+60*time.Second)
	defer cancel()
	if down > 0 {
		go func() {
			ctxtime.Sleep(ctx, down)
			cluster.Discovery.SetMode(fakeserver.ModeNormal)
		}()
	}
	probes := probeAllNodes(ctx, cluster, n, 5, time.Second, down+40*time.Second)
	servedAfter := servedTimes(probes, start)
	if cold {
		logColdHosts(t, cluster, servedAfter, down, len(probes))
	}
	events, _ := cluster.EventLog.Events()
	requests := EventTimes(events, fakeserver.SourceDiscovery, fakeserver.EventRequested)
	t.Logf("%d nodes launched in %v: requests to discovery %+v, in the first second %d, while down %d", n, launched-start,
		CountDiscoveryRequests(events), CountBetween(requests, start, start+time.Second), CountBetween(requests, start, start+down))
	logProbes(t, probes, servedAfter)
	usage := cluster.Usage()
	t.Logf("usage %+v; CPU time per node %v", usage, usage.CPU/time.Duration(n))
}

// servedTimes returns the times from start until each client was served, in ascending order.
func servedTimes(probes []AdmissionProbe, start time.Duration) (times []time.Duration) {
	for _, probe := range probes {
		if probe.ServedAt > 0 {
			times = append(times, probe.ServedAt-start)
		}
	}
	slices.Sort(times)
	return times
}

// logColdHosts logs how many hosts collapsed, the rates of connection setups at hosts, and how many clients were served
// within 10 s after discovery recovered.
func logColdHosts(t *testing.T, cluster *Cluster, servedAfter []time.Duration, down time.Duration, clients int) {
	t.Helper()
	events, _ := cluster.EventLog.Events()
	hosts := cluster.Hosts()
	collapsed, burst, meanPer100ms := 0, 0, 0.0
	for _, host := range hosts {
		if host.State().Collapsed {
			collapsed++
		}
		setups := EventTimes(events, host.ID(), fakeserver.EventOpened)
		burst = max(burst, MaxInWindow(setups, 100*time.Millisecond))
		if len(setups) > 1 {
			length := setups[len(setups)-1] - setups[0]
			meanPer100ms += float64(len(setups)) / length.Seconds() / 10 / float64(len(hosts))
		}
	}
	within, _ := slices.BinarySearch(servedAfter, down+10*time.Second)
	t.Logf("cold hosts: %d collapsed; connection setups per host in 100 ms: max %d, mean %.2f; served in 10 s: %d of %d",
		collapsed, burst, meanPer100ms, within, clients)
}

// logProbes logs the totals of all clients.
func logProbes(t *testing.T, probes []AdmissionProbe, servedAfter []time.Duration) {
	t.Helper()
	var total AdmissionProbe
	for _, probe := range probes {
		total.Rejected += probe.Rejected
		total.WithoutRetryAfter += probe.WithoutRetryAfter
		total.Failed += probe.Failed
		total.MaxLatency = max(total.MaxLatency, probe.MaxLatency)
	}
	served := len(servedAfter)
	t.Logf("clients %d, served %d (median %v, last %v), rejections %d (%d without Retry-After), failed %d, max latency %v",
		len(probes), served, servedAfter[served/2], servedAfter[served-1],
		total.Rejected, total.WithoutRetryAfter, total.Failed, total.MaxLatency)
}
