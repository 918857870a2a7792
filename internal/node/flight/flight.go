// Package flight implements the protocol of stock nodes that speak Arrow Flight. Each part
// is a DoGet call of its own, and counts as answered only when its stream has ended with
// status OK. All of the package runs on the core's goroutine.
//
// The ticket is JSON: {"id":"fl-....3","class":"stock-report","slice":3,"filter":"..."}.
// In a second step it also has "from":[3,5] and "whole":true. The header grpc-timeout says
// how long the part is waited for, and idempotency-key holds the query's key. The stream's
// application metadata may hold the part's score as {"score":1840277719}.
package flight

import (
	"math"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	jsoniter "github.com/json-iterator/go"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"kiteloft/decide"
	"kiteloft/internal/columns"
	"kiteloft/internal/h2"
	"kiteloft/internal/node"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Scheme is the scheme in the addresses of nodes that speak Arrow Flight.
const Scheme = "grpc+tcp"

const (
	maxMessage = 1 << 20 // bytes of one message of a node
	maxAnswer  = 1 << 20 // bytes of all messages of a stream
)

// Protocol returns a session for a link. It is a node.Protocol.
func Protocol(link *node.Link) node.Session {
	s := &session{link: link}
	s.h2 = h2.New(false, streamHandler{s}, link.Write)
	return s
}

// session implements node.Session on one HTTP/2 connection.
type session struct {
	link *node.Link
	h2   *h2.Conn
}

// part is a DoGet call for a part of a query, or the call of a probe.
type part struct {
	t        *node.Ticket // nil: a probe
	s        *h2.Stream
	parser   h2.MessageParser
	messages [][]byte // messages received
	bytes    int      // their size
	ended    bool     // its outcome is known
}

// ticket is the JSON content of a Flight ticket.
type ticket struct {
	ID              string `json:"id"`
	Class           string `json:"class"`
	Slice           int    `json:"slice"`
	Filter          string `json:"filter"`
	FirstStepShards []int  `json:"from,omitempty"`
	Whole           *bool  `json:"whole,omitempty"`
}

// Send implements node.Session.
func (s *session) Send(call []*node.Ticket) {
	for _, t := range call {
		tk := ticket{ID: t.ID, Class: t.Class, Slice: t.Shard, Filter: string(t.Text)}
		if t.SecondStep {
			tk.FirstStepShards, tk.Whole = t.FirstStepShards, &t.Whole
		}
		p := &part{t: t, parser: h2.MessageParser{MaxBytes: maxMessage}}
		t.User = p
		fields := requestHeaders("DoGet", h2.FormatTimeout(s.link.TimeLeft(t)))
		if t.Key != "" {
			fields = append(fields, hpack.HeaderField{Name: "idempotency-key", Value: t.Key})
		}
		if parent, state := t.Parentage(); parent != "" {
			fields = append(fields, hpack.HeaderField{Name: "traceparent", Value: parent})
			if state != "" {
				fields = append(fields, hpack.HeaderField{Name: "tracestate", Value: state})
			}
		}
		text, err := json.Marshal(tk)
		if err == nil {
			text, err = proto.Marshal(&flight.Ticket{Ticket: text})
		}
		if err != nil { // nothing was sent
			s.link.LogProtocolError(err.Error())
			s.link.Finish(t, decide.NotSent, 0, nil)
			continue
		}
		p.s = s.h2.Open(fields, h2.AppendMessage(nil, text))
		p.s.User = p
	}
}

// requestHeaders returns the request headers of a Flight method.
func requestHeaders(method, timeout string) []hpack.HeaderField {
	return []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: "/arrow.flight.protocol.FlightService/" + method}, {Name: ":authority", Value: "stock-node"},
		{Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
		{Name: "grpc-timeout", Value: timeout}}
}

// Sent implements node.Session.
func (s *session) Sent(t *node.Ticket) (int64, bool) {
	if p, ok := t.User.(*part); ok && p.s != nil {
		return p.s.Sent()
	}
	return 0, false
}

// GiveUp implements node.Session.
func (s *session) GiveUp(t *node.Ticket) {
	if p, ok := t.User.(*part); ok && p.s != nil {
		p.ended = true
		p.s.Reset(http2.ErrCodeCancel)
	}
}

// Probe implements node.Session. It calls GetFlightInfo with an empty command. Any answer,
// even an error, proves that the node runs, while an HTTP/2 ping would show only that the
// connection is alive.
func (s *session) Probe() {
	b, err := proto.Marshal(&flight.FlightDescriptor{Type: flight.FlightDescriptor_CMD, Cmd: []byte("{}")})
	if err != nil || s.h2.Room() == 0 {
		s.link.FinishProbe(decide.NotSent)
		return
	}
	p := &part{parser: h2.MessageParser{MaxBytes: maxMessage}}
	p.s = s.h2.Open(requestHeaders("GetFlightInfo", "250m"), h2.AppendMessage(nil, b))
	p.s.User = p
}

// Room implements node.Session.
func (s *session) Room() int { return s.h2.Room() }

// Partial implements node.Session.
func (s *session) Partial() bool { return s.h2.Partial() }

// Data implements node.Session.
func (s *session) Data(b []byte) error { return s.h2.Receive(b) }

