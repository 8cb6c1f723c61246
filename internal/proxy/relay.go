package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// relay copies from the host to the client, in complete lines where possible.
type relay struct {
	*conn
	host    *net.TCPConn
	lines   wire.Relay
	reader  *netio.Reader // reads from host into lines
	attempt int           // number of the attempt that established the connection
	start   time.Time
	// clientBlocked is true if the last write to the client failed.
	clientBlocked bool
	// awaitsLineEnd is true if the client is being migrated, and has received only a part of the host's line.
	awaitsLineEnd bool
}

// relay copies from the host to the client until one side ends, and then ends the other side in the same way. buffered
// holds what the host has already sent after establishedLine.
func (c *conn) relay(
	host *net.TCPConn, buffered *wire.LineBuffer, establishedLine []byte, attempt int, start time.Time,
) {
	r := relay{
		conn:    c,
		host:    host,
		lines:   wire.Relay{LineBuffer: *buffered},
		attempt: attempt,
		start:   start,
	}
	defer r.lines.Release()
	var err error
	r.reader, err = netio.NewReader(host, &r.lines.LineBuffer)
	if err == nil && len(establishedLine) > 0 {
		err = r.writeClient(establishedLine)
	}
	for err == nil {
		written, writeErr := r.writeLines()
		if written {
			err = writeErr
			continue
		}
		if r.awaitsLineEnd && r.lines.AtLineBoundary() {
			err = os.ErrDeadlineExceeded
			break
		}
		err = r.readHost()
		if err == nil || !netio.IsDeadlineExceeded(err) {
			continue
		}
		switch c.awaitHandOff(host, r.recordStopped) {
		case stopHandedOff:
			c.releaseHandedOff(host, attempt, start)
			return
		case keepReading:
			err = nil
		case stopClosing:
			if r.beginAwaitLineEnd() {
				err = nil
			}
		}
	}
	r.close(err)
}

// beginAwaitLineEnd gives the host lingerTimeout to complete its line if the client is being migrated in the middle of
// it, because MOVE can't be written there. It reports false if there is no such line or the time is over.
func (r *relay) beginAwaitLineEnd() bool {
	if r.awaitsLineEnd || r.lines.AtLineBoundary() || !r.migrating.Load() {
		return false
	}
	r.awaitsLineEnd = true
	_ = r.host.SetReadDeadline(time.Now().Add(lingerTimeout))
	return true
}

// writeLines writes the complete lines in the buffer to the client, and records the responses and load reports among
// them. It reports false if there was nothing to write.
func (r *relay) writeLines() (written bool, err error) {
	chunk, stats := r.lines.CompleteLines()
	if stats.Responses > 0 {
		r.responseReceived()
	}
	if stats.Load > 0 {
		r.load = stats.Load
		r.proxy.node.ReportLoad(r.requestID, r.conn, stats.Load)
	}
	if len(chunk) == 0 {
		return false, nil
	}
	return true, r.writeClient(chunk)
}

func (r *relay) writeClient(text []byte) error {
	_, err := netio.WriteAll(r.client, text)
	r.clientBlocked = err != nil
	return err
}

// readHost reads more bytes from the host.
func (r *relay) readHost() error {
	n, err := r.reader.Read()
	if n > 0 {
		return nil
	}
	return err
}

// recordStopped records that the relay has stopped for a hand-off, and at which point of the host's lines.
func (r *relay) recordStopped(q *quiescence) {
	q.partial = append([]byte(nil), r.lines.Buffered()...)
	q.midLine = !r.lines.AtLineBoundary() || r.lines.Ending()
	q.load = r.load
	close(q.hostStopped)
}

// close closes both sides after the relay ended with err, and notifies the node.
func (r *relay) close(err error) {
	// The state when the relay ended decides; later changes are ignored.
	clientLeft := r.clientClosed.Load() || r.clientReset.Load()
	migrating := r.migrating.Load()
	outcome := r.outcome(clientLeft, migrating)
	if r.clientReset.Load() {
		reset(r.host)
	} else {
		_ = r.host.Close()
	}
	r.proxy.log.Debug(connectionClosedMessage,
		zap.String("request", r.opening.ID),
		zap.Stringer("addr", r.host.RemoteAddr()),
		zap.Bool("migrated", migrating),
		zap.Bool("client_closed", clientLeft),
		zap.Duration("duration", time.Since(r.start)),
		zap.Duration("max_latency", r.maxLatency),
		zap.Error(err))
	r.proxy.node.AttemptEnded(r.requestID, r.conn, r.attempt, time.Since(r.start), outcome)
	r.closeClient(err, clientLeft, migrating)
}

// outcome returns the outcome of the connection that the node records for the host.
func (r *relay) outcome(clientLeft, migrating bool) balancer.Outcome {
	switch {
	case r.lines.Last() == wire.ResponseClosed:
		return balancer.Served
	case r.lines.Last() == wire.ResponseMigrate || clientLeft || migrating:
		return balancer.Cancelled
	}
	return balancer.ConnectionReset
}

// closeClient closes the client's side in the way in which the host's side ended.
func (r *relay) closeClient(err error, clientLeft, migrating bool) {
	hostClosed := errors.Is(err, io.EOF)
	switch {
	case migrating && !clientLeft && !r.clientBlocked && r.lines.AtLineBoundary() && !hostClosed:
		r.stopReading()
		_ = r.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_, _ = netio.WriteAll(r.client, []byte(wire.Migration))
		r.lingerClose()
	case hostClosed:
		_, _ = netio.WriteAll(r.client, r.lines.Buffered()) // a last line without its line end
		r.stopReading()
		r.lingerClose()
	case clientLeft:
	default:
		reset(r.client)
	}
}
