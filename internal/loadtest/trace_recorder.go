package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"onyxstream/internal/wire"
)

// TraceRecorder relays the connections of clients to a node, and records their requests as a trace: arrival time, class,
// tenant, key, group, lifetime and mean message interval.
type TraceRecorder struct {
	target string
	out    *TraceWriter

	// mu guards the fields below, and the fields of pending requests.
	mu          sync.Mutex
	begin       time.Time          // arrival of the first request
	pending     []*recordedRequest // in order of arrival; a request is written when it and all earlier requests are complete
	writeError  error
	connections map[net.Conn]bool
	closed      bool

	relays sync.WaitGroup
}

const (
	// maxPendingRequests bounds the number of requests that wait for an earlier request to complete. If there are more,
	// the recorder writes the earlier request with its lifetime so far.
	maxPendingRequests = 1 << 18

	acceptRetryWait = 5 * time.Millisecond
)

// NewTraceRecorder returns a recorder that relays connections to target and writes the trace to out.
func NewTraceRecorder(target string, out *TraceWriter) *TraceRecorder {
	return &TraceRecorder{target: target, out: out, connections: map[net.Conn]bool{}}
}

// RecordLive listens on an address, relays the connections of clients to target and records their requests in a file,
// until ctx ends. It calls ready with the address that it listens on, and returns the number of recorded requests.
func RecordLive(ctx context.Context, listen, target, path string, ready func(addr string)) (int64, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return 0, err
	}
	out, err := CreateTrace(path)
	if err != nil {
		_ = l.Close()
		return 0, err
	}
	ready(l.Addr().String())
	n, err := NewTraceRecorder(target, out).Serve(ctx, l)
	if err != nil {
		return n, fmt.Errorf("%s: %w", path, err)
	}
	return n, nil
}

// Serve relays clients until ctx ends. It then closes all connections, completes the trace and returns the number of
// recorded requests.
func (t *TraceRecorder) Serve(ctx context.Context, l net.Listener) (int64, error) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go(func() error {
		t.acceptClients(l)
		return nil
	})
	err := g.Wait()
	t.closeConnections()
	t.relays.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flush(0)
	return t.out.rows, errors.Join(err, t.writeError, t.out.Close())
}

// acceptClients accepts and relays clients until the listener or the recorder is closed.
func (t *TraceRecorder) acceptClients(l net.Listener) {
	for {
		client, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryWait)
			continue
		}
		if !t.track(client) {
			_ = client.Close()
			return
		}
		t.relays.Go(func() { t.relay(client) })
	}
}

func (t *TraceRecorder) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.connections {
		_ = c.Close()
	}
}

// track registers a connection. It returns false if the recorder is closed.
func (t *TraceRecorder) track(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.connections[c] = true
	}
	return !t.closed
}

func (t *TraceRecorder) untrack(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.connections, c)
}

func (t *TraceRecorder) relay(client net.Conn) {
	defer t.untrack(client)
	defer client.Close()
	node, err := net.Dial("tcp", t.target)
	if err != nil || !t.track(node) {
		return
	}
	defer t.untrack(node)
	defer node.Close()
	var toClient sync.WaitGroup
	toClient.Go(func() { copyStream(client, node, io.Discard) })
	observer := &clientObserver{recorder: t}
	copyStream(node, client, observer)
	toClient.Wait()
	observer.connectionClosed()
}

// copyStream copies from source to destination and to observer. When source ends, it ends destination in the same way,
// with a FIN or a reset.
func copyStream(destination, source net.Conn, observer io.Writer) {
	_, err := io.Copy(destination, io.TeeReader(source, observer))
	if err != nil {
		_ = destination.(*net.TCPConn).SetLinger(0)
		_ = destination.Close()
		return
	}
	_ = destination.(*net.TCPConn).CloseWrite()
}

// recordOpening records the request of an opening line. It returns nil if the line is not a valid opening line.
func (t *TraceRecorder) recordOpening(line []byte) *recordedRequest {
	_, o, err := wire.ParseOpening(line)
	if err != nil || o.ID == "" || o.Class == "" || o.Tenant == "" {
		return nil
	}
	request := &recordedRequest{
		Request: Request{Class: o.Class, Tenant: o.Tenant, Key: o.Key, Group: o.Group},
		opened:  time.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begin.IsZero() {
		t.begin = request.opened
	}
	request.opened = time.Now() // read while holding the lock, so that rows are in order of time
	request.IntendedAt = max(request.opened.Sub(t.begin), 0).Round(time.Microsecond)
	t.pending = append(t.pending, request)
	t.flush(maxPendingRequests)
	return request
}

// flush writes the pending requests in order, up to the first incomplete request. While more than maxPending requests are
// pending, it also completes and writes incomplete requests. The caller must hold the lock.
func (t *TraceRecorder) flush(maxPending int) {
	written := 0
	for written < len(t.pending) && (t.pending[written].ended || len(t.pending)-written > maxPending) {
		t.pending[written].complete()
		if t.writeError == nil {
			t.writeError = t.out.Write(t.pending[written].Request)
		}
		written++
	}
	t.pending = t.pending[written:]
}
