// Package flight serves clients over Arrow Flight: queries are tickets, answers are record
// batches. It uses the same core as package platform. Everything except Accept runs on the
// core's goroutine.
//
// A ticket, and the command of a descriptor, is JSON: {"class":"stock-report",
// "query":{"slices":[...],"filter":"..."}}, with the query in the same form as in package
// platform. The header grpc-timeout gives the client's deadline, and idempotency-key its
// idempotency key. The batch's application metadata is {"entire":true} or {"entire":false}.
package flight

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/columns"
	"kiteloft/internal/front"
	"kiteloft/internal/gate"
	"kiteloft/internal/h2"
	"kiteloft/internal/memory"
	"kiteloft/internal/tracing"
	"kiteloft/internal/transport"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	servicePath     = "/arrow.flight.protocol.FlightService/"
	maxMessageBytes = 128 << 10 // bytes of a client's message: a query of 64 KiB and its envelope
	// maxBufferedBytes is how many bytes of a connection may wait to be handled: more than the windows
	// of HTTP/2 allow, and heads of as many calls as may be open.
	maxBufferedBytes = 256 << 10
	// unfinishedCallBytes is what a call takes besides the text of its request.
	unfinishedCallBytes = 1 << 10
	answerReadTimeout   = 5 * time.Second // for the client to read a finished answer
)

// Front serves Flight clients. Its methods, except Accept, may only be called on the core's
// goroutine.
type Front struct {
	core          front.Core
	classes       map[string]int // index in classSettings by name
	classSettings []decide.Class
	log           zerolog.Logger
	malformedLog  zerolog.Logger // sampled, for malformed calls
	limit         front.ConnectionLimit
	rng           *rand.Rand
	schema        []byte
	clients       map[*client]struct{}
	closing       bool
	input         *memory.Budget // for unfinished requests; nil: no limit
}

// LimitInput sets the budget of the memory that unfinished requests take. It has to be called before
// the first connection is accepted.
func (f *Front) LimitInput(b *memory.Budget) { f.input = b }

// New returns a Front for the classes. The seed is for the random ids that it generates for
// queries. It fails only if the Arrow schema can't be encoded.
func New(core front.Core, classes []decide.Class, limit front.ConnectionLimit, seed uint64, log zerolog.Logger) (*Front, error) {
	schema, err := columns.SchemaBytes()
	if err != nil {
		return nil, err
	}
	return &Front{core: core, classes: front.ClassIndexes(classes), classSettings: classes, limit: limit, log: log, malformedLog: front.Sampled(log), schema: schema,
		rng: rand.New(rand.NewPCG(seed, 1)), clients: map[*client]struct{}{}}, nil
}

// Clients returns the number of open client connections.
func (f *Front) Clients() int { return len(f.clients) }

// Start begins the periodic check of connections and calls for timeouts.
func (f *Front) Start() { f.core.After(front.SweepInterval, f.sweep) }

// client is one connection and its calls.
type client struct {
	f             *Front
	conn          front.Conn
	h2            *h2.Conn
	calls         map[*call]struct{}
	refused       bool            // nothing of the client is read any more
	processLater  bool            // process is going to be called for frames that are left
	halfClosed    bool            // the client has shut down its sending side
	hasCalled     bool            // at least one call has begun
	closeDeadline time.Duration   // when a connection that is finishing is closed; 0: it is not finishing
	lastDataAt    time.Duration   // when bytes were last received
	input         *memory.Account // of unfinished frames
}

// call is one gRPC call on an HTTP/2 stream. It implements broker.Responder for its query.
type call struct {
	c              *client
	s              *h2.Stream
	startedAt      time.Duration
	method         string
	timeout        string
	idempotencyKey string
	retry          bool
	traceContext   *tracing.Context
	parser         h2.MessageParser
	message        []byte
	input          *memory.Account // of the unfinished request
	handle         *broker.QueryHandle
	done           bool // the status has been written, or the call was dropped
	doneAt         time.Duration
}

