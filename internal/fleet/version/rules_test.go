package version

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"kiteloft/internal/standin/pure"
)

var base = Rules{Attempts: 4, Copies: true, RetryBudgetRatio: 0.4, RetryBudgetBase: 10, ColdShare: 1, MaxOpen: 100, Allowances: map[string]float64{"a": 10, "b": 4}}

func ptr[T any](x T) *T { return &x }

// parseRules is a RulesParser over base.
func parseRules(text string) (Rules, error) {
	var d Document
	if text == "broken" {
		return Rules{}, errors.New("nodes: can't be read")
	}
	if text != "" {
		if err := json.Unmarshal([]byte(text), &d); err != nil {
			return Rules{}, err
		}
	}
	return d.ApplyTo(base), nil
}

func drawDocument(t *rapid.T, name string) Document {
	maybe := func(key string) bool { return rapid.Bool().Draw(t, name+key) }
	half := func(key string, most float64) *float64 {
		if !maybe(key + "?") {
			return nil
		}
		return ptr(rapid.Float64Range(most*MinBudgetShare, most).Draw(t, name+key))
	}
	d := Document{RetryBudgetRatio: half("ratio", 0.4), RetryBudgetBase: half("spare", 10), ColdShare: half("cold", 1), Nodes: map[string]bool{}}
	if maybe("attempts?") {
		d.Attempts = ptr(rapid.IntRange(MinAttempts, 4).Draw(t, name+"attempts"))
	}
	if maybe("copies?") {
		d.Copies = ptr(maybe("copies"))
	}
	if x := half("a", 10); x != nil {
		d.Allowances = map[string]float64{"a": *x}
	}
	for _, node := range []string{"s-1", "s-2", "s-3"} {
		if maybe(node + "?") {
			d.Nodes[node] = maybe(node)
		}
	}
	if maybe("zone") {
		d.ZonesLeft = []string{"z"}
	}
	return d
}

// TestMostRestrictive: the combination of two versions exceeds neither and does not depend
// on the order, and a mixer without a lease exceeds no version in nodes or zones that it
// knows of.
func TestMostRestrictive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawDocument(t, "a").ApplyTo(base), drawDocument(t, "b").ApplyTo(base), drawDocument(t, "c").ApplyTo(base)
		m := MostRestrictive(a, b)
		if keys := append(ExceededKeys(m, a), ExceededKeys(m, b)...); len(keys) > 0 {
			t.Fatalf("the combination exceeds one of the two: %v", keys)
		}
		if diff := cmp.Diff(m, MostRestrictive(b, a)); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(MostRestrictive(m, c), MostRestrictive(a, MostRestrictive(b, c))); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(a, MostRestrictive(a, a)); diff != "" {
			t.Fatal(diff)
		}
		for _, key := range ExceededKeys(FallbackRules(base, a), b) {
			node, isNode := strings.CutPrefix(key, "nodes.")
			_, named := a.Barred[node]
			if zone, ok := strings.CutPrefix(key, "zones_left."); !(isNode && !named || ok && !a.Left[zone]) {
				t.Fatalf("a mixer without a lease that knows a exceeds b in %s", key)
			}
		}
		if len(ConflictingKeys(a, b)) == 0 && len(ExceededKeys(a, b)) > 0 {
			t.Fatal("one exceeds the other, yet they don't conflict")
		}
	})
}

