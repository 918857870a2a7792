package counts

import (
	"fmt"
	"strings"
	"time"
)

// recentSize is how many events are kept: some ten seconds of a busy mixer, half a megabyte.
const recentSize = 4096

// Event is something that happened to a request.
type Event struct {
	At      time.Duration // on the monotonic clock
	Request string        // its id on the wire
	Server  string        // that an attempt went to; "": it was none
	Type    Kind          // with the reason in its name: how it was chosen, how it ended
}

// RecentEvents keeps the latest events, so that what was done can be read when something has gone
// wrong. A nil RecentEvents keeps nothing.
type RecentEvents struct {
	ring [recentSize]Event
	next int
}

// Record keeps an event in place of the oldest.
func (r *RecentEvents) Record(e Event) {
	if r != nil {
		r.ring[r.next%recentSize] = e
		r.next++
	}
}

// Describe returns what is known of a request, oldest first, in one line.
func (r *RecentEvents) Describe(request string) string {
	if r == nil {
		return ""
	}
	var b strings.Builder
	for i := max(0, r.next-recentSize); i < r.next; i++ {
		e := r.ring[i%recentSize]
		if e.Request != request {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%.3f %v", e.At.Seconds(), e.Type)
		if e.Server != "" {
			b.WriteString(" " + e.Server)
		}
	}
	return b.String()
}
