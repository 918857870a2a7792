// Package front holds what the client-facing protocols share: the interfaces to the core and
// to client connections, timeouts, the JSON form of a query and the rules for identifiers.
package front

import (
	"errors"
	"math"
	"strings"
	"time"
	"unicode/utf8"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/transport"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	weightTolerance    = 0.01 // largest difference from 1 of the sum of a query's weights, for rounding
	maxParts           = 4096
	maxIdentifierBytes = 128
	// GeneratedIDPrefix starts the ids that a front generates for queries that arrive without
	// one. Ids from clients must not start with it, so that ids of different fronts can't
	// collide.
	GeneratedIDPrefix = "fl-"
)

// OverloadRetryAfter is the delay before a retry that a client is told when too many queries
// are open or the process is shutting down.
const OverloadRetryAfter = 250 * time.Millisecond

// Core is the part of broker.Core that a front uses. Except for Post, its methods may only be
// called on the core's goroutine.
type Core interface {
	// Now returns the time at which the current turn of the event loop began.
	Now() time.Duration
	// ReadClock reads the clock, without waiting for the next turn.
	ReadClock() time.Duration
	// After calls fn on the core's goroutine once d has passed.
	After(d time.Duration, fn func())
	// Admit submits a query. Unless it returns broker.Taken, the front answers the client.
	Admit(q broker.Query) (broker.Admission, *broker.QueryHandle)
	// Post has fn called on the core's goroutine. It may be called on any goroutine.
	Post(fn func())
	// InBackground calls fn in a later turn of the event loop, when there is little else to do.
	InBackground(fn func())
	// TurnSpent reports whether the current turn has taken so long that what else clients have
	// sent should be left to a later one.
	TurnSpent() bool
}

// Conn is a connection to a client, as transport.Conn implements it.
type Conn interface {
	// Write sends b without blocking. It returns the offset of the end of b in what was written.
	Write(b []byte) int64
	// Close closes the connection and records e as the reason.
	Close(e transport.End)
	// CloseIfReset closes the connection if the client has reset it.
	CloseIfReset()
	// Flushed reports whether all written bytes have been sent.
	Flushed() bool
	// Unsent returns how many written bytes wait for the client to read.
	Unsent() int
	// InputDelay returns, within Data, how long its bytes have waited since they arrived.
	InputDelay() time.Duration
	// DiscardInput drops what the client sends from now on, unread. It returns whether there was
	// anything, so that more may be on its way.
	DiscardInput() bool
	// PeerGone reports whether the client has closed the connection, even if bytes that it sent
	// before have not been read.
	PeerGone() bool
	// InputDrained reports whether no bytes from the client are waiting to be handled.
	InputDrained() bool
	// Finish ends reading and writing: what has been written is still sent. The caller has
	// to call Close if the peer does not close the connection.
	Finish(e transport.End)
}

// ConnectionLimit reports how near the number of open connections is to its limit.
type ConnectionLimit interface {
	NearLimit() bool // accepted connections will soon be closed
	HalfUsed() bool  // more than half of the allowed connections are open
}

// IdleTimeout returns how long a connection may stay open between requests. It is shorter
// while more than half of the allowed connections are open, to free file descriptors.
func IdleTimeout(limit ConnectionLimit) time.Duration {
	if limit.HalfUsed() {
		return reducedIdleTimeout
	}
	return normalIdleTimeout
}

const (
	normalIdleTimeout  = 30 * time.Second
	reducedIdleTimeout = 2 * time.Second
	// SweepInterval is how often a front checks its connections for timeouts, which no event
	// from the connection reports.
	SweepInterval = 250 * time.Millisecond
	// RequestReadTimeout limits the time from a client's connect to its first request, and
	// from a request's first byte to its last.
	RequestReadTimeout = 2 * time.Second
	// LingerTimeout is how long a client has to read the last answer and close its side
	// before the connection is closed.
	LingerTimeout = 5 * time.Second
	// PieceTime is how long what one client has sent is handled at a time, before other clients
	// have their turn.
	PieceTime = 100 * time.Microsecond
	// MaxUnsent is how many bytes may wait for a client to read before more of its requests are
	// begun, and OutputCheckInterval how often that is checked.
	MaxUnsent           = 64 << 10
	OutputCheckInterval = 5 * time.Millisecond
	// ResetWait is how long after sending to check for a reset, with which a client that has
	// closed its connection answers.
	ResetWait = 20 * time.Millisecond
)

// queryBody is the JSON form of a query.
type queryBody struct {
	Slices []struct {
		Slice  *int     `json:"slice"`
		Mass   *float64 `json:"mass"`
		Micros float64  `json:"micros"`
	} `json:"slices"`
	Filter string `json:"filter"`
}

// ParseBody reads the JSON form of a query and sets the parts and text of q. The texts of its
// errors are sent to the client.
func ParseBody(text []byte, q *broker.Query) error {
	var b queryBody
	if err := json.Unmarshal(text, &b); err != nil {
		return errors.New("the body is not a query") // the library's error quotes the client's input
	}
	if len(b.Slices) == 0 || len(b.Slices) > maxParts {
		return errors.New("slices: none, or too many")
	}
	sum := 0.0
	for _, s := range b.Slices {
		if s.Slice == nil || s.Mass == nil || s.Micros < 0 || s.Micros > 1e12 {
			return errors.New("slices: one without slice or mass, or with a guess that can't be")
		}
		if !(*s.Mass > 0 && *s.Mass <= 1) {
			return errors.New("slices: a mass that is no share")
		}
		sum += *s.Mass
		q.Parts = append(q.Parts, broker.QueryPart{Shard: *s.Slice, Weight: *s.Mass,
			Work: time.Duration(s.Micros * float64(time.Microsecond))})
	}
	if math.Abs(sum-1) > weightTolerance {
		return errors.New("slices: masses that are no whole")
	}
	if !utf8.ValidString(b.Filter) {
		return errors.New("the filter is not valid UTF-8") // Flight nodes could not be sent it unchanged
	}
	q.Text = []byte(b.Filter)
	return nil
}

// ApplyIdempotencyKey checks an idempotency key and sets it in q if the class c deduplicates
// by key; such a class requires one. The separators ',', '=' and '+' are not allowed in a key,
// because it is sent to nodes as an element of a list. The texts of the errors are sent to the
// client.
func ApplyIdempotencyKey(key string, c *decide.Class, q *broker.Query) error {
	switch {
	case key != "" && (!ValidIdentifier(key) || strings.ContainsAny(key, ",=+")):
		return errors.New("the idempotency key is no word")
	case c.Idempotency != decide.Deduplicated:
		return nil
	case key == "":
		return errors.New("the idempotency key is missing")
	}
	q.Key = key
	return nil
}

// Sampled returns a logger that drops lines above 10 per second, for log lines that clients
// can cause as often as they like.
func Sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: 10, Period: time.Second})
}

// ValidIdentifier reports whether s can be sent in a line of a frame: 1 to 128 printable ASCII
// characters without spaces.
func ValidIdentifier(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= maxIdentifierBytes
}

// NoTenant is the tenant of a query that names none, or one that is not in the settings. Such
// a query does not count against any tenant's allowance.
const NoTenant = -1

// TenantIndexes returns each tenant's index in list by its name.
func TenantIndexes(list []decide.Tenant) map[string]int {
	m := map[string]int{}
	for i, t := range list {
		m[t.Name] = i
	}
	return m
}

// ClassIndexes returns each class's index in list by its name.
func ClassIndexes(list []decide.Class) map[string]int {
	m := map[string]int{}
	for i, c := range list {
		m[c.Name] = i
	}
	return m
}
