package discovery

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// startStamp is the wall-clock stamp of a start at a time on the core's clock, by a machine whose clock is ahead.
func startStamp(at, ahead time.Duration) int64 {
	return time.Unix(1_000_000, 0).Add(at + ahead).UnixMilli()
}

// TestStartTimesIgnoreWallClockDifferences guards against wrong ages of servers when the wall clocks
// of their machines differ from ours, or one of them is set while the mixer runs. A server that a
// later list names for the first time has just started.
func TestStartTimesIgnoreWallClockDifferences(t *testing.T) {
	tests := []struct {
		name          string
		before, after time.Duration // how far the servers' clock is ahead when the old server, and the new ones, start
	}{
		{"the same clock", 0, 0},
		{"ours an hour ahead", -time.Hour, -time.Hour},
		{"ours an hour behind", time.Hour, time.Hour},
		{"ours some seconds ahead", -5 * time.Second, -5 * time.Second},
		{"ours some seconds behind", 5 * time.Second, 5 * time.Second},
		{"theirs set back by an hour", 0, -time.Hour},
		{"theirs set back by some seconds", 0, -5 * time.Second},
		{"theirs set forward by an hour", 0, time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &fakeCore{now: 100 * time.Second}
			d := New(c, nil, "", nil, zerolog.Nop())
			old := Entry{ID: "old", Phase: "active", UpSinceMS: startStamp(40*time.Second, tt.before)}
			first := Entry{ID: "first", Phase: "active", UpSinceMS: startStamp(98*time.Second, tt.before)}
			d.FilterAndPublish(List{Revision: 1, Complete: true, Members: []Entry{old, first}})
			if ages := c.ages(); ages["first"] > maxListDelay || ages["old"] < 50*time.Second {
				t.Errorf("ages after the first list: %v", ages)
			}
			for i, id := range []string{"a", "b"} {
				c.now += 10 * time.Second
				started := c.now - time.Second // the list names it one second after its start
				d.FilterAndPublish(List{Revision: int64(2 + i), Members: []Entry{{ID: id, Phase: "active", UpSinceMS: startStamp(started, tt.after)}}})
				if age := c.ages()[id]; age < 0 || age > maxListDelay {
					t.Errorf("%s counts as %v old, but is 1s old", id, age)
				}
			}
			// A server that is named again keeps its age.
			c.now += 3 * time.Second
			d.FilterAndPublish(List{Revision: 4, Members: []Entry{old}})
			if age := c.ages()["old"]; age < 70*time.Second {
				t.Errorf("the old server counts as only %v old after it was named again", age)
			}
		})
	}
}

// ages returns the estimated ages of the servers in the latest list, by id.
func (c *fakeCore) ages() map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, m := range c.list {
		ages[m.ID] = c.now - m.Started
	}
	return ages
}
