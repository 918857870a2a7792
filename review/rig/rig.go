//go:build review

// Package rig starts the mixers of a review case with the command of the deploy file, writes the
// case's record, and ends every process that the case started.
package rig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"kiteloft/internal/standin"
)

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// maxRun is how long a case may take; after it, the case ends as one that could not run.
const maxRun = 115 * time.Second

var runLine = regexp.MustCompile(`(?m)^run *= *"(.*)"`)

// Rig is one run of a case.
type Rig struct {
	Trouble bool // the case's disruption takes place

	root, dir, command string
	began              time.Time
	mu                 sync.Mutex
	record             *os.File
	mixers             []*standin.Mixer
	over               sync.Once
}

// New begins a run. It is called from the root of the repository; the record goes into the folder.
func New(folder string) *Rig {
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	root, err := os.Getwd()
	r.Need(err)
	r.root = root
	r.record, err = os.Create(filepath.Join(folder, "record.txt"))
	r.Need(err)
	text, err := os.ReadFile("deploy/balancer.toml")
	r.Need(err)
	found := runLine.FindSubmatch(text)
	if found == nil {
		r.Need(errors.New("deploy/balancer.toml has no line run"))
	}
	r.command = string(found[1])
	r.dir, err = os.MkdirTemp("", "review-")
	r.Need(err)
	time.AfterFunc(maxRun, func() { r.End(NotRun, "the case took too long") })
	r.Say("the disruption takes place: %v; command of the deploy file: %s", r.Trouble, r.command)
	return r
}

// Say writes a line into the record, behind the time since the begin.
func (r *Rig) Say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	if r.record != nil {
		_, _ = fmt.Fprintln(r.record, line)
	}
}

// Need ends a case that can't run because of an error.
func (r *Rig) Need(err error) {
	if err != nil {
		r.End(NotRun, err.Error())
	}
}

// Dir returns a folder of the run's own.
func (r *Rig) Dir(name string) string {
	path := filepath.Join(r.dir, name)
	r.Need(os.MkdirAll(path, 0o755))
	return path
}

// Start starts a mixer by the deploy file's command, in a folder that looks like the root of the
// repository but for deploy/broker.toml, and waits until it is ready.
func (r *Rig) Start(s standin.Setup) *standin.Mixer {
	s.Dir = r.Dir(s.Name)
	if err := os.Symlink(filepath.Join(r.root, "bin"), filepath.Join(s.Dir, "bin")); err != nil && !errors.Is(err, os.ErrExist) {
		r.Need(err)
	}
	s.Program, s.Args = "/bin/sh", []string{"-c", r.command}
	m, err := standin.Start(s)
	r.mu.Lock()
	if m != nil && m.Cmd != nil {
		r.mixers = append(r.mixers, m)
	}
	r.mu.Unlock()
	r.Need(err)
	r.Say("mixer %s runs as process %d, listens at %s", s.Name, m.Cmd.Process.Pid, m.Listen())
	return m
}

// Terminate sends a mixer SIGTERM, waits until it has ended and returns how. After the time it
// sends SIGKILL, as the platform does.
func (r *Rig) Terminate(m *standin.Mixer, kill time.Duration) (string, bool) {
	_ = m.Cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case err := <-m.Exit:
		m.Exit <- err
		return fmt.Sprint(err), err == nil
	case <-time.After(kill):
		m.Kill()
		return "SIGKILL", false
	}
}

// End ends all processes, says the result and exits.
func (r *Rig) End(code int, why string) {
	r.over.Do(func() {
		r.mu.Lock()
		list := r.mixers
		r.mu.Unlock()
		for _, m := range list {
			m.Kill()
		}
		for _, m := range list {
			select {
			case <-m.Exit:
			case <-time.After(5 * time.Second):
			}
		}
		result := map[int]string{Held: "held", Broken: "BROKEN", NotRun: "could not run"}[code]
		r.Say("result: %s: %s", result, why)
		fmt.Printf("%s: %s\n", result, why)
		_ = os.RemoveAll(r.dir) // the system's temporary folder is cleaned by others
		os.Exit(code)
	})
	select {} // another goroutine ends the case
}
