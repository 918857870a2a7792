// Package platform serves clients over the platform's protocol: queries are HTTP/1.1 requests
// with JSON bodies. Everything except Accept runs on the core's goroutine.
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
	"kiteloft/internal/memory"
	"kiteloft/internal/tracing"
	"kiteloft/internal/transport"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	maxBufferedBytes = http1.MaxHeadBytes + 2*http1.MaxBodyBytes // bytes of requests on a connection that wait for earlier answers
	drainIdleTimeout = 100 * time.Millisecond                    // idle time after which a connection is closed during shutdown
	httpVersion      = "HTTP/1.1 "
	// maxDeadlineMS is the longest deadline that is accepted: one day.
	maxDeadlineMS = 24 * 3600 * 1000
)

// Front serves clients of the platform's protocol. Its methods, except Accept, may only be
// called on the core's goroutine.
type Front struct {
	core          front.Core
	classes       map[string]int // index in classSettings by name
	tenants       map[string]int // index in the settings by name
	classSettings []decide.Class
	sampledLog    zerolog.Logger // for lines that clients can cause, sampled
	malformedLog  zerolog.Logger // the same for malformed requests, which may come at full speed and crowd out the others
	clients       map[*client]struct{}
	limit         front.ConnectionLimit
	closing       bool
	ready         bool
	audit         Audit
	input         *memory.Budget // for requests that are unfinished or wait for earlier ones; nil: no limit
}

// LimitInput sets the budget of the memory that requests take which are unfinished, or wait for
// earlier ones. It has to be called before the first connection is accepted.
func (f *Front) LimitInput(b *memory.Budget) { f.input = b }

// Audit counts requests over the life of the mixer. Each request that was received completely
// is answered, unless its client has gone, which makes it abandoned.
type Audit struct{ Received, Answered, Abandoned int64 }

// Audit returns the counts so far.
func (f *Front) Audit() Audit { return f.audit }

// Clients returns the number of open client connections.
func (f *Front) Clients() int { return len(f.clients) }

// Drain makes readiness checks fail, so that no new clients are sent here.
func (f *Front) Drain() { f.ready = false }

// New returns a Front for the classes and tenants. Readiness checks fail until Ready is called.
func New(core front.Core, classes []decide.Class, tenants []decide.Tenant, limit front.ConnectionLimit, log zerolog.Logger) *Front {
	return &Front{core: core, limit: limit, classes: front.ClassIndexes(classes), tenants: front.TenantIndexes(tenants), classSettings: classes, sampledLog: front.Sampled(log), malformedLog: front.Sampled(log), clients: map[*client]struct{}{}}
}

// Ready makes readiness checks succeed and starts the periodic check of connections for
// timeouts.
func (f *Front) Ready() {
	f.ready = true
	f.core.After(front.SweepInterval, f.sweep)
}

// client is one connection and its requests, which are answered in order.
type client struct {
	f                *Front
	conn             front.Conn
	parser           *http1.Parser
	pipelined        pipeline
	current          *request // the request that is being answered
	closing          bool
	idleSince        time.Duration // since when no request has been open
	hasRequested     bool          // at least one request has been received completely
	closeDeadline    time.Duration // if closing: when the connection is closed at the latest
	requestStartedAt time.Duration // when the request that is being received began; 0: none is
	arrivalTimes     arrivals
	awaitsInput      bool            // serveNext is going to be called once more has been read
	servesPiece      bool            // servePiece is going to be called in a later turn
	awaitsOutput     bool            // serveNext is going to be called once the client has read more
	discardUntil     time.Duration   // with overflow: until when requests wait for the end of the input
	overflow         *http1.Error    // set once what the client sends is not kept any more: the answer to it
	lastAnsweredID   string          // id of the query that was answered last
	input            *memory.Account // of parser and pipelined
}

// The answers to what is not kept.
var (
	errTooMuchAtOnce = &http1.Error{Status: 413, Reason: "too much at once"}
	errTooMuchHeld   = &http1.Error{Status: 503, Reason: "too much is held"}
)

