package bench

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteloft/internal/standin"
	"kiteloft/internal/standin/confine"
)

// Load and length of TestProcessCost and TestFleetCost, which are long and run only by their make targets.
const (
	costRate     = 150 // queries a second
	costDuration = 8 * time.Second
	costRounds   = 5
	costParts    = 5
)

// TestProcessCost measures what a query costs the real program with traces off and on,
// alternately: CPU time as the kernel counts it, and resident memory.
func TestProcessCost(t *testing.T) {
	if os.Getenv("KITELOFT_MEASURE") == "" {
		t.Skip("a measurement: make measure-traces")
	}
	program, members := buildProgram(t), costNodes(t)
	compareOffOn(t, "traces", func(on bool) (cpu, memory float64) {
		dir := standin.NewDirectory(members...)
		defer dir.Close()
		s := standin.Setup{Program: program, Dir: t.TempDir(), Settings: fleetSettings, Discovery: dir.Serve(), Known: members}
		if on {
			s.Broker = "[tracing]\ndirectory = \"" + filepath.Join(s.Dir, "traces") + "\"\n"
		}
		m, err := standin.Start(s)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := m.Stop(); err != nil {
				t.Error(err)
			}
		}()
		return measureCost(t, m)
	})
}

// TestFleetCost measures the same for a single mixer and for a member of a fleet of nine. Both run
// at once, so that other load of the machine affects both alike.
func TestFleetCost(t *testing.T) {
	if os.Getenv("KITELOFT_MEASURE") == "" {
		t.Skip("a measurement: make measure-fleet")
	}
	program, members := buildProgram(t), costNodes(t)
	dir := standin.NewDirectory(members...)
	defer dir.Close()
	start := func(mixers int) *standin.Crew {
		s := standin.CrewSetup{Program: program, Dir: t.TempDir(), Mixers: mixers, Settings: fleetSettings, Known: members, Period: 500 * time.Millisecond, Seed: 1,
			Alone: mixers == 1}
		for range mixers {
			s.Dirs = append(s.Dirs, dir.Serve())
		}
		c, err := standin.NewCrew(s)
		t.Cleanup(c.Close)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	both := [2]*standin.Mixer{start(1).Mixer(0), start(9).Mixer(0)}
	time.Sleep(8 * time.Second) // until all are ready and have exchanged their state
	var more, rest []float64
	for range 2 * costRounds {
		var before, at [2]time.Duration
		for i, m := range both {
			before[i] = cpuTime(t, m.Cmd.Process.Pid)
		}
		time.Sleep(costDuration / 2)
		for i, m := range both {
			at[i] = cpuTime(t, m.Cmd.Process.Pid) - before[i]
		}
		rest = append(rest, (at[1]-at[0]).Seconds()*1000/(costDuration/2).Seconds())
		var cpu [2]float64
		var all sync.WaitGroup
		for i, m := range both {
			all.Go(func() { cpu[i], _ = measureCost(t, m) })
		}
		all.Wait()
		more = append(more, 100*(cpu[1]/cpu[0]-1))
		t.Logf("alone %.0f us of CPU a query, one of nine %.0f us: %+.1f%%; idle: alone %.2f ms a second, one of nine %.2f", cpu[0], cpu[1], more[len(more)-1],
			at[0].Seconds()*1000/(costDuration/2).Seconds(), at[1].Seconds()*1000/(costDuration/2).Seconds())
	}
	slices.Sort(more)
	slices.Sort(rest)
	t.Logf("median of %d rounds, %d queries a second of %d parts each: %+.1f%% of CPU a query (%+.1f to %+.1f), idle %.2f ms of CPU a second more; %.1f MB more resident",
		len(more), costRate, costParts, more[len(more)/2], more[0], more[len(more)-1], rest[len(rest)/2],
		residentMB(t, both[1].Cmd.Process.Pid)-residentMB(t, both[0].Cmd.Process.Pid))
}

// costNodes starts the stock nodes of a measurement, which answer after 3 ms, and returns their list entries.
func costNodes(t *testing.T) (members []standin.Member) {
	t.Helper()
	for i := range nodeCount {
		n := standin.NewNode(fmt.Sprintf("s-%02d", i), func(p standin.Part) standin.Reply {
			r := standin.Sound(p)
			r.After = 3 * time.Millisecond
			return r
		})
		n.Forgets = true
		addr, err := n.ServeFrames()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		members = append(members, standin.Member{ID: n.ID, HostPort: addr, Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
	return members
}

// compareOffOn measures alternately with a feature off and on, costRounds times each, and logs the
// medians and their difference.
func compareOffOn(t *testing.T, what string, measure func(on bool) (cpu, memory float64)) {
	t.Helper()
	type cost struct{ cpu, memory float64 }
	sums := map[bool][]cost{}
	for round := range 2 * costRounds {
		on := round%2 == 1
		cpu, memory := measure(on)
		sums[on] = append(sums[on], cost{cpu, memory})
		t.Logf("%s %v: %.0f us of CPU a query, %.1f MB resident", what, on, cpu, memory)
	}
	median := func(list []cost, of func(cost) float64) float64 {
		var v []float64
		for _, c := range list {
			v = append(v, of(c))
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	cpu, memory := func(c cost) float64 { return c.cpu }, func(c cost) float64 { return c.memory }
	off, on := median(sums[false], cpu), median(sums[true], cpu)
	t.Logf("median of %d rounds, %d queries a second of %d parts, %v: off %.0f us and %.1f MB, on %.0f us and %.1f MB: %+.1f%%, %+.1f MB", costRounds,
		costRate, costParts, costDuration, off, median(sums[false], memory), on, median(sums[true], memory), 100*(on/off-1),
		median(sums[true], memory)-median(sums[false], memory))
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "kiteloft")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/kiteloft").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// measureCost sends queries to a mixer at costRate for costDuration. It returns the CPU time per
// query in microseconds and the resident memory in MB.
func measureCost(t *testing.T, m *standin.Mixer) (cpu, memory float64) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	ask := func(n int) {
		var wg sync.WaitGroup
		pace := time.NewTicker(time.Second / costRate)
		defer pace.Stop()
		for i := range n {
			<-pace.C
			wg.Go(func() {
				var shards []int
				for k := range costParts {
					shards = append(shards, (i+k)%24)
				}
				if _, err := standin.Ask(client, m.Listen(), standin.Query{Class: "lookup", Shards: shards, Deadline: 4 * time.Second, Filter: fmt.Sprintf("%08x", i)}); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	ask(2 * costRate) // warm-up: opens connections and fills the latency sketches
	before := cpuTime(t, m.Cmd.Process.Pid)
	n := int(costRate * costDuration.Seconds())
	ask(n)
	cpu = float64((cpuTime(t, m.Cmd.Process.Pid) - before).Microseconds()) / float64(n)
	memory = residentMB(t, m.Cmd.Process.Pid)
	client.CloseIdleConnections()
	return cpu, memory
}

// cpuTime returns the CPU time that a process has used: the sum over its threads' schedstat files,
// which count ns, where /proc/PID/stat counts ticks of 10 ms.
func cpuTime(t *testing.T, pid int) (sum time.Duration) {
	t.Helper()
	list, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(list) == 0 {
		t.Skip("this system has no /proc/PID/task/*/schedstat")
	}
	for _, path := range list {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		ns, _ := strconv.ParseInt(strings.Fields(string(b))[0], 10, 64)
		sum += time.Duration(ns)
	}
	return sum
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, pid int) float64 {
	t.Helper()
	kb := confine.ResidentKB(pid)
	if kb == 0 {
		t.Skip("this system has no /proc/PID/status")
	}
	return math.Round(float64(kb)/102.4) / 10
}
