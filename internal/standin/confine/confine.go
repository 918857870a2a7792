// Package confine runs a process under the limits that the platform gives a mixer: one processor
// core, a share of its time, a number of descriptors and an amount of memory. It needs no special
// privileges. Only tests and the soak use it.
package confine

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// LaunchArgument is the first argument that makes a program that calls Launch execute the command
// in the remaining arguments under limits.
const LaunchArgument = "launch-with-limits"

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
	return append([]string{launcher, LaunchArgument, strconv.Itoa(l.CPU), strconv.Itoa(l.Sockets)}, command...)
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

// Launch replaces this process by a command of Limits.Command, and returns if they are not one. It exits
// with status 70 if that fails.
func Launch(args []string) {
	if len(args) < 4 || args[0] != LaunchArgument {
		return
	}
	runtime.LockOSThread() // the core is set for the calling thread, which executes the command
	err := launch(args[1], args[2], args[3:])
	fmt.Fprintln(os.Stderr, "confine:", err)
	os.Exit(70)
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
// does, until Stop is called or the process has ended.
type Watch struct {
	pid     int
	limits  Limits
	stop    chan struct{}
	running sync.WaitGroup
	peakKB  atomic.Int64
	killed  atomic.Bool
}

// NewWatch begins to enforce the limits of a process.
func NewWatch(pid int, l Limits) *Watch {
	w := &Watch{pid: pid, limits: l, stop: make(chan struct{})}
	if l.Cores > 0 {
		w.running.Go(w.limitCPU)
	}
	if l.MemoryMB > 0 {
		w.running.Go(w.limitMemory)
	}
	return w
}

// Stop ends the enforcement. It may be called once.
func (w *Watch) Stop() {
	close(w.stop)
	w.running.Wait()
}

// PeakKB returns the largest resident memory that was seen, in KB.
func (w *Watch) PeakKB() int64 { return w.peakKB.Load() }

// Killed reports whether the process was killed for its memory.
func (w *Watch) Killed() bool { return w.killed.Load() }

// limitCPU stops the process whenever it has used its share, and continues it when it has time again.
func (w *Watch) limitCPU() {
	defer func() { _ = unix.Kill(w.pid, unix.SIGCONT) }() // the process may have ended
	last, used := time.Now(), w.cpuTime()
	allowance, stopped := cpuBurst, false
	for w.sleep(cpuInterval) {
		now, total := time.Now(), w.cpuTime()
		allowance += time.Duration(w.limits.Cores*float64(now.Sub(last))) - (total - used)
		allowance = min(allowance, cpuBurst)
		last, used = now, total
		if over := allowance < 0; over != stopped {
			signal := unix.SIGCONT
			if over {
				signal = unix.SIGSTOP
			}
			if unix.Kill(w.pid, signal) != nil {
				return // the process has ended
			}
			stopped = over
		}
	}
}

// cpuTime returns the CPU time that the process has used; 0 if it has ended.
func (w *Watch) cpuTime() time.Duration {
	var t unix.Timespec
	processClock := int32(^w.pid<<3 | 2) // as clock_getcpuclockid makes it
	if unix.ClockGettime(processClock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (w *Watch) limitMemory() {
	for w.sleep(memoryInterval) {
		kb := ResidentKB(w.pid)
		w.peakKB.Store(max(w.peakKB.Load(), kb))
		if kb > int64(w.limits.MemoryMB)<<10 {
			w.killed.Store(true)
			_ = unix.Kill(w.pid, unix.SIGKILL) // the process may have ended
			return
		}
	}
}

// sleep waits, and reports whether the watch goes on.
func (w *Watch) sleep(d time.Duration) bool {
	select {
	case <-w.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// ResidentKB returns the resident memory of a process in KB; 0 if it has ended.
func ResidentKB(pid int) int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if s, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(s)[0], 10, 64)
			return n
		}
	}
	return 0
}
