package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/survey"
	"kiteloft/internal/standin"
)

// rooms is a flock over three zones, with nodes in each that can be silenced.
type rooms struct {
	*flock
	world *standin.Rooms
}

// newRooms starts six mixers; more is in the table of agreed settings.
func newRooms(t *testing.T, more string) *rooms {
	t.Helper()
	return openRooms(t, standin.RoomsSetup{Zones: 3, Each: 3, Cells: 9, Wait: 5 * time.Millisecond, Seed: 1}, "", more)
}

func openRooms(t *testing.T, s standin.RoomsSetup, set, more string) *rooms {
	t.Helper()
	r := &rooms{}
	var err error
	r.world, err = standin.NewRooms(s)
	t.Cleanup(r.world.Close)
	if err != nil {
		t.Fatal(err)
	}
	r.flock = gather(t, band{size: 6, disk: true, rooms: r.world, set: set, more: func(dir string) string {
		return fmt.Sprintf("[fleet.accord]\nvoters = [\"n0\", \"n1\", \"n2\"]\ndirectory = %q\nlease_ms = %d\n%s\n", filepath.Join(dir, "accord"), accordLease.Milliseconds(), more)
	}})
	return r
}

// sent is how many parts each zone's nodes get in a while.
func (r *rooms) sent(d time.Duration) (n [3]int) {
	r.world.Sent()
	time.Sleep(d)
	list := r.world.Sent()
	for z := range n {
		n[z] = standin.To(list, z)
	}
	return n
}

// judged is how the leader judges each zone.
func (r *rooms) judged(by int) (view survey.View, verdicts string) {
	x, err := r.Ask(by, accord.Request{Op: accord.OpZones})
	if err != nil || json.Unmarshal(x.Zones, &view) != nil || !view.Whole {
		return view, ""
	}
	for _, l := range view.Zones {
		verdicts += l.Zone + " " + l.Verdict + ";"
	}
	return view, verdicts
}

// waits until one of the verdicts is the leader's.
func (r *rooms) waits(by int, want ...string) {
	r.t.Helper()
	begun, got, view := time.Now(), "", survey.View{}
	for ; !slices.Contains(want, got); time.Sleep(50 * time.Millisecond) {
		if view, got = r.judged(by); time.Since(begun) > 40*time.Second {
			x, err := r.Ask(by, accord.Request{Op: accord.OpZones})
			r.t.Fatalf("waited in vain for %q, have %+v (%.300s, %v)", want, view, x.Zones, err)
		}
	}
	r.t.Logf("%s after %v, by %s", got, time.Since(begun).Round(10*time.Millisecond), view.Mixer)
}

// agreed has a document be in force with all.
func (r *rooms) agreed(text string) {
	r.t.Helper()
	r.enforce(text, 4, func() string { return text })
}

// TestAZoneIsLeftByAll has six processes over three zones leave one that is sound, and return.
func TestAZoneIsLeftByAll(t *testing.T) {
	t.Parallel()
	r := newRooms(t, "")
	if n := r.sent(2 * time.Second); min(n[0], n[1], n[2]) < 10 {
		t.Fatalf("parts by zone before: %v", n)
	}
	r.agreed(`{"zones_left":["b"]}`)
	if n := r.sent(2 * time.Second); n[1] != 0 || min(n[0], n[2]) < 10 {
		t.Errorf("parts by zone while b is left: %v", n)
	}
	r.agreed(`{"zones_left":["c"]}`) // contradicts: by way of leaving both
	if n := r.sent(2 * time.Second); n[2] != 0 || min(n[0], n[1]) < 10 {
		t.Errorf("parts by zone while c is left: %v", n)
	}
	r.agreed(`{}`)
	if n := r.sent(2 * time.Second); min(n[0], n[1], n[2]) < 10 {
		t.Errorf("parts by zone after the return: %v", n)
	}
}

// TestAllKnowOfABadZone has six processes over three zones judge what the nodes there do to
// the parts of all, through the death of whoever judges.
func TestAllKnowOfABadZone(t *testing.T) {
	t.Parallel()
	r := newRooms(t, "")
	r.waits(5, "a sound;b sound;c sound;")
	r.world.Dark(1, true)
	r.waits(3, "a sound;b dark;c sound;")
	r.world.Dark(1, false)
	r.waits(4, "a sound;b sound;c sound;", "a sound;b unknown;c sound;") // while mixers still send little there

	view, _ := r.judged(5)
	lead := int(view.Mixer[1] - '0')
	r.lose(lead)
	r.world.Dark(2, true)
	r.waits(5, "a sound;b sound;c dark;")
	if view, _ := r.judged(5); view.Mixer == fmt.Sprintf("n%d", lead) {
		t.Errorf("a dead mixer judges: %+v", view)
	}
	r.world.Dark(2, false)
	r.waits(3, "a sound;b sound;c sound;", "a sound;b sound;c unknown;")

	for z := range 3 { // what all depend on
		r.world.Slow(z, 400*time.Millisecond)
	}
	begun := time.Now()
	for ; !view.Shared; time.Sleep(50 * time.Millisecond) {
		if view, _ = r.judged(5); time.Since(begun) > 40*time.Second {
			t.Fatalf("nobody notices that all are slow alike: %+v", view)
		}
	}
	for z := range 3 {
		r.world.Slow(z, 0)
	}
	// Nodes that fall silent may cost a query its answer, refused at once; few may be.
	if n, all := r.unwell.Swap(0), r.asked.Load(); n*100 > all {
		t.Errorf("%d of %d queries were not served", n, all)
	}
}