// Accept registers a new connection and returns its handler. It may be called on any
// goroutine.
func (f *Front) Accept(conn front.Conn) transport.Handler {
	c := &client{f: f, conn: conn, calls: map[*call]struct{}{}}
	f.core.Post(func() {
		c.lastDataAt, c.input = f.core.Now(), f.input.Account(c)
		c.h2 = h2.New(true, streamHandler{c}, conn.Write)
		f.clients[c] = struct{}{}
		if f.limit.NearLimit() {
			f.closeRefused()
		}
	})
	return c
}

// closeRefused closes a connection that has been sent its last frame and whose client goes on
// sending. It keeps file descriptors free.
func (f *Front) closeRefused() {
	for c := range f.clients {
		if c.closeDeadline > 0 && c.conn.Flushed() {
			c.conn.Close(transport.BadInput)
			return
		}
	}
}

// Data implements transport.Handler.
func (c *client) Data(b []byte) {
	if c.refused {
		return
	}
	c.lastDataAt = c.f.core.Now()
	c.h2.Add(b)
	switch {
	case c.processLater && c.h2.Held() > maxBufferedBytes:
		c.Truncated()
	case c.processLater:
		c.chargeInput()
	case c.f.core.TurnSpent():
		c.processBy(c.f.core.Post)
		c.chargeInput()
	default:
		c.process()
	}
}

// process handles frames until none is left, or until other clients have their turn.
func (c *client) process() {
	if c.refused || c.closeDeadline > 0 {
		return
	}
	if c.conn.Unsent() > front.MaxUnsent { // bounds the memory that answers take
		c.processLater = true
		c.f.core.After(front.OutputCheckInterval, c.processAgain)
		return
	}
	until := c.f.core.ReadClock() + front.PieceTime
	more, err := c.h2.Process(func() bool { return c.f.core.ReadClock() < until })
	if c.refused || c.closeDeadline > 0 { // within a call
		return
	}
	if err != nil {
		c.f.malformedLog.Info().Err(err).Msg("Flight client broke HTTP/2")
		c.startClosing()
		return
	}
	if more {
		c.processBy(c.f.core.InBackground)
	}
	c.chargeInput()
}

// processBy has the frames that are left handled in a later turn, by Core.Post or Core.InBackground.
func (c *client) processBy(schedule func(func())) {
	c.processLater = true
	schedule(c.processAgain)
}

// processAgain handles frames that were left.
func (c *client) processAgain() {
	c.processLater = false
	c.process()
}

// chargeInput accounts for the memory that frames take which were not handled.
func (c *client) chargeInput() {
	if c.closeDeadline == 0 && !c.refused {
		c.input.Set(int64(c.h2.Held()))
	}
}

// Shed implements memory.Holder.
func (c *client) Shed() {
	c.f.malformedLog.Info().Msg("Flight connection with unfinished requests refused: too much is held for clients")
	c.refuseInput()
}

// Truncated implements transport.Truncated. Bytes of the client were dropped, so nothing after them
// can be read.
func (c *client) Truncated() {
	c.f.malformedLog.Info().Msg("Flight connection refused: too much at once")
	c.refuseInput()
}

// refuseInput refuses the calls whose requests are unfinished, and drops frames that were not handled,
// so that nothing more can be read. Calls that are being served get their answers, and then the
// connection is closed.
func (c *client) refuseInput() {
	if c.refused || c.closeDeadline > 0 {
		return
	}
	c.refused = true
	c.h2.DropInput()
	c.input.Set(0)
	serving := false
	for k := range c.calls {
		if !k.done && k.handle == nil {
			k.endWithStatus(h2.Status{Code: codes.Unavailable, Message: "too much is held", Pushback: front.OverloadRetryAfter})
		}
		serving = serving || !k.done
	}
	if !serving {
		c.startClosing()
	}
}

// startClosing drops the open calls and shuts down the connection, which is closed after
// front.LingerTimeout so that the client can read what has been written.
func (c *client) startClosing() {
	if c.closeDeadline == 0 {
		c.closeDeadline = c.f.core.Now() + front.LingerTimeout
		for k := range c.calls {
			c.dropCall(k)
		}
		c.h2.Discard()
		c.input.Set(0)
		c.conn.Finish(transport.BadInput)
	}
}

// streamHandler implements h2.Handler for a client.
type streamHandler struct{ *client }

