package control

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	lastLine := ""
	lastWrite := time.Now()
	for {
		status := s.status()
		status.UptimeSeconds = 0 // it differs at every check, but is not a change to report
		line, err := json.Marshal(status)
		if err != nil {
			return
		}
		if string(line) != lastLine || time.Since(lastWrite) > heartbeatInterval {
			lastLine = string(line)
			lastWrite = time.Now()
			if err := WriteLine(w, line, lastWrite.Add(bodyTimeout)); err != nil {
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
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline)
	if _, err := w.Write(append(line, '\n')); err != nil {
		return err
	}
	return controller.Flush()
}
