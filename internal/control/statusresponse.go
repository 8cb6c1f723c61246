package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// hostsField is the name of Status.Hosts in JSON.
const hostsField = "hosts"

// errStatusBusy means that other requesters have not read their statuses yet.
var errStatusBusy = errors.New("too many status requests at once, retry later")

// encodedStatus is a status whose hosts are encoded, because a large fleet has thousands. It is shared by the responses
// to requests that arrive at the same time.
type encodedStatus struct {
	status Status // without hosts
	hosts  []byte // "null" for no hosts
	err    error
}

// encodeStatus reads the status of the instance and encodes its hosts.
func (s *Server) encodeStatus() encodedStatus {
	status := s.status()
	hosts, err := json.Marshal(status.Hosts)
	status.Hosts = nil
	return encodedStatus{status: status, hosts: hosts, err: err}
}

// parts returns the encoding of the status in parts.
func (e *encodedStatus) parts() ([][]byte, error) {
	if e.err != nil {
		return nil, e.err
	}
	object, err := json.Marshal(e.status)
	if err != nil || bytes.Equal(e.hosts, []byte("null")) {
		return [][]byte{object}, err
	}
	return appendField(object, hostsField, e.hosts), nil
}

// handleStatus responds with the status. Few responses are written at the same time, because requesters that read slowly
// keep a status of their own in memory.
func (s *Server) handleStatus(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), bodyTimeout)
	defer cancel()
	if !s.statusSlots.acquireUntil(ctx) {
		WriteError(w, http.StatusServiceUnavailable, errStatusBusy)
		return
	}
	defer s.statusSlots.release()
	status := s.statuses.get()
	parts, err := status.parts()
	if err != nil {
		WriteError(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = writeParts(w, parts, time.Now().Add(bodyTimeout)) // an error means that the requester has disconnected
}
