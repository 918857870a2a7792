// Package platform is the front for the platform's protocol: queries as HTTP/1.1
// requests with JSON bodies. All of it runs on the core's goroutine.
package platform

import (
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/front"
	"kiteloft/internal/gate"
	"kiteloft/internal/http1"
	"kiteloft/internal/tracing"
	"kiteloft/internal/transport"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	maxBufferedBytes = http1.MaxHeadBytes + 2*http1.MaxBodyBytes // bytes of requests that wait for an answer before them
	drainIdleTimeout = 100 * time.Millisecond                    // how long a connection rests before it is closed at the end
	httpVersion      = "HTTP/1.1 "
	// maxDeadlineMS is the longest deadline that is taken for one: a day.
	maxDeadlineMS = 24 * 3600 * 1000
)

// Front serves clients.
type Front struct {
	core          front.Core
	classes       map[string]int
	tenants       map[string]int
	classSettings []decide.Class
	sampledLog    zerolog.Logger // lines on malformed requests
	clients       map[*client]struct{}
	limit         front.ConnectionLimit
	closing       bool
	ready         bool
	audit         Audit
}

// Audit counts over the life of the mixer: each request that was read whole is answered,
// unless its client has gone.
type Audit struct{ Received, Answered, Abandoned int64 }

// Audit tells what was asked, and what became of it.
func (f *Front) Audit() Audit { return f.audit }

// Clients is the number of connections.
func (f *Front) Clients() int { return len(f.clients) }

// Drain tells those who check our health to send nobody here any more.
func (f *Front) Drain() { f.ready = false }

// New returns a Front for the classes and tenants. It answers that it is ready once
// Ready is called.
func New(core front.Core, classes []decide.Class, tenants []decide.Tenant, limit front.ConnectionLimit, log zerolog.Logger) *Front {
	return &Front{core: core, limit: limit, classes: front.ClassIndexes(classes), tenants: front.TenantIndexes(tenants), classSettings: classes, sampledLog: front.Sampled(log), clients: map[*client]struct{}{}}
}

// Ready lets health checks pass and starts to look after connections.
func (f *Front) Ready() {
	f.ready = true
	f.core.After(front.SweepInterval, f.sweep)
}

// client is one connection and its requests, answered one after another.
type client struct {
	f                *Front
	conn             front.Conn
	parser           *http1.Parser
	pipelined        pipeline
	current          *request // the one that is being answered
	closing          bool
	idleSince        time.Duration // since when nothing is open
	hasRequested     bool          // a whole request has come
	closeDeadline    time.Duration // closing: when the connection is closed at the latest
	requestStartedAt time.Duration // when the request that is coming in began; 0: none is
	arrivalTimes     arrivals
	overflowed       bool   // more came than is held: what follows is passed over
	lastAnsweredID   string // the id of the query answered last
}

// request is a query's way back to its client. It implements broker.Responder.
type request struct {
	c            *client
	handle       *broker.QueryHandle
	close        bool
	id           string
	admittedAt   time.Duration
	deadline     time.Duration // when its time is up
	failDeadline time.Duration // by when it fails for the sake of those behind it; 0: nobody hurries it
}

// Accept takes a new connection. Unlike all else here, it may be called on any
// goroutine.
func (f *Front) Accept(conn front.Conn) transport.Handler {
	c := &client{f: f, conn: conn, parser: http1.NewRequestParser()}
	f.core.Post(func() {
		c.idleSince = f.core.Now()
		f.clients[c] = struct{}{}
		if f.limit.NearLimit() {
			f.closeIdlest()
		}
	})
	return c
}

