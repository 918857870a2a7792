// Package queue is the event queue of a test's simulation on a virtual clock. Events run in the
// order of their times; events with the same time run in the order in which they were added.
package queue

import (
	"container/heap"
	"time"
)

// Queue holds the pending events. The zero Queue is empty. It is not safe for concurrent use.
type Queue struct {
	list     events
	sequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// Add schedules do at the given time of the virtual clock.
func (q *Queue) Add(at time.Duration, do func()) {
	q.sequence++
	heap.Push(&q.list, event{at, q.sequence, do})
}

// Next removes and returns the earliest event, if it is due by end (inclusive).
func (q *Queue) Next(end time.Duration) (at time.Duration, do func(), ok bool) {
	if len(q.list) == 0 || q.list[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&q.list).(event)
	return e.at, e.do, true
}

// Run runs all events that are due within d, also those added meanwhile, and advances the clock
// by d. It calls then after each event, if then is not nil.
func (q *Queue) Run(now *time.Duration, d time.Duration, then func()) {
	end := *now + d
	for at, do, ok := q.Next(end); ok; at, do, ok = q.Next(end) {
		*now = at
		do()
		if then != nil {
			then()
		}
	}
	*now = end
}
