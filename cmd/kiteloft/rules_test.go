package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/internal/standin"
)

var wires = []struct {
	name string
	protocol
}{{"platform", platformWire{}}, {"flight", flightWire{}}}

// busy is how late a busy machine may make an answer. That the core is never late
// by its own clock is tested where that clock is at hand.
const busy = 2 * time.Second

func silent(part) reply  { return reply{} }
func failing(part) reply { return reply{End: 'E'} }
func turning(part) reply { return reply{End: 'B'} }

// only answers as do says for the parts of the shards, soundly for others.
func only(do func(part) reply, shards ...int) func(part) reply {
	return func(p part) reply {
		if slices.Contains(shards, p.Shard) {
			return do(p)
		}
		return sound(p)
	}
}

func values(shards ...int) map[int]string {
	m := map[int]string{}
	for _, s := range shards {
		m[s] = fmt.Sprintf("v%d", s)
	}
	return m
}

// TestRules is the one table of rules; it runs unchanged over both protocols.
func TestRules(t *testing.T) {
	rules := []struct {
		name  string
		nodes func() func(part) reply
		ask   query
		want  []string // kinds of result that keep the rule
		check func(t *testing.T, b *bed, r result)
	}{
		{name: "one answer, whole", nodes: always(sound),
			ask: query{Class: "lookup", Shards: []int{1, 2, 3}, Deadline: 4 * time.Second}, want: []string{"served"},
			check: func(t *testing.T, b *bed, r result) {
				if diff := cmp.Diff(values(1, 2, 3), r.Values); diff != "" || !r.Entire {
					t.Errorf("entire %v, values differ: %s", r.Entire, diff)
				}
				for _, p := range b.parts() {
					if p.Text != "c41e77d0" || p.Wait <= 0 || p.Wait > 4*time.Second {
						t.Errorf("part came as %+v", p)
					}
				}
			}},
		{name: "one answer, before the deadline", nodes: always(silent),
			ask: query{Class: "lookup", Shards: []int{1, 2}, Deadline: 700 * time.Millisecond}, want: []string{"refused", "expired", "failed"},
			check: func(t *testing.T, b *bed, r result) {
				b.wait(t, "the nodes are told to stop", func() bool { return b.nodes[0].GivenUp()+b.nodes[1].GivenUp() > 0 })
			}},
		{name: "an error is tried elsewhere", ask: query{Class: "lookup", Shards: []int{4}, Deadline: 4 * time.Second},
			nodes: first(failing), want: []string{"served"},
			check: func(t *testing.T, b *bed, r result) { attempts(t, b, 2, 2) }},
		{name: "a refusal by a node is tried elsewhere", ask: query{Class: "once", Shards: []int{4}, Deadline: 4 * time.Second},
			nodes: first(turning), want: []string{"served"},
			check: func(t *testing.T, b *bed, r result) { attempts(t, b, 2, 2) }},
		{name: "at most four attempts", nodes: always(failing),
			ask: query{Class: "lookup", Shards: []int{5}, Deadline: 3 * time.Second}, want: []string{"refused", "failed", "expired"},
			check: func(t *testing.T, b *bed, r result) {
				attempts(t, b, 2, 4)
				if r.Kind == "refused" && r.After <= 0 {
					t.Error("refused without a word on when to come back")
				}
			}},
		{name: "once: nothing that may have run is sent again", nodes: always(failing),
			ask: query{Class: "once", Shards: []int{5}, Deadline: 3 * time.Second}, want: []string{"failed", "expired"},
			check: func(t *testing.T, b *bed, r result) { attempts(t, b, 1, 1) }},
		{name: "once: a cut connection is not tried again", nodes: always(func(part) reply { return reply{End: 'c'} }),
			ask: query{Class: "once", Shards: []int{5}, Deadline: 3 * time.Second}, want: []string{"failed", "expired"},
			check: func(t *testing.T, b *bed, r result) { attempts(t, b, 1, 1) }},
		{name: "keyed: repeats within its memory only, with its key", nodes: always(failing),
			ask: query{Class: "booking", Key: "5c0f6e1a", Shards: []int{3}, Deadline: 3500 * time.Millisecond}, want: []string{"failed", "expired"},
			check: func(t *testing.T, b *bed, r result) {
				attempts(t, b, 1, 4)
				all := b.parts()
				for _, p := range all {
					if p.Key != "5c0f6e1a" || p.At.Sub(all[0].At) > 1100*time.Millisecond {
						t.Errorf("key %q, %v after the first", p.Key, p.At.Sub(all[0].At))
					}
				}
			}},
		{name: "malformed queries reach nobody", nodes: always(sound),
			ask: query{Class: "booking", Shards: []int{3}, Deadline: time.Second}, want: []string{"malformed"},
			check: func(t *testing.T, b *bed, r result) { attempts(t, b, 0, 0) }},
		{name: "honest: short answers are not marked whole", nodes: always(only(failing, 2)),
			ask:  query{Class: "partial", Shards: []int{1, 2, 3, 4, 5}, Deadline: 3 * time.Second},
			want: []string{"served"},
			check: func(t *testing.T, b *bed, r result) {
				if diff := cmp.Diff(values(1, 3, 4, 5), r.Values); diff != "" || r.Entire {
					t.Errorf("entire %v, values differ: %s", r.Entire, diff)
				}
			}},
		{name: "honest: nothing below the least share", nodes: always(only(failing, 1, 2)),
			ask:  query{Class: "partial", Shards: []int{1, 2, 3, 4, 5}, Deadline: 3 * time.Second},
			want: []string{"refused", "failed", "expired"}},
		{name: "the second step goes to the highest scores", nodes: always(sound),
			ask: query{Class: "report", Shards: []int{1, 2, 3, 4}, Deadline: 6 * time.Second}, want: []string{"served"},
			check: func(t *testing.T, b *bed, r result) {
				if diff := cmp.Diff(values(3, 4), r.Values); diff != "" || !r.Entire {
					t.Errorf("entire %v, values differ: %s", r.Entire, diff)
				}
				second := 0
				for _, p := range b.parts() {
					if p.Second {
						second++
						if p.From != "1+2+3+4" || !p.Whole || !strings.HasSuffix(p.ID, ".phase2") {
							t.Errorf("second step's part came as %+v", p)
						}
					}
				}
				if second != 2 {
					t.Errorf("%d parts in the second step, want 2", second)
				}
			}},
		{name: "a late part is copied once and its twin called off", nodes: first(silent),
			ask: query{Class: "lookup", Shards: []int{6}, Deadline: 4 * time.Second}, want: []string{"served"},
			check: func(t *testing.T, b *bed, r result) {
				attempts(t, b, 2, 2)
				b.wait(t, "the twin is called off", func() bool { return b.nodes[0].GivenUp()+b.nodes[1].GivenUp() == 1 })
			}},
		{name: "a client that leaves is forgotten", nodes: always(silent),
			ask: query{Class: "lookup", Shards: []int{6}, Deadline: 4 * time.Second, Gone: 500 * time.Millisecond}, want: []string{"cancelled"},
			check: func(t *testing.T, b *bed, r result) {
				b.wait(t, "the node is told to stop", func() bool { return b.nodes[0].GivenUp()+b.nodes[1].GivenUp() > 0 })
				attempts(t, b, 1, 1)
			}},
	}
	for _, w := range wires {
		for _, rule := range rules {
			t.Run(w.name+"/"+rule.name, func(t *testing.T) {
				t.Parallel()
				b := start(t, w, rule.nodes())
				r := w.ask(t, b, rule.ask)
				if !slices.Contains(rule.want, r.Kind) {
					t.Fatalf("client got %+v, want one of %v", r, rule.want)
				}
				if r.Took >= rule.ask.Deadline+busy {
					t.Errorf("answered after %v, asked to within %v", r.Took, rule.ask.Deadline)
				}
				if rule.check != nil {
					rule.check(t, b, r)
				}
			})
		}
	}
}

