package proxy

import (
	"fmt"
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
	"onyxstream/internal/wire"
)

// A client that is closed to make room, and whose request has come and was not read yet, is answered: what is read and
// dropped with its connection is lost.
func TestShed_RequestUnread_IsRefused(t *testing.T) {
	r := newRig(t, zap.NewNop(), false)
	client, server := pair(t)
	c := r.d.newConn(server, time.Now().Add(-time.Second))
	c.openingRead.Store(true)
	c.idle.Store(true)
	if _, err := io.WriteString(client, "OPEN a key c=chat,d=5000\r\n"); err != nil {
		t.Fatal(err)
	}
	netiotest.Eventually(t, "the request has come", func() bool { return netiotest.UnreadBytes(t, server) > 0 })
	r.d.mu.Lock()
	c.unadmitted = r.d.unadmitted.PushBack(c)
	r.d.evict(c)
	r.d.mu.Unlock()
	if heard, err := io.ReadAll(client); err != nil || !strings.HasPrefix(string(heard), "BUSY") {
		t.Errorf("heard %q, %v", heard, err)
	}
}

// A mid-flow client that says more than the node holds back for it, and leaves, is seen to leave: its attempt is
// withdrawn, and no other begins.
func TestMidFlowClient_BufferFull_IsSeenToLeave(t *testing.T) {
	for _, end := range []string{"close", "reset"} {
		t.Run(end, func(t *testing.T) {
			a, b := counting(t, ""), counting(t, "")
			r := newRigOf(t, zap.NewNop(), true, netiotest.RefusedAddr(t), patient, a.addr, b.addr)
			c, _ := r.ask(t, "OPEN m key c=chat,d=500000,mid=1")
			netiotest.Eventually(t, "a host has the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
			for i := range 1000 {
				if _, err := fmt.Fprintf(c, "M %d %s\r\n", i, strings.Repeat("x", 40)); err != nil {
					t.Fatal(err)
				}
			}
			if end == "reset" {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
			netiotest.Eventually(t, "the attempt is withdrawn", func() bool { return a.ended.Load()+b.ended.Load() == 1 })
			r.quiet(t)
			if n := a.lines.Load() + b.lines.Load(); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// A dial that this machine could not make says nothing of the host, and nothing was sent.
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

// A client that has sent much and ended its sending as its connection comes up has all of it passed on: the end stands
// behind what lies unread.
func TestMidFlowClient_EndsAsItComesUp_LinesArePassedOn(t *testing.T) {
	r := newRig(t, zap.NewNop(), false)
	client, server := pair(t)
	_, host := pair(t)
	c := r.d.newConn(server, time.Now())
	if _, err := io.WriteString(client, strings.Repeat("M of a client\r\n", 1000)); err != nil {
		t.Fatal(err)
	}
	_ = client.CloseWrite()
	netiotest.Eventually(t, "its end is here", func() bool { return sendingEnded(server) != nil })
	if !c.establish(host) {
		t.Fatal("it does not come up")
	}
	if c.disconnectUnestablished(sendingEnded(server)) || c.isDisconnected() || c.clientClosed.Load() {
		t.Error("its end counts before its lines are read")
	}
	if !c.awaitEstablished() {
		t.Error("its lines are not read on")
	}
}

// A connection whose goroutine fails before its first line is whole ends alone: the process and its other clients go on, and
// its place is free again.
func TestStart_GoroutinePanics_EndsAlone(t *testing.T) {
	r := newRig(t, zap.NewNop(), false)
	_, server := pair(t)
	c := r.d.newConn(server, time.Now())
	r.d.mu.Lock()
	c.unadmitted = r.d.unadmitted.PushBack(c)
	r.d.start(c, func() { panic("a parser's") })
	r.d.mu.Unlock()
	r.d.clients.Wait()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if len(r.d.conns) > 0 || r.d.unadmitted.Len() > 0 {
		t.Errorf("%d connections and %d places are left", len(r.d.conns), r.d.unadmitted.Len())
	}
}

// A request whose line was read has its answer also where its goroutine fails right behind that. This driver has no node to
// ask, so looking up the request's class fails.
func TestServe_PanicsBehindTheFirstLine_IsAnswered(t *testing.T) {
	d := New(Config{MaxDescriptors: 256}, zap.NewNop())
	client, server := pair(t)
	if !d.accept(server) {
		t.Fatal("the client is not taken")
	}
	if _, err := io.WriteString(client, "OPEN id key c=chat,d=1000\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	answer := make([]byte, len(wire.Failure))
	if n, err := io.ReadFull(client, answer); err != nil || string(answer) != wire.Failure {
		t.Errorf("heard %q, error %v", answer[:n], err)
	}
	_ = client.Close()
	d.clients.Wait()
}
