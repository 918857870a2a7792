package platform

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/front"
	"kiteloft/internal/memory"
)

// busyCore is a core whose clock advances with each look at it, and whose background tasks run when
// the test says so.
type busyCore struct {
	fakeCore
	cost  time.Duration // of each look at the clock
	tasks []func()
	spent bool
}

func (d *busyCore) ReadClock() time.Duration { d.now += d.cost; return d.now }
func (d *busyCore) InBackground(fn func())   { d.tasks = append(d.tasks, fn) }
func (d *busyCore) Post(fn func()) {
	if d.spent {
		d.tasks = append(d.tasks, fn)
		return
	}
	fn()
}
func (d *busyCore) TurnSpent() bool { return d.spent }

// runTask runs the first background task; it reports whether there was one.
func (d *busyCore) runTask() bool {
	if len(d.tasks) == 0 {
		return false
	}
	fn := d.tasks[0]
	d.tasks = d.tasks[1:]
	fn()
	return true
}

// slowConn is a connection whose client reads nothing while unsent is set.
type slowConn struct {
	fakeConn
	unsent int
}

func (l *slowConn) Unsent() int { return l.unsent }

const readinessCheck = "GET /health/live HTTP/1.1\r\n\r\n"

func answers(written string) int { return strings.Count(written, "HTTP/1.1 200") }

// TestRequestsOfOneClientAreServedInPieces guards against other clients waiting for all that one has
// sent at once.
func TestRequestsOfOneClientAreServedInPieces(t *testing.T) {
	const requests = 1000
	d := &busyCore{fakeCore: fakeCore{now: time.Hour}, cost: front.PieceTime / 4}
	f := New(d, []decide.Class{{Name: "read"}}, nil, fakeLimit{}, zerolog.Nop())
	budget := memory.NewBudget(1 << 20)
	f.LimitInput(budget)
	greedy, usual := &fakeConn{}, &fakeConn{}
	first := f.Accept(greedy)
	first.Data([]byte(strings.Repeat(readinessCheck, requests)))
	if n := answers(greedy.written); n == 0 || n > 5 {
		t.Errorf("%d requests of one client were answered at once", n)
	}
	first.Data([]byte(readinessCheck)) // is not answered before those that wait
	f.Accept(usual).Data([]byte(readinessCheck))
	if answers(usual.written) != 1 || answers(greedy.written) > 5 {
		t.Errorf("the usual client has %d answers, the other %d", answers(usual.written), answers(greedy.written))
	}
	pieces := 0
	for d.runTask() {
		pieces++
	}
	if n := answers(greedy.written); n != requests+1 || pieces < requests/5 {
		t.Errorf("%d answers in %d pieces, want all of %d in many", n, pieces, requests+1)
	}
	if n := budget.Used(); n != 0 {
		t.Errorf("%d bytes are charged, though nothing waits", n)
	}
}

// TestRequestsWaitWhileTheTurnIsSpent guards against many clients' input adding up to a long turn.
func TestRequestsWaitWhileTheTurnIsSpent(t *testing.T) {
	d := &busyCore{fakeCore: fakeCore{now: time.Hour}}
	f := New(d, []decide.Class{{Name: "read"}}, nil, fakeLimit{}, zerolog.Nop())
	l := &fakeConn{}
	c := f.Accept(l)
	d.spent = true
	c.Data([]byte(readinessCheck))
	if l.written != "" {
		t.Errorf("answered in a turn that is spent: %q", l.written)
	}
	f.sweep()
	if diff := cmp.Diff([]bool{true, true, false}, []bool{d.runTask(), answers(l.written) == 1, d.runTask()}); diff != "" {
		t.Errorf("one task and one answer: %s", diff)
	}
}

// TestRequestsWaitForClientsThatDoNotRead guards against memory that grows with the answers to a
// client that sends requests and reads nothing.
func TestRequestsWaitForClientsThatDoNotRead(t *testing.T) {
	d := &busyCore{fakeCore: fakeCore{now: time.Hour}}
	f := New(d, []decide.Class{{Name: "read"}}, nil, fakeLimit{}, zerolog.Nop())
	l := &slowConn{unsent: front.MaxUnsent + 1}
	f.Accept(l).Data([]byte(strings.Repeat(readinessCheck, 3)))
	d.advance(front.OutputCheckInterval)
	if l.written != "" {
		t.Errorf("answered a client that does not read: %q", l.written)
	}
	l.unsent = 0
	d.advance(front.OutputCheckInterval)
	if n := answers(l.written); n != 3 {
		t.Errorf("%d answers once the client has read, want 3", n)
	}
}

// TestRequestsBehindADeferredOneAreReadAhead guards against late answers to requests that came with
// one whose turn was put off: that one has to fail in time for them.
func TestRequestsBehindADeferredOneAreReadAhead(t *testing.T) {
	d := &busyCore{fakeCore: fakeCore{now: time.Hour}}
	f := New(d, []decide.Class{{Name: "read"}}, nil, fakeLimit{}, zerolog.Nop())
	c := f.Accept(&fakeConn{}).(*client)
	d.spent = true
	c.Data(append(queryRequest(""), readinessCheck...))
	d.runTask()
	if c.current == nil || len(c.pipelined) != 1 {
		t.Errorf("begun: %v, read ahead: %d, want the first request and one", c.current != nil, len(c.pipelined))
	}
}
