package fakeserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// session is the connection of a client, starting with its setup. A session that can be resumed mid-flow outlives its
// TCP connection.
type session struct {
	opening     wire.Opening
	receipt     string
	connection  *hostConnection // nil while the session waits to be resumed
	established bool
	endTimer    *time.Timer // nil if the client requested no duration
}

// open handles a complete opening line. It runs in the loop.
func (h *Host) open(c *hostConnection, opening wire.Opening) {
	h.record(EventOpened, opening, openingDetail(opening))
	switch {
	case h.crashed:
	case h.scriptedResponse != nil:
		h.sendScriptedResponse(c, opening, h.scriptedResponse(opening.Line()))
	case opening.MidFlow:
		h.resumeSession(c, opening)
	case opening.CurrentHost != "" && opening.CurrentHost != h.config.ID:
		h.record(EventFailed, opening, "stood at "+opening.CurrentHost)
		c.send("ERR\r\n", true)
	case h.draining || h.sessions[opening.ID] != nil:
		h.record(EventRejected, opening, "draining or held already")
		c.send("BUSY\r\n", true)
	default:
		h.beginSession(c, opening)
	}
}

// openingDetail returns the flags and the timeout of an opening line, for tests that check the event log.
func openingDetail(opening wire.Opening) string {
	var fields []string
	addIf := func(set bool, field string) {
		if set {
			fields = append(fields, field)
		}
	}
	addIf(opening.Retry, "r")
	addIf(opening.Reconnect, "again")
	addIf(opening.MidFlow, "mid")
	addIf(opening.CurrentHost != "", "at")
	fields = append(fields, "d="+strconv.FormatInt(opening.Timeout.Milliseconds(), 10))
	return strings.Join(fields, " ")
}

// sendScriptedResponse sends the response that a test has set, or nothing if it is empty. The response UP establishes a
// session.
func (h *Host) sendScriptedResponse(c *hostConnection, opening wire.Opening, response string) {
	if response == "" {
		return
	}
	line := strings.TrimSuffix(response, "\r\n")
	if wire.ParseResponse([]byte(line)) != wire.ResponseEstablished {
		c.send(response, true)
		return
	}
	s := &session{opening: opening, connection: c, established: true, receipt: line[len("UP "):]}
	h.sessions[opening.ID] = s
	c.session = s
	h.record(EventEstablished, opening, s.receipt)
	c.send(response, false)
}

// resumeSession attaches a connection to the established session of its opening line. If no such session waits to be
// resumed, it resets the connection.
func (h *Host) resumeSession(c *hostConnection, opening wire.Opening) {
	s := h.sessions[opening.ID]
	if s == nil || !s.established || s.connection != nil {
		h.record(EventReset, opening, "not held here")
		c.reset()
		return
	}
	s.connection = c
	c.session = s
	h.record(EventEstablished, opening, s.receipt)
	c.send("UP "+s.receipt+"\r\n", false)
}

// beginSession establishes a session at once if the client was connected to this host before, and otherwise requests
// the setup of a new session.
func (h *Host) beginSession(c *hostConnection, opening wire.Opening) {
	s := &session{opening: opening, connection: c}
	weight := 1.0
	if opening.Load > 0 && h.config.Spec.ConnectionLoad > 0 {
		weight = opening.Load / h.config.Spec.ConnectionLoad
	}
	if opening.CurrentHost != "" {
		h.model.AddEstablished(opening.ID, opening.Group, weight)
		h.sessions[opening.ID] = s
		c.session = s
		h.establish(s, h.config.Spec.ConnectionLoad*weight)
		return
	}
	switch h.config.Store.beginSetup(h.model, h.clock.Now(), opening.ID, opening.Group, weight) {
	case capacity.Admitted:
		h.sessions[opening.ID] = s
		c.session = s
	case capacity.Rejected:
		h.record(EventRejected, opening, "full")
		c.send("BUSY\r\n", true)
	case capacity.Unavailable:
	}
}

// establish marks a session as established, notifies its node, and starts the timer of its duration.
func (h *Host) establish(s *session, load float64) {
	s.established = true
	h.receipts++
	s.receipt = fmt.Sprintf("%s-%d", h.config.ID, h.receipts)
	h.record(EventEstablished, s.opening, s.receipt)
	if s.connection != nil {
		s.connection.send("UP "+s.receipt+"\r\n", false)
		if h.config.ReportsLoad {
			s.connection.sendReport(loadLine(load))
		}
	}
	if duration := connectionDuration(s.opening.Line()); duration > 0 {
		s.endTimer = time.AfterFunc(duration, func() {
			h.post(func() { h.endSession(s, EventEnded, "BYE\r\n") })
		})
	}
}

// loadLine returns the line that reports the load of a connection.
func loadLine(load float64) string {
	return "LOAD " + strconv.FormatFloat(load*microUnits, 'f', 0, 64) + "\r\n"
}

// maxConnectionDuration bounds the duration that a client can request.
const maxConnectionDuration = 30 * 24 * time.Hour

// connectionDuration returns the duration of a connection that its opening line requests with the parameter "life", in
// milliseconds, or 0 if the line has no valid duration. Nodes don't know the parameter and forward it like other
// unknown parameters.
func connectionDuration(line string) time.Duration {
	_, list, _ := strings.Cut(line, "life=")
	value, _, _ := strings.Cut(list, ",")
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxConnectionDuration.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// endSession sends a last line on a session and ends the session. If the host hangs, it does both when the hang ends.
// It runs in the loop.
func (h *Host) endSession(s *session, kind, line string) {
	if h.sessions[s.opening.ID] != s {
		return
	}
	if h.hangEnd != nil {
		hangEnd := h.hangEnd
		go func() {
			<-hangEnd
			h.post(func() { h.endSession(s, kind, line) })
		}()
		return
	}
	h.record(kind, s.opening, s.receipt)
	if s.connection != nil {
		s.connection.send(line, true)
	}
	h.removeSession(s)
}

// removeSession removes a session and its load.
func (h *Host) removeSession(s *session) {
	if h.sessions[s.opening.ID] != s {
		return
	}
	delete(h.sessions, s.opening.ID)
	if s.endTimer != nil {
		s.endTimer.Stop()
	}
	h.model.Remove(s.opening.ID)
}

// disconnected handles the end of a TCP connection. reset reports that the remote side reset it.
func (h *Host) disconnected(c *hostConnection, reset bool) {
	delete(h.connections, c)
	s := c.session
	if s == nil || s.connection != c {
		return
	}
	s.connection = nil
	if reset && s.established && h.config.ResumeTimeout > 0 {
		time.AfterFunc(h.config.ResumeTimeout, func() {
			h.post(func() { h.expireSession(s) })
		})
		return
	}
	if h.sessions[s.opening.ID] == s {
		h.record(EventDisconnected, s.opening, s.receipt)
		h.removeSession(s)
	}
}

// expireSession removes a session that was not resumed within HostConfig.ResumeTimeout.
func (h *Host) expireSession(s *session) {
	if s.connection == nil && h.sessions[s.opening.ID] == s {
		h.record(EventDisconnected, s.opening, "parked and not taken up")
		h.removeSession(s)
	}
}
