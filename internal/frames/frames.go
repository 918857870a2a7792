// Package frames parses and encodes the frames that mixers and stock nodes exchange. A frame is a
// length of four bytes, a byte for the type, and the payload. The package does no I/O and uses no
// clock.
package frames

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// The types of frames.
const (
	Call        = '1' // from the mixer: parts, each a line and the query's text
	GiveUp      = '2' // from the mixer: the id of a part that is no longer wanted
	Probe       = '3' // from either side: a check of the node, and the answer to it
	LoadRequest = '4' // from either side
	Result      = '5' // from the node: a line, then the value
	Refusal     = 'X' // from the node: a message, after which it closes the connection
)

// MaxLength is the length in bytes of the longest frame accepted, from its type on. It bounds the
// memory that a peer can occupy.
const MaxLength = 1 << 20

// ErrTooLong and ErrEmpty are returned for frames that are longer than MaxLength and that have no type.
var (
	ErrTooLong = errors.New("frame longer than 1 MiB")
	ErrEmpty   = errors.New("frame without a type")
)

// Frame is one frame, without its length.
type Frame struct {
	Type    byte
	Payload []byte
}

// Parser parses a stream of frames. Bytes go in by Write, frames come out of Next.
type Parser struct {
	buf []byte
	err error
}

// Write adds received bytes.
func (p *Parser) Write(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next complete frame; ok is false if more bytes are needed. After an error the
// stream can't be parsed any further.
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

// Partial reports whether part of a frame has arrived.
func (p *Parser) Partial() bool { return len(p.buf) > 0 }

// Append appends a frame to b.
func Append(b []byte, letter byte, rest []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// Part is one part of a call: a sub-request to one slice.
type Part struct {
	ID         string
	Shard      int
	Parameters string // as d=240,k=5c0f: the deadline in ms, an idempotency key
	Text       []byte // the query's text, unchanged
}

// AppendCall appends a Call frame with the parts to b.
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

// The statuses of a Reply.
const (
	Served  = 'S'
	Failed  = 'E' // it may have run
	Refused = 'B' // it never ran
)

// Reply is a stock node's result for a part, the payload of a Result frame.
type Reply struct {
	ID     string
	Status byte
	Score  int64
	Report string // "" if there is none
	Value  []byte
}

// ParseReply parses the payload of a Result frame.
func ParseReply(rest []byte) (Reply, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	if !ok {
		return Reply{}, errors.New("result frame without a line end")
	}
	f := bytes.SplitN(line, []byte{' '}, 4) // the report may hold spaces; it is not parsed here, so that a malformed one does not lose the result
	if len(f) != 4 || len(f[0]) == 0 || len(f[1]) != 1 {
		return Reply{}, fmt.Errorf("result line %q: want 4 fields with an id and a status of one byte", line)
	}
	r := Reply{ID: string(f[0]), Status: f[1][0], Value: value}
	switch {
	case r.Status != Served && r.Status != Failed && r.Status != Refused:
		return Reply{}, fmt.Errorf("result line %q: unknown status", line)
	case r.Status == Refused && len(value) > 0:
		// The status says that the part never ran, the value that it did, or the length is wrong.
		return Reply{}, fmt.Errorf("result line %q: a refusal with a value of %d bytes", line, len(value))
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
