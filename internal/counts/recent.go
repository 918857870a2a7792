package counts

import (
	"fmt"
	"strings"
	"time"
)

// recentSize is the number of events kept: about ten seconds of a busy mixer, in half a megabyte.
const recentSize = 4096

// Event records something that happened to a request.
type Event struct {
	At      time.Duration // by the monotonic clock of the core
	Request string        // the request's ID on the wire
	Server  string        // that the attempt was sent to; "" if the event is not about an attempt
	Type    Kind          // its name gives the reason for the choice of server, or how the request ended
}

// RecentEvents is a ring buffer of the latest events, which the log lines of guards quote when
// something has gone wrong. A nil RecentEvents keeps nothing.
type RecentEvents struct {
	ring [recentSize]Event
	next int
}

// Record stores an event, overwriting the oldest one once the buffer is full.
func (r *RecentEvents) Record(e Event) {
	if r != nil {
		r.ring[r.next%recentSize] = e
		r.next++
	}
}

// Describe returns the recorded events of a request in one line, oldest first.
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
