package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

const openingLine = "OPEN id key c=chat,d=9000,new=1"

func parseOpening(t *testing.T, line string) *wire.Opening {
	t.Helper()
	_, o, err := wire.ParseOpening([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	return &o
}

func allow() error { return nil }

// attemptWith makes an attempt with openingLine and a connect timeout of 1 s.
func attemptWith(ctx context.Context, t *testing.T, target node.Attempt, authorize func() error, in *wire.LineBuffer) (
	*net.TCPConn, []byte, *AttemptError,
) {
	t.Helper()
	hooks := attemptHooks{
		connectTimeout: time.Second,
		authorize:      authorize,
		written:        func(time.Time) {},
	}
	return attempt(ctx, target, parseOpening(t, openingLine), hooks, in)
}

func TestAttempt_HostResponse_Outcome(t *testing.T) {
	long := strings.Repeat("x", wire.BufferSize)
	for _, c := range []struct {
		name, addr string
		stage      Stage
		want       balancer.Outcome
	}{
		{"connection refused", netiotest.RefusedAddr(t), Dialing, balancer.ConnectFailed},
		{"rejected", respondingHost(t, "BUSY\r\n"), Answering, balancer.Rejected},
		{"error", respondingHost(t, "ERR\r\n"), Answering, balancer.Errored},
		{"migrated", respondingHost(t, "MOVE\r\n"), Answering, balancer.Cancelled},
		{"closed before the connection is established", respondingHost(t, "BYE\r\n"), Answering, balancer.Errored},
		{"established without a receipt", respondingHost(t, "UP\r\n"), Answering, balancer.Errored},
		{"garbage", respondingHost(t, "HTTP/1.1 400 Bad Request\r\n"), Answering, balancer.Errored},
		{"line without an end", respondingHost(t, long), Answering, balancer.Errored},
		{"part of a response", respondingHost(t, "UP r-1"), Awaiting, balancer.ResponseTimeout},
		{"no response", respondingHost(t, ""), Awaiting, balancer.ResponseTimeout},
		{"closed without a response", netiotest.Serve(t, func(c *net.TCPConn) {
			_, _ = bufio.NewReader(c).ReadString('\n')
		}), Awaiting, balancer.ConnectionReset},
		{"reset without a response", netiotest.Serve(t, func(c *net.TCPConn) {
			_, _ = bufio.NewReader(c).ReadString('\n')
			_ = c.SetLinger(0)
		}), Awaiting, balancer.ConnectionReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			var in wire.LineBuffer
			defer in.Release()
			target := node.Attempt{Addr: c.addr, Timeout: 200 * time.Millisecond}
			conn, _, failed := attemptWith(context.Background(), t, target, allow, &in)
			if failed == nil {
				_ = conn.Close()
				t.Fatal("attempt succeeded, want an error")
			}
			if failed.Stage != c.stage || failed.Outcome() != c.want {
				t.Errorf("%v: got outcome %v, want %v at stage %v", failed, failed.Outcome(), c.want, c.stage)
			}
		})
	}
}

func TestAttempt_Established_ReturnsBufferedLines(t *testing.T) {
	lines := make(chan string, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		lines <- line
		_, _ = io.WriteString(c, "UP r-1 more\r\nM 1\r\nM")
		_, _ = io.Copy(io.Discard, c)
	})
	var in wire.LineBuffer
	defer in.Release()
	target := node.Attempt{Addr: addr, Timeout: 5 * time.Second}
	conn, established, failed := attemptWith(context.Background(), t, target, allow, &in)
	if failed != nil {
		t.Fatal(failed)
	}
	defer conn.Close()
	if string(established) != "UP r-1 more\r\n" {
		t.Errorf("established line %q, want the host's first line", established)
	}
	line := <-lines
	if !strings.HasPrefix(line, "OPEN id key c=chat,d=4") && !strings.HasPrefix(line, "OPEN id key c=chat,d=5000,") ||
		!strings.HasSuffix(line, ",new=1\r\n") {
		t.Errorf("host received %q, want the opening line with the remaining time", line)
	}
	if rest := string(in.Buffered()); !strings.HasPrefix("M 1\r\nM", rest) {
		t.Errorf("buffered %q, want the start of the lines after the response", rest)
	}
}

