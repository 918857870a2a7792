package main

import (
	"testing"
	"time"

	"kiteloft/internal/standin"
)

// TestAFleetOfSixInThreeZones takes six processes through cuts that only some see, and
// through one that leaves nobody a majority.
func TestAFleetOfSixInThreeZones(t *testing.T) {
	t.Parallel()
	f := newFlock(t, 6, false) // n0 and n3 in zone a, n1 and n4 in b, n2 and n5 in c
	time.Sleep(6 * time.Second)
	cut := standin.Fault{Drop: 1}
	still := func(what string, length time.Duration, spoil func()) {
		t.Helper()
		before := len(f.Lines())
		spoil()
		time.Sleep(length)
		if n := len(f.Lines()) - before; n != 0 {
			t.Errorf("%s: %d changes of state", what, n)
		}
		f.Spoil(nil, nil, standin.Fault{})
	}
	still("zone a is cut from b one way, c sees both", 10*fleetPeriod, func() { f.Spoil([]int{0, 3}, []int{1, 4}, cut) })
	still("one reaches two of the others only", 10*fleetPeriod, func() {
		f.Spoil([]int{0}, []int{1, 3, 4}, cut)
		f.Spoil([]int{1, 3, 4}, []int{0}, cut)
	})
	still("a link flips", 8*time.Second, func() {
		for i := range 4 {
			time.AfterFunc(time.Duration(i)*2*time.Second, func() {
				f.Wire(1, 2).Spoil(standin.Fault{Drop: float64((i + 1) % 2)})
			})
		}
	})

	gone := f.changes("gone")
	f.Spoil(nil, []int{5}, cut) // it is heard, and hears nothing
	time.Sleep(8 * fleetPeriod)
	if v, err := f.View(5); err != nil || !v.Isolated {
		t.Errorf("one that hears nothing: %+v, %v", v, err)
	}
	for i := range 5 {
		if v, err := f.View(i); err != nil || v.Isolated {
			t.Errorf("n%d, while another hears nothing: %+v, %v", i, v, err)
		}
	}
	if n := f.changes("gone") - gone; n != 5 {
		t.Errorf("%d of 5 threw out one that hears nothing", n)
	}
	f.Spoil(nil, nil, standin.Fault{})
	t.Logf("one that heard nothing: all agreed after %v", f.agrees("all agree", 6*fleetPeriod+fleetSlack))
	time.Sleep(10 * fleetPeriod) // until it is ready again

	gone = f.changes("gone")
	for i := range 3 {
		f.away[i].Store(true)
		if err := f.Pause(i, 10*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(8 * time.Second)
	for i := 3; i < 6; i++ {
		if v, err := f.View(i); err != nil || !v.Isolated || v.Share > 0.5/6+0.001 {
			t.Errorf("n%d without a majority: %+v, %v", i, v, err)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	t.Logf("half of them stood still for 10 s: all agreed after %v", f.agrees("all agree", 6*fleetPeriod+fleetSlack))
	if n := f.changes("gone") - gone; n != 0 {
		t.Errorf("%d times somebody was thrown out without a majority", n)
	}
	for i := range 3 {
		f.away[i].Store(false)
	}
}
