// Command review-cases-2 runs one case of the second review: it starts the node's own program as separate processes,
// with stand-ins for clients, hosts, discovery and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// add writes one line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it is shown in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }
