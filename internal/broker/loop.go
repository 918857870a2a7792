package broker

import (
	"container/heap"
	"sync"
	"time"
)

// mailbox queues functions for the core's goroutine. It has no limit of its own: those who
// post are limited, connections in their number and bytes, dials by their queue.
type mailbox struct {
	mu    *sync.Mutex
	list  *[]func()
	ready chan struct{} // holds a token while functions wait
}

func newMailbox() mailbox {
	return mailbox{mu: new(sync.Mutex), list: new([]func()), ready: make(chan struct{}, 1)}
}

// put appends a function and wakes the event loop. It never blocks.
func (m mailbox) put(fn func()) {
	m.mu.Lock()
	*m.list = append(*m.list, fn)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all functions that wait.
func (m mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := *m.list
	*m.list = nil
	return list
}

// timers is a heap of functions by due time. All share the one time.Timer of the event loop.
type timers struct{ heap timerHeap }

// timer is a function and when it is due.
type timer struct {
	at    time.Duration
	seq   int64 // order of creation, for timers that are due at the same time
	index int   // place in the heap; notInHeap: it has run or was stopped
	fn    func()
}

const notInHeap = -1

// timerHeap implements heap.Interface.
type timerHeap struct {
	list []*timer
	seq  int64
}

func (h *timerHeap) Len() int { return len(h.list) }
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (h *timerHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(h.list)
	h.list = append(h.list, t)
}
func (h *timerHeap) Pop() any {
	n := len(h.list) - 1
	t := h.list[n]
	h.list[n], h.list = nil, h.list[:n]
	t.index = notInHeap
	return t
}

// add has fn run at a time. What fn refers to is held until it has run or the timer is stopped.
func (t *timers) add(at time.Duration, fn func()) *timer {
	t.heap.seq++
	added := &timer{at: at, seq: t.heap.seq, fn: fn}
	heap.Push(&t.heap, added)
	return added
}

// stop removes a timer and releases what its function refers to. It does nothing for nil, and for
// a timer that has run or was stopped.
func (t *timers) stop(old *timer) {
	if old == nil || old.index == notInHeap {
		return
	}
	heap.Remove(&t.heap, old.index)
	old.fn = nil
}

// next returns when the first timer is due; false if there is none.
func (t *timers) next() (time.Duration, bool) {
	if len(t.heap.list) == 0 {
		return 0, false
	}
	return t.heap.list[0].at, true
}

// run runs the functions that are due, also those that they add.
func (t *timers) run(now time.Duration) {
	for len(t.heap.list) > 0 && t.heap.list[0].at <= now {
		heap.Pop(&t.heap).(*timer).fn()
	}
}
