package tracing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/internal/standin/pure"
)

// TestImportsArePure checks that the package imports nothing that does I/O, reads a clock
// or starts goroutines, and no other package of the program.
func TestImportsArePure(t *testing.T) {
	pure.Imports(t, "cmp", "crypto/sha256", "encoding/binary", "encoding/hex", "math/rand/v2", "slices", "strconv", "strings", "time",
		"github.com/zeebo/xxh3")
}

const ms = time.Millisecond

func newTestRecorder(memory int, spans float64) *Recorder {
	return New(Config{MemoryBytes: memory, Spans: spans, Seed: 7, Classes: []Class{
		{Name: "lookup", LatencyTarget: 1500 * ms, Deadline: 4 * time.Second},
		{Name: "booking", LatencyTarget: 1500 * ms, Deadline: 4 * time.Second}}})
}

// recordQuery records a query of one part, answered by its first attempt after took.
func recordQuery(r *Recorder, at time.Duration, s Start, took time.Duration) *Query {
	if s.Left == 0 {
		s.Left = 4 * time.Second
	}
	q := r.Begin(at, s)
	p := q.AddPart(at, false, 3, 1)
	a := q.AddAttempt(Attempt{Part: p, Node: "s-1", Begin: at})
	q.Connected(a, at)
	q.Written(a, at)
	q.Heard(a, at+took)
	q.EndAttempt(a, at+took, 1, true, true)
	r.End(at+took, q, Served, 0)
	return q
}

func TestParseContextFollowsW3C(t *testing.T) {
	const trace, span = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	whole := "00-" + trace + "-" + span + "-01"
	tests := []struct {
		name, parent, state string
		want                string // the context as a traceparent; "": ignored
		wantState           string
	}{
		{"whole", whole, "rojo=00f067aa0ba902b7,congo=t61rcWkgMzE", whole, "rojo=00f067aa0ba902b7,congo=t61rcWkgMzE"},
		{"spaces round members", whole, " a=1 ,\tb=2,", whole, "a=1,b=2"},
		{"unknown flags are dropped", "00-" + trace + "-" + span + "-ff", "", "00-" + trace + "-" + span + "-03", ""},
		{"later version, longer", "cc-" + trace + "-" + span + "-01-what-the-future", "", whole, ""},
		{"later version, run together", "cc-" + trace + "-" + span + "-01.what", "", "", ""},
		{"version 0, longer", whole + "-x", "", "", ""},
		{"version ff", "ff" + whole[2:], "", "", ""},
		{"upper case", strings.ToUpper(whole), "", "", ""},
		{"no hex", strings.Replace(whole, "4b", "4g", 1), "", "", ""},
		{"no trace", "00-" + strings.Repeat("0", 32) + "-" + span + "-01", "", "", ""},
		{"no parent", "00-" + trace + "-" + strings.Repeat("0", 16) + "-01", "", "", ""},
		{"short", whole[:54], "", "", ""},
		{"empty", "", "a=1", "", ""},
		{"a bad state is dropped alone", whole, "a=1,B=2", whole, ""},
		{"a key twice", whole, "a=1,a=2", whole, ""},
		{"tenant keys", whole, "t1@v=x", whole, "t1@v=x"},
		{"a value with =", whole, "a=b=c", whole, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := ParseContext(tt.parent, tt.state)
			got := ""
			if !c.IsZero() {
				got = Traceparent(c.Trace, c.Parent, c.Flags)
			}
			if got != tt.want || c.State != tt.wantState {
				t.Errorf("read as %q and %q, want %q and %q", got, c.State, tt.want, tt.wantState)
			}
		})
	}
	long := strings.Repeat("k0123456789=v0123456789,", 40)
	if c := ParseContext(whole, strings.ReplaceAll(long, "k0", "k0")); c.State != "" {
		t.Error("a tracestate with a key forty times was kept")
	}
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprintf("k%d=v", i))
	}
	if c := ParseContext(whole, strings.Join(many, ",")); strings.Count(c.State, ",") != maxStateMembers-1 {
		t.Errorf("%d members kept of 40", strings.Count(c.State, ",")+1)
	}
}

