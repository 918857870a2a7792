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
)

const (
	acceptAfterTerm  = 400 * time.Millisecond  // for which new connections come after SIGTERM
	killAfter        = 3700 * time.Millisecond // after SIGTERM: the longest deadline, at most 3 s, and 0.7 s
	excusedAfterTerm = 700 * time.Millisecond  // after SIGTERM: what comes later has to be answered before the kill
	readyLimit       = 10 * time.Second
	endTime          = 15 * time.Second
)

// slot is a mixer's place in the fleet, which one process after another fills.
type slot struct {
	env       *environment
	number    int
	addresses [2]string // of discovery

	mu         sync.Mutex
	process    *process // nil: none is there
	startCount int
}

// process is one run of a mixer.
type process struct {
	*standin.Mixer
	env       *environment
	slot      *slot
	name      string
	startedAt time.Time
	faults    *callfaults.Process

	mu             sync.Mutex
	termSentAt     time.Time   // of SIGTERM
	endedAt        time.Time   // of SIGKILL
	killed         bool        // by us
	killedOutright bool        // killed outright
	auditSeen      bool        // its last line has come
	reconfiguredAt []time.Time // when it got new configurations
}

// start starts a process in the slot and waits until it is ready.
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
	p.Mixer, err = standin.Start(standin.Setup{Program: launcher, Args: []string{callfaults.LaunchArgument, s.env.o.Program}, Dir: dir,
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
	return nil
}

// takes is the process that takes new connections; nil: there is none.
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

// present is the process that is there, whatever it does; nil: there is none.
func (s *slot) currentProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// discoveries are the addresses at which the process may ask.
func (p *process) discoveryAddresses() []string { return p.slot.addresses[:] }

// heard looks at each line of the log.
func (p *process) handleLogLine(line []byte) {
	text := string(line)
	switch {
	case strings.Contains(text, "VIOLATION"), strings.Contains(text, `"rule":"module"`), strings.HasPrefix(text, "panic:"),
		strings.HasPrefix(text, "fatal error:"), strings.Contains(text, "SIG"):
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

// watch notes how the process ends.
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

func lastLines(lines []string) string { return strings.Join(lines[max(0, len(lines)-20):], "\n") }

// term tells the process to end, and kills it when its time is over.
func (p *process) terminate() {
	p.mu.Lock()
	p.termSentAt = time.Now()
	p.mu.Unlock()
	p.env.record("", "%s is told to end", p.name)
	_ = p.Cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	for until := p.termSentAt.Add(killAfter); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if p.hasEnded() {
			return
		}
	}
	p.kill(false)
}

// shoot kills the process: outright, or at the end of its time.
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

// over tells whether the process has ended or was killed.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero()
}

// shotDown tells whether it was killed, outright or when its time was over: what was open then has
// not crossed a close of its own.
func (p *process) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// mayRefuse tells whether the process may turn away connections: it ends.
func (p *process) mayRefuseConnections() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.termSentAt.IsZero() || !p.endedAt.IsZero() || p.env.hasEnded()
}

// excuses tells whether a request may have gone down with the process: that was killed outright,
// or when its time was over and the request had come soon after it was told to end.
func (p *process) mayLose(r *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killedOutright || p.env.hasEnded() {
		return true
	}
	return !p.termSentAt.IsZero() && !p.endedAt.IsZero() && p.endedAt.Sub(p.termSentAt) >= killAfter-tolerance && r.sentAt.Sub(p.termSentAt) <= excusedAfterTerm
}

// settled is from when on what was there at a moment counts as told, as far as new configurations go.
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

// moved notes a new configuration.
func (p *process) recordReconfiguration() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reconfiguredAt = append(p.reconfiguredAt, time.Now())
}

// signal sends a signal, if the process is there.
func (p *process) signal(sig syscall.Signal) {
	if !p.hasEnded() {
		_ = p.Cmd.Process.Signal(sig) // it may have ended
	}
}