// Headers implements h2.Handler.
func (c streamHandler) Headers(s *h2.Stream, fields []hpack.HeaderField, end bool) {
	if k, ok := s.User.(*call); ok { // trailers of a request are ignored
		if end {
			k.serve()
		}
		return
	}
	k := &call{c: c.client, s: s, startedAt: c.f.core.Now(), parser: h2.MessageParser{MaxBytes: maxMessageBytes},
		timeout: h2.FieldValue(fields, "grpc-timeout"), idempotencyKey: h2.FieldValue(fields, "idempotency-key")}
	retry := h2.FieldValue(fields, "grpc-previous-rpc-attempts")
	k.retry = retry != "" && retry != "0"
	k.traceContext = tracing.ReadContext(h2.FieldValue(fields, "traceparent"), h2.FieldValue(fields, "tracestate"))
	s.User = k
	c.calls[k], c.hasCalled = struct{}{}, true
	k.input = c.f.input.Account(k)
	defer k.chargeInput()
	method, ok := strings.CutPrefix(h2.FieldValue(fields, ":path"), servicePath)
	if h2.FieldValue(fields, ":method") != "POST" || !strings.HasPrefix(h2.FieldValue(fields, "content-type"), "application/grpc") {
		k.endWithStatus(h2.Status{Code: codes.InvalidArgument, Message: "a call is a POST of application/grpc"})
		return
	}
	if !ok || method != "DoGet" && method != "GetFlightInfo" {
		k.endWithStatus(h2.Status{Code: codes.Unimplemented, Message: "only GetFlightInfo and DoGet are served"})
		return
	}
	k.method = method
	if end {
		k.serve()
	}
}

// Data implements h2.Handler.
func (c streamHandler) Data(s *h2.Stream, b []byte, end bool) {
	k, ok := s.User.(*call)
	if !ok || k.done || k.handle != nil {
		return
	}
	defer k.chargeInput()
	list, err := k.parser.Add(b)
	if err != nil {
		code := codes.ResourceExhausted
		if errors.Is(err, h2.ErrCompressed) {
			code = codes.Unimplemented
		}
		k.endWithStatus(h2.Status{Code: code, Message: err.Error()})
		return
	}
	for _, m := range list {
		if k.message != nil {
			k.rejectMalformed(errors.New("more than one message"))
			return
		}
		k.message = m
	}
	if end {
		k.serve()
	}
}

// chargeInput accounts for the memory that the call's unfinished request takes.
func (k *call) chargeInput() {
	n := 0
	if !k.done && k.handle == nil {
		n = unfinishedCallBytes + k.parser.Held() + cap(k.message)
	}
	k.input.Set(int64(n))
}

// Shed implements memory.Holder. The whole connection is refused: one of its requests has stayed
// unfinished, and its client would send more of them.
func (k *call) Shed() { k.c.Shed() }

// rejectMalformed logs err and ends the call with InvalidArgument and err's text.
func (k *call) rejectMalformed(err error) {
	k.c.f.malformedLog.Info().Str("method", k.method).Err(err).Msg("Flight call refused as malformed")
	k.endWithStatus(h2.Status{Code: codes.InvalidArgument, Message: err.Error()})
}

// serve handles a call whose request has been received completely.
func (k *call) serve() {
	switch {
	case k.done || k.handle != nil:
	case k.message == nil || k.parser.Partial():
		k.rejectMalformed(errors.New("the message is missing or cut"))
	case k.method == "DoGet":
		var t flight.Ticket
		if err := proto.Unmarshal(k.message, &t); err != nil {
			k.rejectMalformed(errors.New("the ticket can't be read"))
			return
		}
		k.doGet(t.Ticket)
	default:
		var d flight.FlightDescriptor
		if err := proto.Unmarshal(k.message, &d); err != nil || d.Type != flight.FlightDescriptor_CMD {
			k.rejectMalformed(errors.New("the descriptor can't be read, or is no command"))
			return
		}
		k.getFlightInfo(&d)
	}
}

// ticket is the JSON form of a Flight ticket and of a descriptor's command.
type ticket struct {
	Class string              `json:"class"`
	Query jsoniter.RawMessage `json:"query"`
}