func FuzzContext(f *testing.F) {
	f.Add("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "a=1,b=2")
	f.Add("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x", "a@b=1")
	f.Fuzz(func(t *testing.T, parent, state string) {
		c := ParseContext(parent, state)
		if len(c.State) > maxStateBytes {
			t.Errorf("%d bytes of state", len(c.State))
		}
		if c.IsZero() {
			if c != (Context{}) {
				t.Errorf("no context, yet %+v", c)
			}
			return
		}
		again := ParseContext(Traceparent(c.Trace, c.Parent, c.Flags), c.State)
		if diff := cmp.Diff(c, again); diff != "" {
			t.Errorf("parsing the formatted context again gives a difference: %s", diff)
		}
	})
}

// endQuery returns a function that records a query without parts and with that ending.
func endQuery(how Ending, why uint8) func(*Recorder) *Query {
	return func(r *Recorder) *Query {
		q := r.Begin(0, Start{Left: time.Second})
		r.End(ms, q, how, why)
		return q
	}
}

func TestKeepReasons(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *Recorder) *Query
		want KeepReasons
	}{
		{"slow", func(r *Recorder) *Query { return recordQuery(r, 0, Start{}, 1600*ms) }, Slow},
		{"so near that its client may have seen it late", func(r *Recorder) *Query { return recordQuery(r, 0, Start{}, 1400*ms) }, Slow},
		{"refused", endQuery(Refused, 1), NotServed},
		{"left by its client", endQuery(Deserted, 0), NotServed},
		{"short", endQuery(Short, 0), PartlyAnswered},
		{"retried by us", func(r *Recorder) *Query {
			q := r.Begin(0, Start{Left: time.Second})
			p := q.AddPart(0, false, 1, 1)
			a := q.AddAttempt(Attempt{Part: p})
			q.EndAttempt(a, ms, 0, true, false)
			b := q.AddAttempt(Attempt{Part: p, Reason: RetryAttempt, Begin: ms})
			q.EndAttempt(b, 2*ms, 1, true, true)
			r.End(2*ms, q, Served, 0)
			return q
		}, Retried},
		{"a copy won", func(r *Recorder) *Query {
			q := r.Begin(0, Start{Left: time.Second})
			p := q.AddPart(0, false, 1, 1)
			q.AddAttempt(Attempt{Part: p})
			b := q.AddAttempt(Attempt{Part: p, Reason: CopyAttempt, Begin: ms})
			q.EndAttempt(b, 2*ms, 1, true, true)
			r.End(2*ms, q, Served, 0)
			return q
		}, CopyWon},
		{"guarded", func(r *Recorder) *Query {
			q := r.Begin(0, Start{Left: time.Second})
			q.Event(0, -1, GuardTriggered, "honest: ...")
			r.End(ms, q, Served, 0)
			return q
		}, GuardIntervened},
		{"a client's retry", func(r *Recorder) *Query { return recordQuery(r, 0, Start{Repeat: true}, ms) }, Repeat},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRecorder(1<<20, 1e-9) // sampling keeps next to nothing
			for i := range 3000 {             // lets the sampler lower the probability
				recordQuery(r, time.Duration(i)*ms, Start{}, 0)
			}
			r.Flush(20 * time.Second)
			r.Take(20*time.Second, 1<<30)
			r.now = 0
			q := tt.do(r)
			list := r.Take(time.Hour, 1<<30)
			if len(list) != 1 || list[0] != q || q.KeepReasons != tt.want || q.Weight() != 1 {
				t.Errorf("%d kept, for %b, want one for %b", len(list), q.KeepReasons, tt.want)
			}
		})
	}
}

