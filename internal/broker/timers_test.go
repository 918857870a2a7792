package broker

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/decide"
)

// TestEndedQueriesAreReleased guards against memory that grows with the deadlines of queries which
// have ended: the timers at those deadlines held the queries with their text.
func TestEndedQueriesAreReleased(t *testing.T) {
	tests := []struct {
		name string
		end  func(s *fixture, h *QueryHandle)
	}{
		{"answered", func(s *fixture, _ *QueryHandle) { s.endStep(decide.Answer{Query: s.latestID(), Whole: true}) }},
		{"refused", func(s *fixture, _ *QueryHandle) { s.endStep(decide.Refuse{Query: s.latestID()}) }},
		{"failed", func(s *fixture, _ *QueryHandle) { s.endStep(decide.Fail{Query: s.latestID()}) }},
		{"abandoned", func(s *fixture, h *QueryHandle) { h.ClientGone() }},
		{"limited by pipelined queries", func(s *fixture, h *QueryHandle) {
			h.FailBy(s.now + 900*time.Millisecond)
			h.FailBy(s.now + 800*time.Millisecond)
			h.ClientGone()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const queries = 20
			s := newFixture(t)
			released := make(chan int, queries)
			for i := range queries {
				s.runQuery(t, i, released, tt.end)
			}
			s.at(queries * 3 * tick) // before any deadline
			s.calls = nil
			if n := len(s.timers.heap.list); n > 0 {
				t.Errorf("%d timers are left", n)
			}
			for until := time.Now().Add(5 * time.Second); len(released) < queries && time.Now().Before(until); time.Sleep(time.Millisecond) {
				runtime.GC()
			}
			if n := len(released); n < queries {
				t.Errorf("%d of %d ended queries were released", n, queries)
			}
			runtime.KeepAlive(s)
		})
	}
}

// latestID returns the module's id of the latest query.
func (s *fixture) latestID() string { return "q" + strconv.FormatInt(s.number, 10) }

// endStep has the module's next step return the action.
func (s *fixture) endStep(a decide.Action) { s.steps = append(s.steps, []decide.Action{a}) }

// runQuery submits a query, has its part sent and answered, ends it, and sends its number to
// released once its text is garbage.
func (s *fixture) runQuery(t *testing.T, i int, released chan int, end func(*fixture, *QueryHandle)) {
	t.Helper()
	text := new([1 << 10]byte)
	runtime.AddCleanup(text, func(i int) { released <- i }, i)
	begin := time.Duration(i) * 3 * tick
	var h *QueryHandle
	s.Post(func() {
		var verdict Admission
		verdict, h = s.Admit(Query{WireID: "w", Left: time.Hour, Responder: s, Text: text[:], Parts: []QueryPart{{Shard: 0, Weight: 1}}})
		if verdict != Taken {
			t.Fatalf("verdict %v", verdict)
		}
		s.steps = [][]decide.Action{{send(s.latestID() + ".0")}}
	})
	s.at(begin)
	attempt := s.calls[len(s.calls)-1][0]
	s.calls = nil
	s.Post(func() {
		s.Ended(attempt, decide.OK, 0, []byte("v"))
		end(s, h)
	})
	s.at(begin + tick)
	s.at(begin + 2*tick)
	if s.OpenCount() != 0 {
		t.Fatalf("%d queries and parts are open", s.OpenCount())
	}
	s.scriptedModule.events = nil
}

// TestTimersRunInOrderAndStopOnce checks the order of timers among which some were stopped.
func TestTimersRunInOrderAndStopOnce(t *testing.T) {
	var list timers
	var ran []int
	var added []*timer
	for i, at := range []time.Duration{5, 1, 3, 3, 2, 4} {
		added = append(added, list.add(at, func() { ran = append(ran, i) }))
	}
	list.stop(nil)
	list.stop(added[2])
	list.stop(added[2])
	list.run(4)
	list.stop(added[1]) // it has run
	if diff := cmp.Diff([]int{1, 4, 3, 5}, ran); diff != "" {
		t.Error(diff)
	}
	if at, ok := list.next(); !ok || at != 5 {
		t.Errorf("next at %v, %v", at, ok)
	}
}
