package tracing

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a stretch of a query's time was spent on.
type Stage uint8

// What time goes to.
const (
	Mixer   Stage = iota // the mixer itself: waiting for a server that may take the part, or for its own step
	Connect              // waiting for a connection to the node
	Write                // until the part's last byte was written
	Node                 // the node: from then until its answer began, or nobody waited any more
	Read                 // until the answer was whole
)

// Segment is a stretch of the critical path: the chain of waits that made a query
// take as long as it did. Segments are in order and have no gaps.
type Segment struct {
	From, To time.Duration
	Stage    Stage
	Part     int // index; -1: none
	Attempt  int // index; -1: none
}

// CriticalPath is a query's critical path. In each step it goes through the part that
// was last to come in, or through one that never came in, and there through the
// attempts in the order in which they were waited for: an earlier attempt until the
// next one was sent, the last until the part's end.
func CriticalPath(q *Query) []Segment {
	var path []Segment
	at := q.Begin
	add := func(to time.Duration, what Stage, part, attempt int) {
		if to = min(to, q.End); to > at {
			path = append(path, Segment{at, to, what, part, attempt})
			at = to
		}
	}
	for step := range uint8(2) {
		part, end := q.lastPart(step)
		if part < 0 {
			continue
		}
		add(q.Parts[part].Begin, Mixer, -1, -1)
		awaitedAttempts := q.awaitedAttempts(part)
		for i, n := range awaitedAttempts {
			a := &q.Attempts[n]
			add(a.Begin, Mixer, part, -1)
			until := end
			if i+1 < len(awaitedAttempts) {
				until = min(end, q.Attempts[awaitedAttempts[i+1]].Begin)
			} else if a.Over {
				until = min(end, a.End)
			}
			stage := func(t time.Duration, what Stage) {
				if t > 0 {
					add(min(t, until), what, part, n)
				}
			}
			stage(a.Connected, Connect)
			if a.Connected == 0 && a.Written == 0 && a.Heard == 0 {
				stage(until, Connect)
			}
			stage(a.Written, Write)
			stage(a.Heard, Node)
			if a.Heard > 0 {
				stage(until, Read)
			} else {
				stage(until, Node)
			}
		}
		add(end, Mixer, part, -1)
	}
	add(q.End, Mixer, -1, -1)
	return path
}

// gate returns the part that a step ended with, and when: one that did not come in
// goes before all that did.
func (q *Query) lastPart(step uint8) (part int, end time.Duration) {
	part = -1
	over := q.End
	if step == 0 && q.Step2Begin > 0 {
		over = q.Step2Begin
	}
	missing := false
	for i := range q.Parts {
		p := &q.Parts[i]
		if p.Step != step {
			continue
		}
		// A step that was answered short did not wait for what is missing any longer
		// than for the rest.
		t := p.End
		if !p.Answered {
			t = over
		}
		if part < 0 || !p.Answered && !missing || p.Answered != missing && t > end {
			part, end, missing = i, t, !p.Answered
		}
	}
	return part, end
}

// awaitedAttempts returns the attempts of a part that were waited for, in order. A copy that
// lost was not: its part did not wait for it.
func (q *Query) awaitedAttempts(part int) (list []int) {
	won := -1
	for i := range q.Attempts {
		if int(q.Attempts[i].Part) != part {
			continue
		}
		if q.Attempts[i].Won {
			won = i
		}
		list = append(list, i)
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(q.Attempts[a].Begin, q.Attempts[b].Begin) })
	if won >= 0 {
		list = list[:slices.Index(list, won)+1]
	}
	return list
}

// SegmentExcess is a share of the time by which a query was over its wanted time.
type SegmentExcess struct {
	Segment
	Over time.Duration
}

// Over charges the time by which a query was over its wanted time to its critical
// path: the longest stretches first, each at most for its own length.
func Over(q *Query) []SegmentExcess {
	left := q.End - q.TargetTime
	path := CriticalPath(q)
	slices.SortStableFunc(path, func(a, b Segment) int { return cmp.Compare(b.To-b.From, a.To-a.From) })
	var list []SegmentExcess
	for _, s := range path {
		if left <= 0 {
			break
		}
		over := min(left, s.To-s.From)
		list = append(list, SegmentExcess{s, over})
		left -= over
	}
	return list
}
