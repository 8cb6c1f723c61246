package loadtest

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"onyxstream/internal/wire"
)

// lifetimeGrace is how long after a connection's lifetime the client waits for the host to close it.
const lifetimeGrace = time.Second

// linePrefix starts a line that a client sends to be echoed; its intended time follows, in base 36.
const linePrefix = "M "

// holdConnection keeps an established connection until it ends, and reconnects where it is migrated, broken or dropped,
// at most MaxReconnects times.
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

// readUntilEnd reads an established connection until it ends. It returns the reason and, where the client is to
// reconnect, the delay.
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

// endOf is the reason for which reading a connection failed, with the delay before the client reconnects.
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

// intendedSendTime parses the intended time out of an echoed line.
func intendedSendTime(line []byte) (time.Duration, bool) {
	text, ok := bytes.CutPrefix(line, []byte(linePrefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 36, 64)
	return time.Duration(n), err == nil
}

// sendLines sends lines at their intended times until the returned function is called. A line that is due while the
// one before is still being written is sent late, and carries its intended time.
func (c *client) sendLines(result *attemptResult) (stop func()) {
	conn := result.conn // close clears the field, and a line may be due at that moment
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
		if _, err := io.WriteString(conn, linePrefix+strconv.FormatInt(int64(due), 36)+"\r\n"); err != nil {
			return
		}
		due += interval
		timer.Load().Reset(max(due-c.now(), 0))
	}
	t := time.AfterFunc(time.Hour, send) // not due before the pointer is stored
	timer.Store(t)
	t.Reset(max(due-c.now(), 0))
	return func() {
		stopped.Store(true)
		t.Stop()
	}
}
