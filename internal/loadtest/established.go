package loadtest

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"onyxstream/internal/wire"
)

// lifetimeGrace is how long the client waits after a connection's lifetime for the host to close it.
const lifetimeGrace = time.Second

// messagePrefix starts a line that the host echoes. The line's intended time follows, as nanoseconds in base 36.
const messagePrefix = "M "

// holdConnection keeps an established connection until it ends. If the connection is migrated, broken or dropped, the
// client reconnects, at most MaxReconnects times.
func (c *client) holdConnection(result *attemptResult) {
	for reconnects := 0; ; {
		established := time.Now()
		reason, delay := c.readUntilEnd(result)
		c.close(result)
		c.updateStats(func(s *classStats) { s.countEnd(reason) })
		if reason == endCompleted || reason == endAborted || reconnects >= c.scenario.Clients.MaxReconnects {
			return
		}
		reconnects++
		c.request.Lifetime = max(c.request.Lifetime-time.Since(established), time.Millisecond)
		if reason == endBroken && c.scenario.Clients.MidFlow {
			midFlow := c.attempt(result.id, fieldMidFlow)
			if midFlow.outcome == Served {
				result = midFlow
				continue
			}
			c.close(midFlow)
		}
		if result = c.reconnect(delay); result == nil {
			return
		}
	}
}

func (s *classStats) countEnd(reason endReason) {
	switch reason {
	case endCompleted:
		s.completed++
	case endMigrated:
		s.migrated++
	case endBroken:
		s.broken++
	case endDropped:
		s.dropped++
	case endAborted:
		s.aborted++
	}
}

// readUntilEnd reads an established connection until it ends. It returns the reason for the end, and the delay before the
// client may reconnect.
func (c *client) readUntilEnd(result *attemptResult) (reason endReason, delay time.Duration) {
	c.addEstablished(1)
	defer c.addEstablished(-1)
	connection := result.connection
	connection.established.Store(true)
	timeout := time.AfterFunc(c.request.Lifetime+lifetimeGrace, func() { connection.terminate(endCompleted) })
	defer timeout.Stop()
	if c.request.MessageInterval > 0 {
		defer c.sendLines(result)()
	}
	for {
		line, err := readLine(result.reader)
		if err != nil {
			return c.endOf(connection)
		}
		switch wire.ParseResponse(line) {
		case wire.ResponseClosed:
			return endCompleted, 0
		case wire.ResponseMigrate:
			return endMigrated, c.reconnectDelay()
		}
		if intended, ok := intendedSendTime(line); ok {
			c.updateStats(func(s *classStats) {
				s.linesAnswered++
				record(s.message, c.now()-intended)
			})
		}
	}
}

// endOf returns why reading a connection failed, and the delay before the client reconnects.
func (c *client) endOf(connection *clientConnection) (endReason, time.Duration) {
	reason, terminated := connection.terminatedBy()
	switch {
	case !terminated:
		return endBroken, c.reconnectDelay()
	case reason == endDropped:
		return reason, time.Duration(connection.reconnectDelay.Load())
	default:
		return reason, 0
	}
}

func (e *engine) addEstablished(delta int64) {
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	e.recorder.established += delta
}

// intendedSendTime parses the intended time in an echoed line. It returns false for any other line.
func intendedSendTime(line []byte) (time.Duration, bool) {
	text, ok := bytes.CutPrefix(line, []byte(messagePrefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 36, 64)
	return time.Duration(n), err == nil
}

// sendLines sends lines at their intended times until stop is called. A line that falls due while the previous one is
// still being written is sent late, but contains its intended time.
func (c *client) sendLines(result *attemptResult) (stop func()) {
	conn := result.conn // a copy, because close may clear the field while a line is being sent
	interval := c.request.MessageInterval
	phase := requestRand(c.scenario.Seed^messageStream, c.request.Number).Float64()
	due := c.now() + time.Duration(phase*float64(interval))
	var stopped atomic.Bool
	var timer atomic.Pointer[time.Timer]
	send := func() {
		if stopped.Load() {
			return
		}
		c.updateStats(func(s *classStats) { s.linesSent++ })
		if _, err := io.WriteString(conn, messagePrefix+strconv.FormatInt(int64(due), 36)+"\r\n"); err != nil {
			return
		}
		due += interval
		timer.Load().Reset(max(due-c.now(), 0))
	}
	t := time.AfterFunc(time.Hour, send) // must not fire before the pointer is stored
	timer.Store(t)
	t.Reset(max(due-c.now(), 0))
	return func() {
		stopped.Store(true)
		t.Stop()
	}
}
