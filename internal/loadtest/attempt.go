package loadtest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"onyxstream/internal/syserr"
	"onyxstream/internal/wire"
)

const (
	// deadlineGrace is how long a client waits after its deadline, because the protocol allows an answer to be that late.
	deadlineGrace = 50 * time.Millisecond
	// readBufferSize is the size of an established connection's read buffer, in bytes.
	readBufferSize = 256
	// truncatedLineSize is the size to which readLine cuts a line that does not fit into the read buffer, in bytes.
	truncatedLineSize = 64
)

// Fields of the opening line that mark an attempt.
const (
	fieldRetry         = "r=1"
	fieldReconnect     = "again=1"
	fieldMidFlow       = "mid=1"
	fieldEstablishedAt = "at=" // followed by the name of the host that has the connection already
)

// attemptResult is the outcome of one attempt. If the attempt was served, the result has the established connection.
type attemptResult struct {
	outcome     Outcome
	retryAfter  time.Duration // from a rejection; 0 for none
	localError  error         // why the generator could not send the attempt; nil unless the outcome is Unsent
	id          string
	conn        *net.TCPConn
	reader      *bufio.Reader
	connection  *clientConnection
	serviceTime time.Duration // from the start of sending the opening line until its answer is read
}

// close closes the connection of an attempt, if it has one.
func (e *engine) close(a *attemptResult) {
	if a.conn != nil {
		e.untrack(a.connection)
		_ = a.conn.Close()
		a.conn = nil
	}
}

// runID distinguishes the connection ids of this process from those of other generators.
var runID = strconv.FormatUint(rand.Uint64(), 36)

// newID returns a connection id that is unique across all generators.
func (e *engine) newID() string { return runID + "-" + strconv.FormatUint(e.dialCount.Add(1), 36) }

// attempt connects, sends the opening line and waits for its answer or the deadline. Unless the outcome is Served, the
// connection is closed when attempt returns.
func (c *client) attempt(id, fields string) *attemptResult {
	result := &attemptResult{outcome: Unreachable, id: id}
	deadline := c.deadlines[c.request.Class]
	expiry := time.Now().Add(deadline + deadlineGrace)
	conn, outcome, localError := c.dial(expiry)
	if conn == nil {
		result.outcome = outcome
		result.localError = localError
		return result
	}
	result.conn = conn
	result.connection = &clientConnection{request: c.request.Number, conn: conn}
	_ = conn.SetDeadline(expiry)
	if !c.track(result.connection) {
		result.outcome = Aborted
		c.close(result)
		return result
	}
	answer := c.exchangeOpening(result, c.openingLine(id, fields, deadline))
	if result.outcome != Served {
		c.close(result)
		return result
	}
	if c.cfg.OnReceipt != nil {
		c.cfg.OnReceipt(id, string(bytes.TrimPrefix(answer, []byte("UP "))))
	}
	_ = conn.SetDeadline(time.Time{})
	if _, terminated := result.connection.terminatedBy(); terminated {
		// Clearing the deadline above may have removed the deadline that terminate set to unblock the reader.
		_ = conn.SetReadDeadline(time.Now())
	}
	return result
}

// dial connects to the address for the request. If it fails, conn is nil and outcome is the outcome of the attempt. If
// outcome is Unsent, localError is the cause.
func (c *client) dial(expiry time.Time) (conn *net.TCPConn, outcome Outcome, localError error) {
	address, err := c.cfg.Address(c.request.Zone, c.request.Direct)
	if err != nil {
		return nil, Unreachable, nil
	}
	dialer := net.Dialer{Deadline: expiry, KeepAlive: -1}
	if len(c.sourceAddresses) > 0 {
		dialer.LocalAddr = c.sourceAddresses[c.dialCount.Load()%uint64(len(c.sourceAddresses))]
		dialer.Control = bindPortAtConnect
	}
	dialed, err := dialer.DialContext(c.dialContext, "tcp", address)
	switch {
	case err == nil:
		return dialed.(*net.TCPConn), Served, nil
	case isLocalError(err):
		return nil, Unsent, err
	case c.ended.Load():
		return nil, Aborted, nil
	default:
		return nil, Unreachable, nil
	}
}

// bindPortAtConnect makes the kernel choose the port of a bound socket at connect instead of at bind. A port that is
// chosen at bind must be unused for all remote addresses, so that ports run out sooner.
func bindPortAtConnect(_, _ string, c syscall.RawConn) error {
	const bindAddressNoPort = 24 // IP_BIND_ADDRESS_NO_PORT on Linux
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_IP, bindAddressNoPort, 1)
	})
}

// isLocalError reports whether err means that the generator itself lacks file descriptors, ports or memory.
func isLocalError(err error) bool { return syserr.LacksResources(err) || syserr.LacksAddress(err) }

// exchangeOpening sends the opening line, reads the answer and sets the outcome of result. The answer is valid until the
// next read.
func (c *client) exchangeOpening(result *attemptResult, opening string) (answer []byte) {
	begin := time.Now()
	if _, err := io.WriteString(result.conn, opening); err != nil {
		result.outcome = Lost
		return nil
	}
	result.reader = bufio.NewReaderSize(result.conn, readBufferSize)
	answer, err := readLine(result.reader)
	result.serviceTime = time.Since(begin)
	_, terminated := result.connection.terminatedBy()
	switch {
	case terminated && err != nil:
		result.outcome = Aborted
	case errors.Is(err, os.ErrDeadlineExceeded):
		result.outcome = TimedOut
	case err != nil:
		result.outcome = Lost
	default:
		result.parseAnswer(answer)
	}
	return answer
}

// openingLine formats the first line of a connection.
func (c *client) openingLine(id, fields string, deadline time.Duration) string {
	r := c.request
	var b strings.Builder
	fmt.Fprintf(&b, "OPEN %s %s c=%s,t=%s,d=%d", id, r.Key, r.Class, r.Tenant, max(deadline.Milliseconds(), 1))
	if r.Group != "" {
		b.WriteString(",g=" + r.Group)
	}
	if r.Load > 0 && c.scenario.Fleet != nil {
		fmt.Fprintf(&b, ",h=%g", r.Load*c.scenario.Fleet.Host.ConnectionLoad)
	}
	if r.Lifetime > 0 {
		fmt.Fprintf(&b, ",life=%d", max(r.Lifetime.Milliseconds(), 1))
	}
	if fields != "" {
		b.WriteString("," + fields)
	}
	b.WriteString("\r\n")
	return b.String()
}

// parseAnswer sets the outcome from the answer to an opening line, and retryAfter from a rejection.
func (a *attemptResult) parseAnswer(line []byte) {
	switch wire.ParseResponse(line) {
	case wire.ResponseEstablished:
		a.outcome = Served
	case wire.ResponseRejected:
		a.outcome = Rejected
		a.retryAfter = parseRetryAfter(line)
	default:
		a.outcome = Failed
	}
}

// parseRetryAfter returns the Retry-After delay of a rejection, at most maxRetryWait. It returns 0 if there is none.
func parseRetryAfter(rejection []byte) time.Duration {
	_, text, ok := bytes.Cut(rejection, []byte(" "))
	if !ok {
		return 0
	}
	ms, err := strconv.Atoi(string(text))
	if err != nil || ms <= 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxRetryWait)
}

// readLine returns the next line without its line ending, valid until the next read. A line that is longer than the
// buffer is cut to its first truncatedLineSize bytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		prefix := bytes.Clone(line[:min(len(line), truncatedLineSize)])
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = r.ReadSlice('\n')
		}
		return prefix, err
	}
	return bytes.TrimRight(line, "\r\n"), err
}