// parseTicket parses a ticket or command. The texts of its errors are sent to the client.
func (f *Front) parseTicket(text []byte) (q broker.Query, err error) {
	var t ticket
	if err := json.Unmarshal(text, &t); err != nil {
		return q, errors.New("the ticket is not a query")
	}
	class, ok := f.classes[t.Class]
	if !ok {
		return q, errors.New("no such class")
	}
	q.Class = class
	return q, front.ParseBody(t.Query, &q)
}

// getFlightInfo answers GetFlightInfo with one endpoint. It has no location, which means this
// server, and its ticket is the descriptor's command.
func (k *call) getFlightInfo(d *flight.FlightDescriptor) {
	if _, err := k.c.f.parseTicket(d.Cmd); err != nil {
		k.rejectMalformed(err)
		return
	}
	b, err := proto.Marshal(&flight.FlightInfo{Schema: k.c.f.schema, FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.Cmd}}}})
	if err != nil {
		k.endWithStatus(h2.Status{Code: codes.Internal, Message: "the answer could not be encoded"})
		return
	}
	k.sendAnswer([][]byte{b})
}

// doGet submits the query of a DoGet call to the core.
func (k *call) doGet(text []byte) {
	f := k.c.f
	q, err := f.parseTicket(text)
	if err == nil {
		err = front.ApplyIdempotencyKey(k.idempotencyKey, &f.classSettings[q.Class], &q)
	}
	q.Tenant, q.Left = front.NoTenant, f.classSettings[q.Class].Deadline
	if err == nil && k.timeout != "" {
		q.Left, err = h2.ParseTimeout(k.timeout)
	}
	if err != nil {
		k.rejectMalformed(err)
		return
	}
	// The deadline counts from the start of the call, not from its last byte.
	if q.Left -= f.core.Now() - k.startedAt; q.Left <= 0 {
		k.endWithStatus(h2.Status{Code: codes.DeadlineExceeded, Message: "out of time"})
		return
	}
	id := strconv.FormatUint(f.rng.Uint64(), 16)
	q.WireID = front.GeneratedIDPrefix + strings.Repeat("0", 16-len(id)) + id
	q.Repeat, q.Responder, q.Front, q.Context = k.retry, k, "flight", k.traceContext
	switch verdict, handle := f.core.Admit(q); verdict {
	case broker.Taken:
		k.handle = handle
		k.releaseInput() // the query has a copy of its text
	case broker.Crowded:
		k.endWithStatus(h2.Status{Code: codes.Unavailable, Message: "too much is open", Pushback: front.OverloadRetryAfter})
	case broker.ShuttingDown:
		k.endWithStatus(h2.Status{Code: codes.Unavailable, Message: "the mixer ends", Pushback: front.OverloadRetryAfter})
	case broker.Duplicate: // the generated id is already in use
		k.endWithStatus(h2.Status{Code: codes.Unavailable, Message: "try again", Pushback: front.OverloadRetryAfter})
	default:
		k.rejectMalformed(errors.New("parts that can't be"))
	}
}

// Served implements broker.Responder.
func (k *call) Served(whole bool, values []broker.Value) {
	list, err := columns.Encode(values, []byte(`{"entire":`+strconv.FormatBool(whole)+`}`))
	if err != nil {
		k.c.f.log.Error().Err(err).Msg("answer could not be encoded")
		k.endWithStatus(h2.Status{Code: codes.Internal, Message: "the answer could not be encoded"})
		return
	}
	k.sendAnswer(list)
}

// Refused implements broker.Responder.
func (k *call) Refused(after time.Duration) {
	k.endWithStatus(h2.Status{Code: codes.Unavailable, Message: "refused", Pushback: max(after, time.Millisecond)})
}

// Failed implements broker.Responder.
func (k *call) Failed(expired bool) {
	if expired {
		k.endWithStatus(h2.Status{Code: codes.DeadlineExceeded, Message: "out of time"})
		return
	}
	k.endWithStatus(h2.Status{Code: codes.Internal, Message: "failed"})
}

var responseHeaders = []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}

// sendAnswer ends the call with the messages and status OK.
func (k *call) sendAnswer(list [][]byte) {
	if k.done {
		return
	}
	k.markDone()
	k.s.Headers(responseHeaders, false)
	for _, m := range list {
		k.s.Write(h2.AppendMessage(nil, m), false)
	}
	k.s.Trailers(h2.Status{}.Trailer())
}

