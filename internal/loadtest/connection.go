package loadtest

import (
	"net"
	"sync/atomic"
	"time"
)

// endReason is why an established connection ended.
type endReason uint8

const (
	endCompleted endReason = iota // the host announced its end, or its lifetime had passed
	endMigrated                   // the host asked the client to migrate
	endBroken                     // it failed without an announcement by the host
	endDropped                    // the client dropped it in a reconnect surge
	endAborted                    // the run ended
)

// clientConnection is an open connection. A reconnect surge or the end of the run can terminate it from a goroutine other
// than its reader.
type clientConnection struct {
	request        int64 // number of the request
	conn           *net.TCPConn
	endReason      atomic.Int32 // endReason given to terminate, plus one; 0 while the connection is not terminated
	reconnectDelay atomic.Int64 // delay before the client reconnects after endDropped, in nanoseconds
	established    atomic.Bool
}

// terminate unblocks the reader of the connection. Only the reason of the first call is kept.
func (c *clientConnection) terminate(reason endReason) {
	if c.endReason.CompareAndSwap(0, int32(reason)+1) {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// terminatedBy returns the reason given to terminate. ok is false if terminate was not called.
func (c *clientConnection) terminatedBy() (reason endReason, ok bool) {
	stored := c.endReason.Load()
	return endReason(stored - 1), stored != 0
}

// track registers an open connection. It returns false if the run has ended.
func (e *engine) track(c *clientConnection) bool {
	e.connectionsMu.Lock()
	defer e.connectionsMu.Unlock()
	if !e.ended.Load() {
		e.connections[c] = struct{}{}
	}
	return !e.ended.Load()
}

func (e *engine) untrack(c *clientConnection) {
	e.connectionsMu.Lock()
	defer e.connectionsMu.Unlock()
	delete(e.connections, c)
}

// dropForSurge terminates the surge's share of the established connections simultaneously.
func (e *engine) dropForSurge(surge int) {
	e.connectionsMu.Lock()
	defer e.connectionsMu.Unlock()
	for c := range e.connections {
		drops, delay := e.scenario.DropsInSurge(surge, c.request)
		if drops && c.established.Load() {
			c.reconnectDelay.Store(int64(delay))
			c.terminate(endDropped)
		}
	}
}

// terminateAll ends the run: it terminates all connections, connection attempts and pauses.
func (e *engine) terminateAll() {
	e.connectionsMu.Lock()
	defer e.connectionsMu.Unlock()
	e.ended.Store(true)
	close(e.stop)
	e.cancelDials()
	for c := range e.connections {
		c.terminate(endAborted)
	}
}
