package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
	"onyxstream/internal/node"
	"onyxstream/internal/syserr"
	"onyxstream/internal/wire"
)

// Stage tells how far an attempt got before it ended.
type Stage uint8

// The stages of an attempt.
const (
	Dialing     Stage = iota // not connected to the host yet
	Authorizing              // connected; the node has not confirmed that the opening line may still be written
	Writing                  // the opening line is not completely written
	Awaiting                 // the opening line is written; no complete response has been received
	Answering                // the host has responded
)

func (s Stage) String() string {
	return [...]string{"dialing", "authorizing", "writing", "awaiting", "answering"}[s]
}

// AttemptError describes why an attempt did not establish the connection. Its stage determines whether the host may
// have executed the request.
type AttemptError struct {
	Stage Stage
	Err   error
}

func (e *AttemptError) Error() string { return e.Stage.String() + ": " + e.Err.Error() }

// Unwrap returns the error that ended the attempt.
func (e *AttemptError) Unwrap() error { return e.Err }

var (
	errCancelled     = errors.New("attempt canceled")
	errNotAuthorized = errors.New("attempt not authorized by the node")
	errRejected      = errors.New("host rejected the request")
	errHostError     = errors.New("host responded with an error")
	errMigrated      = errors.New("host asked the client to migrate")
)

// Outcome returns the outcome of the attempt that the node records for the host.
func (e *AttemptError) Outcome() balancer.Outcome {
	cancelled := errors.Is(e.Err, errCancelled)
	switch {
	case e.Stage == Authorizing, e.Stage < Awaiting && cancelled, e.Stage < Awaiting && isLocal(e.Err):
		return balancer.NotSent // the host is not at fault and never received the complete line
	case cancelled:
		return balancer.Cancelled
	case e.Stage < Awaiting:
		return balancer.ConnectFailed
	case errors.Is(e.Err, errRejected):
		return balancer.Rejected
	case errors.Is(e.Err, errMigrated):
		return balancer.Cancelled
	case e.Stage == Answering:
		return balancer.Errored
	case netio.IsDeadlineExceeded(e.Err):
		return balancer.ResponseTimeout
	}
	return balancer.ConnectionReset
}

// isLocal reports whether a dial or a write failed because this machine ran out of a resource or of local addresses.
// Such a failure says nothing about the host.
func isLocal(err error) bool {
	return syserr.LacksResources(err) || syserr.LacksAddress(err)
}

// attemptHooks connects an attempt to its caller.
type attemptHooks struct {
	connectTimeout time.Duration // 0 means no timeout
	// authorize returns nil if the opening line may be written. The host may execute a request as soon as its first
	// byte is written.
	authorize func() error
	// written is called when the opening line is completely written. began is when the write began.
	written func(began time.Time)
}

// attempt makes one attempt: it dials the host, writes the opening line and reads the response. If the host establishes
// the connection, attempt returns it with the response line, and in holds what the host sent after that line. Otherwise
// attempt closes the connection.
func attempt(ctx context.Context, target node.Attempt, opening *wire.Opening, hooks attemptHooks, in *wire.LineBuffer) (
	*net.TCPConn, []byte, *AttemptError,
) {
	deadline := time.Now().Add(target.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dialer := net.Dialer{Timeout: hooks.connectTimeout, KeepAlive: -1}
	dialed, err := dialer.DialContext(ctx, "tcp", target.Addr)
	if err != nil {
		return nil, nil, attemptError(ctx, Dialing, err)
	}
	host := dialed.(*net.TCPConn)
	line, stage, err := sendOpening(ctx, host, deadline, opening, hooks, in)
	if err != nil {
		_ = host.Close()
		return nil, nil, attemptError(ctx, stage, err)
	}
	return host, line, nil
}

// attemptError returns the error of an attempt that ended at a stage. A canceled attempt may have failed with any
// error, so the context decides.
func attemptError(ctx context.Context, stage Stage, err error) *AttemptError {
	if errors.Is(ctx.Err(), context.Canceled) {
		err = errCancelled
	}
	return &AttemptError{stage, err}
}

// sendOpening writes the opening line to the host and waits for the response. It returns the stage that it reached.
func sendOpening(ctx context.Context, host *net.TCPConn, deadline time.Time, opening *wire.Opening, hooks attemptHooks,
	in *wire.LineBuffer,
) (line []byte, stage Stage, err error) {
	if err := hooks.authorize(); err != nil {
		return nil, Authorizing, err
	}
	// The last check before the first byte: the attempt may have been canceled while the node authorized it.
	if err := ctx.Err(); err != nil {
		return nil, Authorizing, err
	}
	// If ctx ends, the expired deadline wakes a blocked read or write.
	stop := context.AfterFunc(ctx, func() { _ = host.SetDeadline(netio.Expired) })
	began := time.Now()
	request := opening.Forward(deadline.Sub(began))
	// The write is not retried, because each write needs its own authorization.
	if n, err := host.Write(request); n < len(request) {
		return nil, Writing, err
	}
	hooks.written(began)
	line, stage, err = awaitResponse(host, in)
	if err == nil && !stop() { // ctx has just been canceled, or its deadline has just passed
		return nil, Awaiting, context.Cause(ctx)
	}
	return line, stage, err
}

// awaitResponse reads the host's response, and returns the response line if it establishes the connection.
func awaitResponse(host *net.TCPConn, in *wire.LineBuffer) (line []byte, stage Stage, err error) {
	reader, err := netio.NewReader(host, in)
	if err != nil {
		return nil, Awaiting, err
	}
	for {
		line, ok, err := in.Next()
		if err != nil {
			return nil, Answering, err
		}
		if ok {
			if err := responseError(line); err != nil {
				return nil, Answering, err
			}
			established := append([]byte(nil), line...)
			return append(established, '\r', '\n'), Answering, nil
		}
		n, err := reader.Read()
		if n == 0 && err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, Awaiting, err
		}
	}
}

// responseError returns nil if a response establishes the connection, otherwise why it does not.
func responseError(line []byte) error {
	switch wire.ParseResponse(line) {
	case wire.ResponseEstablished:
		return nil
	case wire.ResponseRejected:
		return errRejected
	case wire.ResponseMigrate:
		return errMigrated
	}
	return errHostError
}
