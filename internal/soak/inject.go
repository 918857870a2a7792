package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kiteloft/internal/standin/callfaults"
)

const (
	maxPause            = 140 * time.Millisecond // below the 0.15 s for which a mixer may be held up
	crashDetectionDelay = time.Second            // from a crash until discovery lists the server as left
	drainDuration       = 10 * time.Second       // from the start of the replacement until a draining server ends
	replacementDelay    = time.Second            // from the start of a drain until the replacement starts
	maxTornWrite        = 300 * time.Millisecond // for which a configuration file stays half written
	maxDiscoveryDelay   = 3 * time.Second        // delay of an answer of discovery
	maxCallFault        = 300 * time.Millisecond // for which a system call fails
)

// injector injects one trouble into the environment.
type injector struct {
	*environment
	trouble Trouble
	rng     *rand.Rand
}

// runTrouble waits until a trouble is due, injects it, and counts it as active until its end.
func (env *environment) runTrouble(number int, t Trouble) {
	time.Sleep(time.Until(env.startedAt.Add(t.At)))
	env.record("", "trouble %d begins: %v", number, t)
	env.mu.Lock()
	env.activeTroubles[t.Kind]++
	env.mu.Unlock()
	inj := injector{env, t, rand.New(rand.NewPCG(t.Seed, 4))}
	inj.inject()
	time.Sleep(time.Until(env.startedAt.Add(t.At + t.Length)))
	env.mu.Lock()
	env.activeTroubles[t.Kind]--
	env.mu.Unlock()
	env.record("", "trouble %d is over: %v", number, t.Kind)
}

// inject starts the trouble's effects. Some end by themselves, some in a task at the trouble's end.
func (inj injector) inject() {
	end := time.Now().Add(inj.trouble.Length)
	switch inj.trouble.Kind {
	case TermMixers, KillMixers:
		for _, s := range inj.affectedSlots() {
			inj.spawn(func() { inj.restartMixer(s) })
		}
	case PauseMixers:
		inj.pauseMixers(end)
	case ReloadMixers:
		for _, s := range inj.affectedSlots() {
			inj.reloadMixer(s)
		}
	case DiscoveryDown:
		inj.catalog.recordOutage(inj.trouble.Length)
		inj.catalog.SetDown(true)
		inj.atEnd(func() { inj.catalog.SetDown(false) })
	case DiscoverySilent:
		inj.catalog.recordOutage(inj.trouble.Length)
		inj.catalog.recordWatchSilence() // open watches get nothing from now on
		inj.catalog.Hold(true)
		inj.atEnd(func() { inj.catalog.Hold(false); inj.catalog.recordWatchSilence(); inj.catalog.Mute() })
	case WatchesSilent:
		inj.catalog.recordWatchSilence()
		inj.catalog.Mute()
	case WatchesCut:
		inj.catalog.Cut()
	case DiscoveryCrowded:
		inj.catalog.recordOutage(inj.trouble.Length)
		inj.catalog.SetFailing(4)
		inj.atEnd(func() { inj.catalog.SetFailing(0) })
	case DiscoverySlow:
		if inj.catalog.pushMode {
			return // in push mode the agent is local to the mixer and answers without delay
		}
		inj.catalog.SetSlow(time.Duration(inj.rng.Int64N(int64(maxDiscoveryDelay))))
		inj.atEnd(func() { inj.catalog.SetSlow(0) })
	case DrainServers:
		for _, s := range inj.affectedServers() {
			inj.spawn(func() { inj.drainServer(s) })
		}
	case CrashServers, ReturnCold:
		for _, s := range inj.affectedServers() {
			inj.spawn(func() { inj.crash(s) })
		}
	case HangServers:
		for _, s := range inj.affectedServers() {
			s.update(func(s *server) { s.hangEnd = end })
		}
	case HangAll:
		for _, s := range inj.allServers() {
			s.update(func(s *server) { s.hangEnd = end })
		}
	case ResetLinks:
		for time.Now().Before(end) {
			for _, s := range inj.affectedServers() {
				s.resetConnections()
			}
			time.Sleep(200 * time.Millisecond)
		}
	case CloseIdle:
		for _, s := range inj.allServers() {
			s.update(func(s *server) { s.idleCloseEnd = end })
		}
	case SpoilAnswers:
		for _, s := range inj.affectedServers() {
			s.update(func(s *server) { s.spoils = end })
		}
	case DeafServers:
		for _, s := range inj.affectedServers() {
			s.update(func(s *server) { s.deafEnd = end })
		}
	case ClockStep:
		inj.catalog.stepClocks([]time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[inj.rng.IntN(4)])
	case CallFaults:
		inj.failSystemCalls(end)
	case ClientsFullSpeed:
		inj.sendAtFullSpeed(end)
	}
}

// fullSpeedClients is how many clients send to one mixer at full speed.
const fullSpeedClients = 6

// sendAtFullSpeed has a few clients of one mixer send small requests at full speed.
func (inj injector) sendAtFullSpeed(end time.Time) {
	requests := []string{
		"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /none HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /lookup HTTP/1.1\r\nHost: a\r\nReq-Id: a\r\nReq-Deadline-Ms: 100\r\nContent-Length: 2\r\n\r\n{}",
	}
	text := requests[inj.rng.IntN(len(requests))]
	batch := []int{1, 20, 1000}[inj.rng.IntN(3)]
	s := inj.affectedSlots()[0]
	for range fullSpeedClients {
		inj.spawn(func() { s.sendAtFullSpeed(strings.Repeat(text, batch), end) })
	}
}

