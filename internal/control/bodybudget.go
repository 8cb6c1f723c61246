package control

import (
	"errors"
	"net/http"
	"sync/atomic"
)

// maxPendingBodyBytes limits the bodies of all requests of a Server that are being read or processed.
const maxPendingBodyBytes = 1 << 20

// errBodyBudget means that the bodies of other requests take the memory for bodies.
var errBodyBudget = errors.New("too many large requests at once, retry later")

// BodyBudget limits the memory of the request bodies that a server reads and processes at the same time. Otherwise many
// requesters that each send a large body, or stop in the middle of it, would together take more memory than the process
// has. Its methods are safe for concurrent use.
type BodyBudget struct{ free atomic.Int64 }

// NewBodyBudget returns a budget of a number of bytes.
func NewBodyBudget(bytes int64) *BodyBudget {
	b := &BodyBudget{}
	b.free.Store(bytes)
	return b
}

// Reserve reserves memory for the body of a request: its length, or limit if the request does not tell it. The caller
// must call release when it no longer needs what it has decoded from the body.
func (b *BodyBudget) Reserve(request *http.Request, limit int64) (release func(), err error) {
	size := request.ContentLength
	if size < 0 || size > limit {
		size = limit
	}
	if b.free.Add(-size) < 0 {
		b.free.Add(size)
		return nil, errBodyBudget
	}
	return func() { b.free.Add(size) }, nil
}
