// Package counts holds a mixer's counters, which are logged every second so that those of several
// mixers can be summed. It does no I/O, reads no clock, starts no goroutine and uses constant memory.
package counts

// Kind identifies a counter or a peak value.
type Kind uint8

// The kinds. Those from OpenConnections on are peaks: the highest value seen.
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
	TurnMicros
	InputWaitMicros
	InputBacklogBytes
	UnsentBytes
	ListAgeMillis
	kindCount
)

var names = [kindCount]string{"taken", "crowded", "served", "short", "no_hope", "time_up", "part_lost", "unseen", "failed", "expired",
	"deserted", "by_offset", "left_slow", "next_best", "late_copy", "stranded", "to_cold", "ok", "error", "full", "timed_out",
	"connect_failed", "reset", "cancelled", "moot", "dialed", "dial_failed", "closed", "probes", "directory_calls", "directory_failed",
	"list_bytes", "cpu_us", "open_links", "lag_us",
	"turn_us", "input_wait_us", "backlog_bytes", "unsent_bytes", "list_age_ms"}

// String returns the name under which the kind is logged.
func (k Kind) String() string { return names[k] }

// IsPeak reports whether values of this kind are combined by their maximum instead of their sum.
func (k Kind) IsPeak() bool { return k >= OpenConnections }

// KindByName returns the kind with the given name, and whether there is one.
func KindByName(name string) (Kind, bool) {
	for k, n := range names {
		if n == name {
			return Kind(k), true
		}
	}
	return 0, false
}

// Set holds a value for each kind. A nil Set can be added to and read, and stays empty.
type Set struct{ n [kindCount]int64 }

// Add adds n to a counter, or raises a peak to n if n is higher.
func (s *Set) Add(k Kind, n int64) {
	switch {
	case s == nil:
	case k.IsPeak():
		s.n[k] = max(s.n[k], n)
	default:
		s.n[k] += n
	}
}

// Get returns the value of a kind; 0 for a nil Set.
func (s *Set) Get(k Kind) int64 {
	if s == nil {
		return 0
	}
	return s.n[k]
}

// Merge adds the values of another set: counters are summed, and of peaks the higher one is kept.
func (s *Set) Merge(o *Set) {
	for k, n := range o.n {
		s.Add(Kind(k), n)
	}
}

// Each calls f for each kind whose value is not 0, in the order of kinds.
func (s *Set) Each(f func(k Kind, n int64)) {
	for k, n := range s.n {
		if n != 0 {
			f(Kind(k), n)
		}
	}
}

// Clear sets all values to 0.
func (s *Set) Clear() { s.n = [kindCount]int64{} }
