package standin

import (
	"slices"
	"sync"
	"time"
)

// Power is what a stock node's machine can do.
type Power struct {
	Cores    int
	Part     time.Duration // work of a part
	Call     time.Duration // work of a call, beside that of its parts
	Queue    int           // parts that may wait; beyond them it turns parts away
	ColdFrom float64       // share of its capacity at its start
	Cold     time.Duration // from its start until it is warm
	Fall     time.Duration // window of the rule on cold nodes
	Multiple float64       // of what it can do that topples it while it is cold
}

// Machine is what a node runs on: cores, a queue, and a cold start. Sent too much
// while it is cold it topples, and stays down.
type Machine struct {
	p       Power
	started time.Time
	topples func()

	mu      sync.Mutex
	free    int
	queue   []*job
	jobs    map[string]*job
	arrived []arrival
	worst   float64
	toppled bool
}

type job struct {
	id      string
	work    time.Duration
	answer  func()
	stopped bool
	running *time.Timer
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// NewMachine returns a machine that starts now; one that is warm has been up for long.
// Topples, which may be nil, is called once if it is pushed over.
func NewMachine(p Power, warm bool, topples func()) *Machine {
	m := &Machine{p: p, started: time.Now(), topples: topples, free: p.Cores, jobs: map[string]*job{}}
	if warm {
		m.started = m.started.Add(-p.Cold)
	}
	return m
}

// Started is when the machine started.
func (m *Machine) Started() time.Time { return m.started }

// share is how much of its capacity it has.
func (m *Machine) share(now time.Time) float64 {
	age := now.Sub(m.started)
	if age >= m.p.Cold {
		return 1
	}
	return m.p.ColdFrom + (1-m.p.ColdFrom)*age.Seconds()/m.p.Cold.Seconds()
}

// Do takes a part; it is a node's reply.
func (m *Machine) Do(p Part) Reply {
	work := m.p.Part
	if p.First {
		work += m.p.Call
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weigh(now, work)
	switch {
	case m.toppled:
		return Reply{}
	case len(m.queue) >= m.p.Queue:
		return Reply{End: 'B'}
	}
	return Reply{Later: func(answer func(Reply)) {
		m.mu.Lock()
		defer m.mu.Unlock()
		j := &job{id: p.ID, work: work, answer: func() { answer(Sound(p)) }}
		m.jobs[p.ID] = j
		m.queue = append(m.queue, j)
		m.begin()
	}}
}

// weigh counts what arrives against the rule on cold nodes.
func (m *Machine) weigh(now time.Time, work time.Duration) {
	m.arrived = append(m.arrived, arrival{now, work})
	m.arrived = slices.DeleteFunc(m.arrived, func(a arrival) bool { return now.Sub(a.at) > m.p.Fall })
	if now.Sub(m.started) >= m.p.Cold || m.toppled {
		return
	}
	sum := time.Duration(0)
	for _, a := range m.arrived {
		sum += a.work
	}
	can := m.share(now) * float64(m.p.Cores) * m.p.Fall.Seconds()
	m.worst = max(m.worst, sum.Seconds()/can)
	if sum.Seconds() > m.p.Multiple*can {
		m.toppled = true
		if m.topples != nil {
			go m.topples()
		}
	}
}

// begin gives free cores work. The caller holds mu.
func (m *Machine) begin() {
	for m.free > 0 && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if j.stopped {
			continue
		}
		m.free--
		took := time.Duration(float64(j.work) / m.share(time.Now()))
		j.running = time.AfterFunc(took, func() { m.done(j) })
	}
}

func (m *Machine) done(j *job) {
	m.mu.Lock()
	if j.stopped || m.toppled {
		m.mu.Unlock()
		return
	}
	delete(m.jobs, j.id)
	m.free++
	m.begin()
	m.mu.Unlock()
	j.answer()
}

// Stop ends the work for a part.
func (m *Machine) Stop(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[id]
	if j == nil {
		return
	}
	delete(m.jobs, id)
	j.stopped = true
	if j.running != nil {
		j.running.Stop()
		m.free++
		m.begin()
	}
}

// Worst is the most that was sent within a window while it was cold, as a multiple of
// what it could do, and whether that pushed it over.
func (m *Machine) Worst() (multiple float64, toppled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worst, m.toppled
}
