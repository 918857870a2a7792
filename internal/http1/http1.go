// Package http1 parses HTTP/1.1 messages incrementally, as their bytes arrive. It does no I/O and
// uses no clock.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits on the size of a message.
const (
	MaxHeadBytes     = 16 << 10 // bytes of start line and header fields
	MaxBodyBytes     = 64 << 10 // bytes of a request body
	maxChunkSizeLine = 256      // bytes of a chunk's size line
	maxTrailerBytes  = 4 << 10  // bytes of trailer fields
	maxFields        = 128      // header fields; each takes many times its length in memory
)

// Error is input that is malformed or over a limit. Status and Reason are the status and the text of
// the answer to it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// malformed returns an Error with status 400.
func malformed(format string, args ...any) *Error { return &Error{400, fmt.Sprintf(format, args...)} }

// Header holds header fields by their lower-case names. The values of a repeated field are joined
// by commas.
type Header map[string]string

// Get returns a field's value, or "". The name has to be in lower case.
func (h Header) Get(name string) string { return h[name] }

// Message is a request or a response.
type Message struct {
	Method, Target string // request only
	Status         int    // response only
	Minor          int    // HTTP/1.Minor
	Header         Header
	Body           []byte
	Close          bool // the connection ends after this message
}

// Parser parses one direction of a connection: a stream of requests, or of responses. Bytes go in
// by Write, messages come out of Next.
type Parser struct {
	response        bool
	maxBody         int
	buf             []byte
	consumed        int // bytes before buf that its memory still holds
	scanned         int // bytes of buf already searched for the end of the head
	msg             *Message
	headBytes       int // of msg
	state           state
	missing         int // bytes of the body or chunk that have not arrived
	trailerBytes    int // bytes of trailer fields so far
	eof             bool
	expectsContinue bool // the request has Expect: 100-continue, and ExpectsContinue has not reported it yet
	err             error
}

// state is the part of a message that the parser expects next.
type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inBodyUntilEOF
)

// NewRequestParser returns a parser of requests with bodies of at most MaxBodyBytes.
func NewRequestParser() *Parser { return &Parser{maxBody: MaxBodyBytes} }

// NewResponseParser returns a parser of responses with bodies of at most max bytes.
func NewResponseParser(max int) *Parser { return &Parser{response: true, maxBody: max} }

// Write adds received bytes. The parser keeps the slice.
func (p *Parser) Write(b []byte) {
	if len(p.buf) == 0 {
		p.buf = b[:len(b):len(b)]
		return
	}
	p.buf = append(p.buf, b...)
}

// EOF reports that no more bytes follow, which ends a response without a length.
func (p *Parser) EOF() { p.eof = true }

// Buffered returns the number of bytes that wait to be parsed.
func (p *Parser) Buffered() int { return len(p.buf) }

// Held returns the bytes of memory that the message takes which is being received, and what waits
// behind it.
func (p *Parser) Held() int {
	n := cap(p.buf)
	if p.msg != nil {
		n += p.headBytes + cap(p.msg.Body)
	}
	return n
}

// Started reports whether a message has begun and not ended.
func (p *Parser) Started() bool { return len(p.buf) > 0 || p.state != inHead }

// ExpectsContinue reports whether the sender of the present message waits for status 100 before it
// sends the body. It reports true at most once per message.
func (p *Parser) ExpectsContinue() bool {
	e := p.expectsContinue && p.state != inHead && len(p.msg.Body) == 0 && len(p.buf) == 0
	p.expectsContinue = p.expectsContinue && !e
	return e
}

// Next returns the next complete message, or nil if more bytes are needed. An error is always an
// *Error; the stream can't be parsed any further after it.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	for {
		done, more, err := p.advance()
		if err != nil {
			p.err = err
			return nil, err
		}
		if done {
			m := p.msg
			p.msg, p.state, p.scanned, p.trailerBytes, p.expectsContinue = nil, inHead, 0, 0, false
			return m, nil
		}
		if !more {
			if p.consumed > len(p.buf) {
				p.buf, p.consumed = bytes.Clone(p.buf), 0 // releases what came before
			}
			return nil, nil
		}
	}
}