// request is an admitted query. It implements broker.Responder.
type request struct {
	c            *client
	handle       *broker.QueryHandle
	close        bool // the connection is closed after the answer
	id           string
	admittedAt   time.Duration
	deadline     time.Duration // when the client's deadline passes
	failDeadline time.Duration // when it fails so that pipelined requests are answered in time; 0: no limit
}

// Accept registers a new connection and returns its handler. It may be called on any
// goroutine.
func (f *Front) Accept(conn front.Conn) transport.Handler {
	c := &client{f: f, conn: conn, parser: http1.NewRequestParser()}
	c.input = f.input.Account(c)
	f.core.Post(func() {
		c.idleSince = f.core.Now()
		f.clients[c] = struct{}{}
		if f.limit.NearLimit() {
			f.closeIdlest()
		}
	})
	return c
}

// closeIdlest closes a connection that is closing and has been sent its last answer, or else
// the one that has been idle for longest. It keeps file descriptors free when clients open too
// many connections. Closing one that is between requests is safe, whereas a new connection
// that is rejected at the limit may already hold a request.
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
	if c.closing || c.overflow != nil {
		return
	}
	c.parser.Write(b)
	c.arrivalTimes.add(len(b), c.f.core.ReadClock()-c.conn.InputDelay())
	c.serveNext()
	// Bounds the memory for a client that pipelines without limit. Requests that have been
	// received completely are still answered.
	if (c.current != nil || c.servesLater()) && c.parser.Buffered()+c.pipelined.size() > maxBufferedBytes {
		c.stopReading(errTooMuchAtOnce)
	}
	c.chargeInput()
}

// stopReading has what the client sends from now on dropped unread, so that the end of its connection
// is seen behind it. It is answered with why once the requests before it are.
func (c *client) stopReading(why *http1.Error) {
	c.overflow, c.discardUntil = why, c.f.core.Now()+maxDiscardWait
	c.conn.DiscardInput()
}

// chargeInput accounts for the memory that the client's input takes.
func (c *client) chargeInput() {
	if !c.closing {
		c.input.Set(int64(c.parser.Held() + c.pipelined.size()))
	}
}

// Shed implements memory.Holder. It refuses what the client has sent and the mixer has not begun
// with. Requests that were received completely are refused in their turn.
func (c *client) Shed() {
	c.f.sampledLog.Info().Int64("bytes", c.input.Held()).Msg("requests of a client refused: too much is held for clients")
	c.stopReading(errTooMuchHeld)
	c.pipelined.refuse()
	c.parser, c.arrivalTimes = http1.NewRequestParser(), arrivals{}
	c.input.Set(int64(c.pipelined.size()))
	if c.current == nil {
		c.f.core.After(0, c.serveNext) // not at once: the caller may be about to serve another request
	}
}

// Truncated implements transport.Truncated. Bytes of the client were dropped, so nothing after
// them can be parsed.
func (c *client) Truncated() {
	if !c.closing && c.overflow == nil {
		c.overflow = errTooMuchAtOnce
		c.serveNext()
	}
}

// serveNext handles complete requests: some now, or in the next turn if this one has taken long.
func (c *client) serveNext() {
	switch {
	case c.servesLater():
	case c.f.core.TurnSpent() && c.hasPendingInput():
		c.servePieceBy(c.f.core.Post)
	default:
		c.servePiece()
	}
}

// servesLater reports whether a further call that handles complete requests is going to come.
func (c *client) servesLater() bool { return c.awaitsInput || c.awaitsOutput || c.servesPiece }

// servePieceBy has complete requests handled in a later turn, by Core.Post or Core.InBackground.
func (c *client) servePieceBy(schedule func(func())) {
	c.servesPiece = true
	schedule(func() {
		c.servesPiece = false
		c.servePiece()
	})
}

// servePiece handles complete requests until one has to wait for its answer, or until other clients
// have their turn.
func (c *client) servePiece() {
	until := c.f.core.ReadClock() + front.PieceTime
	for c.current == nil && !c.closing {
		if c.waitForInput() || c.waitForOutput() || !c.serveOne() {
			break
		}
		if c.f.core.ReadClock() >= until && c.current == nil && c.hasPendingInput() {
			c.servePieceBy(c.f.core.InBackground)
			break
		}
	}
	c.readAhead()
	c.chargeInput()
}

