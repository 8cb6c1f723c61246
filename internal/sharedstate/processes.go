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
	// livenessSuffix ends the name of a process's liveness file. The process keeps the file locked as long as it lives,
	// and writes its status to it.
	livenessSuffix = ".alive"
	// offerPattern matches the files of a process's hot-restart offers, after the common prefix of its file names. A
	// process that dies leaves them behind.
	offerPattern = "-*.offer*"

	maxLivenessFiles = 4096    // limit of files read in one call
	maxLivenessBytes = 32      // limit of bytes read from a liveness file
	maxDescriptors   = 1 << 20 // upper bound, exclusive, of a valid count in a liveness file
)

// ProcessStatus is what a process publishes about itself to the node's other processes.
type ProcessStatus struct {
	Ready       bool // whether it can take over connections of another process
	Descriptors int  // number of descriptors that it holds or reserves
}

// Publish writes the status of this process to its liveness file.
func (s *Store) Publish(status ProcessStatus) error {
	ready := 0
	if status.Ready {
		ready = 1
	}
	_, err := s.livenessFile.WriteAt(fmt.Appendf(nil, "%d %010d\n", ready, status.Descriptors), 0)
	return err
}

// LivenessDescriptor returns the descriptor of this process's liveness file. Other processes check it to verify that
// this process belongs to the node.
func (s *Store) LivenessDescriptor() int { return int(s.livenessFile.Fd()) }

// LivenessPath returns the path of a process's liveness file.
func (s *Store) LivenessPath(pid int) string { return s.ProcessFile(pid, livenessSuffix) }

// OtherProcesses returns the status of each other live process of the node. It removes the files of dead processes.
func (s *Store) OtherProcesses() ([]ProcessStatus, error) {
	paths, err := s.ProcessFiles(livenessSuffix)
	if err != nil || len(paths) <= 1 {
		return nil, err
	}
	unlock, err := s.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	var others []ProcessStatus
	for _, path := range paths[:min(len(paths), maxLivenessFiles)] {
		if path == s.livenessFile.Name() {
			continue
		}
		if status, alive := readLivenessFile(path); alive {
			others = append(others, status)
		}
	}
	return others, nil
}

// readLivenessFile reads the status of a process from its liveness file. If the file is not locked, the process is
// dead, and its files are removed.
func readLivenessFile(path string) (status ProcessStatus, alive bool) {
	file, err := os.Open(path)
	if err != nil {
		return ProcessStatus{}, false // the process has just ended and removed the file
	}
	defer file.Close()
	if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		removeProcessFiles(path)
		return ProcessStatus{}, false
	}
	var buffer [maxLivenessBytes]byte
	n, _ := file.ReadAt(buffer[:], 0)
	return parseStatus(string(buffer[:n])), true
}

// removeProcessFiles removes the files that a dead process left: its liveness file, and offers that no process
// accepted.
func removeProcessFiles(livenessPath string) {
	offers, _ := filepath.Glob(strings.TrimSuffix(livenessPath, livenessSuffix) + offerPattern)
	for _, path := range append(offers, livenessPath) {
		_ = os.Remove(path)
	}
}

// parseStatus parses the content of a liveness file. An empty or invalid file means that its process is alive, but not
// ready.
func parseStatus(text string) (status ProcessStatus) {
	ready, descriptors, _ := strings.Cut(strings.TrimSpace(text), " ")
	status.Ready = ready == "1"
	count, err := strconv.Atoi(descriptors)
	if err == nil && count > 0 && count < maxDescriptors {
		status.Descriptors = count
	}
	return status
}