// advance does one parsing step. Done says that the message is complete, more that another step
// may follow with the bytes at hand.
func (p *Parser) advance() (done, more bool, err error) {
	switch p.state {
	case inHead:
		return p.parseHead()
	case inBody, inChunk:
		n := min(p.missing, len(p.buf))
		p.msg.Body = append(p.msg.Body, p.buf[:n]...)
		p.consume(n)
		if p.missing -= n; p.missing > 0 {
			return false, false, nil
		}
		if p.state == inBody {
			return true, false, nil
		}
		p.state = inChunkEnd
		return false, true, nil
	case inChunkEnd:
		line, ok, err := p.line(2)
		if err != nil || !ok {
			return false, false, err
		}
		if len(line) > 0 {
			return false, false, malformed("a chunk is longer than its size")
		}
		p.state = inChunkSize
		return false, true, nil
	case inChunkSize:
		return p.parseChunkSize()
	case inTrailer:
		line, ok, err := p.line(maxTrailerBytes)
		if err != nil || !ok {
			return false, false, err
		}
		// Bounds trailers, which may be sent without end.
		if p.trailerBytes += len(line); p.trailerBytes > maxTrailerBytes {
			return false, false, &Error{431, "trailer too long"}
		}
		return len(line) == 0, len(line) > 0, nil
	default: // toEOF
		p.msg.Body = append(p.msg.Body, p.buf...)
		p.buf = nil
		if len(p.msg.Body) > p.maxBody {
			return false, false, &Error{413, "body too long"}
		}
		return p.eof, false, nil
	}
}

func (p *Parser) consume(n int) {
	if p.buf = p.buf[n:]; len(p.buf) == 0 {
		p.buf, p.consumed = nil, 0
		return
	}
	p.consumed += n
}

// line returns the next line without its line end, and whether it is complete. It is an error if no
// line end follows within max bytes.
func (p *Parser) line(max int) (string, bool, error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 && len(p.buf) <= max {
		return "", false, nil
	}
	if i < 0 || i > max {
		return "", false, malformed("line too long")
	}
	s := strings.TrimSuffix(string(p.buf[:i]), "\r")
	p.consume(i + 1)
	return s, true, nil
}

func (p *Parser) parseChunkSize() (done, more bool, err error) {
	line, ok, err := p.line(maxChunkSizeLine)
	if err != nil || !ok {
		return false, false, err
	}
	size, _, _ := strings.Cut(line, ";") // chunk extensions are ignored
	size = strings.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > 8 || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
		return false, false, malformed("chunk size %q", size)
	}
	n, err := strconv.ParseUint(size, 16, 32)
	if err != nil {
		return false, false, malformed("chunk size %q", size)
	}
	if n == 0 {
		p.state = inTrailer
		return false, true, nil
	}
	if len(p.msg.Body)+int(n) > p.maxBody {
		return false, false, &Error{413, "body too long"}
	}
	p.missing, p.state = int(n), inChunk
	return false, true, nil
}

// parseHead parses the start line and the header fields once all of them have arrived.
func (p *Parser) parseHead() (done, more bool, err error) {
	for p.scanned == 0 && len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') {
		p.consume(1) // empty lines before a message are skipped
	}
	end, after := findHeadEnd(p.buf, max(0, p.scanned-3))
	if end < 0 {
		if p.scanned = len(p.buf); p.scanned > MaxHeadBytes {
			return false, false, &Error{431, "header fields too long"}
		}
		return false, false, nil
	}
	if end > MaxHeadBytes {
		return false, false, &Error{431, "header fields too long"}
	}
	if bytes.Count(p.buf[:end], []byte{'\n'}) > maxFields {
		return false, false, &Error{431, "too many header fields"}
	}
	text := string(p.buf[:end])
	p.headBytes = len(text)
	p.consume(after)
	p.scanned = 0
	if err := p.parseHeadLines(text); err != nil {
		return false, false, err
	}
	return p.parseBodyFraming()
}

