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

// Prints figures of one cold start with the number of nodes in ONYXSTREAM_COLDSTART, as 300. ONYXSTREAM_DOWN is how long
// discovery is down, ONYXSTREAM_MODE "off" or "alone" runs without cold start or peers, ONYXSTREAM_COLD with cold hosts.
func TestColdStart_Measured_FiguresPrinted(t *testing.T) {
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
	all := probeAllNodes(ctx, cluster, n, 5, time.Second, down+40*time.Second)
	events, _ := cluster.EventLog.Events()
	calls := CountDiscoveryCalls(events)
	asked := EventTimes(events, "discovery", fakeserver.EventRequested)
	var up []time.Duration
	refused, noAdvice, failed, served, longest := 0, 0, 0, 0, time.Duration(0)
	for _, probe := range all {
		refused, noAdvice, failed = refused+probe.Rejected, noAdvice+probe.WithoutRetryAfter, failed+probe.Failed
		longest = max(longest, probe.MaxLatency)
		if probe.ServedAt > 0 {
			served++
			up = append(up, probe.ServedAt-start)
		}
	}
	slices.Sort(up)
	if cold {
		fell, most, mean := 0, 0, 0.0
		for _, h := range cluster.Hosts() {
			if h.State().Collapsed {
				fell++
			}
			times := EventTimes(events, h.ID(), fakeserver.EventOpened)
			most = max(most, MaxInWindow(times, 100*time.Millisecond))
			if len(times) > 1 {
				mean += float64(len(times)) / (times[len(times)-1] - times[0]).Seconds() / 10 / float64(config.Hosts)
			}
		}
		within, _ := slices.BinarySearch(up, down+10*time.Second)
		t.Logf("cold hosts: %d pushed over; most set-ups at one in 100 ms %d, mean %.2f; served within 10 s %d of %d", fell, most, mean,
			within, len(all))
	}
	usage := cluster.Usage()
	t.Logf("%d nodes launched in %v: calls %+v, in the first second %d, while down %d", n, launched-start, calls,
		CountBetween(asked, start, start+time.Second), CountBetween(asked, start, start+down))
	t.Logf("clients %d, served %d (median %v, last %v), refusals %d (%d without advice), failed %d, longest answer %v", len(all), served,
		up[len(up)/2], up[len(up)-1], refused, noAdvice, failed, longest)
	t.Logf("usage %+v; CPU of a node %v", usage, usage.CPU/time.Duration(n))
}
