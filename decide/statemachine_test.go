package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLatePartGetsOneCopyAndTheOtherAttemptIsCancelled(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms)
	_, parts := r.query(0, 1)
	p := parts[0]
	r.advance(30 * ms)
	if len(r.sent[p]) != 1 {
		t.Fatalf("%d sends before the p90, want 1", len(r.sent[p]))
	}
	r.advance(100 * ms)
	if len(r.sent[p]) != 2 || r.sent[p][0].Server == r.sent[p][1].Server {
		t.Fatalf("sends %v, want one copy on the other replica", r.sent[p])
	}
	actions := r.finish(p, 1, OK, 50*ms)
	if c, ok := findAction[Cancel](actions); !ok || c.Attempt != 0 {
		t.Errorf("actions %v, want the first attempt cancelled", actions)
	}
	if a, ok := findAction[Answer](actions); !ok || !a.Whole {
		t.Errorf("actions %v, want a whole answer", actions)
	}
}

func TestCopyDelayBeforeAnyAnswerIsHalfTheLatencyTarget(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms) // for copy tokens; then both servers restart
	l := listOf("a", "b")
	l.Servers[0].Started, l.Servers[1].Started = 1*ms, 1*ms
	r.step(l)
	_, parts := r.query(0, 1)
	r.advance(490 * ms)
	if len(r.sent[parts[0]]) != 1 {
		t.Fatalf("copied before half the latency target")
	}
	r.advance(20 * ms)
	if len(r.sent[parts[0]]) != 2 {
		t.Fatalf("not copied at half the latency target")
	}
}

func TestPartsOfAQueryGoToOneOffset(t *testing.T) {
	r := newHarness(t, testSettings(), "c", "a", "b")
	_, parts := r.query(0, 4)
	for _, p := range parts {
		if r.sent[p][0].Server != r.sent[parts[0]][0].Server {
			t.Fatalf("parts of one shard at different offsets")
		}
	}
	first := r.sent[parts[0]][0].Server
	_, parts = r.query(0, 1)
	if r.sent[parts[0]][0].Server == first {
		t.Errorf("the next query went to the server with an open call, not to an idle one")
	}
}

func TestErrorsAndRefusalsAreNoLatencySamples(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	r := newHarness(t, set, "a")
	for range 3 {
		_, parts := r.query(0, 1)
		r.finish(parts[0], 0, Failed, ms)
		r.advance(4 * time.Second)
	}
	s := r.m.servers["a"]
	if !s.fillSketch.IsEmpty() || !s.readSketch.IsEmpty() {
		t.Errorf("a failure was recorded as a latency")
	}
}

func TestNonIdempotentPartIsSentAgainOnlyIfItNeverRan(t *testing.T) {
	for o, again := range map[Outcome]bool{Failed: false, TimedOut: false, Reset: false, Full: true, ConnectFailed: true} {
		r := newHarness(t, testSettings(), "a", "b")
		_, parts := r.query(1, 1)
		actions := r.finish(parts[0], 0, o, ms)
		r.advance(300 * ms)
		if got := len(r.sent[parts[0]]) > 1; got != again {
			t.Errorf("after outcome %d sent again: %v, want %v", o, got, again)
		}
		if _, refused := findAction[Refuse](actions); refused {
			t.Errorf("outcome %d: refused though it may have run", o)
		}
		if _, failed := findAction[Fail](actions); failed == again {
			t.Errorf("outcome %d: failed at once %v, want %v", o, failed, !again)
		}
	}
}

func TestDeduplicatedPartIsNotRepeatedAfterItsDedupWindow(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	_, parts := r.query(2, 1) // no copy tokens yet, so no copy
	r.advance(1100 * ms)
	before := len(r.sent[parts[0]])
	r.finish(parts[0], 0, TimedOut, 1100*ms)
	r.advance(time.Second)
	if len(r.sent[parts[0]]) != before {
		t.Errorf("sent again after the dedup window")
	}
}

func TestStoppingServerGetsNoPartsAfterItsWindow(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.step(ServerListUpdate{Servers: []Server{{ID: "a", State: Stopping}}})
	r.advance(850 * ms) // of a grace of a second
	for range 10 {
		_, parts := r.query(0, 1)
		if r.sent[parts[0]][0].Server != "b" {
			t.Fatalf("sent to a stopping server")
		}
		r.finish(parts[0], 0, OK, 10*ms)
	}
}

func TestColdServerStaysWithinItsBudget(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(40, 40*ms)
	r.step(ServerListUpdate{Servers: []Server{{ID: "a", Started: r.now - ms}}})
	cold := 0
	for end := r.now + 2*time.Second; r.now < end; {
		_, parts := r.query(0, 1)
		if r.sent[parts[0]][0].Server == "a" {
			cold++
		}
		r.now += 20 * ms
		r.finish(parts[0], 0, OK, 20*ms)
	}
	// A warm server handles up to 20 parts a second: 2 x (0.2 to 0.36) of that for 2 s.
	if cold == 0 || cold > 28 {
		t.Errorf("%d of about 100 parts went to the cold server, want a few", cold)
	}
}

