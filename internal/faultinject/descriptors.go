package faultinject

import (
	"fmt"
	"os"
	"syscall"
)

// WithDescriptors runs f while this process can open at most limit more file descriptors. The limit applies to the
// whole process, so a test that calls WithDescriptors must not run in parallel with other tests.
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
