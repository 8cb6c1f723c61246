package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"onyxstream/balancer"
	"onyxstream/internal/discovery"
	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// rig is a driver and a node in this process.
type rig struct {
	d    *Proxy
	n    *node.Node
	addr string
	end  func()
}

// newRig starts a driver; the node's loop runs only where loop is set.
func newRig(t *testing.T, log *zap.Logger, loop bool, hosts ...string) *rig {
	t.Helper()
	return newRigOf(t, log, loop, netiotest.RefusedAddr(t), func(*settings.Settings) {}, hosts...)
}

// newRigOf is newRig with a discovery, and with settings as change leaves them.
func newRigOf(t *testing.T, log *zap.Logger, loop bool, discoveryAddr string, change func(*settings.Settings), hosts ...string) *rig {
	t.Helper()
	d, y := New(Config{MaxDescriptors: 256, ConnectTimeout: time.Second, AnswerSlack: 10 * time.Millisecond, DefaultTimeout: time.Second,
		Classes: []string{"chat"}}, log),
		discovery.NewWatcher(log)
	set := settings.Settings{Settings: balancer.Settings{NodeCount: 1, MaxAttempts: 3, MayCancel: true, PollList: true,
		PollInterval: time.Hour, DrainGrace: time.Second, Classes: []balancer.Class{{SetupLatencyObjective: 5 * time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}}},
		ClassNames: []string{"chat"}}
	change(&set)
	known := wire.EndpointList{Complete: true}
	for i, addr := range hosts {
		known.Endpoints = append(known.Endpoints, wire.Endpoint{ID: fmt.Sprint("h", i), Addr: addr, Size: 1})
	}
	n := node.New(set, known, discoveryAddr, struct {
		*discovery.Watcher
		*Proxy
	}{y, d}, log)
	d.Attach(n)
	y.Attach(n)
	l, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	run := func(f func()) {
		all.Add(1)
		go func() {
			defer all.Done()
			f()
		}()
	}
	run(func() { _ = d.Serve(l) })
	run(func() { _ = y.Run(ctx) })
	if loop {
		run(func() { _ = n.Run(ctx) })
	}
	var once sync.Once
	r := &rig{d: d, n: n, addr: l.Addr().String()}
	r.end = func() {
		once.Do(func() {
			_ = l.Close()
			d.Shutdown(false)
			cancel()
			all.Wait()
		})
	}
	t.Cleanup(r.end)
	return r
}

// ask opens a connection, sends a line and returns the reader behind it.
func (r *rig) ask(t *testing.T, line string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, line+"\r\n")
	return c, bufio.NewReader(c)
}

// A request that the loop never answers must not wait for ever: the connection's own backstop answers.
func TestBackstopAnswersWhereTheLoopDoesNot(t *testing.T) {
	r := newRig(t, zap.NewNop(), false)
	_, in := r.ask(t, "OPEN a key c=chat,d=50")
	if all, err := io.ReadAll(in); string(all) != wire.Failure || err != nil {
		t.Errorf("answered %q, error %v", all, err)
	}
}

// panicking is a log that fails when it is told of one thing.
type panicking struct {
	zapcore.Core
	at string
}

func (p panicking) Enabled(zapcore.Level) bool { return true }
func (p panicking) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == p.at {
		panic("a fault planted by the test")
	}
	return c
}

// A panic ends its own connection with an answer, frees what the loop holds of it, and stops there.
func TestAPanicStopsAtItsConnection(t *testing.T) {
	log := zap.New(panicking{zapcore.NewNopCore(), "attempt failed"})
	r := newRig(t, log, true, answering(t, "ERR\r\n"))
	for i := range 3 {
		_, in := r.ask(t, fmt.Sprintf("OPEN a%d key c=chat,d=5000", i))
		if all, err := io.ReadAll(in); string(all) != wire.Failure || err != nil {
			t.Errorf("answered %q, error %v", all, err)
		}
	}
	netiotest.Eventually(t, "nothing is owed", func() bool { return r.n.InFlightRequests() == 0 })
}

