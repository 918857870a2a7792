package version

import (
	"encoding/binary"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
)

// The exhaustive exploration of two mixers, two conflicting versions and leaders that
// replace each other, at small sizes. A unit of time is half of a lease, in which each
// mixer sends at most one request. Any message may be lost, late or outdated on arrival.
// Any process may pause for any time, as doing nothing is always one of the next steps. A
// leader that was replaced goes on granting leases for the state that it knows.

const unit = time.Second

// The two documents: each allows the one node that the other excludes.
const (
	firstDocument  = `{"nodes":{"s-1":true,"s-2":false}}`
	secondDocument = `{"nodes":{"s-1":false,"s-2":true}}`
)

// leader is the present leader or a former one.
type leader struct {
	g         *Granter
	state     State // of a former leader: what it last knew
	confirmed time.Duration
	former    bool
}

// modelState is one state of the whole model.
type modelState struct {
	now           time.Duration
	state         State // replicated
	leaders       []leader
	mixers        [2]*Lease
	requests      [2]*LeaseRequest // in flight
	grants        [2]*LeaseGrant
	make          func(lease, trial, began time.Duration) *Granter
	asked         [2]bool // within this unit
	leaderChanges int     // leader changes still to come
	proposed,
	withdrawn bool
}

func (s *modelState) clone() *modelState {
	c := *s
	c.leaders = slices.Clone(s.leaders)
	for i := range c.leaders {
		g := *c.leaders[i].g
		g.holders = map[string]*Holder{}
		for k, h := range c.leaders[i].g.holders {
			copied := *h
			g.holders[k] = &copied
		}
		c.leaders[i].g = &g
	}
	for i := range c.mixers {
		l := *c.mixers[i]
		l.pending = slices.Clone(l.pending)
		c.mixers[i] = &l
	}
	return &c
}

// key is equal for states with the same possible continuations. Times are relative to now
// and clipped to the range in which they still matter.
func (s *modelState) key(lease time.Duration) uint64 {
	b := make([]byte, 0, 256)
	num := func(list ...int64) {
		for _, x := range list {
			b = binary.AppendVarint(b, x)
		}
	}
	rel := func(at time.Duration) int64 {
		return int64(max(-lease, min(at-s.now, 2*lease)) / (unit / 100))
	}
	flag := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	num(int64(s.state.Revision), int64(s.state.Phase), int64(s.leaderChanges), flag(s.proposed), flag(s.withdrawn))
	for _, x := range s.leaders {
		if x.former { // it grants leases on its last state until they could not be valid; it issues no commands
			num(-1, int64(x.state.Revision), rel(x.confirmed))
			continue
		}
		young := func(at time.Duration) int64 { return rel(max(at, s.now-unit)) } // the duration of a trial
		num(-6, rel(x.g.leadingSince), young(x.g.revisionSince), int64(x.g.revision))
		for _, k := range sortedKeys(x.g.holders) {
			h := x.g.holders[k]
			num(-2, int64(h.Instance), int64(h.Revision), rel(max(h.ExpiresAt, s.now)), young(h.ReportedAt))
		}
	}
	for i, l := range s.mixers {
		num(-3, int64(l.state.Revision), rel(max(l.expiresAt, s.now)), flag(s.asked[i]))
		for _, a := range l.pending {
			if s.now-a.at < lease && s.grants[i] != nil && s.grants[i].Seq == a.seq || s.requests[i] != nil && s.requests[i].Seq == a.seq {
				num(-4, int64(a.seq)-int64(l.seq), rel(a.at))
			}
		}
		if r := s.requests[i]; r != nil {
			num(-5, int64(r.Seq)-int64(l.seq), int64(r.Revision))
		}
		if g := s.grants[i]; g != nil {
			num(-6, int64(g.Seq)-int64(l.seq), int64(g.State.Revision), int64(g.TTL/(unit/100)))
		}
	}
	return xxh3.Hash(b)
}

// allowedNodes returns the nodes that a mixer would send to now.
func (s *modelState) allowedNodes(i int) (list []string) {
	r, _ := s.mixers[i].ActiveRules(s.now)
	for _, node := range []string{"s-1", "s-2"} {
		if barred, named := r.Barred[node]; named && !barred {
			list = append(list, node)
		}
	}
	return list
}

// violation describes the invariant that does not hold, or returns "".
func (s *modelState) violation() string {
	a, b := s.allowedNodes(0), s.allowedNodes(1)
	if len(a) > 0 && len(b) > 0 && a[0] != b[0] {
		return fmt.Sprintf("one mixer sends to %s, the other to %s", a, b)
	}
	force, err := parseRules(s.state.InForce().Text)
	if err != nil {
		return err.Error()
	}
	for i, l := range s.mixers {
		r, _ := l.ActiveRules(s.now)
		if keys := ExceededKeys(r, force); len(keys) > 0 {
			return fmt.Sprintf("mixer %d exceeds version %d in %v", i, s.state.InForce().Number, keys)
		}
	}
	return ""
}

