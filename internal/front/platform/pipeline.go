package platform

import (
	"time"

	"kiteloft/internal/gate"
	"kiteloft/internal/http1"
)

const (
	maxPipelined     = 64  // requests that are parsed ahead while one is being answered
	assumedHeadBytes = 512 // bytes counted for a request besides its body
	// maxAnswerDelay is how long after its deadline a request may be answered. By the operators'
	// acceptance terms a request counts as lost half a second after it; the process may be
	// stalled for gate.MaxProcessPause, and 50 ms are kept as a margin.
	maxAnswerDelay = 500*time.Millisecond - gate.MaxProcessPause - 50*time.Millisecond
)

// pipeline holds the requests that were parsed while an earlier one is being answered.
type pipeline []pipelinedRequest

// pipelinedRequest is a request and when its last byte arrived.
type pipelinedRequest struct {
	message    *http1.Message
	receivedAt time.Duration
}

// size returns how many bytes the requests count as.
func (p pipeline) size() int {
	n := 0
	for _, w := range p {
		n += assumedHeadBytes + len(w.message.Body)
	}
	return n
}

// nextRequest returns the next complete request and when its last byte arrived, or nil if there
// is none yet.
func (c *client) nextRequest() (*http1.Message, time.Duration, error) {
	if len(c.pipelined) > 0 {
		first := c.pipelined[0]
		c.pipelined = c.pipelined[1:]
		return first.message, first.receivedAt, nil
	}
	message, err := c.parser.Next()
	if message == nil || err != nil {
		c.arrivalTimes.discard()
		return nil, 0, err
	}
	return message, c.arrivalTimes.lastByteAt(c.parser.Buffered(), c.f.core.Now()), nil
}

// readAhead parses requests behind the one that is being answered. A malformed one is rejected
// when it is its turn.
func (c *client) readAhead() {
	for c.current != nil && len(c.pipelined) < maxPipelined {
		m, err := c.parser.Next()
		if m == nil || err != nil {
			if err == nil {
				c.arrivalTimes.discard()
			}
			break
		}
		c.pipelined = append(c.pipelined, pipelinedRequest{m, c.arrivalTimes.lastByteAt(c.parser.Buffered(), c.f.core.Now())})
	}
	c.limitCurrent()
}

// limitCurrent has the request that is being answered fail before a pipelined one counts as
// lost, because answers are sent in the order of the requests.
func (c *client) limitCurrent() {
	if c.current == nil {
		return
	}
	for _, w := range c.pipelined {
		if left, ok := parseDeadline(w.message); ok { // otherwise it is going to be rejected as malformed
			c.current.failBy(w.receivedAt + left + maxAnswerDelay)
		}
	}
}

// failBy has the request fail at a time at the latest. The earliest of several times counts.
func (r *request) failBy(at time.Duration) {
	if r.failDeadline == 0 || at < r.failDeadline {
		r.failDeadline = at
		r.handle.FailBy(at)
	}
}
