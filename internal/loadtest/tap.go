package loadtest

import (
	"bytes"
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

// Tap is a relay before a node that records what real clients ask as a trace: when, what of, and how long they stay.
type Tap struct {
	target string
	out    *TraceWriter

	mu     sync.Mutex
	begin  time.Time // of the first request
	rows   []*tapped // in order of time; those at the front that have ended are written
	failed error     // of writing
	served sync.WaitGroup
	conns  map[net.Conn]bool
	over   bool
}

// tapped is a request whose connection may still stand.
type tapped struct {
	Request
	began time.Time
	lines int
	ended bool
}

// mostTapped bounds how many requests wait for the end of one that came before; past it that one is written with the
// life it has had so far.
const mostTapped = 1 << 18

// NewTap makes a tap before target; what it sees goes to out.
func NewTap(target string, out *TraceWriter) *Tap {
	return &Tap{target: target, out: out, conns: map[net.Conn]bool{}}
}

// Serve relays clients until ctx ends, then ends all and writes what is left. It returns how many requests it wrote.
func (t *Tap) Serve(ctx context.Context, l net.Listener) (int64, error) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			} else if err != nil {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			if !t.hold(c) {
				_ = c.Close()
				return nil
			}
			t.served.Go(func() { t.relay(c) })
		}
	})
	err := g.Wait()
	t.mu.Lock()
	t.over = true
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.served.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flush(0)
	return t.out.n, errors.Join(err, t.failed, t.out.Close())
}

func (t *Tap) hold(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.over {
		t.conns[c] = true
	}
	return !t.over
}

func (t *Tap) drop(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

func (t *Tap) relay(c net.Conn) {
	defer t.drop(c)
	defer c.Close()
	n, err := net.Dial("tcp", t.target)
	if err != nil || !t.hold(n) {
		return
	}
	defer t.drop(n)
	defer n.Close()
	var both sync.WaitGroup
	both.Go(func() { pass(c, n, io.Discard) })
	seen := &tapReader{t: t}
	pass(n, c, seen)
	both.Wait()
	seen.end()
}

// pass copies from b to a, and an end as it came.
func pass(a, b net.Conn, seen io.Writer) {
	_, err := io.Copy(a, io.TeeReader(b, seen))
	if err != nil {
		_ = a.(*net.TCPConn).SetLinger(0)
		_ = a.Close()
		return
	}
	_ = a.(*net.TCPConn).CloseWrite()
}

// tapReader looks at what a client says: its first line, and how many more there are.
type tapReader struct {
	t     *Tap
	first []byte
	known bool // the first line is read, or can't be
	row   *tapped
}

// Write takes what went by; it never fails, so that a trace does not break a connection.
func (r *tapReader) Write(p []byte) (int, error) {
	n := len(p)
	if !r.known {
		r.first = append(r.first, p[:min(len(p), wire.MaxLine+2-len(r.first))]...)
		line, rest, ok := bytes.Cut(r.first, []byte("\n"))
		switch {
		case ok:
			r.known = true
			r.row = r.t.opened(bytes.TrimSuffix(line, []byte("\r")))
			p = rest
		case len(r.first) > wire.MaxLine:
			r.known = true
		}
	}
	if r.row != nil {
		r.t.mu.Lock()
		r.row.lines += bytes.Count(p, []byte("\n"))
		r.t.mu.Unlock()
	}
	return n, nil
}

func (r *tapReader) end() {
	if r.row == nil {
		return
	}
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.row.finish()
	r.t.flush(mostTapped)
}

func (w *tapped) finish() {
	if w.ended {
		return
	}
	w.ended = true
	w.Life = time.Since(w.began).Round(time.Microsecond)
	if w.lines > 0 {
		w.Message = (w.Life / time.Duration(w.lines)).Round(time.Millisecond)
	}
}

// opened notes a request; nil for what is none.
func (t *Tap) opened(line []byte) *tapped {
	_, o, err := wire.ParseOpening(line)
	if err != nil || o.ID == "" || o.Class == "" || o.Tenant == "" {
		return nil
	}
	w := &tapped{Request: Request{Class: o.Class, Tenant: o.Tenant, Key: o.Key, Group: o.Group}, began: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begin.IsZero() {
		t.begin = w.began
	}
	// Under the lock, so that rows are in order.
	w.began = time.Now()
	w.At = max(w.began.Sub(t.begin), 0).Round(time.Microsecond)
	t.rows = append(t.rows, w)
	t.flush(mostTapped)
	return w
}

// flush writes what has ended at the front, and more where over most wait; mu is held.
func (t *Tap) flush(most int) {
	done := 0
	for done < len(t.rows) && (t.rows[done].ended || len(t.rows)-done > most) {
		t.rows[done].finish()
		if t.failed == nil {
			t.failed = t.out.Write(t.rows[done].Request)
		}
		done++
	}
	t.rows = t.rows[done:]
}

// RecordLive records what passes a listener on its way to target until ctx ends.
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
	n, err := NewTap(target, out).Serve(ctx, l)
	if err != nil {
		return n, fmt.Errorf("%s: %w", path, err)
	}
	return n, nil
}