func TestConflictingKeys(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want []string
	}{
		{``, ``, nil},
		{``, `{"max_open":5}`, nil},
		{``, `{"attempts":2}`, []string{"attempts"}},
		{`{"nodes":{"s-1":false,"s-2":true}}`, `{"nodes":{"s-1":true,"s-2":false}}`, []string{"nodes.s-1", "nodes.s-2"}},
		{`{"nodes":{"s-1":true}}`, ``, nil},
		{`{"zones_left":["z"]}`, `{"cold_share":0.5,"copies":false}`, []string{"cold_share", "copies", "zones_left.z"}},
		{`{"allowances":{"a":5,"unknown":1}}`, `{"allowances":{"a":10}}`, []string{"allowances.a"}},
	} {
		a, err := parseRules(c.a)
		b, err2 := parseRules(c.b)
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		if got := ConflictingKeys(a, b); !slices.Equal(got, c.want) {
			t.Errorf("%s and %s: %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

func propose(from uint64, mark, text string, tries ...string) Command {
	return Command{Kind: Propose, Version: Version{BaseNumber: from, Mark: mark, Text: text, Canaries: tries}}
}

func mustApply(t *testing.T, s State, c Command) State {
	t.Helper()
	next, _, err := s.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestOneVersionAtATime(t *testing.T) {
	s := mustApply(t, State{}, propose(0, "m1", `{"attempts":3}`, "x"))
	if _, _, err := s.Apply(propose(0, "m2", `{}`)); err == nil {
		t.Error("two versions are being rolled out")
	}
	if again, n, err := s.Apply(propose(0, "m1", `{}`)); err != nil || n != 1 || again.Revision != s.Revision {
		t.Errorf("a repeated proposal: %d, %v", n, err)
	}
	if _, _, err := s.Apply(Command{Kind: Advance, Revision: s.Revision - 1}); err == nil {
		t.Error("a command for an old revision took effect")
	}
	for range 3 {
		s = mustApply(t, s, Command{Kind: Advance, Revision: s.Revision})
	}
	if s.Phase != PhaseSteady || s.Old.Number != 1 {
		t.Fatalf("%+v", s)
	}
	if _, _, err := s.Apply(propose(0, "m3", `{}`)); err == nil || !strings.Contains(err.Error(), "the latest is 1") {
		t.Errorf("derived from an old version: %v", err)
	}
	s = mustApply(t, s, propose(1, "m4", `{"attempts":2}`, "x"))
	s = mustApply(t, s, Command{Kind: Withdraw, Number: 2})
	if s.Phase != PhaseSteady || s.Old.Number != 1 || s.Latest != 2 {
		t.Fatalf("withdrawn before it came into force: %+v", s)
	}
	s = mustApply(t, s, propose(2, "m5", `{"attempts":2}`, "x"))
	s = mustApply(t, mustApply(t, s, Command{Kind: Advance, Revision: s.Revision}), Command{Kind: Advance, Revision: s.Revision + 1})
	if s.Phase != PhaseRollout || s.InForce().Number != 3 {
		t.Fatalf("%+v", s)
	}
	s = mustApply(t, s, Command{Kind: Withdraw, Revision: s.Revision, Why: "x died"})
	if s.Phase != PhaseRollback || s.InForce().Number != 3 {
		t.Fatalf("withdrawn while in force: %+v", s)
	}
	s = mustApply(t, s, Command{Kind: Advance, Revision: s.Revision})
	if v, ok := s.Find(3); s.Old.Number != 1 || !ok || v.Outcome != "withdrawn: x died" {
		t.Fatalf("%+v", s)
	}
	for n := s.Latest; n < 200; n++ {
		s = mustApply(t, s, propose(n, strconv.Itoa(int(n)), `{}`, "x"))
		s = mustApply(t, s, Command{Kind: Withdraw, Number: n + 1})
	}
	if len(s.History) != maxHistory {
		t.Errorf("%d versions in the history", len(s.History))
	}
}

// TestRefusalIsFinal: duplicates of one proposal can arrive in any order, from leaders that
// do not know of each other. The one that is executed first decides for all of them.
func TestRefusalIsFinal(t *testing.T) {
	settle := func(s State) State {
		for s.Phase != PhaseSteady {
			s = mustApply(t, s, Command{Kind: Advance, Revision: s.Revision})
		}
		return s
	}
	refused := func(s State, c Command, want string) State {
		t.Helper()
		next, _, err := s.Apply(c)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Fatalf("%+v: %v, want %q", c, err, want)
		}
		if next.Revision != s.Revision || next.Latest != s.Latest {
			t.Fatalf("a refusal changed the state: %+v", next)
		}
		return next
	}
	s := mustApply(t, State{}, propose(0, "a", `{}`))
	s = refused(s, propose(1, "b", `{}`), "on its way")
	s = settle(s)
	s = refused(s, propose(1, "b", `{}`), "on its way")

	check := Command{Kind: Refuse, Version: Version{BaseNumber: 1, Mark: "c"}, Why: "n2: attempts: 9 is too many"}
	s = refused(s, check, "attempts")
	s = refused(s, propose(1, "c", `{}`), "attempts")
	if again, n, err := s.Apply(Command{Kind: Refuse, Version: Version{BaseNumber: 0, Mark: "a"}, Why: "x"}); err != nil || n != 1 || again.Latest != 1 {
		t.Errorf("refused after it was accepted: %d, %v", n, err)
	}
	s = refused(s, propose(2, "d", `{}`), "the latest is 1")
	s = settle(mustApply(t, s, propose(1, "e", `{}`)))
	s = refused(s, propose(2, "d", `{}`), "the latest is 1")
	s = refused(s, propose(1, "b", `{}`), "the latest is 2")
	if len(s.Refusals) != 1 {
		t.Errorf("%d refusals kept, want 1: only one could still be retried", len(s.Refusals))
	}
	s = refused(s, propose(2, strings.Repeat("m", maxMarkBytes+1), `{}`), "mark")
	s = refused(s, propose(2, "", `{}`), "mark")

	s = mustApply(t, s, propose(2, "f", `{}`))
	for i := len(s.Refusals); i < maxRefusals; i++ {
		s = refused(s, propose(3, "r"+strconv.Itoa(i), `{}`), "on its way")
	}
	if _, _, err := s.Apply(propose(3, "one more", `{}`)); err != ErrTooManyRefusals {
		t.Errorf("one more refusal than can be kept: %v", err)
	}
	mustApply(t, settle(s), propose(3, "one more", `{}`))
}

func TestPickCanaries(t *testing.T) {
	var names []string
	for i := range 31 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	spared := func(n string) bool { return n < "n25" }
	first := PickCanaries("m", names, spared)
	if len(first) != 4 || slices.ContainsFunc(first, spared) || !slices.Equal(first, PickCanaries("m", names, spared)) {
		t.Errorf("%v", first)
	}
	if slices.Equal(first, PickCanaries("m2", names, spared)) {
		t.Error("two versions have the same canaries")
	}
	if len(PickCanaries("m", names[:1], spared)) != 1 || len(PickCanaries("m", nil, spared)) != 0 {
		t.Error("wrong number of canaries in a fleet of one or none")
	}
}

// TestPure checks that the package does no I/O, reads no clock and starts no goroutine.
func TestPure(t *testing.T) {
	pure.Imports(t, "cmp", "errors", "fmt", "hash/fnv", "maps", "math", "slices", "strconv", "strings", "time")
}

// TestZonePlansFollowEachOther: each plan has to follow the present one, and replacing it
// does not affect the rollout of a version.
func TestZonePlansFollowEachOther(t *testing.T) {
	s := State{Phase: PhaseTrial, New: Version{Number: 3}, Latest: 3, Revision: 9}
	for _, c := range []struct {
		seq  uint64
		plan string
		err  bool
		then string
	}{
		{2, "x", true, ""}, {1, "one", false, "one"}, {1, "one", false, "one"}, {1, "other", true, "one"},
		{3, "three", true, "one"}, {2, "two", false, "two"}, {1, "one", true, "two"}, {3, strings.Repeat("x", MaxDocumentBytes+1), true, "two"},
	} {
		next, _, err := s.Apply(Command{Kind: SetZonePlan, Seq: c.seq, Plan: c.plan, Why: "a test"})
		if (err != nil) != c.err || next.Plan != c.then {
			t.Errorf("plan %d %.9q: %v, then %.9q", c.seq, c.plan, err, next.Plan)
		}
		if another := next.PlanSeq != s.PlanSeq; (next.Revision != s.Revision) != another || next.Phase != PhaseTrial || next.New.Number != 3 {
			t.Errorf("plan %d: stage %d after %d, %v", c.seq, next.Revision, s.Revision, next.Phase)
		}
		s = next
	}
}
