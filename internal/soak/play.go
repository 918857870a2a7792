package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kiteloft/internal/standin/callfaults"
)

const (
	pauseMost  = 140 * time.Millisecond // a mixer may be held up for 0.15 s
	crashKnown = time.Second            // after a crash, until discovery knows
	leavingFor = 10 * time.Second       // for which a server that drains is still there
	joinAfter  = time.Second            // until its successor is there
	tornMost   = 300 * time.Millisecond // for which a configuration is half written
	slowMost   = 3 * time.Second        // for which an answer of discovery is on its way
	faultMost  = 300 * time.Millisecond // for which system calls fail
)

// player plays one trouble.
type player struct {
	*world
	t   Trouble
	rng *rand.Rand
}

// play waits for a trouble's time and plays it.
func (w *world) play(number int, t Trouble) {
	time.Sleep(time.Until(w.begun.Add(t.At)))
	w.note("", "trouble %d begins: %v", number, t)
	w.mu.Lock()
	w.on[t.Kind]++
	w.mu.Unlock()
	p := player{w, t, rand.New(rand.NewPCG(t.Seed, 4))}
	p.do()
	time.Sleep(time.Until(w.begun.Add(t.At + t.Length)))
	w.mu.Lock()
	w.on[t.Kind]--
	w.mu.Unlock()
	w.note("", "trouble %d is over: %v", number, t.Kind)
}

func (p player) do() {
	end := time.Now().Add(p.t.Length)
	switch p.t.Kind {
	case TermMixers, KillMixers:
		for _, s := range p.somePlaces() {
			p.spawn(func() { p.restart(s) })
		}
	case PauseMixers:
		p.pause(end)
	case ReloadMixers:
		for _, s := range p.somePlaces() {
			p.reload(s)
		}
	case DiscoveryDown:
		p.list.down(p.t.Length)
		p.list.SetDown(true)
		p.later(func() { p.list.SetDown(false) })
	case DiscoverySilent:
		p.list.down(p.t.Length)
		p.list.hush() // the watches that are open are silent from here on
		p.list.Hold(true)
		p.later(func() { p.list.Hold(false); p.list.hush(); p.list.Mute() })
	case WatchesSilent:
		p.list.hush()
		p.list.Mute()
	case WatchesCut:
		p.list.Cut()
	case DiscoveryCrowded:
		p.list.down(p.t.Length)
		p.list.SetFailing(4)
		p.later(func() { p.list.SetFailing(0) })
	case DiscoverySlow:
		if p.list.pushed {
			return // what an agent has counts as told at once; it is beside the mixer
		}
		p.list.SetSlow(time.Duration(p.rng.Int64N(int64(slowMost))))
		p.later(func() { p.list.SetSlow(0) })
	case DrainServers:
		for _, s := range p.someServers() {
			p.spawn(func() { p.drain(s) })
		}
	case CrashServers, ReturnCold:
		for _, s := range p.someServers() {
			p.spawn(func() { p.crash(s) })
		}
	case HangServers:
		for _, s := range p.someServers() {
			s.set(func(s *server) { s.hangs = end })
		}
	case HangAll:
		for _, s := range p.all() {
			s.set(func(s *server) { s.hangs = end })
		}
	case ResetLinks:
		for time.Now().Before(end) {
			for _, s := range p.someServers() {
				s.reset()
			}
			time.Sleep(200 * time.Millisecond)
		}
	case CloseIdle:
		for _, s := range p.all() {
			s.set(func(s *server) { s.idles = end })
		}
	case SpoilAnswers:
		for _, s := range p.someServers() {
			s.set(func(s *server) { s.spoils = end })
		}
	case DeafServers:
		for _, s := range p.someServers() {
			s.set(func(s *server) { s.deaf = end })
		}
	case ClockStep:
		p.list.step([]time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[p.rng.IntN(4)])
	case CallFaults:
		p.failCalls(end)
	}
}

// later runs something at the trouble's end.
func (p player) later(fn func()) { p.spawn(func() { time.Sleep(p.t.Length); fn() }) }

// somePlaces are the mixers' places that the trouble strikes.
func (p player) somePlaces() []*slot {
	return some(p, p.slots)
}

