package loadtest

import (
	"bytes"
	"time"

	"onyxstream/internal/wire"
)

// recordedRequest is a request that a TraceRecorder relayed. The recorder's lock guards it.
type recordedRequest struct {
	Request
	opened time.Time // arrival of the opening line
	lines  int       // number of lines from the client after the opening line
	ended  bool      // the lifetime and the message interval are set
}

// complete sets the lifetime and the message interval. Only the first call has an effect.
func (r *recordedRequest) complete() {
	if r.ended {
		return
	}
	r.ended = true
	r.Lifetime = time.Since(r.opened).Round(time.Microsecond)
	if r.lines > 0 {
		r.MessageInterval = (r.Lifetime / time.Duration(r.lines)).Round(time.Millisecond)
	}
}

// clientObserver is an io.Writer for the bytes that a client sends. It parses the opening line and counts the lines after
// it.
type clientObserver struct {
	recorder    *TraceRecorder
	opening     []byte
	openingDone bool             // the opening line is complete or too long
	request     *recordedRequest // nil if the opening line is incomplete or invalid
}

// Write processes bytes from the client. It never returns an error, so that recording cannot break a connection.
func (o *clientObserver) Write(p []byte) (int, error) {
	n := len(p)
	if !o.openingDone {
		o.opening = append(o.opening, p[:min(len(p), wire.MaxLine+2-len(o.opening))]...)
		line, rest, complete := bytes.Cut(o.opening, []byte("\n"))
		switch {
		case complete:
			o.openingDone = true
			o.request = o.recorder.recordOpening(bytes.TrimSuffix(line, []byte("\r")))
			p = rest
		case len(o.opening) > wire.MaxLine:
			o.openingDone = true
		}
	}
	if o.request != nil {
		o.recorder.mu.Lock()
		o.request.lines += bytes.Count(p, []byte("\n"))
		o.recorder.mu.Unlock()
	}
	return n, nil
}

// connectionClosed completes the recorded request, if any.
func (o *clientObserver) connectionClosed() {
	if o.request == nil {
		return
	}
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.request.complete()
	o.recorder.flush(maxPendingRequests)
}
