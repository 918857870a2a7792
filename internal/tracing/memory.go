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

// keptTraces holds kept traces until they are taken. When memory is short, it is freed
// level by level; each level goes over the traces once, oldest first, so that the work
// per trace is bounded.
type keptTraces struct {
	queryQueue
	progress [levelCount]int // by level: how many traces from the head it has processed
}

// The levels of freeing memory, in order.
const (
	dropUneventfulParts = iota // parts answered by their only attempt, off the critical path
	dropSampledTraces          // traces that were kept by random sampling only
	dropChildSpans             // all spans but the roots
	dropOldestTraces           // whole traces, the oldest first
	levelCount
)

func (s *keptTraces) pop() *Query {
	q := s.queryQueue.pop()
	for i := range s.progress {
		s.progress[i] = max(0, s.progress[i]-1)
	}
	return q
}

// outOfMemory makes room for one more entry and reports whether that failed.
func (r *Recorder) outOfMemory() bool { return !r.makeRoom(attemptSize) }

// makeRoom frees memory for room more bytes and reports whether it succeeded. It first
// decides early on queries that wait for a decision, then drops data of kept traces level
// by level. Records of open queries are never dropped.
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

// degradeNext applies a level to the next kept trace, and reports whether there was one.
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

// removeAt removes the kept trace at an index of the list.
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

// discardTrace counts a kept trace as lost and releases it.
func (r *Recorder) discardTrace(q *Query) {
	l := &r.lost[q.Class]
	if q.KeepReasons != 0 {
		l.Always++
	} else {
		l.Chance++
	}
	r.release(q)
}

// uneventfulParts reports, by index, which parts may be dropped first: those answered by
// their only attempt that are not on the critical path.
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

// dropParts drops the marked parts with their attempts and events, or all child spans and
// events if drop is nil. The root counts what was dropped.
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
