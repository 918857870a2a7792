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

// core records what it is told.
type core struct {
	full bool
	list []broker.ListedNode
	lost int
	told time.Duration
}

func (c *core) Now() time.Duration           { return time.Second }
func (c *core) After(time.Duration, func())  {}
func (c *core) ListLost()                    { c.lost++ }
func (c *core) UpdateNodeList(l broker.List) { c.full, c.list, c.told = l.Full, l.Members, l.Told }

func TestListsInTheModulesTerms(t *testing.T) {
	l, err := Parse([]byte(`{"revision":43,"complete":true,"members":[
{"id":"s-1","host_port":"10.1.0.18:8000","locality":"b","flavor":"m2","cell":3,"phase":"leaving","size":1.5,"up_since_ms":0},
{"id":"s-2","host_port":"10.1.0.19:8000","locality":"c","cell":4,"phase":"active","size":1,"up_since_ms":1000500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	// It is named for the first time, so that it counts as just started.
	var c core
	New(&c, nil, "", []string{"a", "b"}, zerolog.Nop()).FilterAndPublish(l)
	want := []broker.ListedNode{
		{Addr: "10.1.0.18:8000", Server: decide.Server{ID: "s-1", Zone: 1, Cell: 3, State: decide.Stopping, Hint: 1.5}},
		{Addr: "10.1.0.19:8000", Server: decide.Server{ID: "s-2", Zone: 2, Cell: 4, Hint: 1, Started: time.Second}},
	}
	if diff := cmp.Diff(want, c.list); diff != "" || !c.full {
		t.Errorf("full %v: %s", c.full, diff)
	}
}

// turns is a core with a clock of its own and the timers that are set.
type turns struct {
	core
	now time.Duration
	due []timer
}

type timer struct {
	at time.Duration
	do func()
}

func (c *turns) Now() time.Duration               { return c.now }
func (c *turns) After(d time.Duration, do func()) { c.due = append(c.due, timer{c.now + d, do}) }
func (c *turns) pass(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		list := c.due
		c.due = nil
		for _, t := range list {
			if t.at > c.now {
				c.due = append(c.due, t)
			} else {
				t.do()
			}
		}
	}
}

// cutOff is a network on which nothing ever comes up; it counts the dials.
type cutOff struct{ dials int }

func (n *cutOff) Dial(string, time.Duration, transport.Handler, func(*transport.Conn, transport.End)) {
	n.dials++
}

// TestSilentNewAddressIsAskedAgainInTime: what a new address has to tell counts as told
// after moveTime, so one that says nothing is not waited for as long as that.
func TestSilentNewAddressIsAskedAgainInTime(t *testing.T) {
	c, n := &turns{now: time.Second}, &cutOff{}
	d := New(c, n, "old", nil, zerolog.Nop())
	d.ChangeAddress("new")
	c.pass(moveTime - 100*time.Millisecond)
	if n.dials < 2 {
		t.Errorf("a new address that says nothing was asked %d times within %v", n.dials, moveTime)
	}
}

// TestSilentWatchIsBegunAnewAtOnce, once: what it missed counts as told before the module
// would ask again. A second silence is left to the module.
func TestSilentWatchIsBegunAnewAtOnce(t *testing.T) {
	c, n := &turns{now: time.Second}, &cutOff{}
	d := New(c, n, "one", nil, zerolog.Nop())
	d.Watch(true)
	c.pass(patience + 50*time.Millisecond)
	if n.dials != 2 || c.lost != 0 {
		t.Errorf("%d calls, %d times lost, when the first should have been answered", n.dials, c.lost)
	}
	c.pass(3 * patience)
	if n.dials != 2 || c.lost != 1 {
		t.Errorf("%d calls, %d times lost, after the second silence", n.dials, c.lost)
	}
}

func TestWhatIsNoList(t *testing.T) {
	for _, text := range []string{"", "[]", `{"members":[{"phase":"active"}]}`, `{"members":[{"id":"s-1","phase":"asleep"}]}`} {
		if l, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was taken as %+v", text, l)
		}
	}
}
