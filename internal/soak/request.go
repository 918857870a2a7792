package soak

import (
	"strings"
	"sync"
	"time"
)

// tolerance is added to every limit in time that is measured from outside, for a machine that
// runs many processes: the stand-ins may be as late to look as a mixer may be held up.
const tolerance = 150 * time.Millisecond

const (
	ruleSlack     = 50 * time.Millisecond  // the protocol adds it to every limit
	deadlineSlack = 150 * time.Millisecond // of the time that a server is told of
	goneSlack     = 100 * time.Millisecond // in which an attempt may still begin after a client left
	answerLate    = 500 * time.Millisecond // after its time, from when an answer counts as none
	badClientTime = 3 * time.Second        // by when a client that stops in the middle gets its error
)

// effect is what a class says of repeats.
type effect int

const (
	repeatable effect = iota
	keyed
	once
)

// class is a class of requests.
type class struct {
	name   string
	effect effect
	window time.Duration // keyed: in which servers drop a repeat
}

var classes = []class{{"lookup", repeatable, 0}, {"booking", keyed, 800 * time.Millisecond}, {"once", once, 0}}

// request is a request of a client's, and all that became of it.
type request struct {
	id       string
	class    class
	shards   []int
	deadline time.Duration
	process  *process // that it was sent to
	sent     time.Time

	mu       sync.Mutex
	left     time.Time // when its client left; zero: it did not
	status   int       // of its answer; 0: none
	arrivals []*arrival
}

// arrival is a part as it reached a server.
type arrival struct {
	server *server
	id     string
	shard  int
	text   string
	told   time.Duration // how long the server was told that it is waited for
	at     time.Time     // when its first byte came
	late   bool          // it lay unread for a while
	never  bool          // it was turned away, and never ran
}

// arrived checks a part at the moment in which it reaches a server.
func (w *world) arrived(a *arrival) {
	id, _, _ := strings.Cut(a.id, ".")
	w.mu.Lock()
	r := w.requests[id]
	w.mu.Unlock()
	if r == nil {
		w.broken("form", id, "server %s got part %s, which nobody asked for", a.server.id, a.id)
		return
	}
	w.note(id, "part %s reaches server %s, told %v", a.id, a.server.id, a.told)
	if (a.server.cell-a.shard+cells)%cells >= span {
		w.broken("shard", id, "server %s of cell %d got shard %d", a.server.id, a.server.cell, a.shard)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.checkRepeat(r, a)
	r.arrivals = append(r.arrivals, a)
	if a.late { // it was not read when it came: when it was sent is not known
		return
	}
	// The time may have passed a server that is held up by the machine; it is not the mixer's.
	if left := r.deadline - a.at.Sub(r.sent); a.told > left+deadlineSlack+tolerance {
		w.broken("deadline", id, "server %s was told %v, the client has %v", a.server.id, a.told, left)
	}
	if gone := a.at.Sub(r.left); !r.left.IsZero() && gone > goneSlack+tolerance {
		w.broken("abandoned", id, "part %s reaches server %s %v after its client left", a.id, a.server.id, gone)
	}
	if told, drains := w.list.toldOf(a.server.id, r.process); drains && a.at.Sub(told) > drainGrace+ruleSlack+tolerance {
		w.broken("drain", id, "part %s reaches server %s %v after %s was told of its drain", a.id, a.server.id, a.at.Sub(told), r.process.name)
	}
	w.checkCold(a)
}

// checkRepeat checks a part against those before it. The caller holds r.mu.
func (w *world) checkRepeat(r *request, a *arrival) {
	attempts := 0
	for _, b := range r.arrivals {
		if b.id != a.id {
			continue
		}
		if attempts++; b.never {
			continue
		}
		since := a.at.Sub(b.at)
		if r.class.effect == once || r.class.effect == keyed && since > r.class.window+ruleSlack+tolerance && !a.late && !b.late {
			w.broken("duplicate", r.id, "part %s reaches server %s %v after server %s, which may have run it", a.id, a.server.id, since, b.server.id)
		}
	}
	if attempts >= maxAttempts {
		w.broken("attempts", r.id, "part %s has %d attempts", a.id, attempts+1)
	}
}

// checkCold counts what a server gets that has just started.
func (w *world) checkCold(a *arrival) {
	if w.active()[ClientsPipeline] {
		return // there is more to do than the mean that servers are taken to bear
	}
	s := a.server
	s.mu.Lock()
	defer s.mu.Unlock()
	age := a.at.Sub(s.started)
	if !s.cold || age > coldTime {
		return
	}
	s.sent = append(s.sent, a.at)
	n := 0
	for _, at := range s.sent {
		if a.at.Sub(at) < coldWindow {
			n++
		}
	}
	if most := coldMost(age, w.perServer()); float64(n) > most {
		w.broken("slow-start", "", "server %s, %v old, got %d parts in %v, it bears %.0f", s.id, age, n, coldWindow, most)
	}
}

// answered checks a request's final answer.
func (w *world) answered(r *request, status int, body string) {
	took := time.Since(r.sent)
	r.mu.Lock()
	again := r.status != 0
	r.status = status
	r.mu.Unlock()
	w.note(r.id, "answer %d after %v", status, took)
	if again {
		w.broken("one-answer", r.id, "a second answer, %d", status)
	}
	if took > r.deadline+answerLate+tolerance {
		w.broken("lost", r.id, "answered after %v, its time was %v", took, r.deadline)
	}
	switch {
	case status == 200:
		w.ended("served")
		w.checkAnswer(r, body)
	case status == 503 || status == 429:
		w.ended("refused")
	default:
		w.ended("failed")
	}
}

// settle checks, once all is over, what can be told only then.
func (w *world) settle(r *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.class.effect == repeatable || r.status != 503 && r.status != 429 {
		return
	}
	for _, a := range r.arrivals {
		if !a.never {
			w.broken("refusal", r.id, "refused, but part %s may have run at server %s", a.id, a.server.id)
			return
		}
	}
}
