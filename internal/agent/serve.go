package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// The limits of HTTP exchanges with the command line.
const (
	maxRequestBytes = 2 << 20 // enough for a request with 10,000 targets
	// maxPendingBodyBytes limits the bodies of all requests that are being read or processed.
	maxPendingBodyBytes = 4 * maxRequestBytes
	headerTimeout       = 3 * time.Second
	bodyTimeout         = 10 * time.Second
)

// watchPollInterval is the longest delay until a watcher sees a change that is not saved, for example a new status.
const watchPollInterval = 200 * time.Millisecond

// errShuttingDown means that the loop has ended.
var errShuttingDown = errors.New("agent is shutting down")

// serve serves the command line over HTTP on the agent's socket until ctx ends.
func (a *Agent) serve(ctx context.Context, listener control.Listener) error {
	server := &http.Server{
		Handler:           control.LimitRate(a.handler()),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    control.MaxHeaderBytes,
	}
	group, ctx := errgroup.WithContext(ctx)
	control.StartHTTP(ctx, group, server, listener.Listener, a.log)
	return group.Wait()
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		respond(a, w, func() ([]fleet.View, error) { return a.fleet.Views(a.now()), nil })
	})
	mux.HandleFunc("GET /v1/operations", func(w http.ResponseWriter, _ *http.Request) {
		respond(a, w, func() ([]fleet.Operation, error) { return a.fleet.Operations(), nil })
	})
	mux.HandleFunc("POST /v1/operations", a.handleSubmit)
	handleOperation := func(pattern string, call func(id string) (fleet.Operation, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, request *http.Request) {
			respond(a, w, func() (fleet.Operation, error) { return call(request.PathValue("id")) })
		})
	}
	handleOperation("GET /v1/operations/{id}", func(id string) (fleet.Operation, error) {
		return a.fleet.Operation(id)
	})
	handleOperation("POST /v1/operations/{id}/abort", func(id string) (fleet.Operation, error) {
		return a.fleet.Abort(a.now(), id, "by an operator")
	})
	handleOperation("POST /v1/operations/{id}/continue", func(id string) (fleet.Operation, error) {
		return a.fleet.Continue(a.now(), id)
	})
	mux.HandleFunc("GET /v1/watch", a.handleWatch)
	return mux
}

func (a *Agent) handleSubmit(w http.ResponseWriter, request *http.Request) {
	release, err := a.bodies.Reserve(request, maxRequestBytes)
	if err != nil {
		control.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	defer release()
	var submitted fleet.Request
	if err := control.ReadJSON(http.MaxBytesReader(w, request.Body, maxRequestBytes), &submitted); err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	respond(a, w, func() (fleet.Operation, error) { return a.fleet.Submit(a.now(), submitted) })
}

// respond runs call in the loop and, after its changes are on disk, writes its result as the response.
func respond[T any](a *Agent, w http.ResponseWriter, call func() (T, error)) {
	var result T
	var err error
	if !a.runInLoop(func() { result, err = call() }) {
		control.WriteError(w, http.StatusServiceUnavailable, errShuttingDown)
		return
	}
	if err != nil {
		control.WriteError(w, errorStatus(err), err)
		return
	}
	control.WriteJSON(w, result)
}

// errorStatus returns the HTTP status for an error of package fleet.
func errorStatus(err error) int {
	var limit *fleet.LimitError
	switch {
	case errors.Is(err, fleet.ErrUnknownOperation):
		return http.StatusNotFound
	case errors.As(err, &limit):
		return http.StatusPreconditionFailed
	}
	return http.StatusConflict
}

// handleWatch streams the views of all instances, one line for each change.
func (a *Agent) handleWatch(w http.ResponseWriter, request *http.Request) {
	changed := make(chan struct{}, 1)
	if !a.runInLoop(func() { a.watchers[changed] = true }) {
		return
	}
	defer a.post(func() { delete(a.watchers, changed) })
	lastKey := ""
	for {
		var views []fleet.View
		if !a.runInLoop(func() { views = a.fleet.Views(a.now()) }) {
			return
		}
		if key := watchKey(views); key != lastKey {
			lastKey = key
			line, err := json.Marshal(views)
			if err != nil {
				return
			}
			if err := control.WriteLine(w, line, time.Now().Add(bodyTimeout)); err != nil {
				return
			}
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-time.After(watchPollInterval):
		}
	}
}

// watchKey returns a text that differs when the views differ. The text leaves out ages, uptimes and hosts, which change
// constantly.
func watchKey(views []fleet.View) string {
	var key strings.Builder
	for _, view := range views {
		view.AgeMS = 0
		view.Status.UptimeSeconds = 0
		view.Status.Hosts = nil
		text, _ := json.Marshal(view) // can't fail: View has only plain values
		key.Write(text)
	}
	return key.String()
}