// TestRetryJoinsTraceOfFirstTry covers the ways in which a retry is recognized.
func TestRetryJoinsTraceOfFirstTry(t *testing.T) {
	ctx := ParseContext("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "")
	other := ParseContext("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b8-01", "")
	tests := []struct {
		name         string
		first, again Start
		open         bool // the first try is still open
		elsewhere    bool // the retry reaches another mixer
		later        time.Duration
		same         bool // both have the same trace
		noted        bool // the first try is marked as retried
	}{
		{name: "by key, first try over", first: Start{Class: 1, Key: "k"}, again: Start{Class: 1, Key: "k"}, same: true, noted: true},
		{name: "by key, first try open", first: Start{Class: 1, Key: "k"}, again: Start{Class: 1, Key: "k"}, open: true, same: true, noted: true},
		{name: "by key, at another mixer", first: Start{Class: 1, Key: "k"}, again: Start{Class: 1, Key: "k", Repeat: true}, elsewhere: true, same: true},
		{name: "another key", first: Start{Class: 1, Key: "k"}, again: Start{Class: 1, Key: "l"}},
		{name: "by content, marked", first: Start{ContentHash: 5}, again: Start{ContentHash: 5, Repeat: true}, same: true, noted: true},
		{name: "by content, first try open", first: Start{ContentHash: 5}, again: Start{ContentHash: 5, Repeat: true}, open: true, same: true, noted: true},
		{name: "by content, not marked", first: Start{ContentHash: 5}, again: Start{ContentHash: 5}},
		{name: "by content, too late", first: Start{ContentHash: 5}, again: Start{ContentHash: 5, Repeat: true}, later: 5 * time.Second},
		{name: "by content, at another mixer", first: Start{ContentHash: 5}, again: Start{ContentHash: 5, Repeat: true}, elsewhere: true},
		{name: "other content", first: Start{ContentHash: 5}, again: Start{ContentHash: 6, Repeat: true}},
		{name: "by traceparent", first: Start{Context: ctx}, again: Start{Context: other, Repeat: true}, same: true, noted: true},
		{name: "by traceparent, at another mixer", first: Start{Context: ctx}, again: Start{Context: other, Repeat: true}, elsewhere: true, same: true},
		{name: "one client's two queries are no retry", first: Start{Context: ctx}, again: Start{Context: other}, same: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRecorder(1<<20, 1e9)
			second := r
			if tt.elsewhere {
				second = New(Config{MemoryBytes: 1 << 20, Spans: 1e9, Seed: 99, Classes: r.cfg.Classes})
			}
			tt.first.Left, tt.again.Left = 4*time.Second, 4*time.Second
			a := r.Begin(0, tt.first)
			if !tt.open {
				r.End(10*ms, a, Served, 0)
			}
			b := second.Begin(100*ms+tt.later, tt.again)
			second.End(200*ms+tt.later, b, Served, 0)
			if tt.open {
				r.End(300*ms, a, Served, 0)
			}
			if same := a.Trace == b.Trace; same != tt.same || a.Trace.IsZero() || b.Trace.IsZero() {
				t.Errorf("traces %v and %v, want the same: %v", a.Trace, b.Trace, tt.same)
			}
			if noted := a.KeepReasons&RetriedByClient != 0; noted != tt.noted {
				t.Errorf("first try noted as asked again: %v, want %v", noted, tt.noted)
			}
			if tt.noted && b.KeepReasons&Repeat == 0 {
				t.Error("the retry is not kept as one")
			}
			if tt.noted && tt.again.Context.IsZero() && b.Parent != a.Root {
				t.Error("the retry is no child of its first try")
			}
			if a.Root == b.Root {
				t.Error("two roots have the same id")
			}
		})
	}
}

// TestSamplingStaysWithinLimitAndReportsWeight floods one class: the kept spans stay near
// the limit, and the weights add up to the number of queries.
func TestSamplingStaysWithinLimitAndReportsWeight(t *testing.T) {
	const perSecond, spans = 500, 100.0
	r := newTestRecorder(64<<20, spans)
	kept, weight, total := 0, 0.0, 0
	for i := range perSecond * 60 {
		at := time.Duration(i) * time.Second / perSecond
		recordQuery(r, at, Start{}, 5*ms)
		for _, q := range r.Take(at, 1<<30) {
			if at > 20*time.Second {
				kept += q.Spans()
			}
			weight += q.Weight()
		}
		total++
	}
	r.Flush(time.Minute)
	for _, q := range r.Take(time.Minute, 1<<30) {
		weight += q.Weight()
	}
	if rate := float64(kept) / 40; rate > 1.3*spans || rate < spans/4 {
		t.Errorf("%.0f spans a second kept by chance, budget %.0f", rate, spans)
	}
	if off := weight/float64(total) - 1; off > 0.15 || off < -0.15 {
		t.Errorf("the weights add up to %.0f of %d queries", weight, total)
	}
}

// TestSamplingIsConsistentAcrossMixers checks that a trace kept at a lower probability is
// also kept at a higher one.
func TestSamplingIsConsistentAcrossMixers(t *testing.T) {
	a, b := newTestRecorder(1<<20, 1), newTestRecorder(1<<20, 1)
	a.samplers[0].shift, b.samplers[0].shift = 3, 5
	n := 0
	for i := range 4000 {
		q := &Query{Trace: KeyedTrace("x", fmt.Sprint(i))}
		if b.sampledByChance(q) {
			if n++; !a.sampledByChance(q) {
				t.Fatalf("%v is kept at 1 in 32 and not at 1 in 8", q.Trace)
			}
		}
	}
	if n < 4000/32/2 || n > 4000/32*2 {
		t.Errorf("%d of 4000 kept at 1 in 32", n)
	}
	for shift, want := range map[uint8]string{0: "0", 1: "8", 2: "c", 4: "f", 5: "f8", 8: "ff"} {
		if got := Threshold(shift); got != want {
			t.Errorf("threshold of 2^-%d is %q, want %q", shift, got, want)
		}
	}
}

