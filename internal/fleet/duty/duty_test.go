package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/standin/queue"
)

const ms = time.Millisecond

// cluster is mixers on one clock that doubt one node as the module does: 3.75 to 6.25 s after
// each result they ask again.
type cluster struct {
	t      *testing.T
	now    time.Duration
	events queue.Queue
	rng    *rand.Rand
	all    []*mixer
	owner  int
	checks []time.Duration
	by     []int
	sound  bool // the node answers
	told   int
}

type mixer struct {
	*cluster
	i        int
	p        *Probes
	dead     bool
	isolated bool // neither receives nor sends announcements
	paused   []func()
	isPaused bool // the process is stopped; its timers fire when it resumes
}

func newCluster(t *testing.T, size int, seed uint64) *cluster {
	c := &cluster{t: t, now: time.Hour, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		m := &mixer{cluster: c, i: i}
		m.p = New(m, m, m)
		c.all = append(c.all, m)
		m.After(time.Duration(c.rng.IntN(1000))*ms, m.doubt)
	}
	return c
}

func (m *mixer) doubt() {
	m.p.Probe(broker.Node{ID: "s"}, func(decide.Outcome) {
		m.told++
		m.After(time.Duration(3750+m.rng.IntN(2500))*ms, m.doubt)
	})
}

func (m *mixer) Now() time.Duration { return m.now }

// After runs fn unless the mixer is dead; if it is paused, once it resumes.
func (m *mixer) After(d time.Duration, fn func()) {
	m.events.Add(m.now+d, func() {
		switch {
		case m.dead:
		case m.isPaused:
			m.paused = append(m.paused, fn)
		default:
			fn()
		}
	})
}

func (m *mixer) Node(id string) (broker.Node, bool) { return broker.Node{ID: id}, true }
func (m *mixer) Mine(string) (mine, owned bool)     { return !m.isolated && m.owner == m.i, !m.isolated }
func (m *mixer) Rank(string) int                    { return (m.i - m.owner + len(m.all)) % len(m.all) }

func (m *mixer) Announce(key string, body []byte) {
	said := m.now
	for _, o := range m.all {
		if o != m && !m.isolated && !o.isolated {
			o.After(time.Duration(5+m.rng.IntN(95))*ms, func() { o.p.News(key, body, o.now-said) })
		}
	}
}

// Probe simulates the node.
func (m *mixer) Probe(_ broker.Node, done func(decide.Outcome)) {
	m.checks, m.by = append(m.checks, m.now), append(m.by, m.i)
	if m.sound {
		m.After(2*ms, func() { done(decide.OK) })
		return
	}
	m.After(500*ms, func() { done(decide.TimedOut) })
}

func (m *mixer) pause(d time.Duration) {
	m.isPaused = true
	m.events.Add(m.now+d, func() {
		m.isPaused = false
		for _, fn := range m.paused {
			m.After(0, fn)
		}
		m.paused = nil
	})
}

func (c *cluster) run(d time.Duration) { c.events.Run(&c.now, d, nil) }

// assertCheckRate asserts on the checks since a time that no two are more than two intervals
// (10 s) apart, and that no three intervals (15 s) have more than seven.
func (c *cluster) assertCheckRate(what string, since time.Duration) {
	c.t.Helper()
	list := c.checks[slices.IndexFunc(c.checks, func(at time.Duration) bool { return at >= since }):]
	for i, at := range list {
		if i > 0 && at-list[i-1] > 10*time.Second {
			c.t.Errorf("%s: no check for %v", what, at-list[i-1])
		}
		if i >= 7 && at-list[i-7] < 15*time.Second {
			c.t.Errorf("%s: 8 checks in %v", what, at-list[i-7])
		}
	}
	if c.now-list[len(list)-1] > 10*time.Second {
		c.t.Errorf("%s: no check in the last 10 s", what)
	}
}

// TestOneMixerChecksAtATime: a silent node is checked by one mixer at a time, also when the
// owner dies, another mixer is paused, and it takes a while until all know the next owner.
func TestOneMixerChecksAtATime(t *testing.T) {
	for _, size := range []int{1, 2, 5, 9, 40} {
		for seed := range uint64(20) {
			c := newCluster(t, size, seed)
			c.run(12 * time.Second)
			since := c.now
			c.run(30 * time.Second)
			c.assertCheckRate(fmt.Sprintf("%d mixers, seed %d", size, seed), since)
			if size < 5 {
				continue
			}
			since = c.now
			c.all[c.owner].dead = true
			c.all[c.owner+2].pause(4 * time.Second)
			c.events.Add(c.now+1500*ms, func() { c.owner++ })
			c.run(30 * time.Second)
			c.assertCheckRate(fmt.Sprintf("%d mixers, seed %d, one dead and one paused", size, seed), since)
			since = c.now
			c.all[c.owner].pause(10 * time.Second) // and nobody takes over
			c.run(30 * time.Second)
			c.assertCheckRate(fmt.Sprintf("%d mixers, seed %d, the owner paused", size, seed), since)
		}
	}
}

// TestIsolatedMixerChecksAlone: a mixer that is cut off neither waits for an owner nor
// announces its results.
func TestIsolatedMixerChecksAlone(t *testing.T) {
	c := newCluster(t, 5, 1)
	c.all[3].isolated = true
	c.run(60 * time.Second)
	n := 0
	for _, by := range c.by {
		if by == 3 {
			n++
		}
	}
	if n < 8 || n > 16 {
		t.Errorf("%d checks in a minute by the isolated mixer", n)
	}
	before := c.told
	c.sound = true
	c.run(6300*ms + noOwnerTimeout)
	if c.told-before < 5 {
		t.Errorf("%d of 5 mixers have learnt that the node is sound", c.told-before)
	}
}

// TestRepeatedDoubtIsCheckedLocally: a node that another mixer reaches and this one doubts
// again is checked from here.
func TestRepeatedDoubtIsCheckedLocally(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.sound = true
	c.run(time.Second + 200*ms)
	first := len(c.checks)
	c.all[1].doubt()
	c.run(200 * ms)
	if c.by[len(c.by)-1] != 1 || len(c.checks) == first {
		t.Errorf("doubted again at once, it was checked by %v, want mixer 1 last", c.by)
	}
}