// A panic after the connection was up must not put an answer of the node's own among the host's lines.
func TestAPanicAfterUpResets(t *testing.T) {
	log := zap.New(panicking{zapcore.NewNopCore(), "connection closed"})
	r := newRig(t, log, true, answering(t, "UP r\r\nBYE\r\n"))
	c, in := r.ask(t, "OPEN a key c=chat,d=5000")
	for _, want := range []string{"UP r\r\n", "BYE\r\n"} {
		if line, err := in.ReadString('\n'); line != want {
			t.Fatalf("heard %q, error %v; want %q", line, err, want)
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); len(rest) > 0 || err == nil {
		t.Errorf("then %q, error %v", rest, err)
	}
	netiotest.Eventually(t, "nothing is open", func() bool { return r.n.EstablishedConnections() == 0 })
}

// A process that the other one of its node leaves nothing refuses who comes, and serves again when it has its part.
func TestAProcessWithoutAPartRefuses(t *testing.T) {
	r := newRig(t, zap.NewNop(), true, answering(t, "UP r\r\n"))
	r.d.SetDescriptorLimit(-100)
	_, in := r.ask(t, "OPEN a key c=chat,d=5000")
	if line, err := in.ReadString('\n'); !strings.HasPrefix(line, "BUSY") {
		t.Fatalf("heard %q, error %v", line, err)
	}
	r.d.SetDescriptorLimit(256)
	_, in = r.ask(t, "OPEN b key c=chat,d=5000")
	if line, err := in.ReadString('\n'); line != "UP r\r\n" {
		t.Errorf("heard %q, error %v", line, err)
	}
}

// A client that leaves while its attempt is out withdraws it, and no other host is tried for it.
func TestLeavingClientWithdrawsItsAttempt(t *testing.T) {
	var mu sync.Mutex
	lines, ended := 0, 0
	silent := func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		mu.Lock()
		lines++
		mu.Unlock()
		_, _ = io.Copy(io.Discard, in)
		mu.Lock()
		ended++
		mu.Unlock()
	}
	r := newRig(t, zap.NewNop(), true, netiotest.Serve(t, silent), netiotest.Serve(t, silent))
	c, _ := r.ask(t, "OPEN a key c=chat,d=5000")
	count := func(n *int, want int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return *n == want
		}
	}
	netiotest.Eventually(t, "the line reaches a host", count(&lines, 1))
	_ = c.Close()
	netiotest.Eventually(t, "the attempt is withdrawn", count(&ended, 1))
	netiotest.Eventually(t, "nothing is owed", func() bool { return r.n.InFlightRequests() == 0 })
	if r.end(); !count(&lines, 1)() {
		t.Error("another host was tried")
	}
}

// Where packets pass through, a node that ends must not break what is up by its own hand, and what is not up yet is
// answered: a reset is no answer.
func TestTheEndLeavesWhatPassesThrough(t *testing.T) {
	sentOn := make(chan struct{})
	r := newRig(t, zap.NewNop(), true, netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if line, _ := in.ReadString('\n'); strings.Contains(line, "wait") {
			close(sentOn)
			_, _ = io.Copy(io.Discard, in)
			return
		}
		_, _ = io.WriteString(c, "UP r\r\n")
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, line)
		}
	}))
	on, in := r.ask(t, "OPEN up key c=chat,d=5000")
	if line, err := in.ReadString('\n'); line != "UP r\r\n" {
		t.Fatalf("heard %q, error %v", line, err)
	}
	_, waits := r.ask(t, "OPEN wait key c=chat,d=5000")
	netiotest.Eventually(t, "the second is owed its answer", func() bool { return r.n.InFlightRequests() == 1 })
	<-sentOn // until then it may be refused: it was sent nowhere
	r.d.Shutdown(true)
	if all, err := io.ReadAll(waits); string(all) != wire.Failure || err != nil {
		t.Errorf("one that is owed its answer heard %q, error %v", all, err)
	}
	_, _ = io.WriteString(on, "M\r\n")
	if line, err := in.ReadString('\n'); line != "M\r\n" {
		t.Errorf("heard %q, error %v", line, err)
	}
}

// Whatever clients and hosts do, their goroutines end with them.
func TestNoGoroutineIsLeft(t *testing.T) {
	before := goleak.IgnoreCurrent()
	var hosts sync.WaitGroup
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hosts.Add(1)
	go func() {
		defer hosts.Done()
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			hosts.Add(1)
			go func() {
				defer hosts.Done()
				defer c.Close()
				in := bufio.NewReader(c)
				if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "PING") {
					return
				}
				_, _ = io.WriteString(c, []string{"UP r\r\n", "ERR\r\n", "", "UP r\r\nM\r\nBYE\r\n"}[i%4])
				if i%4 != 3 {
					_, _ = io.Copy(io.Discard, in)
				}
			}()
		}
	}()
	r := newRig(t, zap.NewNop(), true, l.Addr().String())
	for i := range 24 {
		c, in := r.ask(t, fmt.Sprintf("OPEN a%d key%d c=chat,d=300", i, i))
		if i%3 > 0 {
			_, _ = in.ReadString('\n')
		}
		if i%3 == 2 {
			_ = c.Close()
		}
	}
	r.d.Ping("h0", l.Addr().String())
	r.end()
	_ = l.Close()
	hosts.Wait()
	if err := goleak.Find(before); err != nil {
		t.Error(err)
	}
}
