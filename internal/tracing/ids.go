// Package tracing records traces of queries, which show which attempt on which stock
// node took the time. It builds the spans of a query from what the core reports, decides
// after the query has ended whether its trace is kept (tail sampling), and bounds the
// memory that traces take. It does no I/O, reads no clock and starts no goroutines.
// Times are those of the core's clock.
package tracing

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// TraceID identifies a trace, as defined by W3C Trace Context. The zero value is invalid.
type TraceID [16]byte

// SpanID identifies a span within a trace. The zero value is invalid.
type SpanID [8]byte

// IsZero reports whether the id is unset.
func (t TraceID) IsZero() bool { return t == TraceID{} }

// IsZero reports whether the id is unset.
func (s SpanID) IsZero() bool { return s == SpanID{} }

// String returns the id in lower-case hex.
func (t TraceID) String() string { return hex.EncodeToString(t[:]) }

// String returns the id in lower-case hex.
func (s SpanID) String() string { return hex.EncodeToString(s[:]) }

// randomBits is the number of trailing bits of a trace id that W3C Trace Context level 2
// requires to be random. Consistent sampling decides by them.
const randomBits = 56

func (t TraceID) random() uint64 {
	return binary.BigEndian.Uint64(t[8:]) & (1<<randomBits - 1)
}

// KeyedTrace derives the trace id of a query from its class and idempotency key. Mixers
// share no state on traces, so only this puts a retry that reaches another mixer into the
// trace of its first try.
func KeyedTrace(class, key string) TraceID {
	sum := sha256.Sum256([]byte(class + "\x00" + key))
	return TraceID(sum[:16])
}

// Child derives the id of a span from the id of its root and its place in the tree, so
// that it need not be stored. Places count from 1; 0 is the root itself.
func (s SpanID) Child(place int) SpanID {
	if place == 0 {
		return s
	}
	// The finalizer of SplitMix64 gives adjacent places ids that are far apart.
	x := binary.BigEndian.Uint64(s[:]) + uint64(place)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	if x == 0 {
		x = 1
	}
	var out SpanID
	binary.BigEndian.PutUint64(out[:], x)
	return out
}
