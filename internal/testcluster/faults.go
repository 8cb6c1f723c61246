package testcluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
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
			if !ctxtime.Sleep(ctx, time.Until(begin.Add(x.At.AsDuration()))) {
				return
			}
			end, err := r.Begin(x)
			if err != nil {
				r.fail(err)
			}
			if x.For > 0 {
				r.wg.Go(func() {
					if ctxtime.Sleep(ctx, time.Until(begin.Add(x.At.AsDuration()+x.For.AsDuration()))) {
						if err := end(); err != nil {
							r.fail(err)
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

// Begin starts a fault now, on all that it names in one instant, and returns what ends it. At and For mean nothing here.
// The error says which could not be struck.
func (r *Rig) Begin(x FaultSpec) (end func() error, err error) {
	all, err := r.fleet.targets(x.On)
	if err != nil {
		return func() error { return nil }, err
	}
	ends, errs := make([]func() error, len(all)), make([]error, len(all))
	each := func(f func(i int) error) error {
		var wg sync.WaitGroup
		for i, t := range all {
			wg.Go(func() {
				if err := f(i); err != nil {
					errs[i] = fmt.Errorf("%s on %s: %w", x.What, t.name, err)
				}
			})
		}
		wg.Wait()
		return errors.Join(errs...)
	}
	err = each(func(i int) (err error) {
		ends[i], err = r.begin(x, all[i])
		return err
	})
	return func() error {
		return each(func(i int) error {
			if ends[i] == nil {
				return nil
			}
			return ends[i]()
		})
	}, err
}

// begin starts a fault on one thing and returns what ends it; nil where nothing does.
func (r *Rig) begin(x FaultSpec, t target) (end func() error, err error) {
	switch t.kind {
	case "host":
		return r.hostFault(x, t.index)
	case "node":
		return r.processFault(x, r.nodes[t.index])
	case "agent":
		return r.processFault(x, r.agents[t.index])
	case "discovery":
		return r.discoveryFault(x), nil
	case "link":
		return r.linkFault(x, t), nil
	}
	r.mark(x.On, "slow")
	r.store.Slow(x.By)
	return func() error { r.store.Slow(1); r.mark(x.On, "well"); return nil }, nil
}

func (r *Rig) mark(who, text string) {
	r.Ledger.Add(fakeserver.Record{Who: who, What: fakeserver.Fault, Note: text})
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
		over := x.Over.AsDuration()
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
	r.after(r.fleet.Notice.AsDuration(), func() { r.Discovery.Set(r.member(h, wire.Removed)) })
	return func() error {
		if err := h.Return(); err != nil {
			return err
		}
		r.after(r.fleet.Notice.AsDuration(), func() { r.Discovery.Set(r.member(h, wire.Serving)) })
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

func (r *Rig) processFault(x FaultSpec, p *process) (func() error, error) {
	r.mark(p.name, x.What)
	back := func() error { r.mark(p.name, "starts"); return p.start() }
	switch x.What {
	case "stall":
		p.signal(syscall.SIGSTOP)
		return func() error { p.signal(syscall.SIGCONT); r.mark(p.name, "goes on"); return nil }, nil
	case "kill":
		p.kill()
		return back, nil
	case "lose": // as a machine that is replaced: nothing of its folder is left
		p.kill()
		return back, p.forget()
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
		d.Lag(x.Over.AsDuration())
		return func() error { d.Lag(0); return nil }
	case "freeze":
		d.Freeze(true)
		return func() error { d.Freeze(false); return nil }
	case "restart":
		d.Restart(1)
		return nil
	}
	d.Answer(map[string]fakeserver.Mode{"busy": fakeserver.Busy, "reset": fakeserver.Resets, "mute": fakeserver.Mute}[x.What])
	return func() error { d.Answer(fakeserver.Well); return nil }
}

// linksOf are the links that a fault on links means.
func (r *Rig) linksOf(t target) (out []*fakeserver.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch t.of {
	case "host":
		return r.links[t.index : t.index+1]
	case "node":
		return r.listLinks[t.index : t.index+1]
	}
	me := strings.TrimPrefix(strings.TrimPrefix(t.name, "peers-"), "link-")
	for _, k := range r.between {
		if from, to, _ := strings.Cut(k.Name(), ">"); from == me || t.of == "peers" && to == me && strings.HasPrefix(from, "n") {
			out = append(out, k)
		}
	}
	return out
}

func (r *Rig) linkFault(x FaultSpec, t target) func() error {
	all := r.linksOf(t)
	r.mark(t.name, x.What)
	each := func(f func(*fakeserver.Link)) func() {
		return func() {
			for _, k := range all {
				f(k)
			}
		}
	}
	silent := func(w fakeserver.Way, on bool) func(*fakeserver.Link) {
		return func(k *fakeserver.Link) { k.Set(w, func(s *fakeserver.LinkState) { s.Silent = on }) }
	}
	var begin, end func(*fakeserver.Link)
	switch x.What {
	case "silence":
		begin, end = silent(fakeserver.BothWays, true), silent(fakeserver.BothWays, false)
	case "deaf": // one way alone: what the other side says does not come back
		begin, end = silent(fakeserver.Inward, true), silent(fakeserver.BothWays, false)
	case "mute": // the other way: what is said does not get there
		begin, end = silent(fakeserver.Outward, true), silent(fakeserver.BothWays, false)
	case "stall":
		begin, end = func(k *fakeserver.Link) { k.Stall(true) }, func(k *fakeserver.Link) { k.Stall(false) }
	case "delay":
		begin, end = func(k *fakeserver.Link) { k.Delay(x.Over.AsDuration()) }, func(k *fakeserver.Link) { k.Delay(0) }
	case "limit":
		begin, end = func(k *fakeserver.Link) { k.Limit(int64(x.By)) }, func(k *fakeserver.Link) { k.Limit(0) }
	case "refuse":
		begin, end = func(k *fakeserver.Link) { k.Refuse(true); k.Reset() }, func(k *fakeserver.Link) { k.Refuse(false) }
	case "reset":
		each((*fakeserver.Link).Reset)()
		return nil
	}
	each(begin)()
	return func() error { each(end)(); r.mark(t.name, "well"); return nil }
}