// TestSilenceWithNothingInFlightFades guards against refusals that sustain themselves: a server
// whose attempts were all cancelled while it was silent must be tried again, since nothing renews
// that silence.
func TestSilenceWithNothingInFlightFades(t *testing.T) {
	r := newHarness(t, testSettings(), "a")
	r.query(0, 1)
	r.advance(1100 * ms) // the query ends at its latency target and its attempt is cancelled
	r.step(AttemptDone{Part: "q1.0", Attempt: 0, Server: "a", Outcome: Cancelled})
	s := r.m.servers["a"]
	s.lastSilence = 3 * time.Second
	if !r.m.isSuspect(s) {
		t.Fatalf("not a suspect after %v of silence", r.m.silence(s))
	}
	r.advance(2 * time.Second)
	if r.m.isSuspect(s) {
		t.Errorf("still a suspect, silent for %v", r.m.silence(s))
	}
}

// TestTimeoutJitterIsNotTakenForALaterTry: the timeouts of first tries differ by milliseconds on
// arrival.
func TestTimeoutJitterIsNotTakenForALaterTry(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	for i, left := range []time.Duration{3004 * ms, 3001 * ms} {
		r.step(QueryArrived{ID: "x" + string(rune('0'+i)), Number: int64(900 + i), Left: left},
			PartArrived{ID: "y" + string(rune('0'+i)), Number: int64(900 + i), Weight: 1})
	}
	if len(r.sent["y1"]) != 1 {
		t.Errorf("the second query was not started")
	}
}

// TestLaterTryPastItsLatencyTargetIsNotStarted: later tries arrive with what is left of the
// deadline, whether that is less than the timeout of a first try or more.
func TestLaterTryPastItsLatencyTargetIsNotStarted(t *testing.T) {
	for _, late := range []time.Duration{1500 * ms, 2800 * ms} {
		r := newHarness(t, testSettings(), "a", "b")
		for i, left := range []time.Duration{2000 * ms, late, 2000 * ms} {
			id := string(rune('0' + i))
			r.step(QueryArrived{ID: "x" + id, Number: int64(900 + i), Left: left},
				PartArrived{ID: "y" + id, Number: int64(900 + i), Weight: 1})
		}
		if len(r.sent["y1"]) != 0 {
			t.Errorf("timeout %v: a try past its latency target was started", late)
		}
		if len(r.sent["y2"]) != 1 {
			t.Errorf("timeout %v: a first try was not started", late)
		}
	}
}

func TestPartialAnswerComesJustBeforeTheLatencyTarget(t *testing.T) {
	r := newHarness(t, testSettings(), "a")
	_, parts := r.query(3, 2)
	r.now += 50 * ms
	r.finish(parts[0], 0, OK, 50*ms)
	r.advance(900 * ms)
	if _, ok := findAction[Answer](r.actions); ok {
		t.Fatalf("answered long before the latency target")
	}
	answered := false
	for range 10 {
		r.advance(5 * ms)
		if a, ok := findAction[Answer](r.actions); ok {
			answered = true
			if a.Whole {
				t.Errorf("a partial answer was marked whole")
			}
		}
	}
	if !answered {
		t.Errorf("no partial answer by the latency target")
	}
}

func TestSecondStepIsCompleteOnlyWithAllParts(t *testing.T) {
	r := newHarness(t, testSettings(), "a")
	id, parts := r.query(4, 1)
	if a, ok := findAction[Answer](r.finish(parts[0], 0, OK, 20*ms)); !ok || !a.Whole {
		t.Fatalf("the first step was not answered whole")
	}
	r.now += 5 * ms
	r.step(PartArrived{ID: "f0", Number: 1, Weight: 0.5}, PartArrived{ID: "f1", Number: 1, Weight: 0.5})
	if _, ok := findAction[Answer](r.finish("f0", 0, OK, 20*ms)); ok {
		t.Errorf("answered with a part of the second step missing")
	}
	if a, ok := findAction[Answer](r.finish("f1", 0, OK, 20*ms)); !ok || !a.Whole || a.Query != id {
		t.Errorf("the second step was not answered whole")
	}
}

func TestQuickFailuresDoNotAttractTraffic(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms)
	bad := 0
	for range 40 {
		_, parts := r.query(0, 1)
		r.now += 10 * ms
		for n := 0; n < len(r.sent[parts[0]]); n++ {
			if r.sent[parts[0]][n].Server == "a" {
				bad++
				r.finish(parts[0], n, Failed, ms)
			} else {
				r.finish(parts[0], n, OK, 40*ms)
			}
		}
		r.advance(50 * ms)
	}
	if bad > 10 {
		t.Errorf("%d sends went to the failing server, want trials only", bad)
	}
}

func TestListIsRequestedAgainWithGrowingPauses(t *testing.T) {
	set := testSettings()
	set.WatchDiscovery, set.ListRefreshInterval = true, 10*time.Second
	r := newHarness(t, set, "a")
	watched := 0
	for range 20 { // the first call is spread over a little time
		r.now += 5 * ms
		watched += countActions[Watch](r.step(TimerFired{Token: "due"}))
	}
	if watched != 1 {
		t.Fatalf("%d subscriptions at the start", watched)
	}
	var asked []time.Duration
	r.step(WatchFailed{})
	for end := r.now + 60*time.Second; r.now < end; {
		r.now += 5 * ms
		if countActions[Watch](r.step(TimerFired{Token: "due"})) == 1 {
			asked = append(asked, r.now)
			r.step(WatchFailed{})
		}
	}
	if len(asked) < 4 || len(asked) > 24 {
		t.Errorf("asked %d times in a minute without an answer", len(asked))
	}
}

