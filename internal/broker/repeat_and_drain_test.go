package broker

import (
	"testing"
	"time"

	"kiteloft/decide"
)

// TestRepeatWindow checks until when a second attempt of a part may be written while it
// waits for a connection. That depends on how the first attempt ended, if at all, and on the
// query's class.
func TestRepeatWindow(t *testing.T) {
	const span = 200 * time.Millisecond
	const never = -1
	always := 700 * time.Millisecond // no limit but the query's deadline
	classes := []decide.Class{
		{Name: "repeatable", RequiredWeight: 1, MinWeight: 1},
		{Name: "keyed", RequiredWeight: 1, MinWeight: 1, Idempotency: decide.Deduplicated, DedupWindow: span},
		{Name: "once", RequiredWeight: 1, MinWeight: 1, Idempotency: decide.NonIdempotent}}
	tests := []struct {
		name  string
		first decide.Outcome
		out   bool             // the first attempt has not ended
		until [3]time.Duration // by class
	}{
		{"it ran", decide.Failed, false, [3]time.Duration{always, span, never}},
		{"it may have run", decide.Reset, false, [3]time.Duration{always, span, never}},
		{"it may yet run", 0, true, [3]time.Duration{always, span, never}},
		{"it was turned away", decide.Full, false, [3]time.Duration{always, always, always}},
		{"its connection never came up", decide.ConnectFailed, false, [3]time.Duration{always, always, always}},
	}
	for _, tt := range tests {
		for i, class := range classes {
			t.Run(tt.name+", "+class.Name, func(t *testing.T) {
				s := newFixture(t, []decide.Action{send("q1.0")}, nil)
				s.config.Module.Classes = classes
				s.submit(t, i)
				s.scriptedModule.steps = [][]decide.Action{{send("q1.0")}}
				s.Post(func() {
					if s.Core.events = append(s.Core.events, decide.TimerFired{}); !tt.out {
						s.Ended(s.calls[0][0], tt.first, 0, nil)
					}
				})
				s.at(tick)
				if tt.until[i] == never {
					if len(s.calls) != 1 || len(s.guards) != 1 || s.guards[0] != "unsafe-repeat" {
						t.Errorf("%d calls, guards %v", len(s.calls), s.guards)
					}
					return
				}
				if len(s.calls) != 2 {
					t.Fatalf("%d calls, guards %v", len(s.calls), s.guards)
				}
				again := s.calls[1][0]
				s.at(tt.until[i] - time.Millisecond)
				if !s.MaySend(again) {
					t.Errorf("it may not be written at %v", tt.until[i]-time.Millisecond)
				}
				if s.at(tt.until[i] + time.Millisecond); s.MaySend(again) && tt.until[i] != always {
					t.Errorf("it may be written after %v", tt.until[i])
				}
			})
		}
	}
}

// TestDrainGraceCountsFromNotice checks that the drain grace counts from the time of the
// notice, which may be long before the list update arrives: the module is given that time,
// and an attempt that waits is not written after the grace.
func TestDrainGraceCountsFromNotice(t *testing.T) {
	for _, tt := range []struct {
		name string
		ago  time.Duration
		may  bool
	}{{"now", 0, true}, {"a while ago", 200 * time.Millisecond, true}, {"longer ago than the window", 600 * time.Millisecond, false}} {
		for _, left := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				s := newFixture(t, []decide.Action{send("q1.0")})
				s.config.Module.DrainGrace = 500 * time.Millisecond
				s.submit(t, 0)
				s.at(tick)
				l := List{Version: 2, Members: []ListedNode{{Server: decide.Server{ID: "n0", State: decide.Stopping}}}}
				if left { // a full list without the node
					l = List{Full: true, Version: 2}
				}
				s.Post(func() {
					l.Told = s.Core.now - tt.ago
					s.UpdateNodeList(l)
				})
				s.at(2 * tick)
				if got := s.MaySend(s.calls[0][0]); got != tt.may {
					t.Errorf("it may be written: %v, want %v", got, tt.may)
				}
				for _, e := range s.scriptedModule.events {
					if l, ok := e.(decide.ServerListUpdate); ok && l.Version == 2 && l.Told != s.Core.now-tt.ago {
						t.Errorf("the module hears that it was told at %v, want %v", l.Told, s.Core.now-tt.ago)
					}
				}
			})
		}
	}
}
