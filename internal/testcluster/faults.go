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

// PlayFaults starts a time line now. Those of one instant begin in the order written, hosts that are added in that of time.
func (r *Cluster) PlayFaults(ctx context.Context, line []FaultSpec) {
	ctx, r.cancel = context.WithCancel(ctx)
	line = slices.Clone(line)
	slices.SortStableFunc(line, func(a, b FaultSpec) int { return int(a.At - b.At) })
	begin := time.Now()
	r.wg.Go(func() {
		for _, x := range line {
			if !ctxtime.Sleep(ctx, time.Until(begin.Add(x.At.D()))) {
				return
			}
			end, err := r.StartFault(x)
			if err != nil {
				r.setError(err)
			}
			if x.Duration > 0 {
				r.wg.Go(func() {
					if ctxtime.Sleep(ctx, time.Until(begin.Add(x.At.D()+x.Duration.D()))) {
						if err := end(); err != nil {
							r.setError(err)
						}
					}
				})
			}
		}
	})
}

func (r *Cluster) setError(err error) {
	r.fmu.Lock()
	defer r.fmu.Unlock()
	if r.failed == nil {
		r.failed = err
	}
}

// Err is the first fault that could not be played, or a node that ended by itself.
func (r *Cluster) Err() error {
	r.fmu.Lock()
	defer r.fmu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	return r.unexpectedExits()
}

// StartFault starts a fault now, on all that it names in one instant, and returns what ends it. At and For mean nothing here.
// The error says which could not be struck.
func (r *Cluster) StartFault(x FaultSpec) (end func() error, err error) {
	all, err := r.config.parseTargets(x.Target)
	if err != nil {
		return func() error { return nil }, err
	}
	ends, errs := make([]func() error, len(all)), make([]error, len(all))
	each := func(f func(i int) error) error {
		var wg sync.WaitGroup
		for i, t := range all {
			wg.Go(func() {
				if err := f(i); err != nil {
					errs[i] = fmt.Errorf("%s on %s: %w", x.Kind, t.name, err)
				}
			})
		}
		wg.Wait()
		return errors.Join(errs...)
	}
	err = each(func(i int) (err error) {
		ends[i], err = r.startFaultOn(x, all[i])
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

// startFaultOn starts a fault on one thing and returns what ends it; nil where nothing does.
func (r *Cluster) startFaultOn(x FaultSpec, t target) (end func() error, err error) {
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
	r.recordFault(x.Target, "slow")
	r.store.SetSlowFactor(x.Amount)
	return func() error { r.store.SetSlowFactor(1); r.recordFault(x.Target, "well"); return nil }, nil
}

func (r *Cluster) recordFault(who, text string) {
	r.Events.Add(fakeserver.Event{Source: who, Kind: fakeserver.EventFault, Detail: text})
}

func (r *Cluster) hostFault(x FaultSpec, i int) (func() error, error) {
	if x.Kind == "add" {
		h, err := r.addHost(true)
		if err != nil {
			return nil, err
		}
		r.recordFault(h.ID(), "added")
		r.Discovery.Set(r.member(h, wire.Serving))
		return nil, nil
	}
	h := r.Hosts()[i]
	switch x.Kind {
	case "hang":
		h.Hang()
		return func() error { h.Resume(); return nil }, nil
	case "slow":
		h.SetSlowFactor(x.Amount)
		return func() error { h.SetSlowFactor(1); return nil }, nil
	case "steal":
		h.SetStolenShare(x.Amount)
		return func() error { h.SetStolenShare(0); return nil }, nil
	case "drain":
		r.Discovery.Set(r.member(h, wire.Draining))
		over := x.Period.D()
		if over == 0 {
			over = -1
		}
		h.Drain(over)
		return func() error {
			if h.State().Crashed { // it died while it drained; when it is back it serves
				return nil
			}
			h.CancelDrain()
			r.Discovery.Set(r.member(h, wire.Serving))
			return nil
		}, nil
	}
	h.Crash()
	r.after(r.config.DiscoveryDelay.D(), func() { r.Discovery.Set(r.member(h, wire.Removed)) })
	return func() error {
		if err := h.Restart(); err != nil {
			return err
		}
		r.after(r.config.DiscoveryDelay.D(), func() { r.Discovery.Set(r.member(h, wire.Serving)) })
		return nil
	}, nil
}

// after runs f so much later, unless the rig has ended.
func (r *Cluster) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if !closed {
			f()
		}
	})
}

