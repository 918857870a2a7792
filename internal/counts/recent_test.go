package counts

import (
	"strconv"
	"testing"
	"time"
)

func TestRecent(t *testing.T) {
	var none *RecentEvents
	none.Record(Event{Request: "a"})
	if none.Describe("a") != "" {
		t.Error("nothing is kept, and something is known")
	}
	var r RecentEvents
	r.Record(Event{At: time.Second, Request: "a", Type: Taken})
	r.Record(Event{At: 1500 * time.Millisecond, Request: "b", Type: Taken})
	r.Record(Event{At: 2 * time.Second, Request: "a", Server: "s1", Type: LateCopy})
	if got, want := r.Describe("a"), "1.000 taken, 2.000 late_copy s1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for i := range recentSize {
		r.Record(Event{Request: strconv.Itoa(i), Type: Served})
	}
	if r.Describe("a") != "" || r.Describe("0") == "" || r.Describe(strconv.Itoa(recentSize-1)) == "" {
		t.Error("the latest are not what is kept")
	}
}