// some draws the trouble's part of a list, one at the least.
func some[T any](p player, all []T) []T {
	list := slices.Clone(all)
	p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(1, int(p.t.Share*float64(len(list))))]
}

func (p player) all() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.servers)
}

// someServers are the servers that the trouble strikes.
func (p player) someServers() []*server {
	return some(p, p.all())
}

// restart ends a mixer, in order or not, and starts it again.
func (p player) restart(s *slot) {
	m := s.present()
	if m == nil || m.over() {
		return
	}
	if p.t.Kind == TermMixers {
		m.term()
	} else {
		m.shoot(true)
	}
	if !p.ending() {
		_ = s.start() // a failure is noted
	}
}

func (p player) pause(end time.Time) {
	for time.Now().Before(end) {
		for _, s := range p.somePlaces() {
			if m := s.present(); m != nil && !m.over() {
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(p.rng.Int64N(int64(pauseMost))))
				m.signal(syscall.SIGCONT)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reload moves discovery to its other address, perhaps twice, perhaps back.
func (p player) reload(s *slot) {
	m := s.present()
	if m == nil || m.over() {
		return
	}
	for range 1 + p.rng.IntN(3) {
		if err := m.Configure(s.addresses[p.rng.IntN(2)]); err != nil {
			p.note("", "%s: %v", m.name, err)
		}
		if p.rng.IntN(4) == 0 { // the signal finds half of it
			if err := m.Tear(time.Duration(p.rng.Int64N(int64(tornMost)))); err != nil {
				p.note("", "%s: %v", m.name, err)
			}
		}
		m.moved()
		m.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(p.rng.Int64N(int64(400 * time.Millisecond))))
	}
}

// drain has a server drain and leave, and another take its place.
func (p player) drain(s *server) {
	p.note("", "server %s drains", s.id)
	p.list.leaves(s.id, "leaving")
	time.Sleep(joinAfter)
	p.replace(s, "")
	time.Sleep(leavingFor)
	s.crash()
	p.list.leaves(s.id, "left")
}

// crash ends a server at once. Another takes its place, or it comes back under its name.
func (p player) crash(s *server) {
	p.note("", "server %s crashes", s.id)
	s.crash()
	if p.t.Kind == ReturnCold {
		time.Sleep(2 * time.Second)
		p.replace(s, s.id)
		return
	}
	time.Sleep(crashKnown)
	p.list.leaves(s.id, "left")
	p.replace(s, "")
}

// replace starts a cold server of the same cell, under a name of its own if none is given.
func (p player) replace(old *server, name string) {
	again := name != ""
	p.mu.Lock()
	i := slices.Index(p.servers, old)
	if p.serial++; !again {
		name = fmt.Sprintf("n%d", p.serial)
	}
	p.mu.Unlock()
	if i < 0 || p.ending() {
		return // another trouble has replaced it
	}
	s, err := p.newServer(name, old.cell, true)
	if err != nil {
		p.note("", "%v", err)
		return
	}
	p.mu.Lock()
	p.servers[i] = s
	p.mu.Unlock()
	p.note("", "server %s starts", name)
	member := s.member(p.list.stamp())
	if again {
		p.list.returns(member)
	} else {
		p.list.Join(member)
	}
}

// failCalls has system calls of mixers fail for moments.
func (p player) failCalls(end time.Time) {
	lists := map[uint32][]unix.Errno{
		callfaults.Accept:  {unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
		callfaults.Connect: {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS},
		callfaults.Socket:  {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
		callfaults.Send:    {unix.ENOBUFS, unix.ENOMEM, unix.EINTR},
		callfaults.Wait:    {unix.EINTR},
	}
	calls := []uint32{callfaults.Accept, callfaults.Connect, callfaults.Socket, callfaults.Send, callfaults.Wait}
	for time.Now().Before(end) {
		for _, s := range p.somePlaces() {
			if m := s.present(); m != nil && !m.over() {
				call := calls[p.rng.IntN(len(calls))]
				length := time.Duration(p.rng.Int64N(int64(faultMost)))
				if call == callfaults.Send { // an answer that can't be written for longer is late
					length /= 3
				}
				m.faults.Fail(call, length, lists[call]...)
			}
		}
		time.Sleep(faultMost)
	}
}
