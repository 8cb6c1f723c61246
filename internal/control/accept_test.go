package control

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// failingListener's first accepts fail, each with one of the system's errors.
type failingListener struct {
	net.Listener
	next   atomic.Int64
	errors []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if n := int(l.next.Add(1)) - 1; n < len(l.errors) {
		return nil, &net.OpError{Op: "accept", Net: "unix", Err: os.NewSyscallError("accept4", l.errors[n])}
	}
	return l.Listener.Accept()
}

// An accept that fails for a moment must not end the listener, and with it the node: whoever runs Serve ends as it returns.
func TestServe_AcceptFailsForAMoment_GoesOn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := ListenUnix(path, leastConns)
	if err != nil {
		t.Fatal(err)
	}
	l.Listener = &failingListener{Listener: l.Listener, errors: []syscall.Errno{syscall.ENOBUFS, syscall.ENFILE, syscall.ENOMEM,
		syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- NewServer(&fake{}, "boot", leastConns, zap.NewNop()).Serve(ctx, l) }()
	c, err := Dial("unix:"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	within, over := context.WithTimeout(ctx, 10*time.Second)
	defer over()
	if _, err := c.Status(within); err != nil {
		t.Errorf("no status: %v", err)
	}
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the server ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the server does not end")
	}
}
