package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBackgroundTasksShareTheLoop guards against input of one peer that keeps posted functions and
// timers waiting: background tasks have a bounded time in each turn, in order, and wait for turns in
// which nothing was posted, but not for longer than backgroundInterval.
func TestBackgroundTasksShareTheLoop(t *testing.T) {
	s := newFixture(t)
	s.at(0)
	var ran []string
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		s.InBackground(func() {
			ran = append(ran, name)
			s.now += backgroundTime * 2 / 3
		})
	}
	s.RunOnce()
	if diff := cmp.Diff([]string{"a", "b"}, ran); diff != "" {
		t.Errorf("first turn: %s", diff)
	}
	if d, ok := s.sleepTime(); !ok || d > backgroundPause {
		t.Errorf("the loop sleeps %v, %v, while tasks wait", d, ok)
	}
	s.Post(func() { ran = append(ran, "posted") })
	s.After(0, func() { ran = append(ran, "timer") })
	s.RunOnce()
	if diff := cmp.Diff([]string{"a", "b", "posted", "timer"}, ran); diff != "" {
		t.Errorf("second turn, in which something was posted: %s", diff)
	}
	s.RunOnce()
	if diff := cmp.Diff([]string{"a", "b", "posted", "timer", "c", "d"}, ran); diff != "" {
		t.Errorf("third turn: %s", diff)
	}
	s.now += backgroundInterval
	s.Post(func() { ran = append(ran, "posted") })
	s.RunOnce()
	if diff := cmp.Diff([]string{"a", "b", "posted", "timer", "c", "d", "posted", "e", "f"}, ran); diff != "" {
		t.Errorf("fourth turn, after the interval: %s", diff)
	}
}

// TestTurnIsSpentByItsLength checks that fronts are told when a turn has become long.
func TestTurnIsSpentByItsLength(t *testing.T) {
	s := newFixture(t)
	var spent []bool
	s.Post(func() {
		for range 3 {
			spent = append(spent, s.TurnSpent())
			s.now += inputTime - time.Microsecond
		}
	})
	s.RunOnce()
	if diff := cmp.Diff([]bool{false, false, true}, spent); diff != "" {
		t.Error(diff)
	}
}
