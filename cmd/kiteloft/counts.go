package main

import (
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/broker"
	"kiteloft/internal/counts"
	"kiteloft/internal/transport"
)

// countPace is how often the counts are written: one line a mixer, however much it does.
const countPace = time.Second

// counter writes what a mixer did in each second, so that a fleet's logs can be added up.
type counter struct {
	core *broker.Core
	set  counts.Set
	cpu  int64                 // microseconds used before
	ends map[transport.End]int // connections that ended, of clients and of servers
	net  *transport.Net
	log  zerolog.Logger
}

// ended counts a connection that has ended, by the way in which it did.
func (c *counter) ended(s transport.Stats) { c.ends[s.End]++ }

func (c *counter) start() {
	c.cpu = usedCPU()
	c.core.After(countPace, c.write)
}

func (c *counter) write() {
	used := usedCPU()
	c.set.Add(counts.CPUMicros, used-c.cpu)
	c.cpu = used
	c.set.Add(counts.ListAgeMillis, c.core.ListAge().Milliseconds())
	peaks := c.net.TakePeaks()
	c.set.Add(counts.InputWaitMicros, peaks.InputWait.Microseconds())
	c.set.Add(counts.InputBacklogBytes, peaks.Backlog)
	c.set.Add(counts.UnsentBytes, peaks.Unsent)
	line := c.log.Info().Int64("at_ms", time.Now().UnixMilli())
	if len(c.ends) > 0 {
		ends := zerolog.Dict()
		for e, n := range c.ends {
			ends = ends.Int(e.String(), n)
		}
		line = line.Dict("ends", ends)
		clear(c.ends)
	}
	c.set.Each(func(k counts.Kind, n int64) { line = line.Int64(k.String(), n) })
	line.Msg("counts")
	c.set.Clear()
	c.core.After(countPace, c.write)
}

// usedCPU is the CPU time of the process so far, in microseconds; 0 where the system
// does not tell.
func usedCPU() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / int64(time.Microsecond)
}
