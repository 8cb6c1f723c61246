package rig

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"onyxstream/internal/stand"
	"onyxstream/internal/wire"
)

// faults is a time line that plays.
type faults struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	fmu    sync.Mutex
	failed error
}

func (f *faults) stop() {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
}

// Play starts a time line now. Those of one instant begin in the order written, hosts that are added in that of time.
func (r *Rig) Play(ctx context.Context, line []FaultSpec) {
	ctx, r.cancel = context.WithCancel(ctx)
	line = slices.Clone(line)
	slices.SortStableFunc(line, func(a, b FaultSpec) int { return int(a.At - b.At) })
	begin := time.Now()
	r.wg.Go(func() {
		for _, x := range line {
			if !sleep(ctx, time.Until(begin.Add(x.At.D()))) {
				return
			}
			end, err := r.begin(x)
			if err != nil {
				r.fail(fmt.Errorf("%s on %s: %w", x.What, x.On, err))
				continue
			}
			if x.For > 0 && end != nil {
				r.wg.Go(func() {
					if sleep(ctx, time.Until(begin.Add(x.At.D()+x.For.D()))) {
						if err := end(); err != nil {
							r.fail(fmt.Errorf("the end of %s on %s: %w", x.What, x.On, err))
						}
					}
				})
			}
		}
	})
}

func (r *Rig) fail(err error) {
	r.fmu.Lock()
	defer r.fmu.Unlock()
	if r.failed == nil {
		r.failed = err
	}
}

// Failed is the first fault that could not be played, or a node that ended by itself.
func (r *Rig) Failed() error {
	r.fmu.Lock()
	defer r.fmu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	return r.died()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// begin starts a fault and returns what ends it; nil where nothing does.
func (r *Rig) begin(x FaultSpec) (end func() error, err error) {
	kind, i, err := r.fleet.kindOf(x.On)
	if err != nil {
		return nil, err
	}
	switch kind {
	case "host":
		return r.hostFault(x, i)
	case "node":
		return r.nodeFault(x, r.nodes[i])
	case "discovery":
		return r.discoveryFault(x), nil
	case "link":
		return r.linkFault(x, i), nil
	}
	r.mark(x.On, "slow")
	r.store.Slow(x.By)
	return func() error { r.store.Slow(1); r.mark(x.On, "well"); return nil }, nil
}

func (r *Rig) mark(who, text string) {
	r.Ledger.Add(stand.Record{Who: who, What: stand.Fault, Note: text})
}

func (r *Rig) hostFault(x FaultSpec, i int) (func() error, error) {
	if x.What == "add" {
		h, err := r.addHost(true)
		if err != nil {
			return nil, err
		}
		r.mark(h.ID(), "added")
		r.Discovery.Set(r.member(h, wire.Serving))
		return nil, nil
	}
	h := r.Hosts()[i]
	switch x.What {
	case "hang":
		h.Hang()
		return func() error { h.Resume(); return nil }, nil
	case "slow":
		h.Slow(x.By)
		return func() error { h.Slow(1); return nil }, nil
	case "steal":
		h.Steal(x.By)
		return func() error { h.Steal(0); return nil }, nil
	case "drain":
		r.Discovery.Set(r.member(h, wire.Draining))
		over := x.Over.D()
		if over == 0 {
			over = -1
		}
		h.Drain(over)
		return func() error {
			if h.State().Dead { // it died while it drained; when it is back it serves
				return nil
			}
			h.Undrain()
			r.Discovery.Set(r.member(h, wire.Serving))
			return nil
		}, nil
	}
	h.Die()
	r.after(r.fleet.Notice.D(), func() { r.Discovery.Set(r.member(h, wire.Deleted)) })
	return func() error {
		if err := h.Return(); err != nil {
			return err
		}
		r.after(r.fleet.Notice.D(), func() { r.Discovery.Set(r.member(h, wire.Serving)) })
		return nil
	}, nil
}

// after runs f so much later, unless the rig has ended.
func (r *Rig) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if !closed {
			f()
		}
	})
}

// stopWithin is when a node that was told to stop is killed.
const stopWithin = 4 * time.Second

func (r *Rig) nodeFault(x FaultSpec, p *process) (func() error, error) {
	r.mark(p.name, x.What)
	back := func() error { r.mark(p.name, "starts"); return p.start() }
	switch x.What {
	case "stall":
		p.signal(syscall.SIGSTOP)
		return func() error { p.signal(syscall.SIGCONT); r.mark(p.name, "goes on"); return nil }, nil
	case "kill":
		p.kill()
		return back, nil
	}
	ended := make(chan struct{})
	r.wg.Go(func() {
		p.end(syscall.SIGTERM, stopWithin)
		close(ended)
	})
	return func() error { <-ended; return back() }, nil
}

func (r *Rig) discoveryFault(x FaultSpec) func() error {
	d := r.Discovery
	switch x.What {
	case "lag":
		d.Lag(x.Over.D())
		return func() error { d.Lag(0); return nil }
	case "freeze":
		d.Freeze(true)
		return func() error { d.Freeze(false); return nil }
	case "restart":
		d.Restart(1)
		return nil
	}
	d.Answer(map[string]stand.Mode{"busy": stand.Busy, "reset": stand.Resets, "mute": stand.Mute}[x.What])
	return func() error { d.Answer(stand.Well); return nil }
}

func (r *Rig) linkFault(x FaultSpec, i int) func() error {
	r.mu.Lock()
	k := r.links[i]
	r.mu.Unlock()
	r.mark(x.On, x.What)
	well := func(f func()) func() error {
		return func() error { f(); r.mark(x.On, "well"); return nil }
	}
	switch x.What {
	case "silence":
		k.Silence(true)
		return well(func() { k.Silence(false) })
	case "deaf": // one way alone: what the host says does not come back
		k.Set(stand.Inward, func(s *stand.LinkState) { s.Silent = true })
		return well(func() { k.Silence(false) })
	case "stall":
		k.Stall(true)
		return well(func() { k.Stall(false) })
	case "delay":
		k.Delay(x.Over.D())
		return well(func() { k.Delay(0) })
	case "limit":
		k.Limit(int64(x.By))
		return well(func() { k.Limit(0) })
	}
	k.Reset()
	return nil
}
