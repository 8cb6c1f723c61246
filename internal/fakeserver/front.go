package fakeserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Node is a node as the front knows it.
type Node struct{ Name, Addr, Zone string }

// FrontendBalancer deals clients among the nodes of their zone. It takes a node in once it has answered PING with PONG, and
// notices only some time later that one has died.
type FrontendBalancer struct {
	events     *EventLog
	ejectAfter time.Duration
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu      sync.Mutex
	nodes   []Node
	healthy []bool
	picks   uint64
}

// healthCheckInterval is how often a front asks a node whether it serves.
const healthCheckInterval = 50 * time.Millisecond

// NewFrontendBalancer starts a front. A node that answers nothing for notice is out; 0 is at the first check that fails.
func NewFrontendBalancer(ledger *EventLog, notice time.Duration, nodes ...Node) *FrontendBalancer {
	ctx, cancel := context.WithCancel(context.Background())
	f := &FrontendBalancer{events: ledger, ejectAfter: notice, cancel: cancel, nodes: nodes, healthy: make([]bool, len(nodes))}
	for i := range nodes {
		f.wg.Go(func() { f.checkNode(ctx, i) })
	}
	return f
}

// Close ends the checks.
func (f *FrontendBalancer) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *FrontendBalancer) checkNode(ctx context.Context, i int) {
	last := time.Time{}
	for ctx.Err() == nil {
		well := Ping(ctx, f.nodes[i].Addr, time.Second) == nil
		if well {
			last = time.Now()
		}
		f.mu.Lock()
		if was := f.healthy[i]; well != was && (well || time.Since(last) >= f.ejectAfter) {
			f.healthy[i] = well
			what := EventNodeUnhealthy
			if well {
				what = EventNodeHealthy
			}
			f.events.Add(Event{Source: "front", Kind: what, Detail: f.nodes[i].Name})
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(healthCheckInterval):
		}
	}
}

// Ping asks whoever listens at addr whether it serves.
func Ping(ctx context.Context, addr string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, "PING\r\n"); err != nil {
		return err
	}
	line, err := bufio.NewReaderSize(c, 64).ReadString('\n')
	if err != nil {
		return err
	}
	if line != "PONG\r\n" {
		return errors.New("PING was not answered by PONG")
	}
	return nil
}

// Pick deals one client of a zone: to the next node of it that is in, or of any zone where none is or zone is "".
// ok is false while no node is in.
func (f *FrontendBalancer) Pick(zone string) (node Node, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picks++
	for _, any := range []bool{false, true} {
		for k := range f.nodes {
			i := (int(f.picks%uint64(len(f.nodes))) + k) % len(f.nodes)
			if f.healthy[i] && (any || zone == "" || f.nodes[i].Zone == zone) {
				return f.nodes[i], true
			}
		}
	}
	return Node{}, false
}

// Ready waits until every node is in.
func (f *FrontendBalancer) Ready(ctx context.Context) error {
	for {
		f.mu.Lock()
		all := true
		for _, in := range f.healthy {
			all = all && in
		}
		f.mu.Unlock()
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(healthCheckInterval / 5):
		}
	}
}
