package broker

import (
	"container/heap"
	"sync"
	"time"
)

// mailbox holds functions for the core's goroutine. What posts to it is bounded
// by its own limits: connections by number and by bytes, dials by their queue.
type mailbox struct {
	mu    *sync.Mutex
	list  *[]func()
	ready chan struct{}
}

func newMailbox() mailbox {
	return mailbox{mu: new(sync.Mutex), list: new([]func()), ready: make(chan struct{}, 1)}
}

func (m mailbox) put(fn func()) {
	m.mu.Lock()
	*m.list = append(*m.list, fn)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

func (m mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := *m.list
	*m.list = nil
	return list
}

// timers is a heap of moments. All share the loop's one timer object.
type timers struct{ heap timerHeap }

type timer struct {
	at  time.Duration
	seq int64
	fn  func()
}

type timerHeap struct {
	list []timer
	seq  int64
}

func (h *timerHeap) Len() int { return len(h.list) }
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (h *timerHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *timerHeap) Push(x any)    { h.list = append(h.list, x.(timer)) }
func (h *timerHeap) Pop() any {
	n := len(h.list) - 1
	x := h.list[n]
	h.list[n] = timer{}
	h.list = h.list[:n]
	return x
}

func (t *timers) add(at time.Duration, fn func()) {
	t.heap.seq++
	heap.Push(&t.heap, timer{at, t.heap.seq, fn})
}

func (t *timers) next() (time.Duration, bool) {
	if len(t.heap.list) == 0 {
		return 0, false
	}
	return t.heap.list[0].at, true
}

// run runs what is due.
func (t *timers) run(now time.Duration) {
	for len(t.heap.list) > 0 && t.heap.list[0].at <= now {
		heap.Pop(&t.heap).(timer).fn()
	}
}
