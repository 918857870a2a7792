package h2

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

const messageHeaderBytes = 5 // bytes before each gRPC message

// ErrTooLong and ErrCompressed are returned for gRPC messages that are longer than MaxBytes, and
// for compressed ones.
var (
	ErrTooLong    = errors.New("gRPC message too long")
	ErrCompressed = errors.New("gRPC message compressed")
)

// sortedStreams returns the open streams in the order of their ids.
func (c *Conn) sortedStreams() []*Stream {
	return slices.SortedFunc(maps.Values(c.streams), func(a, b *Stream) int { return int(a.ID) - int(b.ID) })
}

// MessageParser splits a stream's data into gRPC messages of at most MaxBytes.
type MessageParser struct {
	MaxBytes int
	buf      []byte
}

// Add adds received bytes and returns the messages that they complete. After an error the stream
// can't be parsed any further.
func (m *MessageParser) Add(b []byte) (list [][]byte, err error) {
	m.buf = append(m.buf, b...)
	for len(m.buf) >= messageHeaderBytes {
		n := binary.BigEndian.Uint32(m.buf[1:])
		if m.buf[0] != 0 {
			return list, ErrCompressed
		}
		if uint64(n) > uint64(m.MaxBytes) {
			return list, ErrTooLong
		}
		end := messageHeaderBytes + int(n)
		if len(m.buf) < end {
			break
		}
		list = append(list, m.buf[messageHeaderBytes:end:end])
		if m.buf = m.buf[end:]; len(m.buf) == 0 {
			m.buf = nil // the message is kept without what would be appended behind it
		}
	}
	return list, nil
}

// Held returns the bytes of memory that unfinished messages take.
func (m *MessageParser) Held() int { return cap(m.buf) }

// Partial reports whether part of a message has arrived.
func (m *MessageParser) Partial() bool { return len(m.buf) > 0 }

// AppendMessage appends msg to b as an uncompressed gRPC message.
func AppendMessage(b, msg []byte) []byte {
	b = append(b, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(len(msg)))
	return append(b, msg...)
}

// timeUnits are the units of grpc-timeout, from the finest.
var timeUnits = []struct {
	letter byte
	unit   time.Duration
}{{'n', time.Nanosecond}, {'u', time.Microsecond}, {'m', time.Millisecond}, {'S', time.Second}, {'M', time.Minute},
	{'H', time.Hour}}

// ParseTimeout parses a value of grpc-timeout. It returns at most 1000 hours.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > 9 {
		return 0, fmt.Errorf("grpc-timeout %q", s)
	}
	n, err := strconv.ParseUint(s[:len(s)-1], 10, 32)
	if err != nil {
		return 0, fmt.Errorf("grpc-timeout %q: %w", s, err)
	}
	for _, u := range timeUnits {
		if u.letter == s[len(s)-1] {
			const most = 1000 * time.Hour // far above any deadline, far below an overflow
			if time.Duration(n) > most/u.unit {
				return most, nil
			}
			return time.Duration(n) * u.unit, nil
		}
	}
	return 0, fmt.Errorf("grpc-timeout %q: unknown unit", s)
}

// FormatTimeout formats a value of grpc-timeout, in the finest unit that fits its 8 digits.
func FormatTimeout(d time.Duration) string {
	d = max(d, 0)
	for _, u := range timeUnits {
		if n := d / u.unit; n < 1e8 {
			return strconv.FormatInt(int64(n), 10) + string(u.letter)
		}
	}
	return "99999999H"
}

// Status is the result of a gRPC call.
type Status struct {
	Code     codes.Code
	Message  string
	Pushback time.Duration // how long the client should wait before a retry; 0: not stated
}

// Trailer returns the trailer fields that state s.
func (s Status) Trailer() []hpack.HeaderField {
	f := []hpack.HeaderField{{Name: "grpc-status", Value: strconv.Itoa(int(s.Code))}}
	if s.Message != "" {
		f = append(f, hpack.HeaderField{Name: "grpc-message", Value: percentEncode(s.Message)})
	}
	if s.Pushback > 0 {
		f = append(f, hpack.HeaderField{Name: "grpc-retry-pushback-ms",
			Value: strconv.FormatInt(max(1, s.Pushback.Milliseconds()), 10)})
	}
	return f
}

// ParseStatus parses the trailer fields of a call. Ok is false if they state no status.
func ParseStatus(fields []hpack.HeaderField) (s Status, ok bool) {
	for _, f := range fields {
		switch f.Name {
		case "grpc-status":
			n, err := strconv.ParseUint(f.Value, 10, 8)
			s.Code, ok = codes.Code(n), err == nil
		case "grpc-message":
			s.Message = f.Value
		case "grpc-retry-pushback-ms":
			if n, err := strconv.ParseInt(f.Value, 10, 32); err == nil && n > 0 {
				s.Pushback = time.Duration(n) * time.Millisecond
			}
		}
	}
	return s, ok
}

// percentEncode encodes the bytes that gRPC does not allow in grpc-message.
func percentEncode(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c >= ' ' && c <= '~' && c != '%' {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
	}
	return b.String()
}

// FieldValue returns the value of the first header field with the name, or "".
func FieldValue(fields []hpack.HeaderField, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