// serveOne handles the next complete request. It returns false if there is none, or if the connection
// ends.
func (c *client) serveOne() bool {
	next, err := c.nextRequest()
	if err == nil && next == nil && c.overflow != nil {
		err = c.overflow
	}
	if err != nil {
		c.rejectMalformed(err)
		return false
	}
	if next == nil {
		c.awaitRequest()
		return false
	}
	c.requestStartedAt, c.hasRequested = 0, true
	if next.waited && c.conn.PeerGone() {
		c.HalfClosed()
		return false
	}
	c.f.audit.Received++
	if next.refused {
		c.refuse(next.message.Close)
	} else {
		c.serve(next.message, next.receivedAt)
	}
	return true
}

// awaitRequest notes that the client has sent no complete request that is not answered.
func (c *client) awaitRequest() {
	if !c.parser.Started() {
		c.requestStartedAt = 0
	} else if c.requestStartedAt == 0 {
		c.requestStartedAt = c.f.core.Now()
	}
	c.idleSince = c.f.core.Now()
	if c.parser.ExpectsContinue() {
		c.conn.Write([]byte(httpVersion + "100 Continue\r\n\r\n"))
	}
}

// refuse answers a request that was not kept.
func (c *client) refuse(closes bool) {
	c.reply(errTooMuchHeld.Status, "text/plain", []byte(errTooMuchHeld.Reason+"\n"), front.OverloadRetryAfter, closes)
}

// rejectMalformed answers with the status of an http1.Error, or 400, and closes the connection.
func (c *client) rejectMalformed(err error) {
	status, why := 400, err.Error()
	if e, ok := err.(*http1.Error); ok {
		status, why = e.Status, e.Reason
	}
	c.f.malformedLog.Info().Int("status", status).Str("why", why).Msg("request refused as malformed")
	c.f.audit.Received++ // the rejection counts as an answer
	if status == errTooMuchHeld.Status {
		c.refuse(true)
		return
	}
	c.reply(status, "text/plain", []byte(why+"\n"), 0, true)
}

// serve answers a request, or submits its query to the core. The argument at is when the
// request was received completely.
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
		c.f.malformedLog.Info().Int("status", status).Str("why", why).Msg("request refused as malformed")
		text(status, why)
		return
	}
	// The deadline counts from when the request was complete. Since then it may have waited for
	// the event loop and, if pipelined, for earlier answers.
	c.logIfReadLate(q.WireID, at)
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

// parseDeadline returns how long the request's client waits, and whether the header is present
// and valid.
func parseDeadline(m *http1.Message) (time.Duration, bool) {
	ms, err := strconv.ParseInt(m.Header.Get("req-deadline-ms"), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0 && ms <= maxDeadlineMS
}

// parseQuery parses a query. A status other than 0 is the HTTP status of the rejection, and why
// its text for the client.
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
		Repeat: m.Header.Get("req-retry") == "1", TextValues: true, Front: "platform"}
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
			s = []byte(`""`) // not reached: a string can always be encoded
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

// finish sends the answer and has the next pipelined request served.
func (r *request) finish(status int, kind string, body []byte, after time.Duration) {
	c := r.c
	if c.current != r {
		return // the client has gone
	}
	r.logIfLate(status)
	c.current, c.lastAnsweredID = nil, r.id
	c.reply(status, kind, body, after, r.close)
	// The next pipelined request is served in a turn of its own, because this call may come
	// from within a step of the core.
	c.f.core.After(0, c.serveNext)
}

// reply sends a response with a body.
func (c *client) reply(status int, kind string, body []byte, after time.Duration, closes bool) {
	c.respond(status, kind, len(body), body, after, closes)
}

// respond sends a response. The response to HEAD has a length and no body. A positive after is
// sent as Retry-After. If closes is set, the connection is closed after the response.
func (c *client) respond(status int, kind string, length int, body []byte, after time.Duration, closes bool) {
	// Frees file descriptors, and the connections that clients may hold, from clients that
	// send one request and keep the connection. Requests that have been received behind this
	// one still get an answer, so mayClose allows no close then.
	closes = closes || (c.f.closing || c.f.limit.HalfUsed()) && c.mayClose()
	c.conn.Write(append(responseHead(status, kind, length, after, closes), body...))
	c.f.audit.Answered++
	c.idleSince = c.f.core.Now()
	if closes {
		c.startClosing()
	}
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable",
	504: "Gateway Timeout"}

