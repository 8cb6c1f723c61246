package loadtest

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// initialConnectionsTimeout bounds how long the initial connections take to be established.
	initialConnectionsTimeout = 20 * time.Second
	initialConnectionRetry    = 200 * time.Millisecond
	// maxInitialDials bounds how many initial connections are being opened at one time.
	maxInitialDials = 64
)

// openInitialConnections establishes the connections that existed at the hosts before the run. It returns an error where
// one of them could not be established in time; all others are then closed.
func (e *engine) openInitialConnections(ctx context.Context) error {
	n := e.scenario.InitialConnections.Count
	if n == 0 || len(e.cfg.Hosts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, initialConnectionsTimeout)
	defer cancel()
	schedule := NewSchedule(e.scenario)
	dialSlots := make(chan struct{}, maxInitialDials)
	established := make(chan error, n)
	for i := range n {
		dialSlots <- struct{}{}
		r := schedule.drawRequest(-1 - int64(i))
		r.Host = e.cfg.Hosts[i%len(e.cfg.Hosts)]
		r.Direct = false
		e.open.Add(1)
		e.clients.Go(func() {
			defer e.open.Add(-1)
			releaseSlot := sync.OnceFunc(func() { <-dialSlots })
			defer releaseSlot()
			e.runInitialConnection(ctx, e.newClient(&r), established, releaseSlot)
		})
	}
	for range n {
		if err := <-established; err != nil {
			e.terminateAll()
			e.clients.Wait()
			return err
		}
	}
	return nil
}

// runInitialConnection establishes one connection, reports it, and holds it once the requests begin.
func (e *engine) runInitialConnection(ctx context.Context, c *client, established chan<- error, releaseSlot func()) {
	for {
		result := c.attempt(e.newID(), fieldEstablishedAt+c.request.Host)
		if result.outcome == Served {
			established <- nil
			releaseSlot()
			select {
			case <-e.requestsBegin:
			case <-e.stop:
			}
			c.holdConnection(result)
			return
		}
		e.close(result)
		if ctx.Err() != nil {
			established <- fmt.Errorf("initial connection to host %s not established: %s", c.request.Host, result.outcome)
			return
		}
		time.Sleep(initialConnectionRetry)
	}
}
