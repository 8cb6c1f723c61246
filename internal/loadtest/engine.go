package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/ctxtime"
)

// Config is one run.
type Config struct {
	Scenario *Scenario // classes' deadlines, clients, waves and limits; of a trace they are a plain one's
	Source   Source
	Length   time.Duration // when the last request is meant, for waves and the time line; it may be more
	// Address says where a client of a zone connects now.
	Address func(zone string, direct bool) (string, error)
	// Hosts maps hosts' names to where those that stood there before the run are opened; nil for none.
	Hosts []string
	// Progress is told how the run stands, once a second; nil for nobody.
	Progress func(Progress)
	// Record is given every request when its time has come, in order; nil for none. It must not wait.
	Record func(Request)
	// Receipt is told the receipt of each connection that was put up; nil for none.
	Receipt func(id, receipt string)
	// Begin is called when the standing connections are up and requests begin; nil for none.
	Begin func()
}

// Progress is how a run stands.
type Progress struct {
	At                      time.Duration
	Asked, Answered, Open   int64
	Served, Refused, Failed int64         // failed holds all others
	Lateness                time.Duration // at the 99th percentile
}

// engine is a run under way.
type engine struct {
	cfg         Config
	s           *Scenario
	stats       *stats
	begin       time.Time
	classes     map[string]time.Duration // deadlines
	wg          sync.WaitGroup
	open        atomic.Int64 // connections held or being opened
	fired       atomic.Int64
	dialled     atomic.Uint64
	stop        chan struct{}   // closed when those who stand are to end
	dials       context.Context // ends with the run
	hmu         sync.Mutex
	held        map[*held]struct{}
	begun       chan struct{} // closed when requests begin
	sources     []net.Addr
	ended       atomic.Bool
	cancelDials context.CancelFunc
	noteOnce    sync.Once
	own         atomic.Pointer[error] // the first thing that kept the generator from sending
}

// standingFor is how long connections that stood before a run may take to come up, and between tries.
const (
	standingFor   = 20 * time.Second
	standingRetry = 200 * time.Millisecond
)

// Run plays a run to its end, or until ctx ends, and tells what came of it. The error says that the source could not
// be read to its end; the result then holds what there was, marked partial.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	e := &engine{cfg: cfg, s: cfg.Scenario, classes: map[string]time.Duration{}, stop: make(chan struct{}),
		held: map[*held]struct{}{}, begun: make(chan struct{}), begin: time.Now()}
	e.dials, e.cancelDials = context.WithCancel(context.Background())
	defer e.cancelDials()
	for _, c := range e.s.Classes {
		e.classes[c.Name] = c.Deadline.AsDuration()
	}
	if n := e.s.Limits.Sources; n > 1 {
		for i := range n {
			e.sources = append(e.sources, &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(i+1))})
		}
	}
	e.stats = newStats(cfg.Length)
	if err := e.stand(ctx); err != nil {
		return nil, err
	}
	if cfg.Begin != nil {
		cfg.Begin()
	}
	began := time.Now()
	e.begin = began
	close(e.begun)
	helpers, cancel := context.WithCancel(ctx)
	var beside sync.WaitGroup
	beside.Go(func() { e.watch(helpers) })
	beside.Go(func() { e.wakes(helpers) })
	for i, w := range e.s.Waves {
		beside.Go(func() {
			if e.sleep(helpers, w.At.AsDuration()) {
				e.drop(i)
			}
		})
	}
	err := e.pace(ctx)
	if err == nil && ctx.Err() == nil {
		e.settle(ctx)
	}
	e.end()
	e.wg.Wait()
	cancel()
	beside.Wait()
	return e.result(began, ctx.Err() != nil, err), err
}

func (e *engine) now() time.Duration { return time.Since(e.begin) }

// sleep waits until a time of the run; false where ctx ends before.
func (e *engine) sleep(ctx context.Context, until time.Duration) bool {
	return ctxtime.Sleep(ctx, until-e.now())
}

// pace sends every request when it is meant, whatever became of the others.
func (e *engine) pace(ctx context.Context) error {
	if e.s.Requests.Loop == "closed" {
		return e.closed(ctx)
	}
	for {
		r, err := e.cfg.Source.Next()
		if err != nil {
			return notEOF(err)
		}
		for ctx.Err() == nil {
			wait := r.At - e.now()
			if wait <= 0 {
				break
			}
			nap(min(wait, longestNap))
		}
		if ctx.Err() != nil {
			return nil
		}
		e.fire(r)
	}
}

// longestNap bounds how long a signal to stop waits for the pacer.
const longestNap = 50 * time.Millisecond

// spinFor is how late the runtime's timers may be where it is idle: shorter waits are spun away. What the pacer starts
// runs on its processor while it yields; a sleep in the system would keep that back until the runtime noticed, which
// made one request in a hundred 30 ms late at 15,000 a second.
const spinFor = 1200 * time.Microsecond

func nap(d time.Duration) {
	if d > spinFor {
		time.Sleep(d - spinFor)
		return
	}
	runtime.Gosched()
}