// responseHead returns the status line and header fields.
func responseHead(status int, kind string, length int, after time.Duration, closes bool) []byte {
	b := append([]byte(httpVersion), strconv.Itoa(status)...)
	b = append(append(b, ' '), reasonPhrases[status]...)
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

// startClosing stops reading and writing. The connection is closed after front.LingerTimeout,
// so that the client can read what has been written.
func (c *client) startClosing() {
	if c.closing {
		return
	}
	c.closing, c.closeDeadline = true, c.f.core.Now()+front.LingerTimeout
	c.releaseInput()
	c.conn.Finish(transport.LocalDone)
}

// releaseInput frees the buffered input.
func (c *client) releaseInput() {
	c.parser, c.arrivalTimes, c.pipelined = http1.NewRequestParser(), arrivals{}, nil
	c.input.Set(0)
}

// HalfClosed implements transport.Handler. In this protocol a client that stops sending has
// closed its connection: TCP signals a close and the shutdown of one direction by the same FIN.
// No attempt may start for it from here on, so its query ends in this turn, before the next step
// of the module. Pipelined requests that it had sent are discarded.
func (c *client) HalfClosed() {
	c.abandonOpen(transport.PeerClosed)
	c.conn.Close(transport.PeerClosed)
}

// ReadEOF implements transport.ReadEOFHandler: the client has closed its connection, as in
// HalfClosed.
func (c *client) ReadEOF() { c.HalfClosed() }

// Ended implements transport.Handler.
func (c *client) Ended(e transport.End) {
	delete(c.f.clients, c)
	c.abandonOpen(e)
}

// abandonOpen ends the open query of a client that has gone.
func (c *client) abandonOpen(e transport.End) {
	c.logInterrupted(e)
	c.closing = true
	c.releaseInput()
	if r := c.current; r != nil {
		c.current = nil
		c.f.audit.Abandoned++
		r.handle.ClientGone()
	}
}

// idle reports whether no request is open and none has been received in part.
func (c *client) idle() bool { return !c.closing && c.current == nil && !c.hasPendingInput() }

// hasPendingInput reports whether a request that is not being answered yet has been received,
// completely or in part.
func (c *client) hasPendingInput() bool {
	return c.parser.Started() || len(c.pipelined) > 0 || c.overflow != nil
}

// mayClose reports whether the connection may be closed without a further answer.
func (c *client) mayClose() bool {
	state := gate.Connection{Open: c.current != nil, PartialRequest: c.hasPendingInput()}
	// InputDrained makes a system call, so it is checked last.
	state.UnreadBytes = !state.Open && !state.PartialRequest && !c.conn.InputDrained()
	return !c.closing && gate.Close(state) == gate.Allowed
}

// sweep enforces the timeouts of connections and runs every front.SweepInterval.
func (f *Front) sweep() {
	now, idleTimeout := f.core.Now(), front.IdleTimeout(f.limit)
	for c := range f.clients {
		idle := c.idle()
		switch {
		case c.closing:
			if now > c.closeDeadline {
				c.conn.Close(transport.LocalDone)
			}
		case c.current != nil:
		case !c.hasRequested && idle && now-c.idleSince > front.RequestReadTimeout && c.mayClose():
			// Frees file descriptors held by clients that connect and send nothing.
			c.startClosing()
		case !idle && c.requestStartedAt > 0 && now-c.requestStartedAt > front.RequestReadTimeout:
			// The same for clients that never complete a request. A request behind one that
			// is being answered has not been parsed yet, so it has no start time.
			c.rejectMalformed(&http1.Error{Status: 408, Reason: "the request was not whole in time"})
		case idle && (f.closing && now-c.idleSince > drainIdleTimeout || now-c.idleSince > idleTimeout) && c.mayClose():
			c.startClosing()
		}
	}
	f.core.After(front.SweepInterval, f.sweep)
}

// Stop has each connection closed once its requests are answered and it is idle.
func (f *Front) Stop() {
	f.closing = true
}
