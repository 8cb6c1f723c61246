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

// Stage says how far an attempt had come when it ended.
type Stage uint8

// The stages of an attempt.
const (
	Dialing     Stage = iota // no connection yet
	Authorizing              // connected; the loop has not said that the line may still go
	Writing                  // not all of the line was written
	Awaiting                 // the host has it all
	Answering                // the host has answered
)

func (s Stage) String() string {
	return [...]string{"dialing", "asking", "writing", "awaiting", "answering"}[s]
}

// AttemptError is the end of an attempt that did not bring the connection up, with how far it had
// come: that decides whether the host may have run it.
type AttemptError struct {
	Stage Stage
	Err   error
}

func (e *AttemptError) Error() string { return e.Stage.String() + ": " + e.Err.Error() }

// Unwrap returns what ended the attempt.
func (e *AttemptError) Unwrap() error { return e.Err }

var (
	errCanceled      = errors.New("withdrawn")
	errNotAuthorized = errors.New("the host may get nothing new any more")
	errRejected      = errors.New("the host turned it away")
	errHostError     = errors.New("the host answered with an error")
	errMigrated      = errors.New("the host sends its clients away")
)

// Outcome puts the error in the module's terms.
func (e *AttemptError) Outcome() balancer.Outcome {
	switch {
	case e.Stage == Authorizing, e.Stage < Awaiting && errors.Is(e.Err, errCanceled), e.Stage < Awaiting && isLocal(e.Err):
		return balancer.NotSent // not the host's fault, and it never had the last byte
	case errors.Is(e.Err, errCanceled):
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

// isLocal reports whether a dial or a write failed for want of something on this machine: that says nothing of the host.
func isLocal(err error) bool {
	return syserr.LacksResources(err) || syserr.LacksAddress(err)
}

// attemptHooks is what an attempt is held to by its connection.
type attemptHooks struct {
	connectTimeout time.Duration         // the dial's limit, 0 for none
	authorize      func() error          // asked between connect and write, since a send counts from its first byte
	written        func(began time.Time) // told of a line that was written to its end, and when its first byte went
}

// attempt makes one attempt: one dial, one line, one answer. On success the host's connection is up,
// upLine is what the host gave and in holds what came behind it. On failure the connection is closed.
func attempt(ctx context.Context, a node.Attempt, o *wire.Opening, p attemptHooks, in *wire.LineBuffer) (host *net.TCPConn, upLine []byte, failed *AttemptError) {
	by := time.Now().Add(a.Timeout)
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	fail := func(s Stage, err error) (*net.TCPConn, []byte, *AttemptError) {
		if host != nil {
			_ = host.Close()
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			err = errCanceled
		}
		return nil, nil, &AttemptError{s, err}
	}
	dialer := net.Dialer{Timeout: p.connectTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", a.Addr)
	if err != nil {
		return fail(Dialing, err)
	}
	host = c.(*net.TCPConn)
	if err := p.authorize(); err != nil {
		return fail(Authorizing, err)
	}
	// The last look before the first byte: it may have been withdrawn while the loop said that it may go.
	if err := ctx.Err(); err != nil {
		return fail(Authorizing, err)
	}
	// Setting the deadline wakes whatever read or write is under way.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(netio.Expired) })
	began := time.Now()
	line := o.Forward(by.Sub(began))
	if n, err := host.Write(line); n < len(line) { // not made again here: each try follows a look of its own
		return fail(Writing, err)
	}
	p.written(began)
	for {
		line, ok, err := in.Next()
		if err != nil {
			return fail(Answering, err)
		}
		if ok {
			switch wire.ParseResponse(line) {
			case wire.ResponseEstablished:
				if !stop() { // the time was up, or it was withdrawn, just now
					return fail(Awaiting, context.Cause(ctx))
				}
				return host, append(append([]byte(nil), line...), '\r', '\n'), nil
			case wire.ResponseRejected:
				return fail(Answering, errRejected)
			case wire.ResponseMigrate:
				return fail(Answering, errMigrated)
			}
			return fail(Answering, errHostError)
		}
		n, err := netio.Read(host, in.Space())
		in.Advance(n)
		if n == 0 && err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return fail(Awaiting, err)
		}
	}
}
