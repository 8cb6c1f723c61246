package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// The agent answers the command line by HTTP on its Unix socket, in the terms of package fleet.

const (
	mostOrder = 2 << 20 // bytes of an order: ten thousand names
	headFor   = 3 * time.Second
	bodyFor   = 10 * time.Second
	beat      = 2 * time.Second
)

func (a *Agent) serve(ctx context.Context, l control.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		var out []fleet.View
		a.answer(w, func() error { out = a.fleet.Views(a.now()); return nil }, &out)
	})
	mux.HandleFunc("GET /v1/operations", func(w http.ResponseWriter, _ *http.Request) {
		var out []fleet.Operation
		a.answer(w, func() error { out = a.fleet.Operations(); return nil }, &out)
	})
	one := func(pattern string, f func(id string) (fleet.Operation, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			var out fleet.Operation
			a.answer(w, func() (err error) { out, err = f(q.PathValue("id")); return err }, &out)
		})
	}
	one("GET /v1/operations/{id}", func(id string) (fleet.Operation, error) { return a.fleet.Operation(id) })
	one("POST /v1/operations/{id}/abort", func(id string) (fleet.Operation, error) {
		return a.fleet.Abort(a.now(), id, "by an operator")
	})
	one("POST /v1/operations/{id}/continue", func(id string) (fleet.Operation, error) { return a.fleet.Continue(a.now(), id) })
	mux.HandleFunc("POST /v1/operations", func(w http.ResponseWriter, q *http.Request) {
		var r fleet.Request
		if err := control.ReadJSON(http.MaxBytesReader(w, q.Body, mostOrder), &r); err != nil {
			control.WriteError(w, http.StatusBadRequest, err)
			return
		}
		var out fleet.Operation
		a.answer(w, func() (err error) { out, err = a.fleet.Submit(a.now(), r); return err }, &out)
	})
	mux.HandleFunc("GET /v1/watch", a.watch)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headFor, ReadTimeout: bodyFor, MaxHeaderBytes: 16 << 10}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(control.RetryAccept(l.Listener, a.log)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return g.Wait()
}

// answer runs f in the loop, lets what it changed be saved, and writes what it put into out.
func (a *Agent) answer(w http.ResponseWriter, f func() error, out any) {
	var err error
	if !a.ask(func() { err = f() }) {
		control.WriteError(w, http.StatusServiceUnavailable, errors.New("the agent ends"))
		return
	}
	var limit *fleet.LimitError
	switch {
	case errors.Is(err, fleet.ErrUnknownOperation):
		control.WriteError(w, http.StatusNotFound, err)
	case errors.As(err, &limit):
		control.WriteError(w, http.StatusPreconditionFailed, err)
	case err != nil:
		control.WriteError(w, http.StatusConflict, err)
	default:
		control.WriteJSON(w, out)
	}
}

// watch streams the instances, each time that something has changed and with a beat.
func (a *Agent) watch(w http.ResponseWriter, q *http.Request) {
	changed := make(chan struct{}, 1)
	if !a.ask(func() { a.watches[changed] = true }) {
		return
	}
	defer a.post(func() { delete(a.watches, changed) })
	out := http.NewResponseController(w)
	last := ""
	for {
		var views []fleet.View
		if !a.ask(func() { views = a.fleet.Views(a.now()) }) {
			return
		}
		key := ""
		for i := range views {
			v := views[i]
			v.AgeMS, v.Status.UptimeSeconds, v.Status.Hosts = 0, 0, nil
			text, _ := json.Marshal(v) // plain values can't fail
			key += string(text)
		}
		if key != last {
			last = key
			text, err := json.Marshal(views)
			_ = out.SetWriteDeadline(time.Now().Add(bodyFor))
			if err != nil {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil || out.Flush() != nil {
				return
			}
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		case <-time.After(beat / 10):
		}
	}
}
