package control

import "sync"

// coalescer runs a function for several callers at once. Each caller gets the result of a run that began after its call,
// and no more than one run is in progress at any time.
type coalescer[Result any] struct {
	run     func() Result
	running semaphore // has one slot, which is held during a run

	mu   sync.Mutex
	next *coalescedRun[Result] // the run that further callers join; nil if none waits to begin
}

type coalescedRun[Result any] struct {
	done   chan struct{} // closed when result is set
	result Result
}

func newCoalescer[Result any](run func() Result) *coalescer[Result] {
	return &coalescer[Result]{run: run, running: make(semaphore, 1)}
}

// get returns the result of the next run.
func (c *coalescer[Result]) get() Result {
	next, isFirst := c.join()
	if !isFirst {
		<-next.done
		return next.result
	}
	c.running.acquire()
	defer c.running.release()
	c.begin()
	defer close(next.done)
	next.result = c.run()
	return next.result
}

// join returns the run that has not begun yet, and whether the caller is the first to join it and must run it.
func (c *coalescer[Result]) join() (next *coalescedRun[Result], isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		return c.next, false
	}
	c.next = &coalescedRun[Result]{done: make(chan struct{})}
	return c.next, true
}

// begin keeps further callers from joining the run that begins now.
func (c *coalescer[Result]) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = nil
}
