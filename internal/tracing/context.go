package tracing

import (
	"encoding/hex"
	"strings"
)

const (
	maxStateBytes   = 512 // bytes of tracestate that are kept; W3C requires at least 512
	maxStateMembers = 32  // list members of a tracestate, the maximum by W3C
	sampledFlag     = 1
	randomFlag      = 2
)

// Context is the trace context that a client sent with its query. The zero value means
// that it sent none.
type Context struct {
	Trace  TraceID
	Parent SpanID
	Flags  byte
	State  string // validated tracestate
}

// IsZero reports whether the client sent no valid trace context.
func (c Context) IsZero() bool { return c.Trace.IsZero() }

// ParseContext parses the headers traceparent and tracestate by the rules of W3C Trace
// Context: with a malformed traceparent both are ignored, and a malformed tracestate is
// dropped alone.
func ParseContext(parent, state string) Context {
	c, ok := parseTraceparent(strings.Trim(parent, " \t"))
	if !ok {
		return Context{}
	}
	c.State = parseTracestate(state)
	return c
}

// ReadContext is like ParseContext but returns nil if there is no valid traceparent, as
// most clients send none.
func ReadContext(parent, state string) *Context {
	if parent == "" {
		return nil
	}
	c := ParseContext(parent, state)
	if c.IsZero() {
		return nil
	}
	return &c
}

func parseTraceparent(s string) (c Context, ok bool) {
	const length = 2 + 1 + 32 + 1 + 16 + 1 + 2
	if len(s) < length || s[2] != '-' || s[35] != '-' || s[52] != '-' {
		return c, false
	}
	var version, flags [1]byte
	if !decodeLowerHex(version[:], s[:2]) || !decodeLowerHex(c.Trace[:], s[3:35]) || !decodeLowerHex(c.Parent[:], s[36:52]) ||
		!decodeLowerHex(flags[:], s[53:55]) {
		return c, false
	}
	switch {
	case version[0] == 0xff, c.Trace.IsZero(), c.Parent.IsZero():
		return c, false
	case version[0] == 0 && len(s) != length:
		return c, false
	case len(s) > length && s[length] != '-': // a later version may add fields after a dash
		return c, false
	}
	c.Flags = flags[0] & (sampledFlag | randomFlag)
	return c, true
}

// decodeLowerHex decodes hex digits, in lower case only as W3C requires.
func decodeLowerHex(dst []byte, s string) bool {
	for i := range len(s) {
		if s[i] >= 'A' && s[i] <= 'F' {
			return false
		}
	}
	n, err := hex.Decode(dst, []byte(s))
	return err == nil && n == len(dst)
}

// parseTracestate returns the tracestate in normalized form, or "" if a member is
// malformed or a key occurs twice. A list that is too long loses its last members.
func parseTracestate(s string) string {
	if s == "" {
		return ""
	}
	seen := map[string]bool{}
	var keep []string
	length := 0
	for m := range strings.SplitSeq(s, ",") {
		m = strings.Trim(m, " \t")
		if m == "" {
			continue
		}
		key, value, ok := strings.Cut(m, "=")
		if !ok || !validStateKey(key) || !validStateValue(value) || seen[key] {
			return ""
		}
		seen[key] = true
		if length += len(m) + 1; len(keep) == maxStateMembers || length > maxStateBytes+1 {
			break
		}
		keep = append(keep, m)
	}
	return strings.Join(keep, ",")
}

func validStateKey(s string) bool {
	if s == "" || len(s) > 256 {
		return false
	}
	tenants := 0
	for i := range len(s) {
		switch c := s[i]; {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case i > 0 && (c == '_' || c == '-' || c == '*' || c == '/'):
		case i > 0 && c == '@' && tenants == 0 && i < len(s)-1:
			tenants++
		default:
			return false
		}
	}
	return true
}

func validStateValue(s string) bool {
	if s == "" || len(s) > 256 || s[len(s)-1] == ' ' {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c < 0x20 || c > 0x7e || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

// Traceparent returns the value of the header traceparent that names span as the parent.
func Traceparent(t TraceID, span SpanID, flags byte) string {
	b := make([]byte, 0, 55)
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, t[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, span[:])
	b = append(b, '-')
	return string(hex.AppendEncode(b, []byte{flags}))
}
