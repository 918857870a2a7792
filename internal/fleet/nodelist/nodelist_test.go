package nodelist

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/broker"
	"kiteloft/internal/discovery"
	"kiteloft/internal/standin/queue"
)

const ms = time.Millisecond

// fleet simulates mixers on one clock with one discovery.
type fleet struct {
	rng    *rand.Rand
	now    time.Duration
	events queue.Queue
	mixers []*mixer
	list   discovery.List
	calls  int // answers of discovery
}

// mixer simulates the core, the fleet and the discovery watch of one Sharer.
type mixer struct {
	f        *fleet
	name     string
	zone     string
	sharer   *Sharer
	dead     bool
	deaf     bool // discovery does not answer it
	watching bool
	turn     int
	seen     int64                    // latest revision that its watch has delivered
	knew     map[string]time.Duration // by node: when the core was first told that it is not active
}

var zones = []string{"a", "b", "c"}

func newFleet(size int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(uint64(size), 1)), now: time.Hour, list: discovery.List{Revision: 1, Complete: true}}
	for i := range 60 {
		f.list.Members = append(f.list.Members, discovery.Entry{ID: fmt.Sprintf("s-%02d", i), HostPort: "127.0.0.1:1", Phase: "active", UpSinceMS: 1})
	}
	for i := range size {
		m := &mixer{f: f, name: fmt.Sprintf("n%d", i), zone: zones[i%3], knew: map[string]time.Duration{}}
		m.sharer = New(m, m, m, m.name, zones, uint64(i), zerolog.Nop())
		f.mixers = append(f.mixers, m)
	}
	for _, m := range f.mixers {
		m.Publish(m.sharer.Filter(f.list)) // the list at its start
		m.seen = f.list.Revision
		m.sharer.Start()
		m.sharer.Watch(true)
	}
	return f
}

func (f *fleet) run(d time.Duration) { f.events.Run(&f.now, d, nil) }

// watchers returns how many mixers watch discovery, and the highest number in one zone.
func (f *fleet) watchers() (n int, most int) {
	by := map[string]int{}
	for _, m := range f.mixers {
		if m.watching && !m.dead {
			n++
			by[m.zone]++
			most = max(most, by[m.zone])
		}
	}
	return n, most
}

// changePhase changes a node's phase in discovery, which tells all who watch within 200 ms.
func (f *fleet) changePhase(i int, phase string) {
	f.list.Revision++
	f.list.Members[i].Phase = phase
	entry, revision := f.list.Members[i], f.list.Revision
	for _, m := range f.mixers {
		if m.watching {
			m.after(time.Duration(f.rng.IntN(200))*ms, func() { m.receive(revision, entry) })
		}
	}
}

func (m *mixer) after(d time.Duration, do func()) {
	m.f.events.Add(m.f.now+d, func() {
		if !m.dead {
			do()
		}
	})
}

func (m *mixer) receive(revision int64, e discovery.Entry) {
	if !m.watching || m.deaf || revision <= m.seen {
		return
	}
	m.f.calls++
	m.seen = revision
	m.Publish(m.sharer.Filter(discovery.List{Revision: revision, Members: []discovery.Entry{e}}))
}

// ---- implements Core ----

func (m *mixer) Now() time.Duration { return m.f.now }

func (m *mixer) After(d time.Duration, fn func()) { m.after(d, fn) }

func (m *mixer) UpdateNodeList(broker.List) {}

// ---- implements Fleet ----

func (m *mixer) Send(to string, body []byte) {
	for _, x := range m.f.mixers {
		if x.name == to && !x.dead {
			x.after(time.Duration(1+m.f.rng.IntN(5))*ms, func() { x.sharer.HandleMessage(m.name, body) })
		}
	}
}

func (m *mixer) Announce(key string, body []byte) {
	for _, x := range m.f.mixers {
		if x != m && !x.dead {
			age := time.Duration(m.f.rng.IntN(600)) * ms
			x.after(age, func() { x.sharer.News(key, body, age) })
		}
	}
}

