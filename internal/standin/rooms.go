package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// RoomsSetup is what stands in the rooms.
type RoomsSetup struct {
	Zones   int
	Each    int   // nodes in each
	Cells   int   // over which the nodes are laid, the zones in turn
	Machine Power // of each node; no cores: it answers at once
	Wait    time.Duration
	Seed    uint64
}

// Rooms are stock nodes in zones "a", "b" and so on, as the mixers of each zone meet them:
// each way from one zone to another can be spoilt, each zone be silent, slow, or start cold.
// Each zone's mixers have a discovery of their own.
type Rooms struct {
	s    RoomsSetup
	Dirs []*Directory // by the mixers' zone

	mu    sync.Mutex
	rng   *rand.Rand
	hosts []*host
	dark  []bool
	slow  []time.Duration
	lost  [][]float64 // by the mixers' and the nodes' zone: share of what is sent that is never answered
	sent  [][]int
	fell  int
	worst float64
}

// host is a node with a face for the mixers of each zone.
type host struct {
	id      string
	zone    int
	at      int // of the zone's
	cell    int
	machine *Machine // nil: it answers at once
	faces   []*Node
	members []Member
}

// ZoneName is a zone's.
func ZoneName(i int) string { return string(rune('a' + i)) }

// NewRooms starts the nodes, warm. Close ends them.
func NewRooms(s RoomsSetup) (*Rooms, error) {
	r := &Rooms{s: s, rng: rand.New(rand.NewPCG(s.Seed, 7)), dark: make([]bool, s.Zones), slow: make([]time.Duration, s.Zones)}
	for range s.Zones {
		r.Dirs = append(r.Dirs, NewDirectory())
		r.lost, r.sent = append(r.lost, make([]float64, s.Zones)), append(r.sent, make([]int, s.Zones))
	}
	for z := range s.Zones {
		for i := range s.Each {
			h, err := r.start(fmt.Sprintf("%s-%d", ZoneName(z), i), z, i, (i*s.Zones+z)%max(s.Cells, 1), true)
			if err != nil {
				return r, err
			}
			for from, d := range r.Dirs {
				d.Join(h.members[from])
			}
		}
	}
	return r, nil
}

// start starts a node.
func (r *Rooms) start(id string, zone, at, cell int, warm bool) (*host, error) {
	h := &host{id: id, zone: zone, at: at, cell: cell}
	up := int64(0)
	if r.s.Machine.Cores > 0 {
		h.machine = NewMachine(r.s.Machine, warm, func() { r.toppled(h) })
	}
	if !warm {
		up = time.Now().UnixMilli()
	}
	for from := range r.s.Zones {
		n := NewNode(id, func(p Part) Reply { return r.reply(from, h, p) })
		n.Forgets, n.Zone = true, ZoneName(zone)
		n.Probed = func(int) bool { return !r.silent(from, zone) }
		if h.machine != nil {
			n.Stops = h.machine.Stop
		}
		addr, err := n.ServeFrames()
		if err != nil {
			return h, err
		}
		h.faces = append(h.faces, n)
		h.members = append(h.members, Member{ID: id, HostPort: addr, Locality: n.Zone, Cell: cell, Phase: "active", Size: 1, UpSince: up})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append(r.hosts, h)
	return h, nil
}

func (r *Rooms) toppled(h *host) {
	r.mu.Lock()
	r.fell++
	r.mu.Unlock()
	h.close()
}

func (h *host) close() {
	for _, n := range h.faces {
		n.Close()
	}
}

// silent reports whether nothing comes back of what the mixers of one zone say to another's nodes now.
func (r *Rooms) silent(from, zone int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dark[zone] || r.rng.Float64() < r.lost[from][zone]
}

func (r *Rooms) reply(from int, h *host, p Part) Reply {
	silent := r.silent(from, h.zone)
	r.mu.Lock()
	r.sent[from][h.zone]++
	slow := r.slow[h.zone]
	r.mu.Unlock()
	if silent {
		return Reply{}
	}
	if h.machine == nil {
		out := Sound(p)
		out.After = r.s.Wait + slow
		return out
	}
	out := h.machine.Do(p)
	if do := out.Later; do != nil && slow > 0 {
		out.Later = func(answer func(Reply)) {
			do(func(x Reply) { time.AfterFunc(slow, func() { answer(x) }) })
		}
	}
	return out
}

// Dark has a zone's nodes say nothing, or speak again.
func (r *Rooms) Dark(zone int, dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark[zone] = dark
}

// Slow has a zone's answers take longer.
func (r *Rooms) Slow(zone int, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow[zone] = by
}

// Cut has a share of what the mixers of one zone send to another's nodes never answered.
func (r *Rooms) Cut(from, zone int, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[from][zone] = share
}

// Cold ends a zone's nodes and starts them anew, cold, under the same ids or, with a suffix,
// under others. The list tells of it after a while.
func (r *Rooms) Cold(zone int, suffix string, told time.Duration) error {
	for i := range r.s.Each {
		if err := r.ColdOne(zone, i, suffix, told); err != nil {
			return err
		}
	}
	return nil
}

// ColdOne does so with one of them.
func (r *Rooms) ColdOne(zone, i int, suffix string, told time.Duration) error {
	r.mu.Lock()
	at := slices.IndexFunc(r.hosts, func(h *host) bool { return h.zone == zone && h.at == i })
	h := r.hosts[at]
	r.hosts = slices.Delete(r.hosts, at, at+1)
	r.mu.Unlock()
	h.close()
	next, err := r.start(h.id+suffix, zone, i, h.cell, false)
	if err != nil {
		return err
	}
	time.AfterFunc(told, func() {
		for from, d := range r.Dirs {
			d.Replace(h.id, next.members[from])
		}
	})
	return nil
}

// Sent is how many parts came since it was last asked, by the mixers' and the nodes' zone.
func (r *Rooms) Sent() [][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.sent
	r.sent = nil
	for range r.s.Zones {
		r.sent = append(r.sent, make([]int, r.s.Zones))
	}
	return list
}

// To is how many of them came to a zone's nodes.
func To(sent [][]int, zone int) (n int) {
	for _, row := range sent {
		n += row[zone]
	}
	return n
}

// Worst is the most that was sent to a cold node, as a multiple of what it could do, and
// how many were pushed over.
func (r *Rooms) Worst() (multiple float64, fell int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hosts {
		if h.machine != nil {
			w, _ := h.machine.Worst()
			r.worst = max(r.worst, w)
		}
	}
	return r.worst, r.fell
}

// Close ends all nodes.
func (r *Rooms) Close() {
	r.mu.Lock()
	list := r.hosts
	r.mu.Unlock()
	for _, h := range list {
		h.close()
	}
	for _, d := range r.Dirs {
		d.Close()
	}
}
