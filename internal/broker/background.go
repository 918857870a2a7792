package broker

import "time"

const (
	// inputTime is how long a turn may have lasted when a front begins with what a peer has sent.
	inputTime = 4 * time.Millisecond
	// backgroundTime is how long background tasks run in a turn.
	backgroundTime = 200 * time.Microsecond
	// backgroundInterval is the longest time between turns in which background tasks run, while
	// there is something else to do in each turn.
	backgroundInterval = 5 * time.Millisecond
	// backgroundPause is how long the event loop sleeps between turns while background tasks wait:
	// long enough for the goroutines that read from peers to run.
	backgroundPause = 250 * time.Microsecond
)

// backgroundTasks is a queue of tasks that run in order, a few at a time.
type backgroundTasks struct {
	list  []func()
	ranAt time.Duration // when the last of them ran
}

// add appends a task.
func (t *backgroundTasks) add(fn func()) { t.list = append(t.list, fn) }

// take removes and returns the first task; nil if there is none.
func (t *backgroundTasks) take() func() {
	if len(t.list) == 0 {
		return nil
	}
	fn := t.list[0]
	t.list[0] = nil // releases what it refers to
	t.list = t.list[1:]
	return fn
}

// InBackground runs fn in a later turn. A front uses it to handle in pieces what one peer has sent, so
// that other peers, timers and the module have their turn in between. Tasks run in the order in which
// they were added: all the time while nothing else is to be done, else a few each backgroundInterval.
func (c *Core) InBackground(fn func()) { c.background.add(fn) }

// TurnSpent reports whether the current turn has taken so long that what else peers have sent
// should be left to a later turn.
func (c *Core) TurnSpent() bool { return c.clock()-c.now > inputTime }

// runBackground runs tasks for backgroundTime, and at least one. In a turn in which something was
// posted it does so only once in each backgroundInterval.
func (c *Core) runBackground(posted bool) {
	if posted && c.now < c.background.ranAt+backgroundInterval {
		return
	}
	c.background.ranAt = c.now
	begun := c.clock()
	for fn := c.background.take(); fn != nil; fn = c.background.take() {
		fn()
		if c.clock()-begun >= backgroundTime {
			return
		}
	}
}
