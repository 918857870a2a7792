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
	first  = `{"nodes":{"s-1":true,"s-2":false}}`
	second = `{"nodes":{"s-1":false,"s-2":true}}`
)

// leader is the present leader or a former one.
type seat struct {
	g         *Granter
	state     State // of a former leader: what it last knew
	confirmed time.Duration
	old       bool
}

// modelState is one state of the whole model.
type small struct {
	now    time.Duration
	state  State // replicated
	seats  []seat
	mixers [2]*Lease
	asks   [2]*LeaseRequest // in flight
	grants [2]*LeaseGrant
	make   func(lease, trial, began time.Duration) *Granter
	asked  [2]bool // within this unit
	left   int     // leader changes still to come
	proposed,
	taken bool
}

func (s *small) clone() *small {
	c := *s
	c.seats = slices.Clone(s.seats)
	for i := range c.seats {
		g := *c.seats[i].g
		g.held = map[string]*Holder{}
		for k, h := range c.seats[i].g.held {
			copied := *h
			g.held[k] = &copied
		}
		c.seats[i].g = &g
	}
	for i := range c.mixers {
		l := *c.mixers[i]
		l.sent = slices.Clone(l.sent)
		c.mixers[i] = &l
	}
	return &c
}

// key is equal for states with the same possible continuations. Times are relative to now
// and clipped to the range in which they still matter.
func (s *small) key(lease time.Duration) uint64 {
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
	num(int64(s.state.Revision), int64(s.state.Phase), int64(s.left), flag(s.proposed), flag(s.taken))
	for _, x := range s.seats {
		if x.old { // it grants leases on its last state until they could not be valid; it issues no commands
			num(-1, int64(x.state.Revision), rel(x.confirmed))
			continue
		}
		young := func(at time.Duration) int64 { return rel(max(at, s.now-unit)) } // the duration of a trial
		num(-6, rel(x.g.began), young(x.g.since), int64(x.g.stage))
		for _, k := range sorted(x.g.held) {
			h := x.g.held[k]
			num(-2, int64(h.Instance), int64(h.Revision), rel(max(h.ExpiresAt, s.now)), young(h.ReportedAt))
		}
	}
	for i, l := range s.mixers {
		num(-3, int64(l.state.Revision), rel(max(l.until, s.now)), flag(s.asked[i]))
		for _, a := range l.sent {
			if s.now-a.at < lease && s.grants[i] != nil && s.grants[i].Seq == a.seq || s.asks[i] != nil && s.asks[i].Seq == a.seq {
				num(-4, int64(a.seq)-int64(l.seq), rel(a.at))
			}
		}
		if r := s.asks[i]; r != nil {
			num(-5, int64(r.Seq)-int64(l.seq), int64(r.Revision))
		}
		if g := s.grants[i]; g != nil {
			num(-6, int64(g.Seq)-int64(l.seq), int64(g.State.Revision), int64(g.TTL/(unit/100)))
		}
	}
	return xxh3.Hash(b)
}

// allows returns the nodes that a mixer would send to now.
func (s *small) allows(i int) (list []string) {
	r, _ := s.mixers[i].ActiveRules(s.now)
	for _, node := range []string{"s-1", "s-2"} {
		if barred, named := r.Barred[node]; named && !barred {
			list = append(list, node)
		}
	}
	return list
}