// TestInvalidInputCausesNeitherPanicNorSend gives a StateMachine unknown IDs, missing settings and
// times that run backwards.
func TestInvalidInputCausesNeitherPanicNorSend(t *testing.T) {
	m := New(Settings{}, 0)
	m.Step(-1, []Event{AttemptDone{Part: "none"}, ClientGone{Query: "none"}, TimerFired{}, ProbeDone{}, WatchFailed{},
		PartArrived{ID: "p", Number: 9}, StreamStarted{}, PeerMessage{}, nil})
	actions := m.Step(-2, []Event{QueryArrived{ID: "q", Class: 3}})
	if _, ok := findAction[Fail](actions); !ok {
		t.Errorf("a query of an unknown class got %v, want a final answer", actions)
	}
	set := testSettings()
	set.Cells, set.CellsPerShard = 0, 0
	r := newHarness(t, set, "a")
	_, parts := r.query(0, 1)
	r.step(ServerListUpdate{Full: true})
	r.finish(parts[0], 0, OK, -ms)
	r.step(AttemptDone{Part: parts[0], Attempt: 0, Outcome: OK}, AttemptDone{Part: parts[0], Attempt: -1})
	id, _ := r.query(0, 1)
	r.advance(5 * time.Second)
	if r.m.queriesByID[id] != nil || len(r.m.parts) != 0 || len(r.m.active) != 0 {
		t.Errorf("state is kept after the queries ended")
	}
}

// TestAttemptsWithLostOutcomesExpire: an outcome that never arrives must not keep the attempt, or
// the silence that it stands for, for good.
func TestAttemptsWithLostOutcomesExpire(t *testing.T) {
	r := newHarness(t, testSettings(), "a")
	r.query(0, 2)
	r.advance(8 * time.Second)
	s := r.m.servers["a"]
	if s.inFlight != 0 || s.calls != 0 || len(r.m.parts) != 0 {
		t.Errorf("%d attempts, %d calls and %d parts are kept", s.inFlight, s.calls, len(r.m.parts))
	}
}

// TestQueriesAreStartedAgainRightAfterAStall: after a general stall every holder has been silent.
// With nothing in flight, the next query is the trial and is not refused because of the old
// silence.
func TestQueriesAreStartedAgainRightAfterAStall(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms)
	_, parts := r.query(0, 1)
	r.advance(1100 * ms)
	for n := range r.sent[parts[0]] {
		r.finish(parts[0], n, Cancelled, 1100*ms)
	}
	for _, s := range r.m.servers {
		s.trialAt = r.now + time.Hour // so that no trial is due
	}
	if _, parts = r.query(0, 1); len(r.sent[parts[0]]) != 1 {
		t.Errorf("refused because of the old silence of servers with nothing in flight")
	}
}

// TestPartWithLostAttemptsIsSentAgain loses both the first attempt and the copy. A part is sent
// once more when its servers have answered what they were sent later.
func TestPartWithLostAttemptsIsSentAgain(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b", "c")
	r.warmUp(30, 40*ms)
	_, lost := r.query(0, 1)
	r.advance(100 * ms)
	if len(r.sent[lost[0]]) != 2 {
		t.Fatalf("%d sends, want a copy", len(r.sent[lost[0]]))
	}
	for range 4 { // every server goes on answering what arrived later
		var ids []string
		for range 3 {
			_, parts := r.query(0, 1)
			ids = append(ids, parts[0])
		}
		r.advance(20 * ms)
		for _, p := range ids {
			r.finish(p, 0, OK, 20*ms)
		}
		r.advance(60 * ms)
	}
	if n := len(r.sent[lost[0]]); n != 3 {
		t.Errorf("%d sends of a part whose attempts were overtaken, want 3", n)
	}
}

// TestCopyDelayOfSlowServersIsCapped: a server that stays slow fills its own sketch, and its copy
// delay must still leave the copy time.
func TestCopyDelayOfSlowServersIsCapped(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms)
	for range 20 {
		r.m.servers["a"].observe(r.now, 900*ms)
		r.m.servers["b"].observe(r.now, 900*ms)
	}
	_, parts := r.query(0, 1)
	r.advance(520 * ms)
	if len(r.sent[parts[0]]) != 2 {
		t.Errorf("%d sends at half the latency target, want a copy", len(r.sent[parts[0]]))
	}
}

// TestPartAvoidsASlowServer: a part leaves its offset for a holder that is clearly faster.
func TestPartAvoidsASlowServer(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms)
	r.m.servers["a"].latency = 0.8
	for range 5 {
		_, parts := r.query(0, 1)
		if r.sent[parts[0]][0].Server != "b" {
			t.Fatalf("sent to the server that would use most of the time")
		}
		r.now += 40 * ms
		r.finish(parts[0], 0, OK, 40*ms)
	}
}

