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

// Stage is how far an attempt got before it ended.
type Stage uint8

// The stages of an attempt.
const (
	Dialing     Stage = iota // no connection yet
	Authorizing              // connected; the node has not confirmed that the opening line may still be written
	Writing                  // the opening line is not written completely
	Awaiting                 // it is; the host has not responded
	Answering                // the host has responded
)

func (s Stage) String() string {
	return [...]string{"dialing", "authorizing", "writing", "awaiting", "answering"}[s]
}

// AttemptError is why an attempt did not establish the connection. Its stage decides whether the host may have executed
// the request.
type AttemptError struct {
	Stage Stage
	Err   error
}

func (e *AttemptError) Error() string { return e.Stage.String() + ": " + e.Err.Error() }

// Unwrap returns what ended the attempt.
func (e *AttemptError) Unwrap() error { return e.Err }

var (
	errCancelled     = errors.New("attempt canceled")
	errNotAuthorized = errors.New("host may get no further requests")
	errRejected      = errors.New("host rejected the request")
	errHostError     = errors.New("host responded with an error")
	errMigrated      = errors.New("host migrates its clients")
)

// Outcome returns what the attempt says of its host.
func (e *AttemptError) Outcome() balancer.Outcome {
	cancelled := errors.Is(e.Err, errCancelled)
	switch {
	case e.Stage == Authorizing, e.Stage < Awaiting && cancelled, e.Stage < Awaiting && isLocal(e.Err):
		return balancer.NotSent // not the host's fault, and the host never had the complete line
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

// isLocal reports whether a dial or a write failed because this machine lacks something: that says nothing of the host.
func isLocal(err error) bool {
	return syserr.LacksResources(err) || syserr.LacksAddress(err)
}

// attemptHooks are what an attempt asks and notifies.
type attemptHooks struct {
	connectTimeout time.Duration         // 0 for none
	authorize      func() error          // whether the line may be written: a request counts from its first byte
	written        func(began time.Time) // the line was written completely; its first byte went at began
}

// attempt makes one attempt: one dial, one opening line, one response. If the host establishes the connection, attempt
// returns that connection and the host's line; in holds what came behind it. Otherwise the connection is closed.
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

// attemptError returns the error of an attempt that ended at a stage. A cancelled one may fail with any error.
func attemptError(ctx context.Context, stage Stage, err error) *AttemptError {
	if errors.Is(ctx.Err(), context.Canceled) {
		err = errCancelled
	}
	return &AttemptError{stage, err}
}

// sendOpening writes the opening line to the host and awaits the response. It returns the stage at which it failed.
func sendOpening(ctx context.Context, host *net.TCPConn, deadline time.Time, opening *wire.Opening, hooks attemptHooks,
	in *wire.LineBuffer,
) (line []byte, stage Stage, err error) {
	if err := hooks.authorize(); err != nil {
		return nil, Authorizing, err
	}
	// The last check before the first byte: it may have been cancelled while it was authorized.
	if err := ctx.Err(); err != nil {
		return nil, Authorizing, err
	}
	// The deadline wakes a blocked read or write.
	stop := context.AfterFunc(ctx, func() { _ = host.SetDeadline(netio.Expired) })
	began := time.Now()
	request := opening.Forward(deadline.Sub(began))
	// Not retried: each attempt to write needs an authorization of its own.
	if n, err := host.Write(request); n < len(request) {
		return nil, Writing, err
	}
	hooks.written(began)
	line, stage, err = awaitResponse(host, in)
	if err == nil && !stop() { // it was cancelled or its deadline passed just now
		return nil, Awaiting, context.Cause(ctx)
	}
	return line, stage, err
}

// awaitResponse reads the host's response, and returns its line if the connection is established.
func awaitResponse(host *net.TCPConn, in *wire.LineBuffer) (line []byte, stage Stage, err error) {
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
		n, err := netio.Read(host, in.Space())
		in.Advance(n)
		if n == 0 && err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, Awaiting, err
		}
	}
}

// responseError returns why a response does not establish the connection, nil if it does.
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