// streamHandler implements h2.Handler for a session.
type streamHandler struct{ *session }

// Headers implements h2.Handler.
func (s streamHandler) Headers(st *h2.Stream, fields []hpack.HeaderField, end bool) {
	p, ok := st.User.(*part)
	if !ok || p.ended {
		return
	}
	s.recordFirstByte(p)
	status, given := h2.ParseStatus(fields)
	switch {
	case !end && h2.FieldValue(fields, ":status") != "" && h2.FieldValue(fields, ":status") != "200":
		s.finishFailed(p, decide.Failed)
		st.Reset(http2.ErrCodeCancel)
	case !end:
	case !given:
		s.finishFailed(p, decide.Failed)
	case status.Code != codes.OK:
		s.finishWithStatus(p, status)
	default:
		s.finishServed(p)
	}
}

// recordFirstByte records in the trace that a part's answer has begun.
func (s *session) recordFirstByte(p *part) {
	if p.t != nil {
		p.t.Heard(s.link.Now())
	}
}

// partOutcome maps the status of a part's call to the module's outcome. No status proves that the
// part never ran: handlers, interceptors and gRPC libraries give each of them after the handler has
// run, too. RESOURCE_EXHAUSTED is also a message above a limit, and UNAVAILABLE with a pushback only
// says when to try again. What proves it is HTTP/2's word that the stream was not processed; see
// h2.Handler.
func partOutcome(st h2.Status) decide.Outcome {
	switch st.Code {
	case codes.OK:
		return decide.OK
	case codes.DeadlineExceeded:
		return decide.TimedOut
	}
	return decide.Failed
}

// probeOutcome maps the status of a probe's call to the module's outcome. An error is an answer,
// too: the node runs. One that is full has shown no more than that.
func probeOutcome(st h2.Status) decide.Outcome {
	switch {
	case st.Code == codes.Unavailable && st.Pushback > 0, st.Code == codes.ResourceExhausted:
		return decide.Full
	case st.Code == codes.DeadlineExceeded:
		return decide.TimedOut
	}
	return decide.OK
}

// finishWithStatus ends a part, or a probe, whose call the node ended with an error status.
func (s *session) finishWithStatus(p *part, status h2.Status) {
	if p.t == nil {
		s.finishFailed(p, probeOutcome(status))
		return
	}
	o := partOutcome(status)
	s.link.LogCallError(p.t, node.CallError{Reason: status.Code.String(), Message: status.Message,
		AnswerMessages: len(p.messages), NeverRan: o.NeverRan()})
	s.finishFailed(p, o)
}

// finishFailed ends a part without an answer, or a probe.
func (s *session) finishFailed(p *part, o decide.Outcome) {
	if p.ended {
		return
	}
	p.ended, p.messages = true, nil
	if p.t == nil {
		if o == decide.Failed {
			o = decide.OK // an error is an answer too: the node runs
		}
		s.link.FinishProbe(o)
		return
	}
	s.link.Finish(p.t, o, 0, nil)
}

// finishServed ends a part with the value from its stream, which has ended with status OK.
func (s *session) finishServed(p *part) {
	if p.t == nil || p.parser.Partial() {
		s.finishFailed(p, decide.Failed)
		return
	}
	values, meta, err := columns.Decode(p.messages)
	if err != nil {
		s.link.LogProtocolError(err.Error())
		s.finishFailed(p, decide.Failed)
		return
	}
	var m struct {
		Score float64 `json:"score"`
	}
	if len(meta) > 0 && json.Unmarshal(meta, &m) != nil {
		m.Score = 0 // without a score the part comes last in the choice for the second step
	}
	for _, v := range values {
		if v.Shard == p.t.Shard {
			p.ended = true
			s.link.Finish(p.t, decide.OK, int64(max(math.MinInt64/2, min(math.MaxInt64/2, m.Score))), v.Body)
			return
		}
	}
	s.link.LogProtocolError("no row for slice " + strconv.Itoa(p.t.Shard))
	s.finishFailed(p, decide.Failed)
}

// Data implements h2.Handler.
func (s streamHandler) Data(st *h2.Stream, b []byte, end bool) {
	p, ok := st.User.(*part)
	if !ok || p.ended {
		return
	}
	s.recordFirstByte(p)
	messages, err := p.parser.Add(b)
	for _, m := range messages {
		p.bytes += len(m)
	}
	// Bounds memory if a node's answer does not end.
	if err != nil || p.bytes > maxAnswer {
		s.finishFailed(p, decide.Failed)
		st.Reset(http2.ErrCodeCancel)
		return
	}
	p.messages = append(p.messages, messages...)
	if end { // without trailers there is no status: the stream was cut off
		s.finishFailed(p, decide.Failed)
	}
}

// Closed implements h2.Handler.
func (s streamHandler) Closed(st *h2.Stream, code http2.ErrCode, neverRan bool) {
	p, ok := st.User.(*part)
	if !ok || p.ended {
		return
	}
	o := decide.Failed
	if neverRan {
		o = decide.Full
	}
	if p.t != nil {
		s.link.LogCallError(p.t, node.CallError{Reason: code.String(), AnswerMessages: len(p.messages), NeverRan: neverRan})
	}
	s.finishFailed(p, o)
}
