//go:build review

package rig

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"kiteloft/internal/standin"
)

// memoryLook is the time between two looks at a mixer's memory.
const memoryLook = 10 * time.Millisecond

// Memory is what a mixer takes of its limit. It plays the platform, which kills a mixer that takes
// more.
type Memory struct {
	Killed atomic.Bool
	PeakKB atomic.Int64
}

// WatchMemory watches a mixer's resident memory until the mixer is killed or the case ends.
func (r *Rig) WatchMemory(m *standin.Mixer, limitMB int) *Memory {
	w := &Memory{}
	go func() {
		for !w.Killed.Load() {
			kb := residentKB(m.Cmd.Process.Pid)
			w.PeakKB.Store(max(w.PeakKB.Load(), int64(kb)))
			if kb > limitMB<<10 {
				r.Say("the mixer has %d KB, its limit is %d KB: the platform kills it", kb, limitMB<<10)
				w.Killed.Store(true)
				m.Kill()
			}
			time.Sleep(memoryLook)
		}
	}()
	return w
}

// residentKB is a process's resident memory; 0: the process has ended.
func residentKB(pid int) int {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if s, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(s)[0])
			return n
		}
	}
	return 0
}