func always(do func(part) reply) func() func(part) reply {
	return func() func(part) reply { return do }
}

// first does as told with the first part, at whichever node.
func first(do func(part) reply) func() func(part) reply {
	return func() func(part) reply {
		var begun atomic.Bool
		return func(p part) reply {
			if begun.CompareAndSwap(false, true) {
				return do(p)
			}
			return sound(p)
		}
	}
}

func attempts(t *testing.T, b *bed, least, most int) {
	t.Helper()
	if n := len(b.parts()); n < least || n > most {
		t.Errorf("%d attempts, want %d to %d", n, least, most)
	}
}

// TestDrainWindow tells that a node drains while queries go on; after the
// window, nothing new may reach it.
func TestDrainWindow(t *testing.T) {
	for _, w := range wires {
		for _, phase := range []string{"leaving", "left"} {
			t.Run(w.name+"/"+phase, func(t *testing.T) {
				t.Parallel()
				b := start(t, w, sound)
				ask := func() {
					t.Helper()
					if r := w.ask(t, b, query{Class: "lookup", Shards: []int{1, 2}, Deadline: 4 * time.Second}); r.Kind != "served" {
						t.Fatalf("client got %+v", r)
					}
				}
				for i := range b.nodes {
					b.wait(t, "both nodes are used", func() bool { ask(); return len(b.nodes[i].Parts()) > 0 })
				}
				b.Tell(0, phase)
				told := time.Now()
				for time.Since(told) < 2500*time.Millisecond {
					ask()
				}
				for _, p := range b.nodes[0].Parts() {
					if late := p.At.Sub(told); late > 2*time.Second {
						t.Errorf("a part came %v after it was told", late)
					}
				}
			})
		}
	}
}