// TestNoCopyToAnEquallySlowHolder: a copy is sent only where the other holder is expected to be
// faster.
func TestNoCopyToAnEquallySlowHolder(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(20, 40*ms)
	_, parts := r.query(0, 1)
	for _, s := range r.m.servers {
		s.latency = 0.4
	}
	copyTokens := r.m.copyTokens
	r.advance(300 * ms)
	if len(r.sent[parts[0]]) != 1 || r.m.copyTokens < copyTokens {
		t.Errorf("copied to a holder that is equally slow")
	}
}

// TestOneLostMessageDoesNotMakeAShardUnavailable: a silent holder whose trial is due gets one query
// even with a lost attempt in flight.
func TestOneLostMessageDoesNotMakeAShardUnavailable(t *testing.T) {
	r := newHarness(t, testSettings(), "a")
	r.warmUp(20, 40*ms)
	r.query(0, 1)
	r.advance(800 * ms)
	r.m.servers["a"].unansweredSince = r.now - 3*time.Second
	if _, parts := r.query(0, 1); len(r.sent[parts[0]]) != 1 {
		t.Errorf("refused though the holder's trial is due")
	}
}

func TestShardWithOnlySuspectsIsServed(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	for _, s := range r.m.servers {
		s.failureShare = 1
		s.trialAt = r.now + time.Hour
	}
	if _, parts := r.query(0, 1); len(r.sent[parts[0]]) != 1 {
		t.Errorf("refused a part because all holders of its shard are suspects")
	}
}

// TestTenantOverItsAllowanceIsRefusedFirst: when time is short, tenants over their allowance are
// refused before others.
func TestTenantOverItsAllowanceIsRefusedFirst(t *testing.T) {
	set := testSettings()
	set.Tenants, set.OverAllowanceValue = []Tenant{{Allowance: 100}, {Allowance: 0.2}}, 0.1
	r := newHarness(t, set, "a", "b")
	r.warmUp(20, 40*ms)
	for _, s := range r.m.servers {
		s.latency = 0.85
	}
	for i, tenant := range []int{0, 1} {
		id := string(rune('0' + i))
		r.step(QueryArrived{ID: "x" + id, Number: int64(900 + i), Left: 4 * time.Second, Tenant: tenant},
			PartArrived{ID: "y" + id, Number: int64(900 + i), Weight: 1})
		r.now += 5 * ms
	}
	if len(r.sent["y0"]) != 1 || len(r.sent["y1"]) != 0 {
		t.Errorf("sent %d within the allowance and %d over it, want 1 and 0", len(r.sent["y0"]), len(r.sent["y1"]))
	}
}

// TestRetriesStayWithinTheBudget has every attempt rejected.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b", "c")
	taken, further := 0, 0
	for range 60 {
		_, parts := r.query(0, 1)
		taken += 2
		for n := 0; n < len(r.sent[parts[0]]); n++ {
			if n > 0 {
				further++
			}
			r.finish(parts[0], n, Full, ms)
		}
		if limit := 5 + 0.2*float64(taken); float64(further) > limit {
			t.Fatalf("%d retries after %d queries and parts", further, taken)
		}
	}
	if further < 10 {
		t.Errorf("%d retries, the budget was not used up", further)
	}
}

// TestFailingServerIsAvoided: a suspect is avoided even if the sound holder has more open calls of
// this aggregator. Below the limit for suspects, failures count as open calls.
func TestFailingServerIsAvoided(t *testing.T) {
	for _, c := range []struct {
		failureShare float64
		busy         int
	}{{0.9, 6}, {0.4, 1}} {
		r := newHarness(t, testSettings(), "a", "b")
		r.warmUp(20, 40*ms)
		a, b := r.m.servers["a"], r.m.servers["b"]
		a.failureShare, a.trialAt, b.calls = c.failureShare, r.now+time.Hour, c.busy
		if _, parts := r.query(0, 1); r.sent[parts[0]][0].Server != "b" {
			t.Errorf("failing share %.1f: sent to the failing server", c.failureShare)
		}
	}
}

// TestPartialAnswerWaitsWhereLateOnesAreWorthMore: no partial answer is given if a late complete
// one is worth more.
func TestPartialAnswerWaitsWhereLateOnesAreWorthMore(t *testing.T) {
	set := testSettings()
	set.Classes[3].LateValue = 0.8
	r := newHarness(t, set, "a")
	_, parts := r.query(3, 2)
	r.finish(parts[0], 0, OK, 50*ms)
	for range 300 {
		r.advance(5 * ms)
		if _, ok := findAction[Answer](r.actions); ok {
			t.Fatalf("a partial answer worth 0.45 was given, a late one is worth 0.8")
		}
	}
	if a, ok := findAction[Answer](r.finish(parts[1], 0, OK, time.Second)); !ok || !a.Whole {
		t.Errorf("no whole answer when the last part arrived")
	}
}

