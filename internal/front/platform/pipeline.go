package platform

import (
	"time"

	"kiteloft/internal/gate"
	"kiteloft/internal/http1"
)

const (
	mostBehind = 64  // requests that are read behind the one that is being answered
	headSize   = 512 // bytes that a request without its body counts for
	// lateMost is how long after its time a request may be answered: half a second later it
	// counts as lost (the operators' terms), and we may be held up.
	lateMost = 500*time.Millisecond - gate.MaxProcessPause - 50*time.Millisecond
)

// pipeline holds requests that were read behind the one that is being answered.
type pipeline []waiting

// waiting is a request that was whole at a time.
type waiting struct {
	m  *http1.Message
	at time.Duration
}

// size is how many bytes the requests count for.
func (p pipeline) size() int {
	n := 0
	for _, w := range p {
		n += headSize + len(w.m.Body)
	}
	return n
}

// read returns the next request and when it was whole; nil: there is none yet.
func (c *client) read() (*http1.Message, time.Duration, error) {
	if len(c.behind) > 0 {
		first := c.behind[0]
		c.behind = c.behind[1:]
		return first.m, first.at, nil
	}
	m, err := c.parser.Next()
	if m == nil || err != nil {
		c.arrived.unfinished()
		return nil, 0, err
	}
	return m, c.arrived.whole(c.parser.Buffered(), c.f.core.Now()), nil
}

// readAhead reads requests behind the one that is being answered. A fault among them shows when
// it is their turn.
func (c *client) readAhead() {
	for c.open != nil && len(c.behind) < mostBehind {
		m, err := c.parser.Next()
		if m == nil || err != nil {
			if err == nil {
				c.arrived.unfinished()
			}
			break
		}
		c.behind = append(c.behind, waiting{m, c.arrived.whole(c.parser.Buffered(), c.f.core.Now())})
	}
	c.hurry()
}

// hurry has the request that is being answered end before one behind it counts as lost: answers
// go out in the order of the requests.
func (c *client) hurry() {
	if c.open == nil {
		return
	}
	for _, w := range c.behind {
		if left, ok := deadline(w.m); ok { // else it is refused as malformed
			c.open.endBy(w.at + left + lateMost)
		}
	}
}

// endBy has the request fail by then; the earliest moment counts.
func (r *request) endBy(at time.Duration) {
	if r.ends == 0 || at < r.ends {
		r.ends = at
		r.handle.FailBy(at)
	}
}