// atEnd calls fn after the trouble's length.
func (inj injector) atEnd(fn func()) { inj.spawn(func() { time.Sleep(inj.trouble.Length); fn() }) }

// affectedSlots draws the slots of the mixers that the trouble affects; each call draws anew.
func (inj injector) affectedSlots() []*slot {
	return drawAffected(inj, inj.slots)
}

// drawAffected draws the trouble's share of a list, at least one element.
func drawAffected[T any](inj injector, all []T) []T {
	list := slices.Clone(all)
	inj.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(1, int(inj.trouble.Share*float64(len(list))))]
}

// allServers returns a copy of the list of current servers.
func (inj injector) allServers() []*server {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return slices.Clone(inj.servers)
}

// affectedServers draws the servers that the trouble affects; each call draws anew.
func (inj injector) affectedServers() []*server {
	return drawAffected(inj, inj.allServers())
}

// restartMixer ends a mixer, by SIGTERM or SIGKILL depending on the kind of trouble, and starts it again.
func (inj injector) restartMixer(s *slot) {
	m := s.currentProcess()
	if m == nil || m.hasEnded() {
		return
	}
	if inj.trouble.Kind == TermMixers {
		m.terminate()
	} else {
		m.kill(true)
	}
	if !inj.clientsStopping() {
		_ = s.start() // start records a failure as a violation
	}
}

// pauseMixers stops and continues mixers one after the other until end.
func (inj injector) pauseMixers(end time.Time) {
	for time.Now().Before(end) {
		for _, s := range inj.affectedSlots() {
			if m := s.currentProcess(); m != nil && !m.hasEnded() {
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(inj.rng.Int64N(int64(maxPause))))
				m.signal(syscall.SIGCONT)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reloadMixer gives a mixer one to three new configurations, each with one of its two discovery addresses at
// random, possibly the present one.
func (inj injector) reloadMixer(s *slot) {
	m := s.currentProcess()
	if m == nil || m.hasEnded() {
		return
	}
	for range 1 + inj.rng.IntN(3) {
		if err := m.Configure(s.addresses[inj.rng.IntN(2)]); err != nil {
			inj.record("", "%s: %v", m.name, err)
		}
		if inj.rng.IntN(4) == 0 { // the mixer reads a partly written file at SIGHUP
			if err := m.Tear(time.Duration(inj.rng.Int64N(int64(maxTornWrite)))); err != nil {
				inj.record("", "%s: %v", m.name, err)
			}
		}
		m.recordReconfiguration()
		m.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(inj.rng.Int64N(int64(400 * time.Millisecond))))
	}
}

// drainServer drains a server, starts its replacement, and ends the server.
func (inj injector) drainServer(s *server) {
	inj.record("", "server %s drains", s.id)
	inj.catalog.announceDeparture(s.id, "leaving")
	time.Sleep(replacementDelay)
	inj.replaceServer(s, "")
	time.Sleep(drainDuration)
	s.crash()
	inj.catalog.announceDeparture(s.id, "left")
}

// crash ends a server at once. A replacement starts, or the server returns under its ID.
func (inj injector) crash(s *server) {
	inj.record("", "server %s crashes", s.id)
	s.crash()
	if inj.trouble.Kind == ReturnCold {
		time.Sleep(2 * time.Second)
		inj.replaceServer(s, s.id)
		return
	}
	time.Sleep(crashDetectionDelay)
	inj.catalog.announceDeparture(s.id, "left")
	inj.replaceServer(s, "")
}

// replaceServer starts a cold server of the same cell in place of old. An empty name stands for a new one.
func (inj injector) replaceServer(old *server, name string) {
	again := name != ""
	inj.mu.Lock()
	i := slices.Index(inj.servers, old)
	if inj.lastServerNumber++; !again {
		name = fmt.Sprintf("n%d", inj.lastServerNumber)
	}
	inj.mu.Unlock()
	if i < 0 || inj.clientsStopping() {
		return // another trouble has replaced the server, or the run ends
	}
	s, err := inj.newServer(name, old.cell, true)
	if err != nil {
		inj.record("", "%v", err)
		return
	}
	inj.mu.Lock()
	inj.servers[i] = s
	inj.mu.Unlock()
	inj.record("", "server %s starts", name)
	member := s.member(inj.catalog.wallClockMillis())
	if again {
		inj.catalog.announceReturn(member)
	} else {
		inj.catalog.Join(member)
	}
}

// failSystemCalls makes system calls of mixers fail with errors that the kernel may return, until end.
func (inj injector) failSystemCalls(end time.Time) {
	lists := map[uint32][]unix.Errno{
		callfaults.Accept:  {unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
		callfaults.Connect: {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS},
		callfaults.Socket:  {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
		callfaults.Send:    {unix.ENOBUFS, unix.ENOMEM, unix.EINTR},
		callfaults.Wait:    {unix.EINTR},
	}
	calls := []uint32{callfaults.Accept, callfaults.Connect, callfaults.Socket, callfaults.Send, callfaults.Wait}
	for time.Now().Before(end) {
		for _, s := range inj.affectedSlots() {
			if m := s.currentProcess(); m != nil && !m.hasEnded() {
				call := calls[inj.rng.IntN(len(calls))]
				length := time.Duration(inj.rng.Int64N(int64(maxCallFault)))
				if call == callfaults.Send { // a longer failure would delay answers beyond their deadlines
					length /= 3
				}
				m.faults.Fail(call, length, lists[call]...)
			}
		}
		time.Sleep(maxCallFault)
	}
}
