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
	ruleSlack      = 50 * time.Millisecond  // the protocol adds it to every limit
	deadlineSlack  = 150 * time.Millisecond // of the time that a server is told of
	leaveSlack     = 100 * time.Millisecond // in which an attempt may still begin after a client left
	answerSlack    = 500 * time.Millisecond // after its time, from when an answer counts as none
	badClientLimit = 3 * time.Second        // by when a client that stops in the middle gets its error
)

// effect is what a class says of repeats.
type repeatPolicy int

const (
	repeatable repeatPolicy = iota
	keyed
	once
)

// class is a class of requests.
type class struct {
	name         string
	repeatPolicy repeatPolicy
	dedupWindow  time.Duration // keyed: in which servers drop a repeat
}

var classes = []class{{"lookup", repeatable, 0}, {"booking", keyed, 800 * time.Millisecond}, {"once", once, 0}}

// request is a request of a client's, and all that became of it.
type request struct {
	id       string
	class    class
	shards   []int
	deadline time.Duration
	process  *process // that it was sent to
	sentAt   time.Time

	mu       sync.Mutex
	left     time.Time // when its client left; zero: it did not
	status   int       // of its answer; 0: none
	arrivals []*arrival
}

// arrival is a part as it reached a server.
type arrival struct {
	server   *server
	id       string
	shard    int
	text     string
	told     time.Duration // how long the server was told that it is waited for
	at       time.Time     // when its first byte came
	delayed  bool          // it lay unread for a while
	rejected bool          // it was turned away, and never ran
}

// arrived checks a part at the moment in which it reaches a server.
func (env *environment) recordArrival(a *arrival) {
	id, _, _ := strings.Cut(a.id, ".")
	env.mu.Lock()
	r := env.requests[id]
	env.mu.Unlock()
	if r == nil {
		env.recordViolation("form", id, "server %s got part %s, which nobody asked for", a.server.id, a.id)
		return
	}
	env.record(id, "part %s reaches server %s, told %v", a.id, a.server.id, a.told)
	if (a.server.cell-a.shard+cells)%cells >= cellsPerSlice {
		env.recordViolation("shard", id, "server %s of cell %d got shard %d", a.server.id, a.server.cell, a.shard)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	env.checkRepeat(r, a)
	r.arrivals = append(r.arrivals, a)
	if a.delayed { // it was not read when it came: when it was sent is not known
		return
	}
	// The time may have passed a server that is held up by the machine; it is not the mixer's.
	if left := r.deadline - a.at.Sub(r.sentAt); a.told > left+deadlineSlack+tolerance {
		env.recordViolation("deadline", id, "server %s was told %v, the client has %v", a.server.id, a.told, left)
	}
	if gone := a.at.Sub(r.left); !r.left.IsZero() && gone > leaveSlack+tolerance {
		env.recordViolation("abandoned", id, "part %s reaches server %s %v after its client left", a.id, a.server.id, gone)
	}
	if told, drains := env.catalog.informedOfDeparture(a.server.id, r.process); drains && a.at.Sub(told) > drainGrace+ruleSlack+tolerance {
		env.recordViolation("drain", id, "part %s reaches server %s %v after %s was told of its drain", a.id, a.server.id, a.at.Sub(told), r.process.name)
	}
	env.checkSlowStart(a)
}

// checkRepeat checks a part against those before it. The caller holds r.mu.
func (env *environment) checkRepeat(r *request, a *arrival) {
	attempts := 0
	for _, b := range r.arrivals {
		if b.id != a.id {
			continue
		}
		if attempts++; b.rejected {
			continue
		}
		since := a.at.Sub(b.at)
		if r.class.repeatPolicy == once || r.class.repeatPolicy == keyed && since > r.class.dedupWindow+ruleSlack+tolerance && !a.delayed && !b.delayed {
			env.recordViolation("duplicate", r.id, "part %s reaches server %s %v after server %s, which may have run it", a.id, a.server.id, since, b.server.id)
		}
	}
	if attempts >= maxAttempts {
		env.recordViolation("attempts", r.id, "part %s has %d attempts", a.id, attempts+1)
	}
}

// checkCold counts what a server gets that has just started.
func (env *environment) checkSlowStart(a *arrival) {
	if env.activeKinds()[ClientsPipeline] {
		return // there is more to do than the mean that servers are taken to bear
	}
	s := a.server
	s.mu.Lock()
	defer s.mu.Unlock()
	age := a.at.Sub(s.startedAt)
	if !s.cold || age > coldDuration {
		return
	}
	s.partArrivals = append(s.partArrivals, a.at)
	n := 0
	for _, at := range s.partArrivals {
		if a.at.Sub(at) < coldWindow {
			n++
		}
	}
	if most := maxColdParts(age, env.meanPartRate()); float64(n) > most {
		env.recordViolation("slow-start", "", "server %s, %v old, got %d parts in %v, it bears %.0f", s.id, age, n, coldWindow, most)
	}
}

// answered checks a request's final answer.
func (env *environment) recordAnswer(r *request, status int, body string) {
	took := time.Since(r.sentAt)
	r.mu.Lock()
	again := r.status != 0
	r.status = status
	r.mu.Unlock()
	env.record(r.id, "answer %d after %v", status, took)
	if again {
		env.recordViolation("one-answer", r.id, "a second answer, %d", status)
	}
	if took > r.deadline+answerSlack+tolerance {
		env.recordViolation("lost", r.id, "answered after %v, its time was %v", took, r.deadline)
	}
	switch {
	case status == 200:
		env.countOutcome("served")
		env.checkAnswerBody(r, body)
	case status == 503 || status == 429:
		env.countOutcome("refused")
	default:
		env.countOutcome("failed")
	}
}

// settle checks, once all is over, what can be told only then.
func (env *environment) checkRefusal(r *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.class.repeatPolicy == repeatable || r.status != 503 && r.status != 429 {
		return
	}
	for _, a := range r.arrivals {
		if !a.rejected {
			env.recordViolation("refusal", r.id, "refused, but part %s may have run at server %s", a.id, a.server.id)
			return
		}
	}
}
