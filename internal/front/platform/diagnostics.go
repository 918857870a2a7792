package platform

import (
	"bytes"
	"time"

	"kiteloft/internal/front"
	"kiteloft/internal/transport"
)

// The log lines of this file are always written, so that a query that is reported as lost can
// be found by its id even if tracing was off. Each is rare in normal operation.

var requestIDField = []byte("req-id:")

// LateData implements transport.LateDataHandler. It logs that a request arrived on a connection
// that was being closed, so that its client has to send it again.
func (c *client) LateData(b []byte) {
	i := bytes.Index(bytes.ToLower(b), requestIDField)
	if i < 0 || !c.closing {
		return
	}
	id, _, _ := bytes.Cut(b[i+len(requestIDField):], []byte("\r"))
	now := c.f.core.Now()
	c.f.sampledLog.Info().Bytes("id", bytes.TrimSpace(id[:min(len(id), 64)])).Dur("rested_ms", now-c.idleSince).
		Dur("closing_ms", now-(c.closeDeadline-front.LingerTimeout)).Msg("request came on a connection that is closing")
}

// logInterrupted logs that a connection ended with a query open on it, or so soon after an
// answer that the client may not have received it.
func (c *client) logInterrupted(e transport.End) {
	now := c.f.core.Now()
	switch {
	case c.current != nil:
		c.f.sampledLog.Info().Str("id", c.current.id).Str("end", e.String()).Dur("open_ms", now-c.current.admittedAt).Msg("connection ended with a query open")
	case c.lastAnsweredID != "" && e != transport.PeerClosed && e != transport.LocalDone && now-c.idleSince < lostAnswerWindow:
		c.f.sampledLog.Info().Str("id", c.lastAnsweredID).Str("end", e.String()).Dur("after_ms", now-c.idleSince).Msg("connection ended under an answer")
	}
}

// logIfLate logs an answer that is sent after the client's deadline.
func (r *request) logIfLate(status int) {
	if now := r.c.f.core.Now(); now > r.deadline {
		r.c.f.sampledLog.Warn().Str("id", r.id).Int("status", status).Dur("late_ms", now-r.deadline).Msg("answer leaves after its time")
	}
}

// logIfReadLate logs a query that is begun long after its last byte arrived at a time.
func (c *client) logIfReadLate(id string, at time.Duration) {
	if waited := c.f.core.ReadClock() - at; waited > readLateAfter {
		c.f.sampledLog.Warn().Str("id", id).Dur("waited_ms", waited).Msg("query begins long after it arrived")
	}
}

// readLateAfter is how long a query may wait for its turn before that is logged.
const readLateAfter = 100 * time.Millisecond

// lostAnswerWindow is the time after an answer in which the end of its connection may have kept
// the client from receiving it.
const lostAnswerWindow = 100 * time.Millisecond
