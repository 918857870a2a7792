package tracing

// queryQueue is a first-in, first-out queue of queries.
type queryQueue struct {
	list []*Query
	head int
}

func (f *queryQueue) push(q *Query) { f.list = append(f.list, q) }
func (f *queryQueue) len() int      { return len(f.list) - f.head }

func (f *queryQueue) peek() *Query {
	if f.len() == 0 {
		return nil
	}
	return f.list[f.head]
}

func (f *queryQueue) pop() *Query {
	q := f.list[f.head]
	f.list[f.head] = nil
	if f.head++; f.head == len(f.list) {
		f.list, f.head = f.list[:0], 0
	} else if f.head > 256 && f.head > len(f.list)/2 {
		n := copy(f.list, f.list[f.head:])
		clear(f.list[n:])
		f.list, f.head = f.list[:n], 0
	}
	return q
}

// store holds kept traces until they are taken. What can't be held degrades in the
// order of its levels; each goes over the traces once, oldest first, so that the
// work for a trace is bounded.
type keptTraces struct {
	queryQueue
	progress [levelCount]int // by level: how many from the head have been through it
}

// The levels, in the order in which they are gone through.
const (
	dropUneventfulParts = iota // parts that their first attempt answered, off the critical path
	dropSampledTraces          // traces that only chance kept
	dropChildSpans             // all but roots
	dropOldestTraces           // the oldest traces altogether
	levelCount
)

func (s *keptTraces) pop() *Query {
	q := s.queryQueue.pop()
	for i := range s.progress {
		s.progress[i] = max(0, s.progress[i]-1)
	}
	return q
}

// full makes room for one more entry and tells whether there is none.
func (r *Recorder) outOfMemory() bool { return !r.makeRoom(attemptSize) }

// fit makes room for so many bytes, in this order: what waits is decided early; then
// the kept ones degrade, level by level. Open queries stay. It tells whether there
// is room.
func (r *Recorder) makeRoom(room int) bool {
	most := r.cfg.MemoryBytes - room
	for r.bytes > most && r.waiting.len() > 0 {
		r.decide(r.waiting.pop())
	}
	for level := range levelCount {
		for r.bytes > most && r.degradeNext(level) {
		}
	}
	return r.bytes <= most
}

// degrade takes the next kept trace through a level; false: none is left for it.
func (r *Recorder) degradeNext(level int) bool {
	s := &r.kept
	if level == dropOldestTraces {
		if s.len() == 0 {
			return false
		}
		r.discardTrace(s.pop())
		return true
	}
	for s.progress[level] < s.len() {
		at := s.head + s.progress[level]
		q := s.list[at]
		s.progress[level]++
		switch {
		case level == dropUneventfulParts:
			r.dropParts(q, q.uneventfulParts())
		case level == dropSampledTraces && q.KeepReasons == 0:
			r.removeAt(at)
			r.discardTrace(q)
		case level == dropChildSpans:
			r.dropParts(q, nil)
		default:
			continue
		}
		return true
	}
	return false
}

// removeAt takes a trace out of the middle of the store.
func (r *Recorder) removeAt(at int) {
	s := &r.kept
	copy(s.list[at:], s.list[at+1:])
	s.list[len(s.list)-1] = nil
	s.list = s.list[:len(s.list)-1]
	for i := range s.progress {
		if s.progress[i] > at-s.head {
			s.progress[i]--
		}
	}
	if s.len() == 0 {
		s.list, s.head = s.list[:0], 0
	}
}

// lose counts a trace that can't be held.
func (r *Recorder) discardTrace(q *Query) {
	l := &r.lost[q.Class]
	if q.KeepReasons != 0 {
		l.Always++
	} else {
		l.Chance++
	}
	r.release(q)
}

// boringParts tells which parts may go first: those that their first attempt
// answered and that nothing waited for.
func (q *Query) uneventfulParts() []bool {
	drop := make([]bool, len(q.Parts))
	for i := range q.Parts {
		drop[i] = q.answeredByOnlyAttempt(int32(i))
	}
	for _, s := range CriticalPath(q) {
		if s.Part >= 0 {
			drop[s.Part] = false
		}
	}
	return drop
}

// thinOut drops parts with their attempts, or all children and events with a nil
// list, and keeps count of them on the root.
func (r *Recorder) dropParts(q *Query, drop []bool) {
	if drop == nil {
		q.Dropped.Parts += len(q.Parts)
		q.Dropped.Attempts += len(q.Attempts)
		q.Dropped.Events += len(q.Events)
		q.Parts, q.Attempts, q.Events = nil, nil, nil
	} else {
		at := make([]int32, len(q.Parts))
		var parts []Part
		for i, p := range q.Parts {
			if at[i] = -1; !drop[i] {
				at[i] = int32(len(parts))
				parts = append(parts, p)
			}
		}
		var attempts []Attempt
		for _, a := range q.Attempts {
			if a.Part = at[a.Part]; a.Part >= 0 {
				attempts = append(attempts, a)
			}
		}
		var events []Event
		for _, e := range q.Events {
			if e.Part >= 0 {
				if e.Part = at[e.Part]; e.Part < 0 {
					continue
				}
			}
			events = append(events, e)
		}
		q.Dropped.Parts += len(q.Parts) - len(parts)
		q.Dropped.Attempts += len(q.Attempts) - len(attempts)
		q.Dropped.Events += len(q.Events) - len(events)
		q.Parts, q.Attempts, q.Events = parts, attempts, events
	}
	size := querySize + len(q.WireID) + len(q.State) + partSize*len(q.Parts) + attemptSize*len(q.Attempts)
	for _, e := range q.Events {
		size += eventSize + len(e.Text)
	}
	r.bytes += size - q.size
	q.size = size
}