// closeIdlest closes a connection that has had our last words, or else the one that
// has rested longest. It guards descriptors against clients that open connections
// without end: one between requests may be closed, one that is turned away at the
// door may hold a request.
func (f *Front) closeIdlest() {
	var oldest *client
	for c := range f.clients {
		if c.closing && c.conn.Flushed() {
			c.conn.Close(transport.LocalDone)
			return
		}
		if (oldest == nil || c.idleSince < oldest.idleSince) && c.mayClose() {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.conn.Close(transport.LocalIdle)
	}
}

// Data implements transport.Handler.
func (c *client) Data(b []byte) {
	if c.closing || c.overflowed {
		return
	}
	c.parser.Write(b)
	c.arrivalTimes.add(len(b), c.f.core.ReadClock()-c.conn.InputDelay())
	c.serveNext()
	c.readAhead()
	// Guards memory against a client that pipelines without end. What was read whole is owed
	// an answer.
	if c.current != nil && c.parser.Buffered()+c.pipelined.size() > maxBufferedBytes {
		c.overflowed = true
	}
}

// Truncated implements transport.Truncated.
func (c *client) Truncated() {
	if !c.closing {
		c.overflowed = true
		c.serveNext()
	}
}

// serveNext serves the requests that are whole, until one has to wait for its answer.
func (c *client) serveNext() {
	for c.current == nil && !c.closing {
		m, at, err := c.nextRequest()
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if m == nil && c.overflowed {
			c.rejectMalformed(&http1.Error{Status: 413, Reason: "too much at once"})
			return
		}
		if m == nil {
			if !c.parser.Started() {
				c.requestStartedAt = 0
			} else if c.requestStartedAt == 0 {
				c.requestStartedAt = c.f.core.Now()
			}
			c.idleSince = c.f.core.Now()
			if c.parser.ExpectsContinue() {
				c.conn.Write([]byte(httpVersion + "100 Continue\r\n\r\n"))
			}
			return
		}
		c.requestStartedAt, c.hasRequested = 0, true
		c.f.audit.Received++
		c.serve(m, at)
	}
	c.limitCurrent()
}

func (c *client) rejectMalformed(err error) {
	status, why := 400, err.Error()
	if e, ok := err.(*http1.Error); ok {
		status, why = e.Status, e.Reason
	}
	c.f.sampledLog.Info().Int("status", status).Str("why", why).Msg("request refused as malformed")
	c.f.audit.Received++ // it has an answer, too
	c.reply(status, "text/plain", []byte(why+"\n"), 0, true)
}

// serve answers a request that was whole at a time.
func (c *client) serve(m *http1.Message, at time.Duration) {
	path, _, _ := strings.Cut(m.Target, "?")
	text := func(status int, body string) { c.reply(status, "text/plain", []byte(body+"\n"), 0, m.Close) }
	switch {
	case path == "/health/ready" || path == "/health/live":
		switch {
		case m.Method != "GET" && m.Method != "HEAD":
			text(405, "health is asked for with GET")
		case path == "/health/ready" && !c.f.ready:
			text(503, "not ready")
		case m.Method == "HEAD":
			c.respond(200, "text/plain", 3, nil, 0, m.Close)
		default:
			text(200, "ok")
		}
		return
	case m.Method != "POST":
		text(405, "a query is a POST")
		return
	}
	q, status, why := c.f.parseQuery(m, path)
	if status != 0 {
		c.f.sampledLog.Info().Int("status", status).Str("why", why).Msg("request refused as malformed")
		text(status, why)
		return
	}
	// Its time began when it was whole: it may have waited for our turn, and a pipelined one
	// for the answers before it.
	now := c.f.core.Now()
	if q.Left -= now - at; q.Left <= 0 {
		text(504, "out of time")
		return
	}
	r := &request{c: c, close: m.Close, id: q.WireID, admittedAt: now, deadline: now + q.Left}
	q.Responder = r
	verdict, handle := c.f.core.Admit(q)
	switch verdict {
	case broker.Taken:
		r.handle = handle
		c.current = r
	case broker.Crowded:
		c.reply(503, "text/plain", []byte("too much is open\n"), front.OverloadRetryAfter, m.Close)
	case broker.ShuttingDown:
		c.reply(503, "text/plain", []byte("the mixer ends\n"), front.OverloadRetryAfter, m.Close)
	case broker.Duplicate:
		text(400, "a request of that id is open")
	default:
		text(400, "parts that can't be")
	}
}

// parseDeadline is how long a request's client waits; false: it does not say so as it has to.
func parseDeadline(m *http1.Message) (time.Duration, bool) {
	ms, err := strconv.ParseInt(m.Header.Get("req-deadline-ms"), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0 && ms <= maxDeadlineMS
}

// parseQuery reads a query; a status other than 0 says why it is none.
func (f *Front) parseQuery(m *http1.Message, path string) (q broker.Query, status int, why string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := f.classes[name]
	if !ok {
		return q, 404, "no such class"
	}
	id := m.Header.Get("req-id")
	if !front.ValidIdentifier(id) || strings.HasPrefix(id, front.GeneratedIDPrefix) {
		return q, 400, "Req-Id is missing or no word"
	}
	left, ok := parseDeadline(m)
	if !ok {
		return q, 400, "Req-Deadline-Ms is no time"
	}
	q = broker.Query{WireID: id, Class: class, Tenant: front.NoTenant, Left: left,
		Repeat: m.Header.Get("req-retry") == "1", Front: "platform"}
	if n, ok := f.tenants[m.Header.Get("req-owner")]; ok {
		q.Tenant = n
	}
	q.Context = tracing.ReadContext(m.Header.Get("traceparent"), m.Header.Get("tracestate"))
	if err := front.ApplyIdempotencyKey(m.Header.Get("idempotency-key"), &f.classSettings[class], &q); err != nil {
		return q, 400, err.Error()
	}
	if err := front.ParseBody(m.Body, &q); err != nil {
		return q, 400, err.Error()
	}
	return q, 0, ""
}

// Served implements broker.Responder.
func (r *request) Served(whole bool, values []broker.Value) {
	b := append([]byte(`{"entire":`), strconv.FormatBool(whole)...)
	b = append(b, `,"items":[`...)
	for i, v := range values {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"slice":`...)
		b = strconv.AppendInt(b, int64(v.Shard), 10)
		b = append(b, `,"body":`...)
		s, err := json.Marshal(string(v.Body))
		if err != nil {
			s = []byte(`""`) // a string always has a form
		}
		b = append(append(b, s...), '}')
	}
	r.finish(200, "application/json", append(b, "]}"...), 0)
}

// Refused implements broker.Responder.
func (r *request) Refused(after time.Duration) {
	r.finish(503, "text/plain", []byte("refused\n"), after)
}

// Failed implements broker.Responder.
func (r *request) Failed(expired bool) {
	if expired {
		r.finish(504, "text/plain", []byte("out of time\n"), 0)
		return
	}
	r.finish(500, "text/plain", []byte("failed\n"), 0)
}

func (r *request) finish(status int, kind string, body []byte, after time.Duration) {
	c := r.c
	if c.current != r {
		return // the client has gone
	}
	r.logIfLate(status)
	c.current, c.lastAnsweredID = nil, r.id
	c.reply(status, kind, body, after, r.close)
	// The next pipelined request is taken in a turn of its own: this one may be
	// within a step.
	c.f.core.After(0, c.serveNext)
}

func (c *client) reply(status int, kind string, body []byte, after time.Duration, closes bool) {
	c.respond(status, kind, len(body), body, after, closes)
}

// respond sends a response; the answer to HEAD has a length and no body.
func (c *client) respond(status int, kind string, length int, body []byte, after time.Duration, closes bool) {
	// Guards descriptors, and the connections that clients may hold, against clients
	// that ask once and keep what they don't use.
	// What has been read behind this request is owed an answer, too.
	closes = closes || (c.f.closing || c.f.limit.HalfUsed()) && c.mayClose()
	c.conn.Write(append(responseHead(status, kind, length, after, closes), body...))
	c.f.audit.Answered++
	c.idleSince = c.f.core.Now()
	if closes {
		c.startClosing()
	}
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable",
	504: "Gateway Timeout"}

func responseHead(status int, kind string, length int, after time.Duration, closes bool) []byte {
	b := append([]byte(httpVersion), strconv.Itoa(status)...)
	b = append(append(b, ' '), reasons[status]...)
	b = append(append(b, "\r\nContent-Type: "...), kind...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	if after > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, after.Seconds(), 'f', -1, 64)
	}
	if closes {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// startClosing closes the connection once all that was written has had its time to arrive.
func (c *client) startClosing() {
	if c.closing {
		return
	}
	c.closing, c.closeDeadline = true, c.f.core.Now()+front.LingerTimeout
	c.parser, c.arrivalTimes, c.pipelined = http1.NewRequestParser(), arrivals{}, nil // what came in holds no memory any more
	c.conn.Finish(transport.LocalDone)
}

// HalfClosed implements transport.Handler. A client of this protocol that sends no more
// has closed its connection and is gone: TCP shows a close and the end of one direction as
// the same FIN. Nothing begins for it from here on, so its query ends in this turn, before
// the module's next step; what it had sent behind that is not looked at.
func (c *client) HalfClosed() {
	c.abandonOpen(transport.PeerClosed)
	c.conn.Close(transport.PeerClosed)
}

// ReadEOF implements transport.ReadEOFHandler.
func (c *client) ReadEOF() { c.HalfClosed() }

// Ended implements transport.Handler.
func (c *client) Ended(e transport.End) {
	delete(c.f.clients, c)
	c.abandonOpen(e)
}

// abandonOpen ends what is open for a client that is not there any more.
func (c *client) abandonOpen(e transport.End) {
	c.logInterrupted(e)
	c.closing = true
	if r := c.current; r != nil {
		c.current = nil
		c.f.audit.Abandoned++
		r.handle.ClientGone()
	}
}

// idle tells whether nothing is open for the client, and nothing has begun to come in.
func (c *client) idle() bool { return !c.closing && c.current == nil && !c.hasPendingInput() }

// hasPendingInput tells whether something has come of a request that is not answered yet.
func (c *client) hasPendingInput() bool { return c.parser.Started() || len(c.pipelined) > 0 }

// mayClose tells whether the connection may be ended without a further answer.
func (c *client) mayClose() bool {
	state := gate.Connection{Open: c.current != nil, PartialRequest: c.hasPendingInput()}
	// The system is asked last.
	state.UnreadBytes = !state.Open && !state.PartialRequest && !c.conn.InputDrained()
	return !c.closing && gate.Close(state) == gate.Allowed
}

// sweep looks after connections that no event comes for.
func (f *Front) sweep() {
	now, keep := f.core.Now(), front.IdleTimeout(f.limit)
	for c := range f.clients {
		idle := c.idle()
		switch {
		case c.closing:
			if now > c.closeDeadline {
				c.conn.Close(transport.LocalDone)
			}
		case c.current != nil:
		case !c.hasRequested && idle && now-c.idleSince > front.RequestReadTimeout && c.mayClose():
			// Guards descriptors against clients that connect and say nothing.
			c.startClosing()
		case !idle && c.requestStartedAt > 0 && now-c.requestStartedAt > front.RequestReadTimeout:
			// And against those that begin a request and never end it. One that came behind
			// another has not been looked at yet: it has no beginning.
			c.rejectMalformed(&http1.Error{Status: 408, Reason: "the request was not whole in time"})
		case idle && (f.closing && now-c.idleSince > drainIdleTimeout || now-c.idleSince > keep) && c.mayClose():
			c.startClosing()
		}
	}
	f.core.After(front.SweepInterval, f.sweep)
}

// Stop answers what is open and closes each connection once it rests.
func (f *Front) Stop() {
	f.closing = true
}
