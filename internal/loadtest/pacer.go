package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Values of Requests.Loop.
const (
	loopOpen   = "open"
	loopClosed = "closed"
)

// Values of ClassResult.Path.
const (
	pathNode   = "node"
	pathDirect = "direct"
)

const (
	// maxPacerSleep bounds the time until runOpenLoop notices that the run is canceled.
	maxPacerSleep = 50 * time.Millisecond
	// spinThreshold is how late a timer of the Go runtime may fire. For shorter waits, runOpenLoop yields in a loop. A
	// sleep would also delay the goroutines that runOpenLoop has just started on its processor.
	spinThreshold = 1200 * time.Microsecond
)

// sendRequests sends all requests of the source. It returns an error if the source cannot be read.
func (e *engine) sendRequests(ctx context.Context) error {
	if e.scenario.Requests.Loop == loopClosed {
		return e.runClosedLoop(ctx)
	}
	return e.runOpenLoop(ctx)
}

// runOpenLoop sends each request at its intended time, regardless of the outcomes of earlier requests.
func (e *engine) runOpenLoop(ctx context.Context) error {
	for {
		r, err := e.cfg.Source.Next()
		if err != nil {
			return ignoreEOF(err)
		}
		for ctx.Err() == nil {
			wait := r.IntendedAt - e.now()
			if wait <= 0 {
				break
			}
			sleepOrYield(min(wait, maxPacerSleep))
		}
		if ctx.Err() != nil {
			return nil
		}
		e.send(r)
	}
}

func sleepOrYield(d time.Duration) {
	if d > spinThreshold {
		time.Sleep(d - spinThreshold)
		return
	}
	runtime.Gosched()
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// send starts a client for a request, or records the request as unsent if too many connections are open.
func (e *engine) send(r Request) {
	if e.cfg.OnRequest != nil {
		e.cfg.OnRequest(r)
	}
	path := pathOf(&r)
	e.started.Add(1) // before the client starts, so that awaitOutcomes counts the request as in flight
	if e.open.Load() >= int64(e.scenario.Limits.MaxOpen) {
		e.recorder.requestStarted(&r, path, e.now()-r.IntendedAt)
		e.recordUnsent(&r, path, fmt.Errorf("%d connections are open, as many as limits.open allows", e.scenario.Limits.MaxOpen))
		return
	}
	e.open.Add(1)
	e.clients.Go(func() {
		defer e.open.Add(-1)
		e.recorder.requestStarted(&r, path, e.now()-r.IntendedAt)
		e.newClient(&r).run(r.IntendedAt, func() {})
	})
}

func pathOf(r *Request) string {
	if r.Direct {
		return pathDirect
	}
	return pathNode
}

// recordUnsent records a request that the generator could not send for a reason of its own, such as a lack of resources.
func (e *engine) recordUnsent(r *Request, path string, reason error) {
	e.localErrorOnce.Do(func() { e.localError.Store(&reason) })
	e.recorder.requestFinished(r, path, Unsent, e.now()-r.IntendedAt, e.deadlines[r.Class])
}

// runClosedLoop sends each request at its intended time or, if that is later, after the outcome of its worker's previous
// request. It measures latency from the time of sending. It suffers from coordinated omission and exists for comparison
// with the open loop.
func (e *engine) runClosedLoop(ctx context.Context) error {
	var mu sync.Mutex
	var sourceError error
	next := func() (Request, error) {
		mu.Lock()
		defer mu.Unlock()
		r, err := e.cfg.Source.Next()
		if err != nil && sourceError == nil {
			sourceError = ignoreEOF(err)
		}
		return r, err
	}
	var workers sync.WaitGroup
	for range e.scenario.Requests.Workers {
		workers.Go(func() {
			for ctx.Err() == nil {
				r, err := next()
				if err != nil || e.now() > e.cfg.Length || !e.sleepUntil(ctx, r.IntendedAt) {
					return
				}
				e.sendAndWait(r)
			}
		})
	}
	workers.Wait()
	return sourceError
}

// sendAndWait sends a request now and returns when its outcome is recorded. The connection may remain established.
func (e *engine) sendAndWait(r Request) {
	r.IntendedAt = e.now()
	finished := make(chan struct{})
	e.started.Add(1)
	e.open.Add(1)
	e.clients.Go(func() {
		defer e.open.Add(-1)
		e.recorder.requestStarted(&r, pathOf(&r), 0)
		e.newClient(&r).run(r.IntendedAt, sync.OnceFunc(func() { close(finished) }))
	})
	<-finished
}