// endWithStatus ends the call with a status and no messages.
func (k *call) endWithStatus(s h2.Status) {
	if k.done {
		return
	}
	k.markDone()
	k.s.Headers(append(append([]hpack.HeaderField{}, responseHeaders...), s.Trailer()...), true)
	// Tells a client that is still sending that the rest of its request is not needed.
	k.s.Reset(http2.ErrCodeNo)
}

// markDone records the end of the call and frees its buffered input.
func (k *call) markDone() {
	k.done, k.doneAt = true, k.c.f.core.Now()
	k.releaseInput()
}

// releaseInput frees the call's buffered input.
func (k *call) releaseInput() {
	k.parser, k.message = h2.MessageParser{}, nil
	k.input.Set(0)
}

// Closed implements h2.Handler: the client reset the stream, or it was reset because the client
// broke the protocol or a limit.
func (c streamHandler) Closed(s *h2.Stream, _ http2.ErrCode, _ bool) {
	if k, ok := s.User.(*call); ok {
		c.dropCall(k)
	}
}

// dropCall removes a call and, if it has not been answered, reports to the core that its client
// has gone.
func (c *client) dropCall(k *call) {
	delete(c.calls, k)
	if !k.done {
		k.done = true
		k.releaseInput()
		if k.handle != nil {
			k.handle.ClientGone()
		}
	}
}

// HalfClosed implements transport.Handler: the client has shut down its sending side. Open
// calls still get their answers, because the client may be reading. A client that has closed
// the whole connection answers the ping with a reset.
func (c *client) HalfClosed() {
	if c.halfClosed = true; c.h2.Streams() == 0 && !c.processLater {
		c.conn.Close(transport.LocalDone)
		return
	}
	c.h2.Ping()
	c.f.core.After(front.ResetWait, c.conn.CloseIfReset)
}

// Ended implements transport.Handler.
func (c *client) Ended(transport.End) {
	delete(c.f.clients, c)
	c.h2.Discard() // a task in the background may hold it for longer
	c.input.Set(0)
	for k := range c.calls {
		c.dropCall(k)
	}
}

// sweep enforces the timeouts of calls and connections and runs every front.SweepInterval.
func (f *Front) sweep() {
	now, idleTimeout := f.core.Now(), front.IdleTimeout(f.limit)
	for c := range f.clients {
		c.conn.CloseIfReset()
		for k := range c.calls {
			switch {
			case k.done && !k.s.Open():
				delete(c.calls, k)
			case k.done && now-k.doneAt > answerReadTimeout:
				// Frees memory held for a client that does not read its answer.
				k.s.Reset(http2.ErrCodeCancel)
				delete(c.calls, k)
			case !k.done && k.handle == nil && now-k.startedAt > front.RequestReadTimeout:
				// Frees streams held by calls whose request is never completed.
				k.endWithStatus(h2.Status{Code: codes.DeadlineExceeded, Message: "the call was not whole in time"})
			}
		}
		verdict := gate.Close(gate.Connection{Open: c.h2.Streams() > 0, PartialRequest: c.processLater, UnreadBytes: !c.halfClosed && !c.conn.InputDrained()})
		switch idle := verdict == gate.Allowed && c.conn.Flushed(); {
		case idle && (f.closing || c.halfClosed || c.refused):
			c.conn.Close(transport.LocalDone)
		case c.closeDeadline > 0 && now > c.closeDeadline:
			c.conn.Close(transport.BadInput)
		case idle && !c.hasCalled && now-c.lastDataAt > front.RequestReadTimeout, idle && now-c.lastDataAt > idleTimeout:
			// Frees file descriptors held by clients that keep unused connections open.
			c.h2.GoAway()
			c.conn.Close(transport.LocalIdle)
		}
	}
	f.core.After(front.SweepInterval, f.sweep)
}

// Stop sends GOAWAY on each connection, so that clients open no new calls, and has each
// connection closed once it is idle.
func (f *Front) Stop() {
	f.closing = true
	for c := range f.clients {
		c.h2.GoAway()
	}
}
