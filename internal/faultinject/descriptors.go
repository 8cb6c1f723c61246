package faultinject

import (
	"fmt"
	"os"
	"syscall"
)

// WithDescriptors runs f while this process, the test's own, may open only so many more descriptors at a time. Nothing else
// of the process may open any meanwhile: tests that use it don't run in parallel with others.
func WithDescriptors(more uint64, f func()) (err error) {
	null, err := os.Open(os.DevNull)
	if err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	free := uint64(null.Fd())
	_ = null.Close()
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: free + more, Max: was.Max}); err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	defer func() { err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was) }()
	f()
	return err
}
