// Package counts keeps what one mixer does, second by second, so that the cost of many
// can be added up. It is pure: no I/O, no clock, no goroutine; it grows with nothing.
package counts

// Kind is something that is counted, or a peak.
type Kind uint8

// What is counted. Kinds from OpenConnections on are peaks: the most that was seen.
const (
	Taken Kind = iota
	Crowded
	Served
	Short
	RefusedTargetUnreachable
	RefusedTimeExpired
	RefusedPartUnavailable
	RefusedNoServerReached
	Failed
	Expired
	Deserted
	ByOffset
	OffsetAvoided
	NextBestHolder
	LateCopy
	ForcedCopy
	SentToWarmingNode
	OK
	AttemptFailed
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	ConnectionsDialed
	ConnectionsFailed
	ConnectionsClosed
	Probes
	DirectoryCalls
	DirectoryFailed
	ListBytes
	CPUMicros
	OpenConnections
	TimerLagMicros
	ListAgeMillis
	kindCount
)

var names = [kindCount]string{"taken", "crowded", "served", "short", "no_hope", "time_up", "part_lost", "unseen", "failed", "expired",
	"deserted", "by_offset", "left_slow", "next_best", "late_copy", "stranded", "to_cold", "ok", "error", "full", "timed_out",
	"connect_failed", "reset", "cancelled", "moot", "dialed", "dial_failed", "closed", "probes", "directory_calls", "directory_failed",
	"list_bytes", "cpu_us", "open_links", "lag_us", "list_age_ms"}

func (k Kind) String() string { return names[k] }

// IsPeak tells whether a kind is a peak: the most of several, in place of their sum.
func (k Kind) IsPeak() bool { return k >= OpenConnections }

// KindByName returns the kind of a name.
func KindByName(name string) (Kind, bool) {
	for k, n := range names {
		if n == name {
			return Kind(k), true
		}
	}
	return 0, false
}

// Set counts. A nil Set takes everything and keeps nothing.
type Set struct{ n [kindCount]int64 }

// Add adds to a kind, or lifts a peak.
func (s *Set) Add(k Kind, n int64) {
	switch {
	case s == nil:
	case k.IsPeak():
		s.n[k] = max(s.n[k], n)
	default:
		s.n[k] += n
	}
}

// Get returns a kind's count.
func (s *Set) Get(k Kind) int64 {
	if s == nil {
		return 0
	}
	return s.n[k]
}

// Merge adds another set, peaks by the greater.
func (s *Set) Merge(o *Set) {
	for k, n := range o.n {
		s.Add(Kind(k), n)
	}
}

// Each calls f for every kind that is not 0, in order.
func (s *Set) Each(f func(k Kind, n int64)) {
	for k, n := range s.n {
		if n != 0 {
			f(Kind(k), n)
		}
	}
}

// Clear starts again from nothing.
func (s *Set) Clear() { s.n = [kindCount]int64{} }
