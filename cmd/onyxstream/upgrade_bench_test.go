package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkUpgrade tells what clients notice of an upgrade, for connections that are handed over and, as the baseline in
// the same run, for those that are moved as offers can't be written. Each client sends a line, waits for it, and rests
// 50 ms. calm-ms is the longest wait for a line before the upgrade, longest-ms during it; away is the share of clients
// whose connection ended; ends-ms the time from SIGTERM to the end of the older process.
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

func measureUpgrade(b *testing.B, n int, migrated bool) {
	host := newFakeHost(b, "ha")
	options, discovery := inheritedSocketOptions(b, host)
	node := startNode(b, options, discovery.addr)
	var mu sync.Mutex
	var during bool
	var calm, longest time.Duration
	disconnected := 0
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range n {
		client := node.openRequest(b, "")
		client.expectLine("UP")
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				select {
				case <-stop:
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
				mu.Lock()
				if err != nil || !strings.HasPrefix(line, "M 1") {
					disconnected++
					mu.Unlock()
					return
				}
				if during {
					longest = max(longest, took)
				} else {
					calm = max(calm, took)
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if migrated {
		presenceFiles, _ := filepath.Glob(options.sharedDir() + "/*.alive")
		blockOffers(b, presenceFiles[0])
	}
	mu.Lock()
	during = true
	mu.Unlock()
	startSuccessor(b, options, discovery.addr)
	signalledAt := time.Now()
	node.terminate(b)
	node.waitForCleanExit(b)
	exitTime := time.Since(signalledAt)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	all.Wait()
	b.ReportMetric(float64(calm)/1e6, "calm-ms")
	b.ReportMetric(float64(longest)/1e6, "longest-ms")
	b.ReportMetric(float64(disconnected)/float64(n), "away")
	b.ReportMetric(float64(exitTime)/1e6, "ends-ms")
}