// findHeadEnd searches b, beginning at from, for the empty line after the head. It returns where the
// head ends and where the body begins, or -1 and 0.
func findHeadEnd(b []byte, from int) (end, after int) {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i, i + 2
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i, i + 3
		}
	}
	return -1, 0
}

func (p *Parser) parseHeadLines(text string) error {
	lines := strings.Split(text, "\n")
	m := &Message{Header: Header{}}
	first := strings.TrimSuffix(lines[0], "\r")
	var version string
	if p.response {
		var rest string
		version, rest, _ = strings.Cut(first, " ")
		code, _, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 {
			return malformed("status line %q", first)
		}
		m.Status = n
	} else {
		f := strings.Split(first, " ")
		if len(f) != 3 || !isToken(f[0]) || f[1] == "" {
			return malformed("request line %q", first)
		}
		m.Method, m.Target, version = f[0], f[1], f[2]
	}
	switch version {
	case "HTTP/1.1":
		m.Minor = 1
	case "HTTP/1.0":
	default:
		return malformed("version %q", version)
	}
	for _, line := range lines[1:] {
		line = strings.TrimSuffix(line, "\r")
		name, value, ok := strings.Cut(line, ":")
		// A space before the colon and a folded line are rejected, as they allow request smuggling.
		if !ok || !isToken(name) {
			return malformed("header field %q", line)
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\x00\r") {
			return malformed("header field %q", line)
		}
		if old, again := m.Header[name]; again {
			if name == "content-length" && old != value {
				return malformed("two lengths")
			}
			if name != "content-length" {
				value = old + "," + value
			}
		}
		m.Header[name] = value
	}
	m.Close = closesConnection(m)
	p.expectsContinue = strings.EqualFold(m.Header["expect"], "100-continue")
	p.msg = m
	return nil
}

// closesConnection reports whether the connection ends after the message.
func closesConnection(m *Message) bool {
	keep := m.Minor >= 1
	for _, t := range strings.Split(strings.ToLower(m.Header["connection"]), ",") {
		switch strings.Trim(t, " \t") {
		case "close":
			return true
		case "keep-alive":
			keep = true
		}
	}
	return !keep
}

// parseBodyFraming determines how the body ends: by a length, by chunks or with the connection.
func (p *Parser) parseBodyFraming() (done, more bool, err error) {
	m := p.msg
	length, hasLength := m.Header["content-length"]
	coding, hasCoding := m.Header["transfer-encoding"]
	switch {
	case hasCoding && hasLength:
		return false, false, malformed("both a length and a transfer coding") // allows request smuggling
	case hasCoding:
		if !strings.EqualFold(coding, "chunked") {
			return false, false, &Error{501, "unknown transfer coding"}
		}
		p.state = inChunkSize
		return false, true, nil
	case hasLength:
		if length == "" || len(length) > 18 || strings.Trim(length, "0123456789") != "" {
			return false, false, malformed("length %q", length)
		}
		n, err := strconv.Atoi(length)
		if err != nil {
			return false, false, malformed("length %q", length)
		}
		if n > p.maxBody {
			return false, false, &Error{413, "body too long"}
		}
		if n == 0 {
			return true, false, nil
		}
		p.missing, p.state = n, inBody
		return false, true, nil
	case p.response && m.Status >= 200 && m.Status != 204 && m.Status != 304:
		m.Close = true
		p.state = inBodyUntilEOF
		return false, true, nil
	}
	return true, false, nil
}

// isToken reports whether s is a token of the HTTP grammar, such as a method or a field name.
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return true
}
