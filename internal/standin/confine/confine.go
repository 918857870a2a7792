// Package confine runs a process under the limits that the platform gives a mixer: one processor
// core, a share of its time, a number of descriptors and an amount of memory. It needs no special
// privileges. Only tests and the soak use it.
package confine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// First arguments of a program that calls Launch.
const (
	launchArgument  = "launch-with-limits" // execute the command in the remaining arguments
	enforceArgument = "enforce-limits"     // be the process of a Watch
)

const (
	cpuInterval    = time.Millisecond      // between looks at the CPU time that a process has used
	cpuBurst       = 10 * time.Millisecond // CPU time that a process may use at once after it was idle
	memoryInterval = 5 * time.Millisecond  // between looks at a process's resident memory
)

// Limits are those of one process and its threads.
type Limits struct {
	CPU      int     // number of the core that it runs on
	Cores    float64 // share of that core's time, at most; 0: all of it
	Sockets  int     // descriptors
	MemoryMB int     // resident memory; above it the process is killed
}

// Command returns the command that runs another one under l.CPU and l.Sockets, by a program that
// calls Launch.
func (l Limits) Command(launcher string, command ...string) []string {
	return append([]string{launcher, launchArgument, strconv.Itoa(l.CPU), strconv.Itoa(l.Sockets)}, command...)
}

// AllowedCPUs returns the numbers of the cores that this process may run on.
func AllowedCPUs() (list []int, err error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, fmt.Errorf("confine: %w", err)
	}
	for cpu := range len(set) * 64 {
		if set.IsSet(cpu) {
			list = append(list, cpu)
		}
	}
	return list, nil
}

// Launch does what the first of the arguments of a process says, if Limits.Command or NewWatch made
// them, and returns if not. It replaces the process, or exits: with status 70 after an error.
func Launch(args []string) {
	var err error
	switch {
	case len(args) >= 4 && args[0] == launchArgument:
		runtime.LockOSThread() // the core is set for the calling thread, which executes the command
		err = launch(args[1], args[2], args[3:])
	case len(args) == 4 && args[0] == enforceArgument:
		err = enforce(args[1:])
	default:
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "confine:", err)
		os.Exit(70)
	}
	os.Exit(0)
}

func launch(cpu, sockets string, command []string) error {
	core, err := strconv.Atoi(cpu)
	if err != nil {
		return fmt.Errorf("core: %w", err)
	}
	files, err := strconv.ParseUint(sockets, 10, 32)
	if err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	var set unix.CPUSet
	set.Set(core)
	if err := unix.SchedSetaffinity(0, &set); err != nil {
		return fmt.Errorf("setting the core: %w", err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: files, Max: files}); err != nil {
		return fmt.Errorf("setting the limit of descriptors: %w", err)
	}
	return unix.Exec(command[0], command, os.Environ())
}

// Watch enforces the share of CPU time and the memory limit of a running process, as the platform
// does, until Stop is called or the process has ended. It does so in a process of its own, which is
// not held up by what its caller does.
type Watch struct {
	enforcer *exec.Cmd
	stop     io.Closer // the enforcer's standard input
	output   bytes.Buffer
}

// findings are what an enforcer reports when it ends.
type findings struct {
	PeakKB int64 // largest resident memory that was seen
	Killed bool  // for its memory
}

// NewWatch begins to enforce the limits of a process, by a launcher that calls Launch.
func NewWatch(launcher string, pid int, l Limits) (*Watch, error) {
	w := &Watch{enforcer: exec.Command(launcher, enforceArgument, strconv.Itoa(pid), fmt.Sprint(l.Cores), strconv.Itoa(l.MemoryMB))}
	var err error
	if w.stop, err = w.enforcer.StdinPipe(); err != nil {
		return nil, fmt.Errorf("confine: %w", err)
	}
	w.enforcer.Stdout, w.enforcer.Stderr = &w.output, os.Stderr
	if err := w.enforcer.Start(); err != nil {
		return nil, fmt.Errorf("confine: %w", err)
	}
	return w, nil
}