// TestServerKnownOnlyByCancelledAttemptsIsAvoided: the attempts of a slow server are cancelled
// before they are answered. Their ages must keep later parts away from it.
func TestServerKnownOnlyByCancelledAttemptsIsAvoided(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	slow := ""
	for range 12 {
		_, parts := r.query(0, 1)
		first := r.sent[parts[0]][0].Server
		if slow == "" {
			slow = first
		}
		if first != slow {
			r.advance(50 * ms)
			r.finish(parts[0], 0, OK, 50*ms)
			continue
		}
		r.advance(600 * ms)
		if len(r.sent[parts[0]]) > 1 {
			r.finish(parts[0], 1, OK, 50*ms)
			r.finish(parts[0], 0, Cancelled, 600*ms)
		}
	}
	n := 0
	for range 6 {
		_, parts := r.query(0, 1)
		if r.sent[parts[0]][0].Server == slow {
			n++
		} else {
			r.advance(50 * ms)
			r.finish(parts[0], 0, OK, 50*ms)
		}
	}
	if n > 1 {
		t.Errorf("%d of 6 queries still went to the slow server", n)
	}
}

// TestOldLatencyOfAServerFades: what was learned of a server minutes ago must not keep parts away
// from it.
func TestOldLatencyOfAServerFades(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(8, 50*ms)
	m, a := r.m, r.m.servers["a"]
	a.latency, a.sampledAt = 2, m.now
	fresh := m.expectedDelay(a)
	r.advance(40 * time.Second)
	if old := m.expectedDelay(a); fresh < 1 || old > 0.2 {
		t.Errorf("expected delay %.2f s at first, %.2f s after 40 s", fresh, old)
	}
}

// TestOverallMeanLatencyCoversAllAnswers: the last answers of a query are its slowest, and the mean
// over all servers must not be theirs alone.
func TestOverallMeanLatencyCoversAllAnswers(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	_, parts := r.query(0, 20)
	for i, p := range parts {
		r.now += 20 * ms
		r.finish(p, 0, OK, time.Duration(i+1)*20*ms)
	}
	if got := r.m.latency(); got < 0.15 || got > 0.25 {
		t.Errorf("mean %.3f s of answers between 0.02 and 0.40 s", got)
	}
}

// TestLastPartIsCopiedWithoutAToken: one part of many is missing, there is no copy token and the
// other holder is fast. The query must not fail for that part.
func TestLastPartIsCopiedWithoutAToken(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(8, 50*ms)
	_, parts := r.query(0, 8)
	r.advance(50 * ms)
	for _, p := range parts[1:] {
		r.finish(p, 0, OK, 50*ms)
	}
	for range 100 {
		r.m.copyTokens = 0
		r.advance(5 * ms)
	}
	if n := len(r.sent[parts[0]]); n != 2 {
		t.Errorf("%d attempts of the last part after half the latency target, want 2", n)
	}
}

// TestIdleConnectionsAreClosedAfterOneBroke: idle connections may be dropped unseen. After one was
// reset, others that have been idle as long are closed before use, and the server is not blamed.
func TestIdleConnectionsAreClosedAfterOneBroke(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(8, 50*ms)
	r.advance(2 * time.Second)
	_, parts := r.query(0, 1)
	r.finish(parts[0], 0, Reset, 2*ms)
	if s := r.m.servers[r.sent[parts[0]][0].Server]; s.failureShare > 0 {
		t.Errorf("a dropped connection was counted as a failure of the server")
	}
	r.advance(100 * ms)
	r.finish(parts[0], 1, OK, 50*ms)
	r.advance(2 * time.Second)
	r.query(0, 1)
	c, closed := findAction[CloseIdle](r.actions)
	s, sent := findAction[Send](r.actions)
	if !closed || !sent || c.Server != s.Server {
		t.Errorf("closed %v, sent %v", c, s)
	}
}

// TestConnectionInUseIsNotClosedBeforeASend: a connection that breaks while in use says nothing of
// how long one may be idle, so those that were in use a moment ago are kept. Each new one makes its
// first part wait for a handshake, past the answer of its query if copies are faster.
func TestConnectionInUseIsNotClosedBeforeASend(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(8, 50*ms)
	_, parts := r.query(0, 1)
	r.advance(2 * ms)
	r.finish(parts[0], 0, OK, 2*ms)
	r.advance(4 * ms)
	_, parts = r.query(0, 1)
	if idle := r.m.inFlight[len(r.m.inFlight)-1].idle; idle <= 0 || idle > 70*ms {
		t.Fatalf("the connection had been idle for %v", idle)
	}
	r.finish(parts[0], 0, Reset, 2*ms)
	r.advance(100 * ms)
	r.finish(parts[0], 1, OK, 50*ms)
	for range 20 {
		r.advance(40 * ms)
		_, parts := r.query(0, 1)
		if c, closed := findAction[CloseIdle](r.actions); closed {
			t.Fatalf("%v though it was in use 40 ms before", c)
		}
		r.advance(2 * ms)
		r.finish(parts[0], 0, OK, 2*ms)
	}
}

// TestSilentLossOnIdleConnectionsIsDetected: dropped connections may give no reset. What is sent on
// an idle one is lost, what is sent on a new one is answered.
func TestSilentLossOnIdleConnectionsIsDetected(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b", "c")
	r.warmUp(3, 50*ms)
	lost, closed := 0, 0
	for range 10 {
		r.advance(3 * time.Second)
		_, parts := r.query(0, 1)
		closes := countActions[CloseIdle](r.actions)
		closed += closes
		if closes == 0 && r.m.inFlight[len(r.m.inFlight)-1].idle > 0 {
			lost++
			continue
		}
		r.advance(50 * ms)
		r.finish(parts[0], 0, OK, 50*ms)
	}
	if closed < 4 {
		t.Errorf("%d sends lost, idle connections closed %d times", lost, closed)
	}
}