// broken describes the invariant that does not hold, or returns "".
func (s *small) broken() string {
	a, b := s.allows(0), s.allows(1)
	if len(a) > 0 && len(b) > 0 && a[0] != b[0] {
		return fmt.Sprintf("one mixer sends to %s, the other to %s", a, b)
	}
	force, err := read(s.state.InForce().Text)
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
func (s *small) ways(lease time.Duration) (list []*small) {
	add := func(do func(c *small) bool) {
		if c := s.clone(); do(c) {
			list = append(list, c)
		}
	}
	add(func(c *small) bool {
		c.now += unit
		c.asked = [2]bool{}
		c.seats = slices.DeleteFunc(c.seats, func(x seat) bool { return x.old && x.confirmed+lease <= c.now })
		return true
	})
	for i := range s.mixers {
		if !s.asked[i] {
			add(func(c *small) bool { // sends a request; what was in flight is lost
				r, ok := c.mixers[i].NextRequest(c.now)
				c.asks[i], c.grants[i], c.asked[i] = &r, nil, true
				return ok
			})
		}
		if s.asks[i] != nil {
			for k := range s.seats {
				add(func(c *small) bool {
					x, r := &c.seats[k], *c.asks[i]
					known := x.state
					if !x.old {
						known, x.confirmed = c.state, c.now
					}
					c.asks[i] = nil
					g, ok := x.g.Renew(c.now, x.confirmed, r, known)
					if ok {
						c.grants[i] = &g
					}
					return ok
				})
			}
		}
		if s.grants[i] != nil {
			add(func(c *small) bool { c.mixers[i].HandleGrant(c.now, *c.grants[i]); c.grants[i] = nil; return true })
		}
	}
	add(func(c *small) bool { // the leader moves the rollout on
		x := &c.seats[len(c.seats)-1]
		cmd, ok := x.g.NextCommand(c.now, c.state)
		if !ok {
			return false
		}
		next, _, err := c.state.Apply(cmd)
		c.state = next
		return err == nil
	})
	if !s.proposed {
		add(func(c *small) bool {
			c.proposed = true
			next, _, err := c.state.Apply(propose(1, "second", second, "m0"))
			c.state = next
			return err == nil
		})
	} else if !s.taken {
		add(func(c *small) bool {
			c.taken = true
			next, _, err := c.state.Apply(Command{Kind: Withdraw, Number: 2})
			c.state = next
			return err == nil
		})
	}
	if s.left > 0 {
		add(func(c *small) bool { // another leader is elected; the former one does not know yet
			c.left--
			last := &c.seats[len(c.seats)-1]
			last.old, last.state, last.confirmed = true, c.state, c.now
			c.seats = append(c.seats[max(0, len(c.seats)-1):], seat{g: c.make(lease, 0, c.now)})
			return true
		})
	}
	return list
}

// explore visits all states within a number of units of time and returns how many there
// are, and the first broken invariant.
func explore(units, leaders int, withdraw bool, newGranter func(lease, trial, began time.Duration) *Granter) (int, string) {
	lease := 2 * unit
	s := &small{now: time.Hour, left: leaders, taken: !withdraw, make: newGranter}
	s.state, _, _ = s.state.Apply(propose(0, "first", first, "m0"))
	for range 3 {
		s.state, _, _ = s.state.Apply(Command{Kind: Advance, Revision: s.state.Revision})
	}
	for i := range s.mixers {
		s.mixers[i] = NewLease(fmt.Sprintf("m%d", i), uint64(i), lease, s.state, read)
		s.mixers[i].until = s.now + lease // each has a lease from an earlier leader
	}
	s.seats = []seat{{g: newGranter(lease, 0, s.now)}}
	end := s.now + time.Duration(units)*unit
	seen := map[uint64]bool{s.key(lease): true}
	// In order of time: a state that comes up again later has less time left.
	for layer := []*small{s}; len(layer) > 0; {
		var later []*small
		for len(layer) > 0 {
			at := layer[len(layer)-1]
			layer = layer[:len(layer)-1]
			if why := at.broken(); why != "" {
				return len(seen), why
			}
			for _, next := range at.ways(lease) {
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
func TestTheExplorationFindsAFault(t *testing.T) {
	n, why := explore(3, 1, false, func(lease, trial, began time.Duration) *Granter { return NewGranter(lease, trial, began-2*lease) })
	t.Logf("after %d states: %s", n, why)
	if !strings.Contains(why, "exceeds") && !strings.Contains(why, "the other to") {
		t.Errorf("the injected fault was not found: %q", why)
	}
}