// stopTimeout is when a node that was told to stop is killed.
const stopTimeout = 4 * time.Second

func (r *Cluster) processFault(x FaultSpec, p *process) (func() error, error) {
	r.recordFault(p.name, x.Kind)
	back := func() error { r.recordFault(p.name, "starts"); return p.start() }
	switch x.Kind {
	case "stall":
		p.signal(syscall.SIGSTOP)
		return func() error { p.signal(syscall.SIGCONT); r.recordFault(p.name, "goes on"); return nil }, nil
	case "kill":
		p.kill()
		return back, nil
	case "lose": // as a machine that is replaced: nothing of its folder is left
		p.kill()
		return back, p.clearFolder()
	}
	ended := make(chan struct{})
	r.wg.Go(func() {
		p.end(syscall.SIGTERM, stopTimeout)
		close(ended)
	})
	return func() error { <-ended; return back() }, nil
}

func (r *Cluster) discoveryFault(x FaultSpec) func() error {
	d := r.Discovery
	switch x.Kind {
	case "lag":
		d.SetNotifyDelay(x.Period.D())
		return func() error { d.SetNotifyDelay(0); return nil }
	case "freeze":
		d.SetFrozen(true)
		return func() error { d.SetFrozen(false); return nil }
	case "restart":
		d.Restart(1)
		return nil
	}
	d.SetMode(map[string]fakeserver.DiscoveryMode{"busy": fakeserver.ModeUnavailable, "reset": fakeserver.ModeReset, "mute": fakeserver.ModeSilent}[x.Kind])
	return func() error { d.SetMode(fakeserver.ModeNormal); return nil }
}

// linksOf are the links that a fault on links means.
func (r *Cluster) linksOf(t target) (out []*fakeserver.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch t.of {
	case "host":
		return r.hostLinks[t.index : t.index+1]
	case "node":
		return r.listLinks[t.index : t.index+1]
	}
	me := strings.TrimPrefix(strings.TrimPrefix(t.name, "peers-"), "link-")
	for _, k := range r.controlLinks {
		if from, to, _ := strings.Cut(k.Name(), ">"); from == me || t.of == "peers" && to == me && strings.HasPrefix(from, "n") {
			out = append(out, k)
		}
	}
	return out
}

func (r *Cluster) linkFault(x FaultSpec, t target) func() error {
	all := r.linksOf(t)
	r.recordFault(t.name, x.Kind)
	each := func(f func(*fakeserver.Link)) func() {
		return func() {
			for _, k := range all {
				f(k)
			}
		}
	}
	silent := func(w fakeserver.Direction, on bool) func(*fakeserver.Link) {
		return func(k *fakeserver.Link) { k.SetFault(w, func(s *fakeserver.LinkFault) { s.Blackhole = on }) }
	}
	var begin, end func(*fakeserver.Link)
	switch x.Kind {
	case "silence":
		begin, end = silent(fakeserver.BothDirections, true), silent(fakeserver.BothDirections, false)
	case "deaf": // one way alone: what the other side says does not come back
		begin, end = silent(fakeserver.FromTarget, true), silent(fakeserver.BothDirections, false)
	case "mute": // the other way: what is said does not get there
		begin, end = silent(fakeserver.ToTarget, true), silent(fakeserver.BothDirections, false)
	case "stall":
		begin, end = func(k *fakeserver.Link) { k.SetStalled(true) }, func(k *fakeserver.Link) { k.SetStalled(false) }
	case "delay":
		begin, end = func(k *fakeserver.Link) { k.SetDelay(x.Period.D()) }, func(k *fakeserver.Link) { k.SetDelay(0) }
	case "limit":
		begin, end = func(k *fakeserver.Link) { k.SetRate(int64(x.Amount)) }, func(k *fakeserver.Link) { k.SetRate(0) }
	case "refuse":
		begin, end = func(k *fakeserver.Link) { k.SetRejecting(true); k.ResetConnections() }, func(k *fakeserver.Link) { k.SetRejecting(false) }
	case "reset":
		each((*fakeserver.Link).ResetConnections)()
		return nil
	}
	each(begin)()
	return func() error { each(end)(); r.recordFault(t.name, "well"); return nil }
}
