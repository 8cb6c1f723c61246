package control

import (
	"net/http"

	"golang.org/x/time/rate"
)

// The limits of the requests that an HTTP server of this project starts to process, over all its connections. A peer or
// an agent sends a few requests per second.
const (
	maxRequestsPerSecond = 500
	requestBurst         = 100
)

// LimitRate delays requests beyond the limit. A connection processes one request at a time, so a requester that sends
// requests at full speed waits on its own connection, and the process has time for its other work. Other requesters
// wait for a few milliseconds.
func LimitRate(next http.Handler) http.Handler {
	limiter := rate.NewLimiter(maxRequestsPerSecond, requestBurst)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if err := limiter.Wait(request.Context()); err != nil {
			// The requester has disconnected, or the server is being closed. A connection that stayed open would process
			// the requester's further requests without any delay.
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, request)
	})
}
