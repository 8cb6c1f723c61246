package fakeserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"onyxstream/internal/wire"
)

// heartbeatInterval is the interval between the empty lines that a watch sends as heartbeats.
const heartbeatInterval = 500 * time.Millisecond

// writeList writes a list or an update as one line of JSON, and reports whether that succeeded.
func (d *Discovery) writeList(w io.Writer, list wire.EndpointList) bool {
	text, err := json.Marshal(list)
	if err != nil {
		return false
	}
	_, err = w.Write(append(text, '\n'))
	d.record(EventListSent, strconv.FormatInt(list.Revision, 10))
	return err == nil
}

// watch streams the updates after a revision, or the complete list and its updates, until the client disconnects. It
// panics with http.ErrAbortHandler to reset the connection.
func (d *Discovery) watch(w http.ResponseWriter, request *http.Request, after int64, complete bool) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	d.mu.Lock()
	list := d.published // a restart replaces it, which ends the watch
	d.mu.Unlock()
	started := false
	for {
		d.mu.Lock()
		update, ok := d.updateSince(after, complete)
		changed, mode, restarted := d.changed, d.mode, d.published != list
		d.mu.Unlock()
		if restarted {
			panic(http.ErrAbortHandler)
		}
		if !d.followMode(request, mode) {
			return
		}
		if !ok && !started { // a watch starts with an update, which is empty if nothing has changed
			update = wire.EndpointList{Revision: after, Endpoints: []wire.Endpoint{}}
		}
		if ok || !started {
			if !d.writeList(w, update) {
				return
			}
			after, complete = update.Revision, false
		}
		started = true
		w.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-heartbeat.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
	}
}

// followMode applies the mode to an open watch. In ModeNormal it returns true. In ModeSilent it waits until the client
// has disconnected and returns false. In the other modes it panics with http.ErrAbortHandler to reset the connection.
func (d *Discovery) followMode(request *http.Request, mode DiscoveryMode) bool {
	switch mode {
	case ModeUnavailable, ModeReset:
		panic(http.ErrAbortHandler)
	case ModeSilent:
		<-request.Context().Done()
		return false
	case ModeNormal:
	}
	return true
}

// watchRaw streams a raw text, then the texts of SendRaw and heartbeats, until the client disconnects or SendRaw resets
// the watch.
func (d *Discovery) watchRaw(w http.ResponseWriter, request *http.Request, text string, texts <-chan string) {
	for {
		d.mu.Lock()
		mode, changed := d.mode, d.changed
		d.mu.Unlock()
		if !d.followMode(request, mode) {
			return
		}
		if _, err := io.WriteString(w, text+"\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case text = <-texts:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
		case <-changed:
			text = ""
		case <-time.After(heartbeatInterval):
			text = ""
		}
	}
}
