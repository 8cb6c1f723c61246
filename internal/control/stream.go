package control

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The intervals of a status stream.
const (
	statusPollInterval = 100 * time.Millisecond // between checks for a change
	heartbeatInterval  = 2 * time.Second        // between repetitions of an unchanged status
)

// handleWatch streams the status, one line for each change. It repeats an unchanged status as a heartbeat.
func (s *Server) handleWatch(w http.ResponseWriter, request *http.Request) {
	if !s.watchSlots.tryAcquire() {
		err := fmt.Errorf("too many streams: %d are open", cap(s.watchSlots))
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	defer s.watchSlots.release()
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	var lastParts [][]byte
	lastWrite := time.Now()
	for {
		status := s.statuses.get()
		status.status.UptimeSeconds = 0 // it differs at every check, but is not a change to report
		parts, err := status.parts()
		if err != nil {
			return
		}
		if !slices.EqualFunc(parts, lastParts, bytes.Equal) || time.Since(lastWrite) > heartbeatInterval {
			lastParts = parts
			lastWrite = time.Now()
			if err := writeLine(w, parts, lastWrite.Add(bodyTimeout)); err != nil {
				return
			}
		}
		select {
		case <-request.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// WriteLine writes and flushes one line of a stream. The write fails if it has not completed by the deadline.
func WriteLine(w http.ResponseWriter, line []byte, deadline time.Time) error {
	return writeLine(w, [][]byte{line}, deadline)
}

// writeLine writes and flushes the parts of one line, like WriteLine.
func writeLine(w http.ResponseWriter, parts [][]byte, deadline time.Time) error {
	if err := writeParts(w, parts, deadline); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