func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// fire sends a request now.
func (e *engine) fire(r Request) {
	if e.cfg.Record != nil {
		e.cfg.Record(r)
	}
	path := pathOf(&r)
	e.fired.Add(1) // here, not in its goroutine: the run must not end before that has begun
	if e.open.Load() >= int64(e.s.Limits.Open) {
		e.stats.began(&r, path, e.now()-r.At)
		e.unsent(&r, path, fmt.Errorf("%d connections are open, as many as limits.open allows", e.s.Limits.Open))
		return
	}
	e.open.Add(1)
	e.wg.Go(func() {
		defer e.open.Add(-1)
		e.stats.began(&r, path, e.now()-r.At)
		e.client(&r, path, r.At)
	})
}

func pathOf(r *Request) string {
	if r.Direct {
		return "direct"
	}
	return "node"
}

// unsent is a request that the generator itself could not send.
func (e *engine) unsent(r *Request, path string, why error) {
	e.noteOnce.Do(func() { e.own.Store(&why) })
	e.stats.final(r, path, Unsent, e.now()-r.At, e.classes[r.Class])
}

// closed is the loop that waits for each answer: it sends less when it is answered late, and so hides it. It is here
// to be compared with, and its latencies count from when it sent.
func (e *engine) closed(ctx context.Context) error {
	var mu sync.Mutex
	var failed error
	var workers sync.WaitGroup
	for range e.s.Requests.Workers {
		workers.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				r, err := e.cfg.Source.Next()
				if err != nil && failed == nil {
					failed = notEOF(err)
				}
				mu.Unlock()
				if err != nil || e.now() > e.cfg.Length || !e.sleep(ctx, r.At) {
					return
				}
				r.At = e.now()
				answered := make(chan struct{})
				e.fired.Add(1)
				e.open.Add(1)
				e.wg.Go(func() {
					defer e.open.Add(-1)
					e.stats.began(&r, pathOf(&r), 0)
					e.clientUntil(&r, pathOf(&r), r.At, sync.OnceFunc(func() { close(answered) }))
				})
				<-answered
			}
		})
	}
	workers.Wait()
	return failed
}

// settle waits until all requests have their answers, and watches those who stand for as long as the scenario says.
func (e *engine) settle(ctx context.Context) {
	end := time.Now().Add(e.s.Limits.Linger.AsDuration())
	for ctx.Err() == nil {
		e.stats.mu.Lock()
		owed := e.fired.Load() - e.stats.ended
		e.stats.mu.Unlock()
		if owed == 0 && (time.Now().After(end) || e.open.Load() == 0) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// watch keeps the time line of open connections and tells the progress.
func (e *engine) watch(ctx context.Context) {
	for i := time.Duration(1); e.sleep(ctx, i*time.Second); i++ {
		e.stats.bucket(e.now()-time.Second/2, func(b *bucket) { b.stood = e.stats.open })
		if e.cfg.Progress != nil {
			e.cfg.Progress(e.progress())
		}
	}
}

func (e *engine) progress() Progress {
	p := Progress{At: e.now()}
	e.stats.mu.Lock()
	defer e.stats.mu.Unlock()
	p.Asked, p.Answered, p.Open = e.stats.started, e.stats.ended, e.stats.open
	for _, t := range e.stats.tallies {
		p.Served += t.outcomes[Served]
		p.Refused += t.outcomes[Refused]
	}
	p.Failed = p.Answered - p.Served - p.Refused
	p.Lateness = time.Duration(e.stats.lateness.ValueAtPercentile(99)) * time.Microsecond
	return p
}

// wakes measures how late this process wakes who waits, answers included: what it adds to every latency by itself.
func (e *engine) wakes(ctx context.Context) {
	const every = 10 * time.Millisecond
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(every)
		late := time.Since(begin) - every
		e.stats.mu.Lock()
		record(e.stats.wake, late)
		e.stats.mu.Unlock()
	}
}

// stand opens the connections that stood before the run; the run begins once they are up.
func (e *engine) stand(ctx context.Context) error {
	n := e.s.Standing.Count
	if n == 0 || len(e.cfg.Hosts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, standingFor)
	defer cancel()
	draw := NewSchedule(e.s)
	limit := make(chan struct{}, 64)
	up := make(chan error, n)
	for i := range n {
		limit <- struct{}{}
		r := draw.draw(-1 - int64(i))
		r.Host, r.Direct = e.cfg.Hosts[i%len(e.cfg.Hosts)], false
		e.open.Add(1)
		e.wg.Go(func() {
			defer e.open.Add(-1)
			once := sync.OnceFunc(func() { <-limit })
			defer once()
			for {
				a := e.try(&r, e.newID(), "at="+r.Host, pathOf(&r))
				if a.outcome == Served {
					up <- nil
					once()
					select {
					case <-e.begun:
					case <-e.stop:
					}
					e.hold(&r, pathOf(&r), a, 0)
					return
				}
				e.close(a)
				if ctx.Err() != nil {
					up <- fmt.Errorf("a connection that stood at %s before the run did not come up: %s", r.Host, a.outcome)
					return
				}
				time.Sleep(standingRetry)
			}
		})
	}
	for range n {
		if err := <-up; err != nil {
			e.end()
			e.wg.Wait()
			return err
		}
	}
	return nil
}
