package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"kiteloft/internal/standin"
	"kiteloft/internal/standin/callfaults"
	"kiteloft/internal/standin/confine"
)

const (
	acceptAfterTerm  = 400 * time.Millisecond // after SIGTERM: clients still open connections for this long
	killMargin       = 700 * time.Millisecond // after SIGTERM, beyond the longest deadline, a process is killed
	excusedAfterTerm = 700 * time.Millisecond // after SIGTERM: requests sent later have to be answered before the kill
	readyLimit       = 10 * time.Second       // from the start of a process until it is ready
	endTime          = 15 * time.Second
	maxSignalPause   = 300 * time.Millisecond // between signals of a series after SIGTERM
	processMemoryMB  = 192                    // a process that takes more is a violation
	processSockets   = 1024                   // descriptors of a process
	memoryInterval   = 50 * time.Millisecond  // between looks at a process's memory
)

// slot is one member of the fleet; its successive processes run one at a time.
type slot struct {
	env       *environment
	number    int
	addresses [2]string // of discovery; a configuration has one of them

	mu         sync.Mutex
	process    *process // the latest that became ready; nil before
	startCount int
}

// process is one process of a mixer.
type process struct {
	*standin.Mixer
	env       *environment
	slot      *slot
	name      string
	startedAt time.Time
	faults    *callfaults.Process

	mu             sync.Mutex
	termSentAt     time.Time   // when SIGTERM was sent; zero: not sent
	endedAt        time.Time   // when SIGKILL was sent or the process ended; zero: it runs
	killed         bool        // by SIGKILL, at once or after SIGTERM
	killedOutright bool        // by SIGKILL without the wait that SIGTERM grants
	auditSeen      bool        // the audit line was logged, the last one of an orderly end
	reconfiguredAt []time.Time // times at which it got new configurations
}

// start starts a process in the slot and waits until it is ready. A failure is also recorded as a violation.
func (s *slot) start() error {
	s.mu.Lock()
	s.startCount++
	name := fmt.Sprintf("m%d.%d", s.number, s.startCount)
	s.mu.Unlock()
	dir := filepath.Join(s.env.o.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	p := &process{env: s.env, slot: s, name: name, startedAt: time.Now()}
	attached := make(chan error, 1)
	go func() {
		var err error
		p.faults, err = callfaults.Attach(dir)
		attached <- err
	}()
	launcher, err := os.Executable()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	cpus, err := confine.AllowedCPUs()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	limits := confine.Limits{CPU: cpus[(int(s.env.o.Seed)+s.number)%len(cpus)], Sockets: processSockets}
	command := limits.Command(launcher, launcher, callfaults.LaunchArgument, s.env.o.Program)
	p.Mixer, err = standin.Start(standin.Setup{Program: command[0], Args: command[1:], Dir: dir,
		Name: fmt.Sprintf("m%d", s.number), Settings: s.env.mixerSettings(), Discovery: s.addresses[0], Known: s.env.catalog.remainingMembers(), Heard: p.handleLogLine})
	if p.Mixer != nil && p.Mixer.Cmd != nil && p.Mixer.Cmd.Process != nil {
		s.env.trackMixer(p.Mixer)
	}
	if err == nil {
		err = <-attached
	}
	if err != nil {
		s.env.recordViolation("start", "", "%s: %v", name, err)
		return err
	}
	if took := time.Since(p.startedAt); took > readyLimit {
		s.env.recordViolation("start", "", "%s was ready after %v", name, took)
	}
	s.env.record("", "%s is ready after %v", name, time.Since(p.startedAt))
	s.mu.Lock()
	s.process = p
	s.mu.Unlock()
	go p.awaitExit()
	go p.watchMemory()
	return nil
}

// acceptingProcess returns the process to which clients may open connections, or nil.
func (s *slot) acceptingProcess() *process {
	s.mu.Lock()
	p := s.process
	s.mu.Unlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endedAt.IsZero() || !p.termSentAt.IsZero() && time.Since(p.termSentAt) > acceptAfterTerm {
		return nil
	}
	return p
}

// currentProcess returns the latest process that became ready, in whatever state, or nil.
func (s *slot) currentProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// discoveryAddresses returns the addresses of discovery that the process may be configured with.
func (p *process) discoveryAddresses() []string { return p.slot.addresses[:] }

// handleLogLine checks a line of the process's log for failed invariants, crashes and the final audit.
func (p *process) handleLogLine(line []byte) {
	text := string(line)
	switch {
	case strings.Contains(text, "VIOLATION"), strings.Contains(text, `"rule":"module"`), strings.HasPrefix(text, "panic:"),
		strings.HasPrefix(text, "runtime:"), strings.HasPrefix(text, "fatal error:"), strings.Contains(text, "SIG"):
		p.env.recordViolation("own-check", "", "%s says %s", p.name, text)
	case strings.Contains(text, "a guard of the core stepped in"):
		p.env.record("", "%s says %s", p.name, text)
	case strings.Contains(text, "mixer has ended"):
		var a struct{ Taken, Ended, Asked, Answered, Deserted, Violations int64 }
		if err := json.Unmarshal(line, &a); err != nil || a.Taken != a.Ended || a.Asked != a.Answered+a.Deserted || a.Violations > 0 {
			p.env.recordViolation("audit", "", "%s says %s", p.name, text)
		}
		p.mu.Lock()
		p.auditSeen = true
		p.mu.Unlock()
	}
}

// awaitExit waits for the end of the process and records a violation if it ended by itself or without its audit.
func (p *process) awaitExit() {
	err := <-p.Exit
	p.mu.Lock()
	termSentAt, endedAt, auditSeen := p.termSentAt, p.endedAt, p.auditSeen
	p.mu.Unlock()
	switch {
	case !endedAt.IsZero():
	case termSentAt.IsZero():
		p.env.recordViolation("crash", "", "%s ended by itself: %v; its log:\n%s", p.name, err, lastLines(p.Logs()))
	case err != nil || !auditSeen:
		p.env.recordViolation("crash", "", "%s ended with %v after SIGTERM, last line seen: %v; its log:\n%s", p.name, err, auditSeen, lastLines(p.Logs()))
	default:
		p.env.record("", "%s has ended", p.name)
	}
	p.mu.Lock()
	if p.endedAt.IsZero() {
		p.endedAt = time.Now()
	}
	p.mu.Unlock()
}

// lastLines joins at most the last 20 lines.
func lastLines(lines []string) string { return strings.Join(lines[max(0, len(lines)-20):], "\n") }

// terminate sends SIGTERM, more signals after it in one of two cases, and SIGKILL at the earliest time
// that the platform may.
func (p *process) terminate() {
	p.mu.Lock()
	p.termSentAt = time.Now()
	p.mu.Unlock()
	p.env.record("", "%s is told to end", p.name)
	_ = p.Cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
	if p.env.randomBelow(2) == 0 {
		p.env.spawn(p.signalInSeries)
	}
	for until := p.termSentAt.Add(p.env.killAfter()); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if p.hasEnded() {
			return
		}
	}
	p.kill(false)
}

