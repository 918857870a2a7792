package soak

import (
	"strings"
	"sync"
	"time"
)

// tolerance is added to every time limit that is measured outside of the mixer. On a machine that runs many
// processes the stand-ins may be scheduled as late as a mixer.
const tolerance = 150 * time.Millisecond

const (
	ruleSlack      = 50 * time.Millisecond  // that the protocol adds to every limit
	deadlineSlack  = 150 * time.Millisecond // of the time left that a part carries to its server
	leaveSlack     = 100 * time.Millisecond // after a client left, in which attempts may still begin
	answerSlack    = 500 * time.Millisecond // after the deadline; a later answer counts as lost
	badClientLimit = 3 * time.Second        // by when a client that stops mid-request gets an error or a close
)

// repeatPolicy says whether parts of a class of requests may be repeated.
type repeatPolicy int

const (
	repeatable repeatPolicy = iota // always
	keyed                          // within the class's dedupWindow
	once                           // never, if the first attempt may have run
)

// class is a class of requests.
type class struct {
	name         string
	repeatPolicy repeatPolicy
	dedupWindow  time.Duration // keyed: for which servers drop repeats
}

var classes = []class{{"lookup", repeatable, 0}, {"booking", keyed, 800 * time.Millisecond}, {"once", once, 0}}

// request is a client's request and what was observed of it.
type request struct {
	id       string
	class    class
	shards   []int
	deadline time.Duration
	process  *process // to which it was sent
	sentAt   time.Time

	mu       sync.Mutex
	left     time.Time // when its client closed the connection; zero: it did not
	status   int       // HTTP status of its answer; 0: no answer
	arrivals []*arrival
}

// arrival is one attempt of a part, as received by a server.
type arrival struct {
	server   *server
	id       string
	shard    int
	text     string
	told     time.Duration // time left, as the attempt says
	at       time.Time     // when its first byte was read
	delayed  bool          // the server was not reading, so the time of sending is unknown
	rejected bool          // it was rejected and did not run
}

// recordArrival checks an attempt when it reaches a server, and adds it to its request.
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
	if a.delayed { // the time of sending is unknown
		return
	}
	// A server that the machine holds up may read late; that time is not the mixer's, hence the tolerance.
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

// checkRepeat checks an attempt against earlier ones of the same part. The caller holds r.mu.
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

// checkSlowStart checks that a server that has just started gets no more parts within coldWindow than
// maxColdParts.
func (env *environment) checkSlowStart(a *arrival) {
	if env.activeKinds()[ClientsPipeline] {
		return // pipelined requests exceed the mean rate from which the limit is computed
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

// recordAnswer checks a request's final answer and counts its outcome.
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

// checkRefusal checks, at the end of the run, that no part of a refused request may have run, unless its class is
// repeatable. Parts may arrive after the answer, so the check has to wait until then.
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
