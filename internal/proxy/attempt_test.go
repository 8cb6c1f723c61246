package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// answering is a host that reads the first line and says something.
func answering(t *testing.T, text string) string {
	return netiotest.Serve(t, func(c *net.TCPConn) {
		if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, c)
		}
	})
}

const hello = "OPEN id key c=chat,d=9000,new=1"

func opening(t *testing.T, line string) *wire.Opening {
	t.Helper()
	_, o, err := wire.ParseOpening([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	return &o
}

func may() error { return nil }

// permitted holds an attempt to a dial's limit and to may alone.
func permitted(connect time.Duration, may func() error) attemptHooks {
	return attemptHooks{connect, may, func(time.Time) {}}
}

func TestAttemptOutcomesByStage(t *testing.T) {
	long := strings.Repeat("x", wire.BufferSize)
	for _, c := range []struct {
		name, addr string
		stage      Stage
		want       balancer.Outcome
	}{
		{"refused", netiotest.RefusedAddr(t), Dialing, balancer.ConnectFailed},
		{"turned away", answering(t, "BUSY\r\n"), Answering, balancer.Rejected},
		{"an error", answering(t, "ERR\r\n"), Answering, balancer.Errored},
		{"sent away", answering(t, "MOVE\r\n"), Answering, balancer.Cancelled},
		{"ended before it was up", answering(t, "BYE\r\n"), Answering, balancer.Errored},
		{"no receipt", answering(t, "UP\r\n"), Answering, balancer.Errored},
		{"garbage", answering(t, "HTTP/1.1 400 Bad Request\r\n"), Answering, balancer.Errored},
		{"a line with no end", answering(t, long), Answering, balancer.Errored},
		{"half an answer", answering(t, "UP r-1"), Awaiting, balancer.ResponseTimeout},
		{"nothing", answering(t, ""), Awaiting, balancer.ResponseTimeout},
		{"ended without an answer", netiotest.Serve(t, func(c *net.TCPConn) {
			_, _ = bufio.NewReader(c).ReadString('\n')
		}), Awaiting, balancer.ConnectionReset},
		{"broken without an answer", netiotest.Serve(t, func(c *net.TCPConn) {
			_, _ = bufio.NewReader(c).ReadString('\n')
			_ = c.SetLinger(0)
		}), Awaiting, balancer.ConnectionReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			var in wire.LineBuffer
			defer in.Release()
			conn, _, failed := attempt(context.Background(), node.Attempt{Addr: c.addr, Timeout: 200 * time.Millisecond},
				opening(t, hello), permitted(time.Second, may), &in)
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

func TestAttemptComesUpWithWhatFollows(t *testing.T) {
	lines := make(chan string, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		lines <- line
		_, _ = io.WriteString(c, "UP r-1 more\r\nM 1\r\nM")
		_, _ = io.Copy(io.Discard, c)
	})
	var in wire.LineBuffer
	defer in.Release()
	conn, up, failed := attempt(context.Background(), node.Attempt{Addr: addr, Timeout: 5 * time.Second}, opening(t, hello), permitted(time.Second, may), &in)
	if failed != nil {
		t.Fatal(failed)
	}
	defer conn.Close()
	if string(up) != "UP r-1 more\r\n" {
		t.Errorf("up line %q", up)
	}
	line := <-lines
	if !strings.HasPrefix(line, "OPEN id key c=chat,d=4") && !strings.HasPrefix(line, "OPEN id key c=chat,d=5000,") ||
		!strings.HasSuffix(line, ",new=1\r\n") {
		t.Errorf("the host was sent %q", line)
	}
	if rest := string(in.Buffered()); !strings.HasPrefix("M 1\r\nM", rest) {
		t.Errorf("behind it %q", rest)
	}
}

// The loop's word between connect and write: without it not a byte may reach the host.
func TestAttemptThatMayNotGoWritesNothing(t *testing.T) {
	got := make(chan int, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	var in wire.LineBuffer
	_, _, failed := attempt(context.Background(), node.Attempt{Addr: addr, Timeout: time.Second}, opening(t, hello), permitted(time.Second, func() error { return errNotAuthorized }), &in)
	if failed == nil || failed.Stage != Authorizing || failed.Outcome() != balancer.NotSent || !errors.Is(failed, errNotAuthorized) {
		t.Errorf("ended with %v", failed)
	}
	if n := <-got; n != 0 {
		t.Error("the host got something")
	}
}

func TestWithdrawnAttemptEndsAtOnce(t *testing.T) {
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
	_, _, failed := attempt(ctx, node.Attempt{Addr: addr, Timeout: time.Minute}, opening(t, hello), permitted(time.Second, may), &in)
	if failed == nil || failed.Outcome() != balancer.Cancelled {
		t.Errorf("ended with %v", failed)
	}
	<-closed // the host saw the end
}

func TestAttemptWithoutTimeNeverRan(t *testing.T) {
	addr := answering(t, "UP r\r\n")
	var in wire.LineBuffer
	_, _, failed := attempt(context.Background(), node.Attempt{Addr: addr, Timeout: -time.Second}, opening(t, hello), permitted(time.Second, may), &in)
	if failed == nil || !failed.Outcome().ProvesNotExecuted() {
		t.Errorf("ended with %v", failed)
	}
}
