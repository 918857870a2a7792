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

// Frames is the protocol of stock nodes that take frames.
func Frames(l *Link) Session { return &frameSession{l: l} }

type frameSession struct {
	l      *Link
	parser frames.Parser
}

// list is the list of a part: how long it is waited for, and what its class and
// step ask for.
func list(t *Ticket, left time.Duration) string {
	b := append([]byte("d="), strconv.FormatInt(max(1, left.Milliseconds()), 10)...)
	if t.Key != "" {
		b = append(append(b, ",k="...), t.Key...)
	}
	if t.Second {
		for i, s := range t.From {
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

func (s *frameSession) Send(call []*Ticket) {
	parts := make([]frames.Part, 0, len(call))
	for _, t := range call {
		parts = append(parts, frames.Part{ID: t.ID, Shard: t.Shard, List: list(t, s.l.Left(t)), Text: t.Text})
	}
	end := s.l.Write(frames.AppendCall(nil, parts))
	for _, t := range call {
		t.User = end
	}
}

func (s *frameSession) Sent(t *Ticket) (int64, bool) {
	at, ok := t.User.(int64)
	return at, ok
}

func (s *frameSession) GiveUp(t *Ticket) { s.l.Write(frames.Append(nil, frames.GiveUp, []byte(t.ID))) }

func (s *frameSession) Probe() { s.l.Write(frames.Append(nil, frames.Probe, nil)) }

// Partial implements Session.
func (s *frameSession) Partial() bool { return s.parser.Partial() }

// Room implements Session; a node that takes frames names no limit of its own.
func (s *frameSession) Room() int { return 1 << 20 }

func (s *frameSession) Data(b []byte) error {
	s.parser.Write(b)
	for {
		f, ok, err := s.parser.Next()
		if err != nil || !ok {
			return err
		}
		switch f.Letter {
		case frames.Result:
			r, err := frames.ParseReply(f.Rest)
			if err == nil && !utf8.Valid(r.Value) {
				err = errors.New("a value that is no text") // no client could be given it unchanged
			}
			if err != nil {
				return err
			}
			t, err := s.l.Ticket(r.ID)
			if err != nil {
				return err
			}
			if t != nil {
				s.l.Done(t, outcome(r.End), r.Score, r.Value)
			}
		case frames.Probe:
			o := decide.Failed
			if string(f.Rest) == "S" {
				o = decide.OK
			}
			s.l.Probed(o)
		case frames.Refusal:
			s.l.Complain(string(f.Rest))
		default:
			return fmt.Errorf("a frame of letter %q", f.Letter)
		}
	}
}

func outcome(end byte) decide.Outcome {
	switch end {
	case 'S':
		return decide.OK
	case 'B':
		return decide.Full
	}
	return decide.Failed
}
