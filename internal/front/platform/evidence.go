package platform

import (
	"bytes"
	"time"

	"kiteloft/internal/front"
	"kiteloft/internal/transport"
)

// What follows is logged always, so that a query that somebody says was lost can be
// followed by its id though nobody had traces on. Each line is rare in good times.

var idField = []byte("req-id:")

// LateData implements transport.LateDataHandler: it notes that a request came on a connection that
// was being closed, so that its client has to ask again.
func (c *client) LateData(b []byte) {
	i := bytes.Index(bytes.ToLower(b), idField)
	if i < 0 {
		return
	}
	id, _, _ := bytes.Cut(b[i+len(idField):], []byte("\r"))
	now := c.f.core.Now()
	c.f.bad.Info().Bytes("id", bytes.TrimSpace(id[:min(len(id), 64)])).Dur("rested_ms", now-c.rest).
		Dur("closing_ms", now-(c.endBy-front.LingerTimeout)).Msg("request came on a connection that is closing")
}

// left notes that a connection ended with a query open on it, or just under an answer.
func (c *client) left(e transport.End) {
	now := c.f.core.Now()
	switch {
	case c.open != nil:
		c.f.bad.Info().Str("id", c.open.id).Str("end", e.String()).Dur("open_ms", now-c.open.came).Msg("connection ended with a query open")
	case c.said != "" && e != transport.PeerClosed && e != transport.LocalDone && now-c.rest < resetUnder:
		c.f.bad.Info().Str("id", c.said).Str("end", e.String()).Dur("after_ms", now-c.rest).Msg("connection ended under an answer")
	}
}

// late notes that an answer leaves after its time.
func (r *request) late(status int) {
	if now := r.c.f.core.Now(); now > r.due {
		r.c.f.bad.Warn().Str("id", r.id).Int("status", status).Dur("late_ms", now-r.due).Msg("answer leaves after its time")
	}
}

// resetUnder is how soon after an answer the end of its connection may have taken it along.
const resetUnder = 100 * time.Millisecond
