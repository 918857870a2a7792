package platform

import (
	"time"

	"kiteloft/internal/front"
	"kiteloft/internal/gate"
	"kiteloft/internal/http1"
)

const (
	maxPipelined     = 64  // requests that are parsed ahead while one is being answered
	assumedHeadBytes = 512 // bytes counted for a request besides its body
	// inputCheckInterval is how often a connection is looked at whose input has to be read first.
	inputCheckInterval = 5 * time.Millisecond
	// maxDiscardWait is how long requests wait for the end of what their client sends and is dropped.
	maxDiscardWait = 250 * time.Millisecond
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
	failBy     time.Duration // when it counts as lost if it has no answer; 0: it is malformed
	waited     bool          // for earlier requests: its client may have left since
	refused    bool          // it is refused in its turn; message has only Close
}

// newPipelinedRequest returns a request whose last byte arrived at a time.
func newPipelinedRequest(m *http1.Message, at time.Duration) pipelinedRequest {
	r := pipelinedRequest{message: m, receivedAt: at}
	if left, ok := parseDeadline(m); ok {
		r.failBy = at + left + maxAnswerDelay
	}
	return r
}

// refuse has all requests refused in their turn, and frees what they hold.
func (p pipeline) refuse() {
	for i := range p {
		p[i].refused, p[i].message = true, &http1.Message{Close: p[i].message.Close}
	}
}

// size returns how many bytes the requests count as.
func (p pipeline) size() int {
	n := 0
	for _, w := range p {
		if !w.refused {
			n += assumedHeadBytes + len(w.message.Body)
		}
	}
	return n
}

// nextRequest returns the next complete request, or nil if there is none yet.
func (c *client) nextRequest() (*pipelinedRequest, error) {
	if len(c.pipelined) > 0 {
		first := c.pipelined[0]
		c.pipelined[0] = pipelinedRequest{} // releases its message
		c.pipelined = c.pipelined[1:]
		first.waited = true
		return &first, nil
	}
	message, err := c.parser.Next()
	if message == nil || err != nil {
		c.arrivalTimes.discard()
		return nil, err
	}
	next := newPipelinedRequest(message, c.arrivalTimes.lastByteAt(c.parser.Buffered(), c.f.core.Now()))
	return &next, nil
}

// waitForInput reports whether the next request has to wait until more of what the client has sent is
// read, and calls serveNext again later then. A client that sends several requests and closes its
// connection has left, which shows only behind its last byte; a request that has waited for earlier
// ones may be one of those. What is read is bounded: beyond maxBufferedBytes it is dropped, and the
// request waits for the end of that for maxDiscardWait at most.
func (c *client) waitForInput() bool {
	switch {
	case len(c.pipelined) == 0:
		return false
	case c.overflow == nil && c.conn.InputDrained():
		return false
	case c.overflow != nil && (c.f.core.Now() > c.discardUntil || !c.conn.DiscardInput()):
		return false
	}
	c.awaitsInput = true
	c.f.core.After(inputCheckInterval, func() {
		c.awaitsInput = false
		c.serveNext()
	})
	return true
}

// waitForOutput reports whether the next request has to wait until the client has read more of the
// answers to earlier ones, and calls serveNext again later then. It bounds the memory that answers
// take.
func (c *client) waitForOutput() bool {
	if c.conn.Unsent() <= front.MaxUnsent || !c.hasPendingInput() {
		return false
	}
	c.awaitsOutput = true
	c.f.core.After(front.OutputCheckInterval, func() {
		c.awaitsOutput = false
		c.serveNext()
	})
	return true
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
		c.pipelined = append(c.pipelined, newPipelinedRequest(m, c.arrivalTimes.lastByteAt(c.parser.Buffered(), c.f.core.Now())))
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
		if w.failBy > 0 {
			c.current.failBy(w.failBy)
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
