package tracing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDegradationOrder fills the memory with kept traces and checks in which order data is
// dropped, and that what was dropped is counted.
func TestDegradationOrder(t *testing.T) {
	r := newTestRecorder(16<<10, 1e9)
	type phase int
	const (
		full phase = iota
		uneventfulDropped
		sampledDropped
		rootsOnly
		lost
	)
	at := phase(full)
	for i := range 400 {
		now := time.Duration(i) * ms
		q := r.Begin(now, Start{Left: time.Second})
		if q == nil {
			t.Fatalf("query %d was not recorded, though only kept ones hold memory", i)
		}
		for shard := range 3 {
			p := q.AddPart(now, false, shard, 0.3)
			a := q.AddAttempt(Attempt{Part: p, Node: "a", Begin: now})
			if shard == 2 {
				q.EndAttempt(a, now, 0, true, false)
				a = q.AddAttempt(Attempt{Part: p, Node: "b", Reason: RetryAttempt, Begin: now})
			}
			q.EndAttempt(a, now+time.Duration(shard)*ms/8, 1, true, true)
		}
		r.End(now+ms/2, q, Served, 0)
		if r.bytes > r.cfg.MemoryBytes {
			t.Fatalf("%d bytes held, %d allowed", r.bytes, r.cfg.MemoryBytes)
		}
		reached := at
		head := r.kept.peek()
		switch {
		case r.lost[0].Always > 0:
			reached = lost
		case head.Dropped.Parts == 3:
			reached = rootsOnly
		case head.Dropped.Parts > 0:
			reached = uneventfulDropped
		}
		if reached < at {
			t.Fatalf("from phase %d back to %d", at, reached)
		}
		if reached == uneventfulDropped && at < uneventfulDropped {
			if head.Dropped.Parts != 2 || len(head.Attempts) != 2 || head.Dropped.Attempts != 2 {
				t.Errorf("of three parts, two uneventful: %d dropped with %d attempts, %d attempts left", head.Dropped.Parts,
					head.Dropped.Attempts, len(head.Attempts))
			}
		}
		at = reached
	}
	if at != lost {
		t.Errorf("only phase %d was reached", at)
	}
	taken := 0
	for _, q := range r.Take(time.Minute, 1<<30) {
		taken++
		if len(q.Parts)+q.Dropped.Parts != 3 || len(q.Attempts)+q.Dropped.Attempts != 4 {
			t.Errorf("a trace with %d parts and %d dropped: the counts don't add up", len(q.Parts), q.Dropped.Parts)
		}
	}
	if l := r.TakeLoss(); len(l) != 1 || taken+l[0].Always != 400 {
		t.Errorf("%d taken and %+v lost of 400", taken, l)
	}
	if r.bytes != 0 {
		t.Errorf("%d bytes counted without any record", r.bytes)
	}
}

// TestMemoryLimitWithManyOpenQueries opens far more queries than the memory has room for:
// the limit holds, and queries that are not recorded are counted.
func TestMemoryLimitWithManyOpenQueries(t *testing.T) {
	const n = 10000
	r := newTestRecorder(1<<20, 100)
	var open []*Query
	unrecorded := 0
	for i := range n {
		q := r.Begin(time.Duration(i), Start{Left: time.Hour, WireID: "0123456789abcdef"})
		if q == nil {
			unrecorded++
			continue
		}
		for shard := range 4 {
			p := q.AddPart(0, false, shard, 0.25)
			q.AddAttempt(Attempt{Part: p, Node: "a"})
		}
		open = append(open, q)
	}
	if r.bytes > r.cfg.MemoryBytes+maxAttempts {
		t.Errorf("%d bytes held, %d allowed", r.bytes, r.cfg.MemoryBytes)
	}
	taken := 0
	for _, q := range open {
		r.End(time.Second, q, Expired, 0)
		for _, k := range r.Take(time.Second, 1<<30) {
			taken++
			if len(k.Parts)+k.Dropped.Parts != 4 || len(k.Attempts)+k.Dropped.Attempts != 4 {
				t.Fatalf("a trace with %d parts and %d dropped: the counts don't add up", len(k.Parts), k.Dropped.Parts)
			}
		}
	}
	loss := r.TakeLoss()
	if unrecorded == 0 || len(loss) != 1 || loss[0].Unrecorded != unrecorded || taken+unrecorded+loss[0].Always != n {
		t.Errorf("%d taken, %d not recorded, lost %+v", taken, unrecorded, loss)
	}
}

