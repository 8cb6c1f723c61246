package loadtest

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// initialConnectionsTimeout bounds the time in which all initial connections are established.
	initialConnectionsTimeout = 20 * time.Second
	// initialConnectionRetry is the wait before a failed setup is tried again.
	initialConnectionRetry = 200 * time.Millisecond
	// maxInitialDials bounds the concurrent setups of initial connections.
	maxInitialDials = 64
)

// openInitialConnections establishes the connections that exist at the hosts before the run. If one of them cannot be
// established in time, it closes all others and returns an error.
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
		r := schedule.drawRequest(-1 - int64(i)) // a negative number, because scheduled requests count from 0
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

// runInitialConnection establishes one connection and sends nil to established. It then waits for the requests to begin,
// and holds the connection. If it cannot establish the connection in time, it sends an error to established.
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