// TestForcedCopiesStopWhereTheyDoNotHelp: everything is slow, and more load makes it worse. Copies
// without a token must stop if they are not the first to answer.
func TestForcedCopiesStopWhereTheyDoNotHelp(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(8, 50*ms)
	again := 0
	for range 20 {
		_, parts := r.query(0, 8)
		r.m.copyTokens = 0
		for _, p := range parts[1:] {
			r.finish(p, 0, OK, 50*ms)
		}
		for range 130 {
			r.m.copyTokens = 0
			r.advance(5 * ms)
		}
		again += len(r.sent[parts[0]]) - 1
		for range len(r.sent[parts[0]]) {
			r.finish(parts[0], 0, OK, 650*ms)
		}
	}
	if again < 1 || again > 4 {
		t.Errorf("%d forced copies though none answered first, want 1 to 4", again)
	}
}

// TestTwoStepQueryIsStartedOnlyIfBothStepsFit: both steps have to fit before the latency target. A
// query whose first step alone would use most of the time is not started.
func TestTwoStepQueryIsStartedOnlyIfBothStepsFit(t *testing.T) {
	for _, c := range []struct {
		latency time.Duration
		started bool
	}{{200 * ms, true}, {600 * ms, false}} {
		r := newHarness(t, testSettings(), "a", "b")
		r.warmUp(8, c.latency)
		r.query(4, 1)
		if _, sent := findAction[Send](r.actions); sent != c.started {
			t.Errorf("answers take %v: started %v, want %v", c.latency, sent, c.started)
		}
		r.query(0, 1)
		if _, sent := findAction[Send](r.actions); !sent {
			t.Errorf("answers take %v: a query of one step was not started", c.latency)
		}
	}
}

// TestIdleConnectionsAreKeptWhereNewOnesAreLostToo: a slow network path loses attempts on new
// connections as well. Closing idle ones must end then, as it only adds handshakes.
func TestIdleConnectionsAreKeptWhereNewOnesAreLostToo(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b", "c")
	r.warmUp(3, 50*ms)
	closes := make([]int, 2)
	for i := range 24 {
		r.advance(2 * time.Second)
		r.query(0, 1)
		closes[i/12] += countActions[CloseIdle](r.actions)
		r.advance(time.Second)
	}
	if closes[1] > 4 {
		t.Errorf("idle connections closed %d times, then %d times", closes[0], closes[1])
	}
}

// TestShortTimeoutsAreServedWhileAnswersAreQuick: a timeout far below the latency target is the
// client's choice, not a later try, and the query is worth starting while answers are quick.
func TestShortTimeoutsAreServedWhileAnswersAreQuick(t *testing.T) {
	for _, c := range []struct {
		latency time.Duration
		started bool
	}{{50 * ms, true}, {300 * ms, false}} {
		r := newHarness(t, testSettings(), "a", "b")
		r.warmUp(8, c.latency)
		r.step(QueryArrived{ID: "hasty", Number: 99, Left: 300 * ms}, PartArrived{ID: "hasty.0", Number: 99, Weight: 1})
		if _, sent := findAction[Send](r.actions); sent != c.started {
			t.Errorf("answers take %v: started %v, want %v", c.latency, sent, c.started)
		}
	}
}

// TestQueryThatCanBeAnsweredPartiallyIsCopiedLast: the last copy token goes to the query that gets
// no answer without its last part.
func TestQueryThatCanBeAnsweredPartiallyIsCopiedLast(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b", "c")
	r.warmUp(12, 50*ms)
	_, some := r.query(3, 4)
	_, all := r.query(0, 4)
	r.finish(some[0], 0, OK, 50*ms)
	r.finish(some[1], 0, OK, 50*ms)
	r.finish(some[2], 0, OK, 50*ms)
	r.finish(all[0], 0, OK, 50*ms)
	r.finish(all[1], 0, OK, 50*ms)
	for range 100 {
		if len(r.sent[some[3]])+len(r.sent[all[2]])+len(r.sent[all[3]]) > 3 {
			break
		}
		r.m.copyTokens, r.m.tokensRefilledAt = 1, r.now
		r.advance(5 * ms)
	}
	if len(r.sent[some[3]]) > 1 || len(r.sent[all[2]])+len(r.sent[all[3]]) != 3 {
		t.Errorf("attempts: %d where a partial answer is possible, %d and %d where not, want one copy there", len(r.sent[some[3]]),
			len(r.sent[all[2]]), len(r.sent[all[3]]))
	}
}