// TestEveryQueryIsAccountedFor runs random operations: every query that ended is taken, not
// kept or counted as lost, the byte count is exact, and the memory limit holds.
func TestEveryQueryIsAccountedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRecorder(rapid.IntRange(2<<10, 64<<10).Draw(t, "memory"), rapid.Float64Range(0, 200).Draw(t, "spans"))
		now := time.Duration(0)
		var open []*Query
		began, ended, taken, unrecorded, lost := 0, 0, 0, 0, 0
		take := func(n int) {
			for _, q := range r.Take(now, n) {
				taken++
				if len(q.Parts) > 0 && len(CriticalPath(q)) == 0 && q.End > q.Begin {
					t.Fatal("a trace without a critical path")
				}
			}
			for _, l := range r.TakeLoss() {
				lost += l.Always + l.Chance
				unrecorded += l.Unrecorded
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				began++
				s := Start{Left: time.Second, Class: rapid.IntRange(0, 1).Draw(t, "class"), Repeat: rapid.Bool().Draw(t, "repeat"),
					ContentHash: rapid.Uint64Range(0, 5).Draw(t, "content")}
				if s.Class == 1 {
					s.Key, s.ContentHash = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), 0
				}
				if q := r.Begin(now, s); q != nil {
					open = append(open, q)
				}
			},
			"part": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				q := rapid.SampledFrom(open).Draw(t, "query")
				p := q.AddPart(now, rapid.Bool().Draw(t, "second"), 1, 0.5)
				for n := range rapid.IntRange(0, 3).Draw(t, "attempts") {
					a := q.AddAttempt(Attempt{Part: p, Reason: Reason(min(n, 2)), Begin: now, Node: "n"})
					if rapid.Bool().Draw(t, "over") {
						won := p >= 0 && !q.Parts[p].Answered
						q.EndAttempt(a, now, 1, true, won)
					}
				}
			},
			"event": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "query").Event(now, -1, EventKind(rapid.IntRange(0, 4).Draw(t, "kind")), "words")
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				r.End(now, open[i], Ending(rapid.IntRange(1, 6).Draw(t, "how")), 0)
				open = append(open[:i], open[i+1:]...)
				ended++
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "d"))
			},
			"take": func(t *rapid.T) { take(rapid.IntRange(0, 40).Draw(t, "n")) },
			"": func(t *rapid.T) {
				kept := 0
				sum := firstTrySize * len(r.firstTryOrder)
				for _, q := range open {
					sum += q.size
				}
				for _, f := range []queryQueue{r.waiting, r.kept.queryQueue} {
					for _, q := range f.list[f.head:] {
						sum += q.size
						kept++
					}
				}
				if sum != r.bytes {
					t.Fatalf("%d bytes counted, %d held", r.bytes, sum)
				}
				if r.bytes > r.cfg.MemoryBytes+4*(partSize+attemptSize)+eventSize+maxText+firstTrySize {
					t.Fatalf("%d bytes held, %d allowed", r.bytes, r.cfg.MemoryBytes)
				}
				inLoss, noRecord := 0, unrecorded
				for _, l := range r.lost {
					inLoss += l.Always + l.Chance
					noRecord += l.Unrecorded
				}
				if got := taken + kept + int(r.stats.NotKept) + lost + inLoss; got != ended {
					t.Fatalf("%d ended, %d accounted for", ended, got)
				}
				if began != ended+len(open)+noRecord {
					t.Fatalf("%d began, %d ended, %d open, %d not recorded", began, ended, len(open), noRecord)
				}
			},
		})
	})
}
