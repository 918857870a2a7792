package member

import (
	"testing"
	"time"
)

func TestNineMembersConverge(t *testing.T) {
	w := settledFleet(t, 1, 9)
	for _, p := range w.processes {
		if s := p.machine.Share(w.now); s < 0.11 || s > 0.112 {
			t.Errorf("%s: share %.4f, want 1/9", p.id, s)
		}
	}
	datagramsSent := w.datagramsSent
	w.run(10 * time.Second)
	t.Logf("%.1f datagrams per member and second in a settled fleet", float64(w.datagramsSent-datagramsSent)/9/10)
	if len(w.changes) > 0 {
		t.Errorf("changes in a settled fleet: %+v", w.changes)
	}
}

func TestKilledProcessIsDetectedWithinSixPeriods(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		w := settledFleet(t, seed, 9)
		w.lossRate = 0.2
		w.run(5 * time.Second)
		if p := w.processes[int(seed)%9]; seed < 10 {
			w.kill(p)
		} else { // the machine vanishes with the process: no connection is refused
			w.pause(p, time.Hour)
			p.machine = nil
			w.setCut([]*process{p}, w.others(p), true)
		}
		took := w.runUntil(20*period, "all views converge", w.converged)
		worst = max(worst, took)
		if took > 6*period {
			t.Errorf("seed %d: took %v\n%s", seed, took, w.describeViews())
		}
	}
	t.Logf("the slowest of 20 took %v", worst)
}

func TestLossAndPausesDeclareNobodyGone(t *testing.T) {
	for seed := range uint64(4) {
		w := settledFleet(t, seed, 9)
		w.lossRate = 0.3
		for end := w.now + 3*time.Minute; w.now < end; {
			n := 1 + w.rng.IntN(3)
			for _, i := range w.rng.Perm(9)[:n] {
				w.pause(w.processes[i], time.Duration(500+w.rng.IntN(1500))*ms)
			}
			w.run(5 * time.Second)
		}
		w.lossRate = 0
		for _, c := range w.declaredGone() {
			t.Errorf("seed %d: %v", seed, c)
		}
		w.runUntil(6*period, "all views converge", w.converged)
	}
}
