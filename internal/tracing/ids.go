// Package tracing decides what is kept of each query's story: which attempt on
// which stock node cost the time. It builds the tree of a query's spans from facts
// that the core hands over, decides at the tail which trees are kept, and bounds
// what is held. It is pure: no I/O, no clock, no goroutine. Times are those of the
// core's clock.
package tracing

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// TraceID names a trace, as W3C Trace Context has it; the zero value is none.
type TraceID [16]byte

// SpanID names a span within a trace; the zero value is none.
type SpanID [8]byte

// IsZero reports whether there is no id.
func (t TraceID) IsZero() bool { return t == TraceID{} }

// IsZero reports whether there is no id.
func (s SpanID) IsZero() bool { return s == SpanID{} }

// String is the id in lower-case hex.
func (t TraceID) String() string { return hex.EncodeToString(t[:]) }

// String is the id in lower-case hex.
func (s SpanID) String() string { return hex.EncodeToString(s[:]) }

// randomBits are the bits of a trace id that W3C's level 2 wants random, and by
// which consistent sampling chooses: the last 56.
const randomBits = 56

func (t TraceID) random() uint64 {
	return binary.BigEndian.Uint64(t[8:]) & (1<<randomBits - 1)
}

// KeyedTrace derives the trace of a keyed query. Mixers share nothing, so a retry
// that comes to another one lands in the trace of its first try by this alone.
func KeyedTrace(class, key string) TraceID {
	sum := sha256.Sum256([]byte(class + "\x00" + key))
	return TraceID(sum[:16])
}

// Child derives the id of a span from its root's and its place in the tree, so that
// it need not be kept. Place counts from 1; 0 is the root itself.
func (s SpanID) Child(place int) SpanID {
	if place == 0 {
		return s
	}
	// The finalizer of SplitMix64: places next to each other get ids far apart.
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