// Owner picks a live mixer of the zone by hash, or one of another zone if there is none.
func (m *mixer) Owner(zone, key string) string {
	best, owner, near := uint64(0), "", false
	for _, x := range m.f.mixers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(x.name + "\x00" + key))
		if here := x.zone == zone; !x.dead && (here || !near) && (owner == "" || here && !near || h.Sum64() > best) {
			best, owner, near = h.Sum64(), x.name, here
		}
	}
	return owner
}

func (m *mixer) MineIn(zone, key string) bool { return m.Owner(zone, key) == m.name }

func (m *mixer) Zone() string { return m.zone }

// ---- implements Directory ----

func (m *mixer) Watch(on bool) {
	m.watching = on
	if m.turn++; !on {
		return
	}
	m.f.calls++
	turn := m.turn
	m.after(50*ms, func() { // the whole list comes first
		if m.watching && turn == m.turn && !m.deaf {
			m.seen = m.f.list.Revision
			m.Publish(m.sharer.Filter(m.f.list))
		}
	})
}

func (m *mixer) Read() {}

// Publish records what the core is told.
func (m *mixer) Publish(l discovery.List) {
	for _, e := range l.Members {
		if _, knew := m.knew[e.ID]; !knew && e.Phase != "active" {
			m.knew[e.ID] = m.f.now
		}
	}
}

// TestDiscoveryLoadIsIndependentOfFleetSize: at any size two mixers a zone watch discovery,
// and all mixers learn of each change from them. When all watchers die at once, others take
// over.
func TestDiscoveryLoadIsIndependentOfFleetSize(t *testing.T) {
	asked := map[int]int{}
	for _, size := range []int{3, 9, 300} {
		f := newFleet(size)
		f.run(15 * time.Second)
		n, most := f.watchers()
		if n < 3 || most > 2 {
			t.Errorf("%d mixers: %d watch, %d in one zone", size, n, most)
		}
		before := f.calls
		worst := time.Duration(0)
		for i := range 20 {
			told := f.now
			f.changePhase(i, "leaving")
			f.run(2 * time.Second)
			for _, m := range f.mixers {
				at, knew := m.knew[f.list.Members[i].ID]
				if !knew || at-told > 2*time.Second {
					t.Fatalf("%d mixers: %s has not learnt within %v that node %d leaves", size, m.name, f.now-told, i)
				}
				worst = max(worst, at-told)
			}
		}
		asked[size] = f.calls - before
		t.Logf("%d mixers: %d watch; %d answers of discovery to 20 changes; all know of each after %v at most", size, n, asked[size], worst)

		// All watchers die at once.
		killed := 0
		for _, m := range f.mixers {
			if m.watching && killed < size-1 {
				m.dead = true
				killed++
			}
		}
		f.run(watcherTimeout + 3*time.Second)
		told := f.now
		f.changePhase(30, "leaving")
		f.run(3 * time.Second)
		n, most = f.watchers()
		if n == 0 || size > 9 && most > 2 {
			t.Errorf("%d mixers: %d watch after %d died, %d in one zone", size, n, killed, most)
		}
		for _, m := range f.mixers {
			if _, knew := m.knew[f.list.Members[30].ID]; !m.dead && !knew {
				t.Errorf("%d mixers: %s has not learnt of the change %v after it, once the watchers died", size, m.name, f.now-told)
			}
		}
	}
	if asked[300] > asked[9] {
		t.Errorf("the load on discovery grows with the fleet: %v", asked)
	}
}

// TestMixersCutOffFromDiscoveryLearnFromOthers: discovery answers only one of nine mixers, and
// all learn of the change.
func TestMixersCutOffFromDiscoveryLearnFromOthers(t *testing.T) {
	f := newFleet(9)
	f.run(15 * time.Second)
	one := ""
	for _, m := range f.mixers {
		if m.watching && one == "" {
			one = m.name
			continue
		}
		m.deaf = true
	}
	f.changePhase(7, "leaving")
	f.run(2 * time.Second)
	for _, m := range f.mixers {
		if _, knew := m.knew["s-07"]; !knew {
			t.Errorf("%s has not learnt of the change that discovery told %s", m.name, one)
		}
	}
}
