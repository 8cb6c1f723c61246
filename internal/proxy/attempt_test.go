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

// hooksWith returns hooks with a connect timeout and an authorization.
func hooksWith(connect time.Duration, may func() error) attemptHooks {
	return attemptHooks{connect, may, func(time.Time) {}}
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
		{"an error", respondingHost(t, "ERR\r\n"), Answering, balancer.Errored},
		{"migrated", respondingHost(t, "MOVE\r\n"), Answering, balancer.Cancelled},
		{"closed before it was established", respondingHost(t, "BYE\r\n"), Answering, balancer.Errored},
		{"established without a receipt", respondingHost(t, "UP\r\n"), Answering, balancer.Errored},
		{"garbage", respondingHost(t, "HTTP/1.1 400 Bad Request\r\n"), Answering, balancer.Errored},
		{"an endless line", respondingHost(t, long), Answering, balancer.Errored},
		{"a part of a response", respondingHost(t, "UP r-1"), Awaiting, balancer.ResponseTimeout},
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
			conn, _, failed := attempt(context.Background(), node.Attempt{Addr: c.addr, Timeout: 200 * time.Millisecond},
				parseOpening(t, openingLine), hooksWith(time.Second, allow), &in)
			if failed == nil {
				_ = conn.Close()
				t.Fatal("no error")
			}
			if failed.Stage != c.stage || failed.Outcome() != c.want {
				t.Errorf("%v: outcome %v, want %v while %v", failed, failed.Outcome(), c.want, c.stage)
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
	conn, up, failed := attempt(context.Background(), node.Attempt{Addr: addr, Timeout: 5 * time.Second}, parseOpening(t, openingLine), hooksWith(time.Second, allow), &in)
	if failed != nil {
		t.Fatal(failed)
	}
	defer conn.Close()
	if string(up) != "UP r-1 more\r\n" {
		t.Errorf("established line %q", up)
	}
	line := <-lines
	if !strings.HasPrefix(line, "OPEN id key c=chat,d=4") && !strings.HasPrefix(line, "OPEN id key c=chat,d=5000,") ||
		!strings.HasSuffix(line, ",new=1\r\n") {
		t.Errorf("the host was sent %q", line)
	}
	if rest := string(in.Buffered()); !strings.HasPrefix("M 1\r\nM", rest) {
		t.Errorf("buffered %q", rest)
	}
}

// The node authorizes between connect and write: otherwise not a byte may reach the host.
func TestAttempt_NotAuthorized_WritesNothing(t *testing.T) {
	got := make(chan int, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	var in wire.LineBuffer
	_, _, failed := attempt(context.Background(), node.Attempt{Addr: addr, Timeout: time.Second}, parseOpening(t, openingLine), hooksWith(time.Second, func() error { return errNotAuthorized }), &in)
	if failed == nil || failed.Stage != Authorizing || failed.Outcome() != balancer.NotSent || !errors.Is(failed, errNotAuthorized) {
		t.Errorf("ended with %v", failed)
	}
	if n := <-got; n != 0 {
		t.Error("the host got something")
	}
}

func TestAttempt_CancelledWhileAuthorized_WritesNothing(t *testing.T) {
	heard := make(chan string, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		all, _ := io.ReadAll(c)
		heard <- string(all)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var in wire.LineBuffer
	defer in.Release()
	_, _, failed := attempt(ctx, node.Attempt{Addr: addr, Timeout: time.Minute}, parseOpening(t, openingLine), hooksWith(time.Second, func() error {
		cancel() // the client disconnects between the authorization and the line
		return nil
	}), &in)
	if failed == nil || !failed.Outcome().ProvesNotExecuted() {
		t.Errorf("%v; want an outcome that proves that it was not executed", failed)
	}
	if got := <-heard; got != "" {
		t.Errorf("the host read %q", got)
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
	_, _, failed := attempt(ctx, node.Attempt{Addr: addr, Timeout: time.Minute}, parseOpening(t, openingLine), hooksWith(time.Second, allow), &in)
	if failed == nil || failed.Outcome() != balancer.Cancelled {
		t.Errorf("ended with %v", failed)
	}
	<-closed // the host has read the close
}

func TestAttempt_NoTimeLeft_NotExecuted(t *testing.T) {
	addr := respondingHost(t, "UP r\r\n")
	var in wire.LineBuffer
	_, _, failed := attempt(context.Background(), node.Attempt{Addr: addr, Timeout: -time.Second}, parseOpening(t, openingLine), hooksWith(time.Second, allow), &in)
	if failed == nil || !failed.Outcome().ProvesNotExecuted() {
		t.Errorf("ended with %v", failed)
	}
}

// A dial that failed for want of local resources says nothing of the host, and nothing was sent.
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
				t.Errorf("%v: outcome %v, want %v", failed, got, c.want)
			}
		}
	}
}

// An authorization that comes after its attempt has ended must not authorize the next one.
func TestProceed_PreviousAttempt_Ignored(t *testing.T) {
	h := startCountingHost(t, "UP r\r\n")
	r := startNode(t, zap.NewNop(), false, h.addr)
	r.open(t, "OPEN a key c=chat,d=500000")
	c := r.onlyConn(t)
	netiotest.Eventually(t, "the request waits for the node", func() bool { return r.proxy.PendingRequests() == 1 })
	c.Proceed(0, true) // late
	var in wire.LineBuffer
	defer in.Release()
	_, _, failed := c.tryHost(node.Attempt{Number: 1, Addr: h.addr, Timeout: 200 * time.Millisecond}, &in)
	if failed == nil || failed.Stage != Authorizing {
		t.Errorf("%v; want that it is not authorized", failed)
	}
	if n := h.lines.Load(); n != 0 {
		t.Errorf("the host read %d lines", n)
	}
}