// TestCriticalPath checks to which segments the time of a query is attributed.
func TestCriticalPath(t *testing.T) {
	type step struct {
		Stage    Stage
		Node     string
		From, To time.Duration
	}
	tests := []struct {
		name string
		make func() *Query
		want []step
	}{
		{"an attempt, then a copy that won", func() *Query {
			q := &Query{End: 100, TargetTime: 60,
				Parts: []Part{{Answered: true, End: 20}, {Answered: true, End: 100}},
				Attempts: []Attempt{{Part: 0, Node: "a", Won: true, Over: true, Connected: 1, Written: 1, Heard: 20, End: 20},
					{Part: 1, Node: "slow", Connected: 2, Written: 4},
					{Part: 1, Node: "b", Reason: CopyAttempt, Begin: 70, Connected: 75, Written: 75, Heard: 90, End: 100, Won: true, Over: true}}}
			return q
		}, []step{{Connect, "slow", 0, 2}, {Write, "slow", 2, 4}, {Node, "slow", 4, 70}, {Connect, "b", 70, 75}, {Node, "b", 75, 90},
			{Read, "b", 90, 100}}},
		{"a node that never answers", func() *Query {
			return &Query{End: 100, Parts: []Part{{Begin: 5}}, Attempts: []Attempt{{Node: "mute", Begin: 5, Connected: 5, Written: 6}}}
		}, []step{{Mixer, "", 0, 5}, {Write, "mute", 5, 6}, {Node, "mute", 6, 100}}},
		{"a copy that lost is not waited for", func() *Query {
			return &Query{End: 50, Parts: []Part{{Answered: true, End: 50}}, Attempts: []Attempt{
				{Node: "a", Connected: 1, Written: 1, Heard: 50, End: 50, Won: true, Over: true}, {Node: "b", Reason: CopyAttempt, Begin: 30, End: 50, Over: true}}}
		}, []step{{Connect, "a", 0, 1}, {Node, "a", 1, 50}}},
		{"no connection ever", func() *Query {
			return &Query{End: 50, Parts: []Part{{}}, Attempts: []Attempt{{Node: "gone", Outcome: 4, Over: true, End: 30}}}
		}, []step{{Connect, "gone", 0, 30}, {Mixer, "", 30, 50}}},
		{"two steps", func() *Query {
			return &Query{End: 90, Step2Begin: 40, Parts: []Part{{Answered: true, End: 38}, {Step: 1, Begin: 40, Answered: true, End: 90}},
				Attempts: []Attempt{{Node: "a", Connected: 1, Written: 1, Heard: 38, End: 38, Won: true, Over: true},
					{Part: 1, Node: "b", Begin: 45, Connected: 45, Written: 45, Heard: 88, End: 90, Won: true, Over: true}}}
		}, []step{{Connect, "a", 0, 1}, {Node, "a", 1, 38}, {Mixer, "", 38, 40}, {Mixer, "", 40, 45}, {Node, "b", 45, 88}, {Read, "b", 88, 90}}},
		{"refused before anything was sent", func() *Query { return &Query{End: 10} }, []step{{Mixer, "", 0, 10}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := tt.make()
			var got []step
			at := q.Begin
			for _, s := range CriticalPath(q) {
				if s.From != at {
					t.Errorf("a gap from %v to %v", at, s.From)
				}
				at = s.To
				node := ""
				if s.Attempt >= 0 {
					node = q.Attempts[s.Attempt].Node
				}
				got = append(got, step{s.Stage, node, s.From, s.To})
			}
			if at != q.End {
				t.Errorf("the path ends at %v of %v", at, q.End)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	q := tests[0].make()
	costs := Over(q)
	if len(costs) != 1 || costs[0].Over != 40 || q.Attempts[costs[0].Attempt].Node != "slow" {
		t.Errorf("an excess of 40 is attributed to %+v", costs)
	}
}
