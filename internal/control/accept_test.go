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

// failingListener fails its first accepts, each with the next element of errors.
type failingListener struct {
	net.Listener
	accepts atomic.Int64
	errors  []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if n := int(l.accepts.Add(1)) - 1; n < len(l.errors) {
		return nil, &net.OpError{Op: "accept", Net: "unix", Err: os.NewSyscallError("accept4", l.errors[n])}
	}
	return l.Listener.Accept()
}

// The node exits when Serve returns, so a failed accept must not end Serve.
func TestServe_AcceptFails_Retries(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := ListenUnix(path, minConns)
	if err != nil {
		t.Fatal(err)
	}
	l.Listener = &failingListener{
		Listener: l.Listener,
		errors: []syscall.Errno{
			syscall.ENOBUFS, syscall.ENFILE, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- NewServer(&fakeInstance{}, "boot", minConns, zap.NewNop()).Serve(ctx, l) }()
	c, err := Dial("unix:"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	callCtx, cancelCall := context.WithTimeout(ctx, 10*time.Second)
	defer cancelCall()
	if _, err := c.Status(callCtx); err != nil {
		t.Errorf("Status after failed accepts: error %v, want none", err)
	}
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("Serve after its context ended: error %v, want none", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("Serve has not returned 10 s after its context ended")
	}
}
