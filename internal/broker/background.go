package broker

import "time"

const (
	// inputTime is how long a turn may have lasted when a front begins with what a peer has sent.
	inputTime = 4 * time.Millisecond
	// backgroundTime is how long background tasks run in a turn.
	backgroundTime = 200 * time.Microsecond
	// backgroundPause is how long the event loop sleeps between turns while background tasks wait:
	// long enough for the goroutines that read from peers to run.
	backgroundPause = 50 * time.Microsecond
)

// backgroundTasks is a queue of tasks that run in order, some in each turn of the event loop.
type backgroundTasks struct{ list []func() }

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

// InBackground runs fn in a later turn, after what had arrived by then. A front uses it to handle
// what one peer has sent in pieces, so that other peers, timers and the module have their turn in
// between. Tasks run in the order in which they were added.
func (c *Core) InBackground(fn func()) { c.background.add(fn) }

// TurnSpent reports whether the current turn has taken so long that what else peers have sent
// should be left to background tasks.
func (c *Core) TurnSpent() bool { return c.clock()-c.now > inputTime }

// runBackground runs tasks for backgroundTime, and at least one.
func (c *Core) runBackground() {
	begun := c.clock()
	for fn := c.background.take(); fn != nil; fn = c.background.take() {
		fn()
		if c.clock()-begun >= backgroundTime {
			return
		}
	}
}
