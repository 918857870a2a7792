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
	comeOn    = 400 * time.Millisecond  // for which new connections come after SIGTERM
	killAfter = 3700 * time.Millisecond // after SIGTERM: the longest deadline, at most 3 s, and 0.7 s
	takenLast = 700 * time.Millisecond  // after SIGTERM: what comes later has to be answered before the kill
	readyTime = 10 * time.Second
	endTime   = 15 * time.Second
)

// slot is a mixer's place in the fleet, which one process after another fills.
type slot struct {
	w         *world
	number    int
	addresses [2]string // of discovery

	mu      sync.Mutex
	process *process // nil: none is there
	starts  int
}

// process is one run of a mixer.
type process struct {
	*standin.Mixer
	w      *world
	slot   *slot
	name   string
	began  time.Time
	faults *callfaults.Process

	mu     sync.Mutex
	told   time.Time   // of SIGTERM
	shot   time.Time   // of SIGKILL
	killed bool        // by us
	struck bool        // killed outright
	audit  bool        // its last line has come
	moves  []time.Time // when it got new configurations
}

// start starts a process in the slot and waits until it is ready.
func (s *slot) start() error {
	s.mu.Lock()
	s.starts++
	name := fmt.Sprintf("m%d.%d", s.number, s.starts)
	s.mu.Unlock()
	dir := filepath.Join(s.w.o.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	p := &process{w: s.w, slot: s, name: name, began: time.Now()}
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
	p.Mixer, err = standin.Start(standin.Setup{Program: launcher, Args: []string{callfaults.LaunchArgument, s.w.o.Program}, Dir: dir,
		Name: fmt.Sprintf("m%d", s.number), Settings: s.w.settings(), Discovery: s.addresses[0], Known: s.w.list.present(), Heard: p.heard})
	if p.Mixer != nil && p.Mixer.Cmd != nil && p.Mixer.Cmd.Process != nil {
		s.w.own(p.Mixer)
	}
	if err == nil {
		err = <-attached
	}
	if err != nil {
		s.w.broken("start", "", "%s: %v", name, err)
		return err
	}
	if took := time.Since(p.began); took > readyTime {
		s.w.broken("start", "", "%s was ready after %v", name, took)
	}
	s.w.note("", "%s is ready after %v", name, time.Since(p.began))
	s.mu.Lock()
	s.process = p
	s.mu.Unlock()
	go p.watch()
	return nil
}

// takes is the process that takes new connections; nil: there is none.
func (s *slot) takes() *process {
	s.mu.Lock()
	p := s.process
	s.mu.Unlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shot.IsZero() || !p.told.IsZero() && time.Since(p.told) > comeOn {
		return nil
	}
	return p
}

// present is the process that is there, whatever it does; nil: there is none.
func (s *slot) present() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// discoveries are the addresses at which the process may ask.
func (p *process) discoveries() []string { return p.slot.addresses[:] }

// heard looks at each line of the log.
func (p *process) heard(line []byte) {
	text := string(line)
	switch {
	case strings.Contains(text, "VIOLATION"), strings.Contains(text, `"rule":"module"`), strings.HasPrefix(text, "panic:"),
		strings.HasPrefix(text, "fatal error:"), strings.Contains(text, "SIG"):
		p.w.broken("own-check", "", "%s says %s", p.name, text)
	case strings.Contains(text, "a guard of the core stepped in"):
		p.w.note("", "%s says %s", p.name, text)
	case strings.Contains(text, "mixer has ended"):
		var a struct{ Taken, Ended, Asked, Answered, Deserted, Violations int64 }
		if err := json.Unmarshal(line, &a); err != nil || a.Taken != a.Ended || a.Asked != a.Answered+a.Deserted || a.Violations > 0 {
			p.w.broken("audit", "", "%s says %s", p.name, text)
		}
		p.mu.Lock()
		p.audit = true
		p.mu.Unlock()
	}
}

// watch notes how the process ends.
func (p *process) watch() {
	err := <-p.Exit
	p.mu.Lock()
	told, shot, audit := p.told, p.shot, p.audit
	p.mu.Unlock()
	switch {
	case !shot.IsZero():
	case told.IsZero():
		p.w.broken("crash", "", "%s ended by itself: %v; its log:\n%s", p.name, err, tail(p.Logs()))
	case err != nil || !audit:
		p.w.broken("crash", "", "%s ended with %v after SIGTERM, last line seen: %v; its log:\n%s", p.name, err, audit, tail(p.Logs()))
	default:
		p.w.note("", "%s has ended", p.name)
	}
	p.mu.Lock()
	if p.shot.IsZero() {
		p.shot = time.Now()
	}
	p.mu.Unlock()
}

func tail(lines []string) string { return strings.Join(lines[max(0, len(lines)-20):], "\n") }

// term tells the process to end, and kills it when its time is over.
func (p *process) term() {
	p.mu.Lock()
	p.told = time.Now()
	p.mu.Unlock()
	p.w.note("", "%s is told to end", p.name)
	_ = p.Cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	for until := p.told.Add(killAfter); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if p.over() {
			return
		}
	}
	p.shoot(false)
}

// shoot kills the process: outright, or at the end of its time.
func (p *process) shoot(outright bool) {
	p.mu.Lock()
	if !p.shot.IsZero() {
		p.mu.Unlock()
		return
	}
	p.shot, p.struck, p.killed = time.Now(), outright, true
	p.mu.Unlock()
	p.w.note("", "%s is killed", p.name)
	p.Kill()
}

// over tells whether the process has ended or was killed.
func (p *process) over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.shot.IsZero()
}

// shotDown tells whether it was killed, outright or when its time was over: what was open then has
// not crossed a close of its own.
func (p *process) shotDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// mayRefuse tells whether the process may turn away connections: it ends.
func (p *process) mayRefuse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.told.IsZero() || !p.shot.IsZero() || p.w.over()
}

// excuses tells whether a request may have gone down with the process: that was killed outright,
// or when its time was over and the request had come soon after it was told to end.
func (p *process) excuses(r *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.struck || p.w.over() {
		return true
	}
	return !p.told.IsZero() && !p.shot.IsZero() && p.shot.Sub(p.told) >= killAfter-tolerance && r.sent.Sub(p.told) <= takenLast
}

// settled is from when on what was there at a moment counts as told, as far as new configurations go.
func (p *process) settled(from time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.moves {
		if !from.Before(at) && from.Before(at.Add(movedTime)) {
			from = at.Add(movedTime)
		}
	}
	return from
}

// moved notes a new configuration.
func (p *process) moved() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moves = append(p.moves, time.Now())
}

// signal sends a signal, if the process is there.
func (p *process) signal(sig syscall.Signal) {
	if !p.over() {
		_ = p.Cmd.Process.Signal(sig) // it may have ended
	}
}