// TestSilentServersAreProbedNotSentParts: a server that takes parts and answers none must not get
// its share of real parts again each time its last attempt is cancelled. A probe finds out when it
// is back.
func TestSilentServersAreProbedNotSentParts(t *testing.T) {
	set := testSettings()
	set.ProbesAllowed, set.RetryBudgetWindow = true, 0
	r := newHarness(t, set, "a", "b")
	r.warmUp(20, 40*ms)
	toA, probes := 0, 0
	handle := func(actions []Action) { // what b and the caller do at once; a never responds
		for _, action := range actions {
			switch action := action.(type) {
			case Probe:
				probes++
				r.step(ProbeDone{Server: action.Server, Outcome: TimedOut})
			case Cancel:
				r.finish(action.Part, action.Attempt, Cancelled, 0)
			case Send:
				if action.Server == "b" {
					n := len(r.sent[action.Part]) - 1
					for _, a := range r.finish(action.Part, n, OK, 5*ms) {
						if c, ok := a.(Cancel); ok {
							r.finish(c.Part, c.Attempt, Cancelled, 0)
						}
					}
				}
			}
		}
	}
	for range 40 {
		_, parts := r.query(0, 1)
		first := r.sent[parts[0]][0].Server
		handle(r.actions)
		for range 20 {
			r.advance(5 * ms)
			handle(r.actions)
		}
		if first == "a" {
			toA++
		}
	}
	if toA > 8 || toA > 4 && probes == 0 {
		t.Errorf("%d of 40 queries went to the silent server first, %d probes", toA, probes)
	}
	r.step(ProbeDone{Server: "a", Outcome: OK})
	if s := r.m.servers["a"]; r.m.isSuspect(s) {
		t.Errorf("still a suspect after its response: silent %v", r.m.silence(s))
	}
}

// TestQueryThatNoServerSawEndsAfterHalfItsTime: no client may be kept waiting past half of its time
// for a query that no server has seen.
func TestQueryThatNoServerSawEndsAfterHalfItsTime(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.step(ServerListUpdate{Servers: []Server{{ID: "a", State: Deleted}, {ID: "b", State: Deleted}}})
	began := r.now
	_, parts := r.query(2, 1) // of a class whose late answers have a value
	for range 400 {
		if _, ok := findAction[Refuse](r.actions); ok {
			break
		}
		r.advance(5 * ms)
	}
	if len(r.sent[parts[0]]) > 0 || r.now-began > 2*time.Second {
		t.Errorf("refused after %v of 4 s, with %d sends", r.now-began, len(r.sent[parts[0]]))
	}
}

// TestDrainingServerTakesItsShareWithinTheWindow: the list does not yet name the successor of a
// draining server. Until the window that the rule leaves is over, the server takes its share,
// unless it rejects parts.
func TestDrainingServerTakesItsShareWithinTheWindow(t *testing.T) {
	for _, takes := range []bool{true, false} {
		r := newHarness(t, testSettings(), "a", "b")
		r.step(ServerListUpdate{Servers: []Server{{ID: "a", State: Stopping}}})
		toA := 0
		for range 20 {
			_, parts := r.query(0, 1)
			o := OK
			if r.sent[parts[0]][0].Server == "a" {
				if toA++; !takes {
					o = Full
				}
			}
			r.finish(parts[0], 0, o, 5*ms)
			r.advance(30 * ms)
			if o == Full {
				r.finish(parts[0], 1, OK, 5*ms)
			}
		}
		if takes && toA < 5 || !takes && toA > 2 {
			t.Errorf("takes parts %v: %d of 20 queries went there", takes, toA)
		}
	}
}

func TestTiesAreBrokenByZone(t *testing.T) {
	set := testSettings()
	set.Zone = 1
	r := newHarness(t, set, "a", "b")
	r.step(ServerListUpdate{Full: true, Servers: []Server{{ID: "a", Zone: 2}, {ID: "b", Zone: 1}}})
	for i := range 20 {
		_, parts := r.query(0, 1)
		if got := r.sent[parts[0]][0].Server; got != "b" {
			t.Errorf("query %d went to %s, in another zone, though both were idle", i, got)
		}
		r.finish(parts[0], 0, OK, 5*ms)
		r.advance(100 * ms)
	}
}

// TestFinishedStateIsRemoved: over a long day servers are replaced and queries come and go. Nothing
// may be kept of those that are gone.
func TestFinishedStateIsRemoved(t *testing.T) {
	set := testSettings()
	set.ProbesAllowed = true
	r := newHarness(t, set, "s0")
	for i := range 300 {
		next := Server{ID: fmt.Sprintf("s%d", i+1), Started: r.now}
		r.step(ServerListUpdate{Servers: []Server{{ID: fmt.Sprintf("s%d", i), State: Deleted}, next}})
		_, parts := r.query(i%2, 1)
		if len(r.sent[parts[0]]) > 0 && i%3 > 0 { // every third is lost
			r.finish(parts[0], 0, OK, 5*ms)
		}
		r.advance(100 * ms)
	}
	r.advance(10 * time.Second)
	r.step(ServerListUpdate{})
	m := r.m
	got := []int{len(m.servers), len(m.sortedServers), len(m.queries), len(m.queriesByID), len(m.active), len(m.parts), len(m.inFlight)}
	if diff := cmp.Diff([]int{1, 1, 0, 0, 0, 0, 0}, got); diff != "" || len(m.arrivals) > 100 || len(m.holders) > 1 {
		t.Errorf("servers, sortedServers, queries, queriesByID, active, parts, inFlight: %s; %d arrivals, %d holders", diff, len(m.arrivals), len(m.holders))
	}
}

