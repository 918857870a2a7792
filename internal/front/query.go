// Package front holds what the fronts share: the form of a query's body and the
// rules for what clients name.
package front

import (
	"errors"
	"math"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/transport"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	weightTolerance    = 0.01 // by how much written shares may miss 1 for rounding
	maxParts           = 4096
	maxIdentifierBytes = 128
	// GeneratedIDPrefix begins the ids of queries that come without one. A client's id may
	// not begin so: ids of different fronts can't collide.
	GeneratedIDPrefix = "fl-"
)

// OverloadRetryAfter is how long a client is told to stay away when too much is open.
const OverloadRetryAfter = 250 * time.Millisecond

// Core is what a front needs of the core.
type Core interface {
	Now() time.Duration
	// ReadClock is the clock at this very moment, where Now is that of the present turn.
	ReadClock() time.Duration
	After(d time.Duration, fn func())
	Admit(q broker.Query) (broker.Admission, *broker.QueryHandle)
	Post(fn func())
}

// Conn is a connection to a client.
type Conn interface {
	Write(b []byte) int64
	Close(e transport.End)
	CloseIfReset()
	Flushed() bool
	// InputDelay is how long the bytes of the present Data have waited for us.
	InputDelay() time.Duration
	// InputDrained reports whether nothing that the client has sent waits for us.
	InputDrained() bool
	// Finish says our last words; Close has to follow if the peer does not leave.
	Finish(e transport.End)
}

// ConnectionLimit tells of the connections that may be open.
type ConnectionLimit interface {
	NearLimit() bool // there is hardly room for more
	HalfUsed() bool  // half of them are
}

// IdleTimeout is how long a connection may rest between requests: less while descriptors
// get fewer.
func IdleTimeout(r ConnectionLimit) time.Duration {
	if r.HalfUsed() {
		return reducedIdleTimeout
	}
	return normalIdleTimeout
}

const (
	normalIdleTimeout  = 30 * time.Second
	reducedIdleTimeout = 2 * time.Second
	// SweepInterval is how often a front looks after connections that no event comes for.
	SweepInterval = 250 * time.Millisecond
	// RequestReadTimeout is by when a client has to have said what it wants: after it
	// connected, and after it began.
	RequestReadTimeout = 2 * time.Second
	// LingerTimeout is how long a client gets to take our last words and leave.
	LingerTimeout = 5 * time.Second
	// ResetWait is by when a client that has closed answers what is sent with a reset.
	ResetWait = 20 * time.Millisecond
)

type queryBody struct {
	Slices []struct {
		Slice  *int     `json:"slice"`
		Mass   *float64 `json:"mass"`
		Micros float64  `json:"micros"`
	} `json:"slices"`
	Filter string `json:"filter"`
}

// ParseBody reads a query's parts and text into q.
func ParseBody(text []byte, q *broker.Query) error {
	var b queryBody
	if err := json.Unmarshal(text, &b); err != nil {
		return errors.New("the body is not a query") // the library's words repeat the client's
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
	q.Text = []byte(b.Filter)
	return nil
}

// ApplyIdempotencyKey checks an idempotency key; it stands in a frame's list. Only keyed
// classes keep it.
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

// Sampled thins lines that clients can cause at will.
func Sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: 10, Period: time.Second})
}

// ValidIdentifier tells whether s can stand in a frame's line.
func ValidIdentifier(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= maxIdentifierBytes
}

// NoTenant is the tenant of a query that names none, or one that the settings don't know:
// it uses up nobody's share.
const NoTenant = -1

// TenantIndexes finds tenants by name.
func TenantIndexes(list []decide.Tenant) map[string]int {
	m := map[string]int{}
	for i, t := range list {
		m[t.Name] = i
	}
	return m
}

// ClassIndexes finds classes by name.
func ClassIndexes(list []decide.Class) map[string]int {
	m := map[string]int{}
	for i, c := range list {
		m[c.Name] = i
	}
	return m
}
