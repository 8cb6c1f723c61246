package testcluster

import (
	"fmt"
	"syscall"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

// stopTimeout is how long a graceful shutdown may take before the process is killed.
const stopTimeout = 4 * time.Second

// startFaultOn starts a fault on one target and returns a function that ends the fault, or nil if the fault can't be
// ended.
func (c *Cluster) startFaultOn(fault FaultSpec, t target) (end func() error, err error) {
	switch t.kind {
	case targetHost:
		return c.startHostFault(fault, t.index)
	case targetNode:
		return c.startProcessFault(fault, c.nodes[t.index])
	case targetAgent:
		return c.startProcessFault(fault, c.agents[t.index])
	case targetDiscovery:
		return c.startDiscoveryFault(fault), nil
	case targetLink:
		return c.startLinkFault(fault, t), nil
	case targetStore:
		return c.startStoreFault(fault), nil
	}
	return nil, fmt.Errorf("unknown kind of target %q", t.kind)
}

func (c *Cluster) startStoreFault(fault FaultSpec) (end func() error) {
	c.recordFault(fault.Target, detailSlow)
	c.store.SetSlowFactor(fault.Amount)
	return func() error {
		c.store.SetSlowFactor(1)
		c.recordFault(fault.Target, detailEnd)
		return nil
	}
}

func (c *Cluster) startHostFault(fault FaultSpec, index int) (end func() error, err error) {
	if fault.Kind == faultAdd {
		return nil, c.addColdHost()
	}
	host := c.Hosts()[index]
	switch fault.Kind {
	case faultHang:
		host.Hang()
		return noError(host.Resume), nil
	case faultSlow:
		host.SetSlowFactor(fault.Amount)
		return noError(func() { host.SetSlowFactor(1) }), nil
	case faultSteal:
		host.SetStolenFraction(fault.Amount)
		return noError(func() { host.SetStolenFraction(0) }), nil
	case faultDrain:
		return noError(c.drainHost(host, fault.Period.AsDuration())), nil
	}
	return c.crashHost(host), nil
}

// noError turns a function that can't fail into one that returns a nil error.
func noError(f func()) func() error {
	return func() error {
		f()
		return nil
	}
}

// addColdHost starts a host in slow start and adds it to the endpoint list immediately.
func (c *Cluster) addColdHost() error {
	host, err := c.addHost(true)
	if err != nil {
		return err
	}
	c.recordFault(host.ID(), detailAdd)
	c.listHost(host, wire.Serving)
	return nil
}

// listHost sets a host's phase in the endpoint list of discovery.
func (c *Cluster) listHost(host *fakeserver.Host, phase wire.Phase) {
	c.Discovery.Set(c.HostEndpoint(host, phase))
}

// drainHost drains a host and returns a function that cancels the drain. The host sends MOVE to its connections over
// the period. If the period is 0, it keeps its connections.
func (c *Cluster) drainHost(host *fakeserver.Host, period time.Duration) (cancel func()) {
	c.listHost(host, wire.Draining)
	if period == 0 {
		period = -1
	}
	host.Drain(period)
	return func() {
		if host.State().Crashed { // the restart ends the drain
			return
		}
		host.CancelDrain()
		c.listHost(host, wire.Serving)
	}
}

// crashHost crashes a host and returns a function that restarts it. Discovery lists the crash, and later the restart,
// with a delay of Config.DiscoveryDelay.
func (c *Cluster) crashHost(host *fakeserver.Host) (restart func() error) {
	host.Crash()
	c.runAfter(c.config.DiscoveryDelay.AsDuration(), func() { c.listHost(host, wire.Removed) })
	return func() error {
		if err := host.Restart(); err != nil {
			return err
		}
		c.runAfter(c.config.DiscoveryDelay.AsDuration(), func() { c.listHost(host, wire.Serving) })
		return nil
	}
}

func (c *Cluster) startProcessFault(fault FaultSpec, p *process) (end func() error, err error) {
	c.recordFault(p.name, fault.Kind)
	restart := func() error {
		c.recordFault(p.name, detailStart)
		return p.start()
	}
	switch fault.Kind {
	case faultStall:
		p.signal(syscall.SIGSTOP)
		return func() error {
			p.signal(syscall.SIGCONT)
			c.recordFault(p.name, fakeserver.DetailResume)
			return nil
		}, nil
	case faultKill:
		p.kill()
		return restart, nil
	case faultLose:
		p.kill()
		return restart, p.clearFolder()
	}
	ended := make(chan struct{})
	c.timeline.wg.Go(func() {
		p.stop(syscall.SIGTERM, stopTimeout)
		close(ended)
	})
	return func() error {
		<-ended
		return restart()
	}, nil
}

func (c *Cluster) startDiscoveryFault(fault FaultSpec) (end func() error) {
	discovery := c.Discovery
	switch fault.Kind {
	case faultLag:
		discovery.SetNotifyDelay(fault.Period.AsDuration())
		return noError(func() { discovery.SetNotifyDelay(0) })
	case faultFreeze:
		discovery.SetFrozen(true)
		return noError(func() { discovery.SetFrozen(false) })
	case faultRestart:
		discovery.Restart(1)
		return nil
	}
	discovery.SetMode(discoveryModes[fault.Kind])
	return noError(func() { discovery.SetMode(fakeserver.ModeNormal) })
}

// discoveryModes are the modes of the fake discovery service by kind of fault.
var discoveryModes = map[string]fakeserver.DiscoveryMode{
	faultRejectRequests: fakeserver.ModeUnavailable,
	faultReset:          fakeserver.ModeReset,
	faultMute:           fakeserver.ModeSilent,
}