// TestIdleServersThatLookTooSlowAreRetried guards against refusals that sustain themselves: once
// all holders of a shard look too slow, nothing is sent to them, so nothing shows that they are
// fast again.
func TestIdleServersThatLookTooSlowAreRetried(t *testing.T) {
	r := newHarness(t, testSettings(), "a", "b")
	r.warmUp(40, 20*ms)
	for _, s := range r.m.servers { // a stall that is over, whose answers were late
		s.latency, s.depth, s.sampledAt = 2, 1, r.now
	}
	refused := 0
	for range 40 {
		q, parts := r.query(0, 1)
		if len(r.sent[parts[0]]) == 0 {
			refused++
			if _, ok := findAction[Refuse](r.actions); !ok {
				t.Fatalf("%s was neither sent nor refused", q)
			}
		} else {
			r.now += 20 * ms
			r.finish(parts[0], 0, OK, 20*ms)
		}
		r.advance(100 * ms)
	}
	if refused > 25 {
		t.Errorf("%d of 40 queries refused over 4 s by servers that answer within 20 ms", refused)
	}
	if refused == 0 {
		t.Error("none refused: the servers never looked slow, so the test is void")
	}
}

// TestFleetOfColdServersIsUsedWithinItsBudget replaces all servers at once by cold ones, as after
// an outage. What each is sent is known from before, or learned from what they answer, and stays
// within the rule all the same.
func TestFleetOfColdServersIsUsedWithinItsBudget(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("known before %v", known), func(t *testing.T) {
			set := testSettings()
			set.ColdBudgetWindow, set.ColdBudgetFactor, set.WarmupStartShare = time.Second, 3, 0.32
			r := newHarness(t, set, "a", "b")
			if known {
				r.warmUp(400, 5*ms) // some 18 a second, 9 for each
			}
			l := listOf("c", "d")
			for i := range l.Servers {
				l.Servers[i].Started = r.now
			}
			r.step(l)
			began := r.now
			sent := map[string][]time.Duration{}
			served := 0
			for r.now < began+6*time.Second {
				_, parts := r.query(0, 1)
				if list := r.sent[parts[0]]; len(list) > 0 {
					served++
					sent[list[0].Server] = append(sent[list[0].Server], r.now)
					r.now += 5 * ms
					r.finish(parts[0], 0, OK, 5*ms)
				}
				r.advance(50 * ms)
			}
			least := 90 // of some 110; one a second and server would be 12
			if !known {
				least = 30
			}
			if served < least {
				t.Errorf("%d queries served in 6 s, want %d at least", served, least)
			}
			for id, times := range sent {
				for i, at := range times {
					share := 0.32 + 0.68*(at-began).Seconds()/10
					n := 0
					for _, u := range times[:i+1] {
						if u > at-time.Second {
							n++
						}
					}
					if most := max(1, 3*share*9*1.5); float64(n) > most {
						t.Fatalf("%s was sent %d parts within a second, limit %.1f", id, n, most)
					}
				}
			}
		})
	}
}

// TestAnswersLeaveTimeToReachTheClient: with ticks as short as 1 ms, an answer that left two of
// them before its latency target reached the client after it.
func TestAnswersLeaveTimeToReachTheClient(t *testing.T) {
	const way = 5 * ms // to the client, and the work of a step
	for _, tick := range []time.Duration{ms, 5 * ms, 10 * ms} {
		set := testSettings()
		set.Tick = tick
		r := newHarness(t, set, "a")
		start := r.now
		_, parts := r.query(3, 2) // half of it may be answered
		r.finish(parts[0], 0, OK, 20*ms)
		for countActions[Answer](r.actions) == 0 && r.now < start+2*time.Second {
			r.now += ms
			r.step(TimerFired{Token: "due"})
		}
		if took := r.now - start; took > time.Second-way || took < time.Second-50*ms {
			t.Errorf("with a tick of %v, the partial answer left %v after the query, whose latency target is 1s", tick, took)
		}
	}
}

// TestSecondStepGetsTheTimeOfSlowAnswers: the time kept for a second step used to go by the mean.
// While some servers are overloaded, that says little of the slowest part, which then comes after
// the latency target.
func TestSecondStepGetsTheTimeOfSlowAnswers(t *testing.T) {
	set := testSettings()
	set.Classes = append(set.Classes, Class{Name: "report", Idempotency: Idempotent, LatencyTarget: time.Second,
		Deadline: 4 * time.Second, Value: 1, MinWeight: 0.5, PartialValue: 0.9, SecondStepParts: 2})
	r := newHarness(t, set, "a")
	for range 200 { // one part in five finds an overloaded server
		r.warmUp(4, 20*ms)
		r.warmUp(1, 300*ms)
	}
	start := r.now
	_, parts := r.query(len(set.Classes)-1, 4)
	for _, p := range parts[:3] {
		r.finish(p, 0, OK, 20*ms)
	}
	for countActions[Answer](r.actions) == 0 && r.now < start+2*time.Second {
		r.now += 5 * ms
		r.step(TimerFired{Token: "due"})
	}
	if left := start + time.Second - r.now; left < 270*ms || left > 500*ms {
		t.Errorf("the second step was left %v, while slow answers take 300ms", left)
	}
}
