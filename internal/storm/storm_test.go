package storm

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"kiteloft/internal/standin/pure"
)

// TestPure checks by its imports that the package has no I/O, clock or goroutine, and uses
// nothing else of the program.
func TestPure(t *testing.T) {
	pure.Imports(t, "fmt", "math", "time")
}

// period is a time span with constant rates of queries and answers.
type period struct {
	seconds       float64
	first, repeat int     // a second
	good          float64 // share answered in time
	unmarked      bool    // clients don't declare their retries
}

// simulate runs a Detector through periods and returns its states in order.
func simulate(w *Detector, list []period) (states []State) {
	now := time.Hour
	id, asked, good := uint64(0), 0.0, 0.0
	states = []State{w.State()}
	for _, s := range list {
		n := s.first + s.repeat
		step := time.Second / time.Duration(max(n, 1))
		for end := now + time.Duration(s.seconds*float64(time.Second)); now < end; now += step {
			if n > 0 {
				asked++
				repeat := int(asked)%n < s.repeat
				if !repeat {
					id++
				}
				w.RecordQuery(now, repeat && !s.unmarked, id)
				good += s.good
				w.Ended(now, good >= 1)
				if good >= 1 {
					good--
				}
			}
			if c, ok := w.Evaluate(now); ok {
				states = append(states, c.To)
			}
		}
	}
	return states
}

func TestStates(t *testing.T) {
	usual := period{seconds: 20, first: 30, good: 0.99}
	tests := []struct {
		name string
		list []period
		want []State
	}{
		{"nothing but the usual", []period{usual, usual}, []State{Calm}},
		{"an outage and its end", []period{usual, {seconds: 8, first: 30, repeat: 70}, {seconds: 6, first: 30, repeat: 40, good: 0.8}, usual},
			[]State{Calm, Rising, Storm, Recovering, Calm}},
		{"an outage whose clients mark nothing", []period{usual, {seconds: 8, first: 30, repeat: 70, unmarked: true}, usual}, []State{Calm, Rising, Storm, Recovering, Calm}},
		{"a burst of first tries", []period{usual, {seconds: 8, first: 57, good: 0.6}, usual}, []State{Calm}},
		{"one silent node: some late, few ask again", []period{usual, {seconds: 10, first: 30, repeat: 3, good: 0.9}, usual}, []State{Calm}},
		{"a wave of refusals while clients stay away", []period{usual, {seconds: 0.3, first: 30, repeat: 500}, usual}, []State{Calm}},
		{"clients that ask twice and are served", []period{usual, {seconds: 10, first: 30, repeat: 30, good: 0.99}, usual}, []State{Calm}},
		{"nobody asks", []period{usual, {seconds: 60}}, []State{Calm}},
		{"an outage, then nobody", []period{usual, {seconds: 8, first: 30, repeat: 70}, {seconds: 30}}, []State{Calm, Rising, Storm, Recovering, Calm}},
		{"an outage that returns every 8 s", []period{usual, {seconds: 8, first: 30, repeat: 70}, {seconds: 8, first: 30, repeat: 20, good: 0.8}, {seconds: 8, first: 30, repeat: 70},
			{seconds: 8, first: 30, repeat: 20, good: 0.8}, usual}, []State{Calm, Rising, Storm, Recovering, Storm, Recovering, Calm}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, simulate(New(), tt.list)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestUsualRateLearnedWhileCalm checks that an outage does not change the usual rate.
func TestUsualRateLearnedWhileCalm(t *testing.T) {
	w := New()
	simulate(w, []period{{seconds: 60, first: 30, good: 1}, {seconds: 20, first: 10, repeat: 200}})
	if f := w.Measurements(time.Hour + 80*time.Second); f.UsualRate < 27 || f.UsualRate > 33 {
		t.Errorf("the usual rate is %.1f first tries a second, want about 30", f.UsualRate)
	}
}

// TestMeasurementsInRange feeds random events: shares stay within 0 and 1, memory is bounded,
// and only the allowed changes of state occur.
func TestMeasurementsInRange(t *testing.T) {
	next := map[State][]State{Calm: {Rising}, Rising: {Storm, Calm}, Storm: {Recovering}, Recovering: {Storm, Calm}}
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(), time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "pause"))
			for range rapid.IntRange(0, 12).Draw(t, "asked") {
				w.RecordQuery(now, rapid.Bool().Draw(t, "marked"), rapid.Uint64Range(0, 50).Draw(t, "sum"))
				w.Ended(now, rapid.Bool().Draw(t, "good"))
			}
			from := w.State()
			if c, ok := w.Evaluate(now); ok {
				allowed := false
				for _, s := range next[from] {
					allowed = allowed || s == c.To
				}
				if !allowed || c.From != from || c.To != w.State() {
					t.Fatalf("from %v to %v", from, c.To)
				}
			}
			f := w.Measurements(now)
			if !(f.InTimeShare >= 0 && f.InTimeShare <= 1) || !(f.RetryShare() >= 0 && f.RetryShare() <= 1) || !(f.UsualRate >= 0) {
				t.Fatalf("figures %+v", f)
			}
			if len(w.lastSeen) > maxRemembered || len(w.ring) > maxRemembered {
				t.Fatalf("%d queries remembered", len(w.lastSeen))
			}
		}
	})
}

// TestOldQueriesForgotten sends three times as many queries as are remembered.
func TestOldQueriesForgotten(t *testing.T) {
	w := New()
	for i := range uint64(3 * maxRemembered) {
		w.RecordQuery(time.Duration(i), false, i+1)
	}
	if len(w.lastSeen) != maxRemembered || len(w.ring) != maxRemembered {
		t.Errorf("%d and %d remembered", len(w.lastSeen), len(w.ring))
	}
}