// The node authorizes an attempt after the connect and before the write. Without the authorization not a single byte
// may reach the host.
func TestAttempt_NotAuthorized_WritesNothing(t *testing.T) {
	bytesRead := make(chan int, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		bytesRead <- n
	})
	var in wire.LineBuffer
	target := node.Attempt{Addr: addr, Timeout: time.Second}
	_, _, failed := attemptWith(context.Background(), t, target, func() error { return errNotAuthorized }, &in)
	if failed == nil || failed.Stage != Authorizing || failed.Outcome() != balancer.NotSent ||
		!errors.Is(failed, errNotAuthorized) {
		t.Errorf("attempt error %v, want errNotAuthorized before the write", failed)
	}
	if n := <-bytesRead; n != 0 {
		t.Errorf("host read %d bytes, want 0", n)
	}
}

func TestAttempt_CancelledWhileAuthorized_WritesNothing(t *testing.T) {
	hostRead := make(chan string, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		all, _ := io.ReadAll(c)
		hostRead <- string(all)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var in wire.LineBuffer
	defer in.Release()
	cancelAndAllow := func() error {
		cancel() // the client disconnects between the authorization and the write
		return nil
	}
	_, _, failed := attemptWith(ctx, t, node.Attempt{Addr: addr, Timeout: time.Minute}, cancelAndAllow, &in)
	if failed == nil || !failed.Outcome().ProvesNotExecuted() {
		t.Errorf("attempt error %v, want an outcome that proves that the request was not executed", failed)
	}
	if got := <-hostRead; got != "" {
		t.Errorf("host read %q, want nothing", got)
	}
}

func TestAttempt_Cancelled_ClosesHost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		cancel()
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	var in wire.LineBuffer
	defer in.Release()
	_, _, failed := attemptWith(ctx, t, node.Attempt{Addr: addr, Timeout: time.Minute}, allow, &in)
	if failed == nil || failed.Outcome() != balancer.Cancelled {
		t.Errorf("attempt error %v, want outcome Cancelled", failed)
	}
	<-closed // the host has seen the close
}

func TestAttempt_NoTimeLeft_NotExecuted(t *testing.T) {
	addr := respondingHost(t, establishedLine)
	var in wire.LineBuffer
	target := node.Attempt{Addr: addr, Timeout: -time.Second}
	_, _, failed := attemptWith(context.Background(), t, target, allow, &in)
	if failed == nil || !failed.Outcome().ProvesNotExecuted() {
		t.Errorf("attempt error %v, want an outcome that proves that the request was not executed", failed)
	}
}

// A dial or write that failed because this machine lacks resources or addresses says nothing about the host, and the
// request was not sent.
func TestAttemptError_LocalFailure_BlamesNoHost(t *testing.T) {
	for _, c := range []struct {
		errno syscall.Errno
		want  balancer.Outcome
	}{
		{syscall.EMFILE, balancer.NotSent},
		{syscall.ENFILE, balancer.NotSent},
		{syscall.ENOBUFS, balancer.NotSent},
		{syscall.ENOMEM, balancer.NotSent},
		{syscall.EADDRNOTAVAIL, balancer.NotSent},
		{syscall.EADDRINUSE, balancer.NotSent},
		{syscall.ECONNREFUSED, balancer.ConnectFailed},
		{syscall.EHOSTUNREACH, balancer.ConnectFailed},
		{syscall.ENETUNREACH, balancer.ConnectFailed},
		{syscall.ETIMEDOUT, balancer.ConnectFailed},
	} {
		for _, failed := range []*AttemptError{
			{Dialing, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", c.errno)}},
			{Writing, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.errno)}},
		} {
			if got := failed.Outcome(); got != c.want {
				t.Errorf("%v: got outcome %v, want %v", failed, got, c.want)
			}
		}
	}
}

// An authorization that arrives after its attempt has ended must not authorize the next attempt.
func TestProceed_PreviousAttempt_Ignored(t *testing.T) {
	host := startCountingHost(t, establishedLine)
	r := startNode(t, zap.NewNop(), false, host.addr)
	r.open(t, "OPEN a key c=chat,d=500000")
	c := r.onlyConn(t)
	netiotest.Eventually(t, "the request waits for the node", func() bool { return r.proxy.PendingRequests() == 1 })
	c.Proceed(0, true) // arrives after its attempt
	var in wire.LineBuffer
	defer in.Release()
	_, _, failed := c.tryHost(node.Attempt{Number: 1, Addr: host.addr, Timeout: 200 * time.Millisecond}, &in)
	if failed == nil || failed.Stage != Authorizing {
		t.Errorf("attempt error %v, want one at stage authorizing", failed)
	}
	if n := host.lines.Load(); n != 0 {
		t.Errorf("host read %d lines, want 0", n)
	}
}
