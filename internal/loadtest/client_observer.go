package loadtest

import (
	"bytes"
	"time"

	"onyxstream/internal/wire"
)

// recordedRequest is a request that passed the recorder. The recorder's lock guards it.
type recordedRequest struct {
	Request
	opened time.Time
	lines  int // sent by the client after the opening line
	ended  bool
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

// clientObserver is an io.Writer for what a client sends: it parses the opening line and counts further lines.
type clientObserver struct {
	recorder    *TraceRecorder
	opening     []byte
	openingDone bool             // the opening line is read, or is too long
	request     *recordedRequest // nil until the opening line is read, and where it is none
}

// Write observes bytes of the client. It never fails, so that a trace does not break a connection.
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

// connectionClosed completes the request.
func (o *clientObserver) connectionClosed() {
	if o.request == nil {
		return
	}
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.request.complete()
	o.recorder.flush(maxPendingRequests)
}