// TestStreamCutHalfway cuts a stock report's streams after part of their rows:
// what came of them does not count.
func TestStreamCutHalfway(t *testing.T) {
	for _, w := range wires {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			cut := func(p part) reply { r := sound(p); r.End = 'c'; return r }
			b := start(t, w, only(cut, 2))
			r := w.ask(t, b, query{Class: "partial", Shards: []int{2}, Deadline: 2 * time.Second})
			if r.Kind == "served" {
				t.Fatalf("client got %+v from a part that was cut", r)
			}
			attempts(t, b, 2, 4)
			b.nodes[0].Answers(sound)
			b.nodes[1].Answers(sound)
			if r := w.ask(t, b, query{Class: "partial", Shards: []int{1, 2}, Deadline: 3 * time.Second}); r.Kind != "served" || !r.Entire {
				t.Errorf("client got %+v once the nodes were sound", r)
			}
		})
	}
}

// TestBothFrontsAtOnce has one client ask on both fronts, over nodes of both
// protocols; no id may serve two queries.
func TestBothFrontsAtOnce(t *testing.T) {
	b := &bed{}
	slow := func(p part) reply { r := sound(p); r.After = 50 * time.Millisecond; return r }
	for i, w := range wires {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), slow)
		b.nodes = append(b.nodes, n)
		b.members = append(b.members, member{ID: n.ID, HostPort: w.node(t, n), Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
	b.run(t, settings)
	var wg sync.WaitGroup
	results := make([]result, 16)
	for i := range results {
		wg.Go(func() {
			results[i] = wires[i%2].ask(t, b, query{Class: "booking", Key: "same", Shards: []int{3}, Deadline: 4 * time.Second})
		})
	}
	wg.Wait()
	for i, r := range results {
		r.Took = 0
		if diff := cmp.Diff(result{Kind: "served", Entire: true, Values: values(3)}, r); diff != "" {
			t.Errorf("client %d: %s", i, diff)
		}
	}
	ids := map[string]int{}
	for _, p := range b.parts() {
		ids[p.ID]++
		if ids[p.ID] > 2 { // one copy at the most
			t.Errorf("id %s came %d times", p.ID, ids[p.ID])
		}
	}
	if len(ids) != len(results) {
		t.Errorf("%d ids for %d queries", len(ids), len(results))
	}
}
