package discovery

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/transport"
)

// coreRecorder is a Core that records the last list and the number of lost lists.
type coreRecorder struct {
	full bool
	list []broker.ListedNode
	lost int
	told time.Duration
}

func (c *coreRecorder) Now() time.Duration          { return time.Second }
func (c *coreRecorder) After(time.Duration, func()) {}
func (c *coreRecorder) WatchFailed()                { c.lost++ }
func (c *coreRecorder) UpdateNodeList(l broker.List) {
	c.full, c.list, c.told = l.Full, l.Members, l.Told
}

func TestListIsConvertedToListedNodes(t *testing.T) {
	l, err := Parse([]byte(`{"revision":43,"complete":true,"members":[
{"id":"s-1","host_port":"10.1.0.18:8000","locality":"b","flavor":"m2","cell":3,"phase":"leaving","size":1.5,"up_since_ms":0},
{"id":"s-2","host_port":"10.1.0.19:8000","locality":"c","cell":4,"phase":"active","size":1,"up_since_ms":1000500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	// The list names both for the first time; s-2, the only one with a stamp, counts as just started.
	var c coreRecorder
	New(&c, nil, "", []string{"a", "b"}, zerolog.Nop()).FilterAndPublish(l)
	want := []broker.ListedNode{
		{Addr: "10.1.0.18:8000", Server: decide.Server{ID: "s-1", Zone: 1, Cell: 3, State: decide.Stopping, CapacityHint: 1.5}},
		{Addr: "10.1.0.19:8000", Server: decide.Server{ID: "s-2", Zone: 2, Cell: 4, CapacityHint: 1, Started: time.Second}},
	}
	if diff := cmp.Diff(want, c.list); diff != "" || !c.full {
		t.Errorf("full %v: %s", c.full, diff)
	}
}

// fakeCore is a Core whose clock and timers the test advances.
type fakeCore struct {
	coreRecorder
	now    time.Duration
	timers []timer
}

type timer struct {
	at time.Duration
	do func()
}

func (c *fakeCore) Now() time.Duration { return c.now }
func (c *fakeCore) After(d time.Duration, do func()) {
	c.timers = append(c.timers, timer{c.now + d, do})
}
func (c *fakeCore) advance(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		list := c.timers
		c.timers = nil
		for _, t := range list {
			if t.at > c.now {
				c.timers = append(c.timers, t)
			} else {
				t.do()
			}
		}
	}
}

// silentNetwork counts dials, none of which ever ends.
type silentNetwork struct{ dials int }

func (n *silentNetwork) Dial(string, time.Duration, transport.Handler, func(*transport.Conn, transport.End)) {
	n.dials++
}

// TestUnansweredNewAddressIsAskedAgainInTime guards against waiting for a new address that does
// not answer until the mixer counts as notified of its list, which is after addressChangeDelay.
func TestUnansweredNewAddressIsAskedAgainInTime(t *testing.T) {
	c, n := &fakeCore{now: time.Second}, &silentNetwork{}
	d := New(c, n, "old", nil, zerolog.Nop())
	d.ChangeAddress("new")
	c.advance(addressChangeDelay - 100*time.Millisecond)
	if n.dials < 2 {
		t.Errorf("a new address that does not answer was called %d times within %v, want at least 2", n.dials, addressChangeDelay)
	}
}

// TestTimedOutWatchIsRestartedOnce guards against a watch that times out and is left to the
// decision module, which would ask again only after the mixer counts as notified of what the
// watch missed. A second time-out in a row is left to the module.
func TestTimedOutWatchIsRestartedOnce(t *testing.T) {
	c, n := &fakeCore{now: time.Second}, &silentNetwork{}
	d := New(c, n, "one", nil, zerolog.Nop())
	d.Watch(true)
	c.advance(answerTimeout + 50*time.Millisecond)
	if n.dials != 2 || c.lost != 0 {
		t.Errorf("after the first time-out: %d calls and %d lost lists, want 2 and 0", n.dials, c.lost)
	}
	c.advance(3 * answerTimeout)
	if n.dials != 2 || c.lost != 1 {
		t.Errorf("after the second time-out: %d calls and %d lost lists, want 2 and 1", n.dials, c.lost)
	}
}

func TestParseRejectsMalformedLists(t *testing.T) {
	for _, text := range []string{"", "[]", `{"members":[{"phase":"active"}]}`, `{"members":[{"id":"s-1","phase":"asleep"}]}`} {
		if l, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse accepted %q as %+v", text, l)
		}
	}
}