// Stop ends the enforcement. It returns the largest resident memory that was seen, in KB, and whether
// the process was killed for it. It may be called once.
func (w *Watch) Stop() (peakKB int64, killed bool, err error) {
	_ = w.stop.Close() // the enforcer may have ended
	if err := w.enforcer.Wait(); err != nil {
		return 0, false, fmt.Errorf("confine: %w", err)
	}
	var f findings
	if err := json.Unmarshal(w.output.Bytes(), &f); err != nil {
		return 0, false, fmt.Errorf("confine: %w", err)
	}
	return f.PeakKB, f.Killed, nil
}

// enforcer is the process of a Watch.
type enforcer struct {
	pid    int
	limits Limits
	stop   chan struct{}
	findings
}

// enforce runs an enforcer with the arguments that NewWatch gives it, until its standard input ends.
func enforce(args []string) error {
	e := enforcer{stop: make(chan struct{})}
	var err error
	if e.pid, err = strconv.Atoi(args[0]); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	if e.limits.Cores, err = strconv.ParseFloat(args[1], 64); err != nil {
		return fmt.Errorf("share: %w", err)
	}
	if e.limits.MemoryMB, err = strconv.Atoi(args[2]); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	var running sync.WaitGroup
	if e.limits.Cores > 0 {
		running.Go(e.limitCPU)
	}
	if e.limits.MemoryMB > 0 {
		running.Go(e.limitMemory)
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // its end, in whatever way, is the signal
	close(e.stop)
	running.Wait()
	return json.NewEncoder(os.Stdout).Encode(e.findings)
}

// limitCPU stops the process whenever it has used its share, and continues it when it has time again.
func (e *enforcer) limitCPU() {
	defer func() { _ = unix.Kill(e.pid, unix.SIGCONT) }() // the process may have ended
	last, used := time.Now(), e.cpuTime()
	allowance, stopped := cpuBurst, false
	for e.sleep(cpuInterval) {
		now, total := time.Now(), e.cpuTime()
		allowance += time.Duration(e.limits.Cores*float64(now.Sub(last))) - (total - used)
		allowance = min(allowance, cpuBurst)
		last, used = now, total
		if over := allowance < 0; over != stopped {
			signal := unix.SIGCONT
			if over {
				signal = unix.SIGSTOP
			}
			if unix.Kill(e.pid, signal) != nil {
				return // the process has ended
			}
			stopped = over
		}
	}
}

// cpuTime returns the CPU time that the process has used; 0 if it has ended.
func (e *enforcer) cpuTime() time.Duration {
	var t unix.Timespec
	processClock := int32(^e.pid<<3 | 2) // as clock_getcpuclockid makes it
	if unix.ClockGettime(processClock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (e *enforcer) limitMemory() {
	for e.sleep(memoryInterval) {
		kb := ResidentKB(e.pid)
		e.PeakKB = max(e.PeakKB, kb)
		if kb > int64(e.limits.MemoryMB)<<10 {
			e.Killed = true
			_ = unix.Kill(e.pid, unix.SIGKILL) // the process may have ended
			return
		}
	}
}

// sleep waits, and reports whether the enforcement goes on.
func (e *enforcer) sleep(d time.Duration) bool {
	select {
	case <-e.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// ResidentKB returns the resident memory of a process in KB; 0 if it has ended.
func ResidentKB(pid int) int64 { return statusKB(pid, "VmRSS:") }

// ProgramKB returns the part of ResidentKB that is the program and its libraries.
func ProgramKB(pid int) int64 { return statusKB(pid, "RssFile:") }

// statusKB returns a field of a process's status; 0 if it has ended.
func statusKB(pid int, field string) int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if s, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.ParseInt(strings.Fields(s)[0], 10, 64)
			return n
		}
	}
	return 0
}
