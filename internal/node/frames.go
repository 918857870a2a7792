package node

import (
	"errors"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"kiteloft/decide"
	"kiteloft/internal/frames"
)

// NewFrameSession returns a session of the frame protocol. It is the Protocol of stock nodes whose
// address has no scheme.
func NewFrameSession(link *Link) Session { return &frameSession{link: link} }

// frameSession implements Session for the frame protocol.
type frameSession struct {
	link   *Link
	parser frames.Parser
}

// parameterList returns the parameter parameterList of a part: the time left, and what its class and step
// require besides.
func parameterList(t *Ticket, left time.Duration) string {
	b := append([]byte("d="), strconv.FormatInt(max(1, left.Milliseconds()), 10)...)
	if t.Key != "" {
		b = append(append(b, ",k="...), t.Key...)
	}
	if t.SecondStep {
		for i, s := range t.FirstStepShards {
			if i == 0 {
				b = append(b, ",from="...)
			} else {
				b = append(b, '+')
			}
			b = strconv.AppendInt(b, int64(s), 10)
		}
		if t.Whole {
			b = append(b, ",whole=1"...)
		} else {
			b = append(b, ",whole=0"...)
		}
	}
	return string(b)
}

// Send implements Session.
func (s *frameSession) Send(call []*Ticket) {
	parts := make([]frames.Part, 0, len(call))
	for _, t := range call {
		parts = append(parts, frames.Part{ID: t.ID, Shard: t.Shard, Parameters: parameterList(t, s.link.TimeLeft(t)), Text: t.Text})
	}
	end := s.link.Write(frames.AppendCall(nil, parts))
	for _, t := range call {
		t.User = end
	}
}

// Sent implements Session.
func (s *frameSession) Sent(t *Ticket) (int64, bool) {
	at, ok := t.User.(int64)
	return at, ok
}

// GiveUp implements Session.
func (s *frameSession) GiveUp(t *Ticket) {
	s.link.Write(frames.Append(nil, frames.GiveUp, []byte(t.ID)))
}

// Probe implements Session.
func (s *frameSession) Probe() { s.link.Write(frames.Append(nil, frames.Probe, nil)) }

// Partial implements Session.
func (s *frameSession) Partial() bool { return s.parser.Partial() }

// Room implements Session. The frame protocol has no limit set by the node.
func (s *frameSession) Room() int { return 1 << 20 }

// Data implements Session.
func (s *frameSession) Data(b []byte) error {
	s.parser.Write(b)
	for {
		f, ok, err := s.parser.Next()
		if err != nil || !ok {
			return err
		}
		switch f.Type {
		case frames.Result:
			r, err := frames.ParseReply(f.Payload)
			if err == nil && !utf8.Valid(r.Value) {
				err = errors.New("value is not valid UTF-8") // it could not be passed on to a client unchanged
			}
			if err != nil {
				return err
			}
			t, err := s.link.Ticket(r.ID)
			if err != nil {
				return err
			}
			if t != nil {
				s.link.Finish(t, s.partOutcome(t, r.Status), r.Score, r.Value)
			}
		case frames.Probe:
			o := decide.Failed
			if string(f.Payload) == "S" {
				o = decide.OK
			}
			s.link.FinishProbe(o)
		case frames.Refusal:
			s.link.LogProtocolError(string(f.Payload))
		default:
			return fmt.Errorf("unexpected frame type %q", f.Type)
		}
	}
}

// partOutcome maps the status of a part's result to the module's outcome. A refusal proves nothing
// if the connection has brought a result for the same id before, that of an earlier attempt: it may
// be a second copy of that one.
func (s *frameSession) partOutcome(t *Ticket, status byte) decide.Outcome {
	o := outcome(status)
	if o.NeverRan() && s.link.HasAnswered(t.ID) {
		s.link.LogCallError(t, CallError{Reason: "refused, after an earlier result for this id"})
		return decide.Failed
	}
	return o
}

// outcome maps the status of a result to the module's outcome.
func outcome(status byte) decide.Outcome {
	switch status {
	case frames.Served:
		return decide.OK
	case frames.Refused:
		return decide.Full
	}
	return decide.Failed
}
