package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/discovery"
	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// testNode is a proxy with its node, run in the test's process.
type testNode struct {
	proxy *Proxy
	node  *node.Node
	addr  string
	stop  func()
}

// startNode starts a proxy with its node. The node's event loop runs only if runNode is set.
func startNode(t *testing.T, log *zap.Logger, runNode bool, hosts ...string) *testNode {
	t.Helper()
	return startNodeWith(t, log, runNode, netiotest.RefusedAddr(t), func(*settings.Settings) {}, hosts...)
}

// startNodeWith is startNode with the address of the discovery service, and with a function that changes the settings.
func startNodeWith(t *testing.T, log *zap.Logger, runNode bool, discoveryAddr string,
	configure func(*settings.Settings), hosts ...string,
) *testNode {
	t.Helper()
	p := New(Config{
		MaxDescriptors: 256,
		ConnectTimeout: time.Second,
		AnswerSlack:    10 * time.Millisecond,
		DefaultTimeout: time.Second,
		Classes:        []string{"chat"},
	}, log)
	watcher := discovery.NewWatcher(log)
	set := settings.Settings{
		Settings: balancer.Settings{
			NodeCount:    1,
			MaxAttempts:  3,
			MayCancel:    true,
			PollList:     true,
			PollInterval: time.Hour,
			DrainGrace:   time.Second,
			Classes:      []balancer.Class{{SetupLatencyObjective: 5 * time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}},
		},
		ClassNames: []string{"chat"},
	}
	configure(&set)
	known := wire.EndpointList{Complete: true}
	for i, addr := range hosts {
		known.Endpoints = append(known.Endpoints, wire.Endpoint{ID: fmt.Sprint("h", i), Addr: addr, Size: 1})
	}
	n := node.New(set, known, discoveryAddr, struct {
		*discovery.Watcher
		*Proxy
	}{watcher, p}, log)
	p.Attach(n)
	watcher.Attach(n)
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = p.Serve(listener) })
	running.Go(func() { _ = watcher.Run(ctx) })
	if runNode {
		running.Go(func() { _ = n.Run(ctx) })
	}
	var once sync.Once
	r := &testNode{proxy: p, node: n, addr: listener.Addr().String()}
	r.stop = func() {
		once.Do(func() {
			_ = listener.Close()
			p.Shutdown(false)
			cancel()
			running.Wait()
		})
	}
	t.Cleanup(r.stop)
	return r
}

// open opens a connection and sends a line. It returns the connection and a reader of what the client receives.
func (r *testNode) open(t *testing.T, line string) (net.Conn, *bufio.Reader) {
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

// onlyConn waits until the proxy has accepted its only client, and returns the client's connection.
func (r *testNode) onlyConn(t *testing.T) (c *conn) {
	t.Helper()
	netiotest.Eventually(t, "the client is accepted", func() bool {
		r.proxy.mu.Lock()
		defer r.proxy.mu.Unlock()
		for c = range r.proxy.conns {
		}
		return c != nil
	})
	return c
}

// awaitNoClients waits until all connections and requests have ended.
func (r *testNode) awaitNoClients(t *testing.T) {
	t.Helper()
	netiotest.Eventually(t, "no client is left", func() bool {
		return len(r.proxy.unfinished(false)) == 0 && r.node.InFlightRequests() == 0
	})
}

// hasNoClients reports whether no client is admitted and no connection is established.
func (r *testNode) hasNoClients() bool {
	return r.node.EstablishedConnections() == 0 && r.proxy.OpenClients() == 0
}

// Lines of clients and hosts.
const (
	openRequest     = "OPEN a key c=chat,d=5000"
	healthCheck     = "PING"
	establishedLine = "UP r\r\n"
	rejectionPrefix = "BUSY"
)

// withLongDeadline sets deadlines that are longer than any test.
func withLongDeadline(s *settings.Settings) {
	s.Classes[0].SetupLatencyObjective, s.Classes[0].Deadline = 9*time.Minute, 9*time.Minute
}

// connect returns both sides of a new TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return netiotest.Connect(t, l)
}

// expectLine reads a line and fails the test if the line is not want.
func expectLine(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	if line, err := in.ReadString('\n'); line != want {
		t.Fatalf("read %q, error %v; want %q", line, err, want)
	}
}
