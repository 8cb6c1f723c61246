package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkHotRestart measures the effect of a hot restart on clients. In the variant "handed" the predecessor hands
// off its connections. The variant "moved" is the baseline: offers cannot be written, and the predecessor migrates its
// connections. Each client repeatedly sends a line, waits for its echo, and pauses for 50 ms. The metrics are:
//
//   - calm-ms: the longest wait for an echo before the hot restart
//   - longest-ms: the longest wait for an echo during the hot restart
//   - away: the share of clients whose connection ended
//   - ends-ms: the time from SIGTERM to the exit of the predecessor
//
// Run it with:
//
//	go test ./cmd/onyxstream -run '^$' -bench HotRestart -benchtime 1x -count 5
func BenchmarkHotRestart(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		for _, variant := range []string{"handed", "moved"} {
			b.Run(fmt.Sprintf("%s-%d", variant, n), func(b *testing.B) {
				for range b.N {
					measureHotRestart(b, n, variant == "moved")
				}
			})
		}
	}
}

// echoLoad sends lines on established connections and records the longest waits for an echo.
type echoLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup

	mu            sync.Mutex
	restarting    bool
	longestBefore time.Duration
	longestDuring time.Duration
	disconnected  int
}

// run sends lines on one connection until the load is stopped or the connection ends.
func (l *echoLoad) run(client *testClient) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		sent := time.Now()
		_, err := client.conn.Write([]byte("M 1\r\n"))
		line := ""
		if err == nil {
			line, err = client.reader.ReadString('\n')
		}
		took := time.Since(sent)
		if !l.record(took, err == nil && strings.HasPrefix(line, "M 1")) {
			return
		}
	}
}

// record records the wait for an echo if echoed is true. Otherwise it counts a connection that ended. It returns
// echoed.
func (l *echoLoad) record(took time.Duration, echoed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !echoed:
		l.disconnected++
	case l.restarting:
		l.longestDuring = max(l.longestDuring, took)
	default:
		l.longestBefore = max(l.longestBefore, took)
	}
	return echoed
}

// beginRestart makes record count all further echoes as echoes during the hot restart.
func (l *echoLoad) beginRestart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restarting = true
}

// measureHotRestart hot-restarts a node with established connections and reports the metrics of BenchmarkHotRestart.
func measureHotRestart(b *testing.B, connections int, migrated bool) {
	host := newFakeHost(b, "ha")
	options, discovery := inheritedSocketOptions(b, host)
	node := startNode(b, options, discovery.addr)
	load := &echoLoad{stop: make(chan struct{})}
	for range connections {
		client := node.openRequest(b, "")
		client.expectLine("UP")
		load.clients.Go(func() { load.run(client) })
	}
	time.Sleep(500 * time.Millisecond)
	if migrated {
		livenessFiles, _ := filepath.Glob(options.sharedDir() + "/*.alive")
		blockOffers(b, livenessFiles[0])
	}
	load.beginRestart()
	startSuccessor(b, options, discovery.addr)
	signalledAt := time.Now()
	node.terminate(b)
	node.waitForCleanExit(b)
	exitTime := time.Since(signalledAt)
	time.Sleep(300 * time.Millisecond)
	close(load.stop)
	load.clients.Wait()
	b.ReportMetric(float64(load.longestBefore)/1e6, "calm-ms")
	b.ReportMetric(float64(load.longestDuring)/1e6, "longest-ms")
	b.ReportMetric(float64(load.disconnected)/float64(connections), "away")
	b.ReportMetric(float64(exitTime)/1e6, "ends-ms")
}