// successors returns all states that can follow.
func (s *modelState) successors(lease time.Duration) (list []*modelState) {
	add := func(do func(c *modelState) bool) {
		if c := s.clone(); do(c) {
			list = append(list, c)
		}
	}
	add(func(c *modelState) bool {
		c.now += unit
		c.asked = [2]bool{}
		c.leaders = slices.DeleteFunc(c.leaders, func(x leader) bool { return x.former && x.confirmed+lease <= c.now })
		return true
	})
	for i := range s.mixers {
		if !s.asked[i] {
			add(func(c *modelState) bool { // sends a request; what was in flight is lost
				r, ok := c.mixers[i].NextRequest(c.now)
				c.requests[i], c.grants[i], c.asked[i] = &r, nil, true
				return ok
			})
		}
		if s.requests[i] != nil {
			for k := range s.leaders {
				add(func(c *modelState) bool {
					x, r := &c.leaders[k], *c.requests[i]
					known := x.state
					if !x.former {
						known, x.confirmed = c.state, c.now
					}
					c.requests[i] = nil
					g, ok := x.g.Renew(c.now, x.confirmed, r, known)
					if ok {
						c.grants[i] = &g
					}
					return ok
				})
			}
		}
		if s.grants[i] != nil {
			add(func(c *modelState) bool { c.mixers[i].HandleGrant(c.now, *c.grants[i]); c.grants[i] = nil; return true })
		}
	}
	add(func(c *modelState) bool { // the leader moves the rollout on
		x := &c.leaders[len(c.leaders)-1]
		cmd, ok := x.g.NextCommand(c.now, c.state)
		if !ok {
			return false
		}
		next, _, err := c.state.Apply(cmd)
		c.state = next
		return err == nil
	})
	if !s.proposed {
		add(func(c *modelState) bool {
			c.proposed = true
			next, _, err := c.state.Apply(propose(1, "second", secondDocument, "m0"))
			c.state = next
			return err == nil
		})
	} else if !s.withdrawn {
		add(func(c *modelState) bool {
			c.withdrawn = true
			next, _, err := c.state.Apply(Command{Kind: Withdraw, Number: 2})
			c.state = next
			return err == nil
		})
	}
	if s.leaderChanges > 0 {
		add(func(c *modelState) bool { // another leader is elected; the former one does not know yet
			c.leaderChanges--
			last := &c.leaders[len(c.leaders)-1]
			last.former, last.state, last.confirmed = true, c.state, c.now
			c.leaders = append(c.leaders[max(0, len(c.leaders)-1):], leader{g: c.make(lease, 0, c.now)})
			return true
		})
	}
	return list
}

// explore visits all states within a number of units of time and returns how many there
// are, and the first broken invariant.
func explore(units, changes int, withdraw bool, newGranter func(lease, trial, began time.Duration) *Granter) (int, string) {
	lease := 2 * unit
	s := &modelState{now: time.Hour, leaderChanges: changes, withdrawn: !withdraw, make: newGranter}
	s.state, _, _ = s.state.Apply(propose(0, "first", firstDocument, "m0"))
	for range 3 {
		s.state, _, _ = s.state.Apply(Command{Kind: Advance, Revision: s.state.Revision})
	}
	for i := range s.mixers {
		s.mixers[i] = NewLease(fmt.Sprintf("m%d", i), uint64(i), lease, s.state, parseRules)
		s.mixers[i].expiresAt = s.now + lease // each has a lease from an earlier leader
	}
	s.leaders = []leader{{g: newGranter(lease, 0, s.now)}}
	end := s.now + time.Duration(units)*unit
	seen := map[uint64]bool{s.key(lease): true}
	// In order of time: a state that comes up again later has less time left.
	for layer := []*modelState{s}; len(layer) > 0; {
		var later []*modelState
		for len(layer) > 0 {
			at := layer[len(layer)-1]
			layer = layer[:len(layer)-1]
			if why := at.violation(); why != "" {
				return len(seen), why
			}
			for _, next := range at.successors(lease) {
				key := next.key(lease)
				if next.now > end || seen[key] {
					continue
				}
				seen[key] = true
				if next.now > at.now {
					later = append(later, next)
				} else {
					layer = append(layer, next)
				}
			}
		}
		layer = later
	}
	return len(seen), ""
}

func TestEveryWayOfTwoMixersAndTwoVersions(t *testing.T) {
	long := os.Getenv("KITELOFT_MEASURE") != ""
	for _, c := range []struct {
		units, longer, leaders int
		withdraw               bool
	}{{6, 11, 0, false}, {4, 8, 0, true}, {3, 5, 1, false}} {
		if long {
			c.units = c.longer
		}
		n, why := explore(c.units, c.leaders, c.withdraw, NewGranter)
		t.Logf("%d leader changes, withdrawn: %v: %d states within %d units (a lease is 2)", c.leaders, c.withdraw, n, c.units)
		if why != "" {
			t.Errorf("after %d states: %s", n, why)
		}
	}
}

// TestExplorationFindsFault guards against an exploration that finds nothing: it has to
// find a leader that does not wait for the leases of its predecessor to expire.
func TestExplorationFindsFault(t *testing.T) {
	n, why := explore(3, 1, false, func(lease, trial, began time.Duration) *Granter { return NewGranter(lease, trial, began-2*lease) })
	t.Logf("after %d states: %s", n, why)
	if !strings.Contains(why, "exceeds") && !strings.Contains(why, "the other to") {
		t.Errorf("the injected fault was not found: %q", why)
	}
}
