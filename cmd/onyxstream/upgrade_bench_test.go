package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkUpgrade measures what clients notice of an upgrade: with connections that are handed off ("handed") and, as
// the baseline in the same run, with connections that are migrated because offers cannot be written ("moved"). Each
// client sends a line, waits for its echo, and pauses for 50 ms. calm-ms is the longest wait for an echo before the
// upgrade, longest-ms during it, away the share of clients whose connection ended, ends-ms the time from SIGTERM to the
// exit of the older process.
//
//	go test ./cmd/onyxstream -run '^$' -bench Upgrade -benchtime 1x -count 5
func BenchmarkUpgrade(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		for _, way := range []string{"handed", "moved"} {
			b.Run(fmt.Sprintf("%s-%d", way, n), func(b *testing.B) {
				for range b.N {
					measureUpgrade(b, n, way == "moved")
				}
			})
		}
	}
}

// echoLoad sends lines on established connections and records how long their echoes take.
type echoLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup

	mu            sync.Mutex
	upgrading     bool
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

// record adds the time of an echo, or counts a connection that ended, and returns echoed.
func (l *echoLoad) record(took time.Duration, echoed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !echoed:
		l.disconnected++
	case l.upgrading:
		l.longestDuring = max(l.longestDuring, took)
	default:
		l.longestBefore = max(l.longestBefore, took)
	}
	return echoed
}

// beginUpgrade counts echoes from now on as during the upgrade.
func (l *echoLoad) beginUpgrade() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upgrading = true
}

func measureUpgrade(b *testing.B, connections int, migrated bool) {
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
		presenceFiles, _ := filepath.Glob(options.sharedDir() + "/*.alive")
		blockOffers(b, presenceFiles[0])
	}
	load.beginUpgrade()
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
