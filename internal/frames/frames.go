// Package frames reads and writes the frames that mixers and stock nodes
// exchange. It is pure: it holds no connection and knows no clock.
package frames

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// The letters of frames.
const (
	Call        = '1' // mixer: parts, each a line and the query's text
	GiveUp      = '2' // mixer: the id of a part
	Probe       = '3' // both
	LoadRequest = '4' // both
	Result      = '5' // stock node: a line, then the value
	Refusal     = 'X' // stock node: words; the connection is closed
)

// MaxLength is the longest frame taken: what its peer may make us hold.
const MaxLength = 1 << 20

// ErrTooLong and ErrEmpty are frames that can't be taken.
var (
	ErrTooLong = errors.New("frame longer than 1 MiB")
	ErrEmpty   = errors.New("frame without a type")
)

// Frame is one frame.
type Frame struct {
	Type    byte
	Payload []byte
}

// Parser takes a stream of frames.
type Parser struct {
	buf []byte
	err error
}

// Write adds bytes from the wire.
func (p *Parser) Write(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next whole frame; ok is false if more bytes are needed. After
// an error the stream can't be read any further.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if p.err != nil || len(p.buf) < 4 {
		return f, false, p.err
	}
	n := binary.BigEndian.Uint32(p.buf)
	switch {
	case n == 0:
		p.err = ErrEmpty
	case n > MaxLength:
		p.err = ErrTooLong
	case len(p.buf)-4 < int(n):
	default:
		f = Frame{p.buf[4], p.buf[5 : 4+n : 4+n]}
		if p.buf = p.buf[4+n:]; len(p.buf) == 0 {
			p.buf = nil
		}
		return f, true, nil
	}
	return f, false, p.err
}

// Partial reports whether a frame has begun and not ended.
func (p *Parser) Partial() bool { return len(p.buf) > 0 }

// Append adds a frame to b.
func Append(b []byte, letter byte, rest []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// Part is one part of a call.
type Part struct {
	ID         string
	Shard      int
	Parameters string // as d=240,k=5c0f
	Text       []byte // the query's, unchanged
}

// AppendCall adds a frame with one call to b.
func AppendCall(b []byte, parts []Part) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, Call)
	for _, p := range parts {
		b = append(append(b, p.ID...), ' ')
		b = append(strconv.AppendInt(b, int64(p.Shard), 10), ' ')
		b = append(append(b, p.Parameters...), ' ')
		b = append(strconv.AppendInt(b, int64(len(p.Text)), 10), '\n')
		b = append(b, p.Text...)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// Reply is a stock node's result for a part.
type Reply struct {
	ID     string
	End    byte // S, E or B
	Score  int64
	Report string // "" where there is none
	Value  []byte
}

// ParseReply reads the rest of a result's frame.
func ParseReply(rest []byte) (Reply, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	if !ok {
		return Reply{}, errors.New("result frame without a line end")
	}
	f := bytes.SplitN(line, []byte{' '}, 4) // a report is the node's own: one that can't be read spoils nothing
	if len(f) != 4 || len(f[0]) == 0 || len(f[1]) != 1 {
		return Reply{}, fmt.Errorf("result line %q: want 4 fields with an id and a status of one byte", line)
	}
	r := Reply{ID: string(f[0]), End: f[1][0], Value: value}
	if r.End != 'S' && r.End != 'E' && r.End != 'B' {
		return Reply{}, fmt.Errorf("result line %q: unknown status", line)
	}
	if s := string(f[3]); s != "-" {
		r.Report = s
	}
	if s := string(f[2]); s != "-" {
		score, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return Reply{}, fmt.Errorf("result line %q: score: %w", line, err)
		}
		r.Score = score
	}
	return r, nil
}