// signalInSeries sends further signals to a process that has been told to end.
func (p *process) signalInSeries() {
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		time.Sleep(time.Duration(p.env.randomBelow(int(maxSignalPause))))
		p.signal(sig)
	}
}

// watchMemory records a violation if the process takes more memory than it may.
func (p *process) watchMemory() {
	for ; !p.hasEnded(); time.Sleep(memoryInterval) {
		if kb := confine.ResidentKB(p.Cmd.Process.Pid); kb > processMemoryMB<<10 {
			p.env.recordViolation("memory", "", "%s takes %d KB", p.name, kb)
			return
		}
	}
}

// kill sends SIGKILL unless the process has ended. Outright says that it was not told to end before.
func (p *process) kill(outright bool) {
	p.mu.Lock()
	if !p.endedAt.IsZero() {
		p.mu.Unlock()
		return
	}
	p.endedAt, p.killedOutright, p.killed = time.Now(), outright, true
	p.mu.Unlock()
	p.env.record("", "%s is killed", p.name)
	p.Kill()
}

// hasEnded reports whether the process has ended or was killed.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero()
}

// wasKilled reports whether SIGKILL was sent. Connections open at that time were cut by the kill, not closed by the
// mixer while a request was under way to it.
func (p *process) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// mayRefuseConnections reports whether the process is ending or has ended, and so may refuse connections.
func (p *process) mayRefuseConnections() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.termSentAt.IsZero() || !p.endedAt.IsZero() || p.env.hasEnded()
}

// mayLose reports whether a request may be lost with the process. That holds if it was killed outright, or killed
// after it was told to end and the request was sent at most excusedAfterTerm after SIGTERM.
func (p *process) mayLose(r *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killedOutright || p.env.hasEnded() {
		return true
	}
	return !p.termSentAt.IsZero() && !p.endedAt.IsZero() && p.endedAt.Sub(p.termSentAt) >= p.env.killAfter()-tolerance && r.sentAt.Sub(p.termSentAt) <= excusedAfterTerm
}

// reconfiguredBy returns from, or, if a reconfiguration came less than reconfigurationGrace before it, the end of
// that grace period: only then does a change known at from count as known to the process.
func (p *process) reconfiguredBy(from time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.reconfiguredAt {
		if !from.Before(at) && from.Before(at.Add(reconfigurationGrace)) {
			from = at.Add(reconfigurationGrace)
		}
	}
	return from
}

// recordReconfiguration records that the process gets a new configuration now.
func (p *process) recordReconfiguration() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reconfiguredAt = append(p.reconfiguredAt, time.Now())
}

// signal sends a signal unless the process has ended.
func (p *process) signal(sig syscall.Signal) {
	if !p.hasEnded() {
		_ = p.Cmd.Process.Signal(sig) // it may have ended
	}
}
