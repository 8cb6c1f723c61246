package faultinject

import (
	"fmt"
	"os"
	"syscall"
)

// WithDescriptors runs f while this process may open only a limited number of further descriptors at a time. The limit
// holds for the whole process: tests that use it must not run in parallel with others.
func WithDescriptors(limit uint64, f func()) (err error) {
	null, err := os.Open(os.DevNull)
	if err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	lowestFree := uint64(null.Fd())
	_ = null.Close()
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &previous); err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	lowered := syscall.Rlimit{Cur: lowestFree + limit, Max: previous.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	defer func() { err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &previous) }()
	f()
	return err
}
