package sharedstate

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

const (
	// markSuffix ends the name of a process's mark: a file that the process keeps locked for as long as it lives.
	markSuffix = ".alive"
	// offerPattern matches what a process may leave behind of hot restarts, behind the name that its mark begins with.
	offerPattern = "-*.offer*"

	maxMarks       = 4096    // that are looked at in one call
	maxMarkBytes   = 32      // that are read of a mark
	maxDescriptors = 1 << 20 // that a mark can state
)

// ProcessStatus is what a process publishes about itself to the node's other processes.
type ProcessStatus struct {
	Ready       bool // it can take over from another process
	Descriptors int  // that it holds or may open
}

// Publish writes this process's status into its mark.
func (s *Store) Publish(status ProcessStatus) error {
	ready := 0
	if status.Ready {
		ready = 1
	}
	_, err := s.mark.WriteAt(fmt.Appendf(nil, "%d %010d\n", ready, status.Descriptors), 0)
	return err
}

// LivenessDescriptor returns the descriptor of this process's mark. It proves to others that the process is one of the
// node.
func (s *Store) LivenessDescriptor() int { return int(s.mark.Fd()) }

// LivenessPath returns the path of a process's mark.
func (s *Store) LivenessPath(pid int) string { return s.ProcessFile(pid, markSuffix) }

// OtherProcesses returns the status of each other live process of the node. It removes the files of those that died.
func (s *Store) OtherProcesses() ([]ProcessStatus, error) {
	marks, err := s.ProcessFiles(markSuffix)
	if err != nil || len(marks) <= 1 {
		return nil, err
	}
	unlock, err := s.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	var others []ProcessStatus
	for _, path := range marks[:min(len(marks), maxMarks)] {
		if path == s.mark.Name() {
			continue
		}
		if status, alive := readMark(path); alive {
			others = append(others, status)
		}
	}
	return others, nil
}

// readMark returns the status of the process of a mark; of one that died it removes the files.
func readMark(path string) (status ProcessStatus, alive bool) {
	mark, err := os.Open(path)
	if err != nil {
		return ProcessStatus{}, false // its process ended just now
	}
	defer mark.Close()
	if syscall.Flock(int(mark.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		removeProcessFiles(path)
		return ProcessStatus{}, false
	}
	var buffer [maxMarkBytes]byte
	n, _ := mark.ReadAt(buffer[:], 0)
	return parseMark(string(buffer[:n])), true
}

// removeProcessFiles removes what a process that died left: its mark, and offers that no process accepted.
func removeProcessFiles(markPath string) {
	offers, _ := filepath.Glob(strings.TrimSuffix(markPath, markSuffix) + offerPattern)
	for _, path := range append(offers, markPath) {
		_ = os.Remove(path)
	}
}

// parseMark parses a mark. One that is not written yet or can't be parsed is that of a live process that is not ready.
func parseMark(text string) (status ProcessStatus) {
	ready, descriptors, _ := strings.Cut(strings.TrimSpace(text), " ")
	status.Ready = ready == "1"
	count, err := strconv.Atoi(descriptors)
	if err == nil && count > 0 && count < maxDescriptors {
		status.Descriptors = count
	}
	return status
}
