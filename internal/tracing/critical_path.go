package tracing

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a segment of a query's time was spent on.
type Stage uint8

// The stages.
const (
	Mixer   Stage = iota // in the mixer: waiting for a node that may take the part, or for the mixer's own processing
	Connect              // waiting for a connection to the node
	Write                // writing the part, until its last byte was written
	Node                 // waiting for the node, until its answer began or the attempt was no longer waited for
	Read                 // reading the answer, until it was complete
)

// Segment is an interval of the critical path, the chain of waits that made a query take
// as long as it did. The segments of a path are in order and have no gaps. Times are
// those of the core's clock.
type Segment struct {
	From, To time.Duration
	Stage    Stage
	Part     int // index in Query.Parts; -1: none
	Attempt  int // index in Query.Attempts; -1: none
}

// CriticalPath returns the critical path of a query that has ended. In each step it
// follows the part that was answered last, or one that was never answered. Within the
// part it follows the attempts in the order in which they were waited for: an earlier
// attempt until the next one was sent, the last one until the end of the part.
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

// lastPart returns the part that a step waited for last, and until when. A part without
// an answer takes precedence over all that have one. It returns -1 if the step has no parts.
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
		// A step that ended with parts missing waited for those until its end.
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

// awaitedAttempts returns the attempts that a part waited for, in order of their start. It
// leaves out those sent after the attempt that won, such as copies that lost.
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

// SegmentExcess is the share of one segment in the time by which a query missed its
// latency target.
type SegmentExcess struct {
	Segment
	Over time.Duration
}

// Over attributes the time by which a query missed its latency target to the segments of
// its critical path: to the longest first, to each at most its own length.
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
