// Command cases plays the cases of the review: it starts the project's own nodes as separate processes and stands in
// for clients, hosts, the front and discovery on loopback addresses. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes a line that begins with the time since the start in milliseconds.
func (r *record) add(who, format string, args ...any) { r.addAt(time.Now(), who, format, args...) }

func (r *record) addAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := float64(at.Sub(r.start).Microseconds()) / 1000
	fmt.Fprintf(r.file, "%10.1f %-9s %s\n", ms, who, fmt.Sprintf(format, args...))
}
