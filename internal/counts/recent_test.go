package counts

import (
	"strconv"
	"testing"
	"time"
)

func TestRecent(t *testing.T) {
	var none *Recent
	none.Note(Event{Request: "a"})
	if none.Of("a") != "" {
		t.Error("nothing is kept, and something is known")
	}
	var r Recent
	r.Note(Event{At: time.Second, Request: "a", What: Taken})
	r.Note(Event{At: 1500 * time.Millisecond, Request: "b", What: Taken})
	r.Note(Event{At: 2 * time.Second, Request: "a", Server: "s1", What: LateCopy})
	if got, want := r.Of("a"), "1.000 taken, 2.000 late_copy s1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for i := range recentSize {
		r.Note(Event{Request: strconv.Itoa(i), What: Served})
	}
	if r.Of("a") != "" || r.Of("0") == "" || r.Of(strconv.Itoa(recentSize-1)) == "" {
		t.Error("the latest are not what is kept")
	}
}
