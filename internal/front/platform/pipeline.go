package platform

import (
	"time"

	"kiteloft/internal/gate"
	"kiteloft/internal/http1"
)

const (
	maxPipelined     = 64  // requests that are read behind the one that is being answered
	assumedHeadBytes = 512 // bytes that a request without its body counts for
	// maxAnswerDelay is how long after its time a request may be answered: half a second later it
	// counts as lost (the operators' terms), and we may be held up.
	maxAnswerDelay = 500*time.Millisecond - gate.MaxProcessPause - 50*time.Millisecond
)

// pipeline holds requests that were read behind the one that is being answered.
type pipeline []pipelinedRequest

// pipelinedRequest is a request that was whole at a time.
type pipelinedRequest struct {
	message    *http1.Message
	receivedAt time.Duration
}

// size is how many bytes the requests count for.
func (p pipeline) size() int {
	n := 0
	for _, w := range p {
		n += assumedHeadBytes + len(w.message.Body)
	}
	return n
}

// nextRequest returns the next request and when it was whole; nil: there is none yet.
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

// readAhead reads requests behind the one that is being answered. A fault among them shows when
// it is their turn.
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

// limitCurrent has the request that is being answered end before one behind it counts as lost: answers
// go out in the order of the requests.
func (c *client) limitCurrent() {
	if c.current == nil {
		return
	}
	for _, w := range c.pipelined {
		if left, ok := parseDeadline(w.message); ok { // else it is refused as malformed
			c.current.failBy(w.receivedAt + left + maxAnswerDelay)
		}
	}
}

// failBy has the request fail by then; the earliest moment counts.
func (r *request) failBy(at time.Duration) {
	if r.failDeadline == 0 || at < r.failDeadline {
		r.failDeadline = at
		r.handle.FailBy(at)
	}
}
