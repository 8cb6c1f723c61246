package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// userHZ is the number of clock ticks per second in the CPU times of /proc. It is 100 on Linux whatever the frequency
	// of the kernel's own timer.
	userHZ         = 100
	kilobytesPerMB = 1024
	// utimeField is the index of utime among the fields of /proc/PID/stat after the process name; stime follows it.
	utimeField = 11
)

// Usage is the resource usage of one or more processes.
type Usage struct {
	CPU         time.Duration `json:"cpu_ns"`
	PeakMB      float64       `json:"peak_mb"`     // peak resident memory of the largest process
	Descriptors int           `json:"descriptors"` // open file descriptors of the process with the most
}

// Usage returns the usage of all nodes so far, including earlier starts.
func (c *Cluster) Usage() (total Usage) {
	for _, p := range c.nodes {
		usage := p.usage()
		total.CPU += usage.CPU
		total.PeakMB = max(total.PeakMB, usage.PeakMB)
		total.Descriptors = max(total.Descriptors, usage.Descriptors)
	}
	return total
}

// ProcessUsage returns the usage of a running process of this machine; values that can't be read are 0.
func ProcessUsage(pid int) Usage {
	proc := fmt.Sprintf("/proc/%d/", pid)
	usage := Usage{CPU: readCPUTime(proc + "stat"), PeakMB: readPeakMB(proc + "status")}
	if descriptors, err := os.ReadDir(proc + "fd"); err == nil {
		usage.Descriptors = len(descriptors)
	}
	return usage
}

// readCPUTime returns the user and system time in a stat file of /proc.
func readCPUTime(path string) (total time.Duration) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	// The process name is in parentheses and may itself contain spaces and parentheses; the last ")" ends it.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= utimeField+1 {
		return 0
	}
	for _, field := range fields[utimeField : utimeField+2] {
		ticks, _ := strconv.Atoi(string(field))
		total += time.Duration(ticks) * (time.Second / userHZ)
	}
	return total
}

// readPeakMB returns the peak resident memory in a status file of /proc.
func readPeakMB(path string) float64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	_, rest, found := bytes.Cut(text, []byte("VmHWM:"))
	if !found {
		return 0
	}
	kilobytes, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
	return float64(kilobytes) / kilobytesPerMB
}
