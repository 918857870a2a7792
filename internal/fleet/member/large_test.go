package member

import (
	"math/bits"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"kiteloft/internal/standin/pure"
)

// fleetSize returns the number of members of a large fleet: 300 with KITELOFT_MEASURE, a smaller
// number in CI.
func fleetSize() int {
	if os.Getenv("KITELOFT_MEASURE") != "" {
		return 300
	}
	return defaultFleetSize
}

// TestLargeFleet checks that a large fleet keeps the guarantees of a fleet of nine at the same cost
// for each member.
func TestLargeFleet(t *testing.T) {
	fleetSize := fleetSize()
	w := settledFleet(t, 1, fleetSize)
	w.skipInvariants = true // checked at a few points only
	w.run(10 * time.Second) // until all updates have been sent as often as they have to be
	datagramsSent := w.datagramsSent
	w.run(5 * time.Second)
	if rate := float64(w.datagramsSent-datagramsSent) / float64(fleetSize) / 5; rate > 33 {
		t.Errorf("%.1f datagrams per member and second, %v in a fleet of nine", rate, 32)
	} else {
		t.Logf("%.1f datagrams per member and second", rate)
	}
	w.lossRate = 0.2
	known := time.Duration(2*bits.Len(uint(fleetSize))) * period
	w.kill(w.processes[fleetSize/9])
	t.Logf("a killed process was known to all after %v", w.runUntil(known, "all views converge", w.converged))
	w.processes[fleetSize/7].machine.Leave(w.now)
	w.applyOutput(w.processes[fleetSize/7])
	w.kill(w.processes[fleetSize/7])
	t.Logf("a member that left was known to all after %v", w.runUntil(known, "all views converge", w.converged))
	w.lossRate = 0
	w.checkInvariants()
	w.changes = nil
	a, rest := w.zone("a")
	w.setCut(a, rest, true)
	w.setCut(rest, a, true)
	w.run(15 * time.Second)
	w.checkInvariants()
	for _, c := range w.declaredGone() {
		if slices.ContainsFunc(a, func(p *process) bool { return p.id == c.observer }) {
			t.Fatalf("a member of the isolated zone declares another gone: %+v", c)
		}
	}
	clear(w.cut)
	for range 17 {
		w.run(period)
		w.checkInvariants()
	}
	t.Logf("after a zone's cut all agreed after %v more", w.runUntil(known, "all views converge", w.converged))
	if w.maxUpdates > maxUpdatesPerDatagram+2 {
		t.Errorf("%d updates in a datagram", w.maxUpdates)
	}
}

func TestTwoThirdsOfLargeFleetKilled(t *testing.T) {
	fleetSize := fleetSize()
	w := settledFleet(t, 2, fleetSize)
	for _, p := range w.processes[fleetSize/3:] {
		w.kill(p)
	}
	t.Logf("known to all after %v", w.runUntil(time.Duration(2*bits.Len(uint(fleetSize)))*period, "all views converge", w.converged))
	w.runUntil(40*period, "the running members use the whole budget", func() bool { return w.processes[5].machine.Share(w.now) > 2.97/float64(fleetSize) })
}

// TestSameSeedGivesSameRun checks that the simulation is deterministic, on one core and on all.
func TestSameSeedGivesSameRun(t *testing.T) {
	run := func() uint64 {
		w := settledFleet(t, 7, 40)
		w.lossRate, w.duplicateRate = 0.2, 0.1
		for range 6 {
			w.injectRandomFault()
			w.run(3 * time.Second)
		}
		return w.traceHash
	}
	all := run()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if one := run(); one != all {
		t.Errorf("%x on all cores, %x on one", all, one)
	}
}

// TestPure checks that the package does no I/O, reads no clock and starts no goroutine.
func TestPure(t *testing.T) {
	pure.Imports(t, "cmp", "encoding/binary", "fmt", "github.com/zeebo/xxh3", "maps", "math/bits", "math/rand/v2", "slices", "strings", "time")
}
