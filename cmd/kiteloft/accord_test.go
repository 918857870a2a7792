package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/standin"
)

const (
	accordLease = time.Second // 3 s is the default; a shorter one makes for a shorter test
	accordTrial = 100 * time.Millisecond
	markerCount = 32
	answerTime  = 15 * time.Second // on a busy machine
)

// council is a flock that agrees on settings. Some of its nodes are markers: each version
// lets mixers send to one of them, another one than the version before, so that the nodes
// see who acts on what.
type council struct {
	*flock
	voters int
	began  time.Time
	mu     sync.Mutex
	seen   [markerCount][]time.Time // when each marker was sent to
	order  []int                    // markers, as their versions were agreed
	next   int
}

func marker(i int) string { return fmt.Sprintf("m-%02d", i) }

func newCouncil(t *testing.T, size, voters int, others map[int]string) *council {
	t.Helper()
	c := &council{voters: voters, began: time.Now()}
	var names []string
	for i := range voters {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("n%d", i)))
	}
	var marks []*standIn
	for i := range markerCount {
		n := standin.NewNode(marker(i), func(p part) reply {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.seen[i] = append(c.seen[i], time.Now())
			return sound(p)
		})
		n.Forgets = true
		marks = append(marks, n)
	}
	c.flock = gather(t, band{size: size, disk: true, nodes: marks, others: others, more: func(dir string) string {
		return fmt.Sprintf("[fleet.accord]\nvoters = [%s]\ndirectory = %q\nlease_ms = %d\ntrial_ms = %d\n", strings.Join(names, ", "),
			filepath.Join(dir, "accord"), accordLease.Milliseconds(), accordTrial.Milliseconds())
	}})
	c.agree("the first version", 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.seen[:]) // until then nobody was told anything of markers
	return c
}

func allow(i int) string {
	d := version.Document{Nodes: map[string]bool{}}
	for j := range markerCount {
		d.Nodes[marker(j)] = i == j
	}
	text, _ := json.Marshal(d) // of a map and booleans
	return string(text)
}

// propose has the version that allows a marker agreed, by way of a mixer. It may be
// called again until it succeeds.
func (c *council) propose(at, i int) error { return c.flock.propose(at, allow(i)) }

// acted reports whether a version with marker i is in force and all that live and are not
// away act on it.
func (c *council) acted(i int) bool { return c.flock.acted(allow(i)) }

// agree has the next marker's version agreed and waits until all act on it. Where it is
// withdrawn, the marker after it takes its place.
func (c *council) agree(what string, at int) {
	c.t.Helper()
	var i int
	c.enforce(what, at, func() string {
		i = c.next
		c.next++
		return allow(i)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = append(c.order, i)
}

// settled waits until all act on the latest that was agreed.
func (c *council) settled() {
	c.t.Helper()
	c.wait("all act on the same", func() bool { return c.acted(c.order[len(c.order)-1]) })
}

// apart is the longest time for which a marker was sent to after a later version's was,
// by what the nodes saw, and how often nodes were sent to.
func (c *council) apart() (worst time.Duration, sends int, which string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.seen {
		sends += len(list)
	}
	for k, i := range c.order {
		for _, j := range c.order[k+1:] {
			if a, b := c.seen[i], c.seen[j]; i != j && len(a) > 0 && len(b) > 0 && a[len(a)-1].Sub(b[0]) > worst {
				worst = a[len(a)-1].Sub(b[0])
				which = fmt.Sprintf("%s at %v, after %s at %v", marker(i), a[len(a)-1].Sub(c.began).Round(time.Millisecond), marker(j), b[0].Sub(c.began).Round(time.Millisecond))
			}
		}
	}
	return worst, sends, which
}

func (c *council) leader() int {
	x, err := c.Ask(c.size-1, accord.Request{Op: accord.OpShow})
	if err != nil {
		return -1
	}
	i, err := strconv.Atoi(strings.TrimPrefix(x.Leader, "n"))
	if err != nil {
		return -1
	}
	return i
}

func others(size int, but ...int) (list []int) {
next:
	for i := range size {
		for _, b := range but {
			if i == b {
				continue next
			}
		}
		list = append(list, i)
	}
	return list
}

// TestSettingsThroughFaults takes five processes, three of them voters, through cuts,
// pauses, kills, lost and full disks, with versions that contradict each other.
func TestSettingsThroughFaults(t *testing.T) {
	t.Parallel()
	c := newCouncil(t, 5, 3, nil)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	pause := func(i int, d time.Duration) {
		t.Helper()
		c.away[i].Store(true)
		must(c.Pause(i, d))
		time.AfterFunc(d+200*time.Millisecond, func() { c.away[i].Store(false) })
	}
	agree := c.agree

	agree("no fault", 4)
	pause(1, 2*accordLease)
	agree("while a voter stands still, until after its lease", 3)
	pause(4, 2500*time.Millisecond)
	agree("while one that does not vote stands still", 3)
	c.settled()

	lead := c.leader()
	c.Spoil([]int{lead}, nil, standin.Fault{Drop: 1}) // the leader hears, and is not heard
	c.wait("another leads", func() bool { l := c.leader(); return l >= 0 && l != lead })
	c.away[lead].Store(true)
	agree("the leader is not heard", 4)
	c.Spoil(nil, nil, standin.Fault{})
	c.away[lead].Store(false)
	c.settled()

	lead = c.leader()
	c.Spoil(nil, []int{lead}, standin.Fault{Drop: 1}) // it is heard, and does not hear
	c.away[lead].Store(true)
	c.wait("another leads", func() bool { l := c.leader(); return l >= 0 && l != lead })
	agree("the leader does not hear", 4)
	c.Spoil(nil, nil, standin.Fault{})
	c.away[lead].Store(false)
	c.settled()

	c.Spoil([]int{0, 3}, []int{1, 2, 4}, standin.Fault{Drop: 1}) // two parts, one of them with two voters
	c.Spoil([]int{1, 2, 4}, []int{0, 3}, standin.Fault{Drop: 1})
	c.away[0].Store(true)
	c.away[3].Store(true)
	agree("the part with most voters", 4)
	if x, err := c.Ask(3, accord.Request{Op: accord.OpLocal}); err != nil || x.Holders[0].Leased {
		t.Errorf("the other part acts by a lease: %+v, %v", x.Holders, err)
	}
	if _, err := c.Ask(3, accord.Request{Op: accord.OpPropose, Version: version.Version{Mark: "cut off", Text: "{}"}}); err == nil {
		t.Error("a part without most voters agreed")
	}
	c.Spoil(nil, nil, standin.Fault{})
	c.away[0].Store(false)
	c.away[3].Store(false)
	c.settled()

	// Two in one moment: one is agreed, the other one hears why not.
	from := c.latest
	got := make([]error, 2)
	var both sync.WaitGroup
	for k := range 2 {
		both.Go(func() {
			_, got[k] = c.Ask(3+k, accord.Request{Op: accord.OpPropose, Version: version.Version{BaseNumber: from, Mark: fmt.Sprint("both", k), Text: allow(c.next)}})
		})
	}
	both.Wait()
	if (got[0] == nil) == (got[1] == nil) {
		t.Errorf("of two in one moment: %v, %v", got[0], got[1])
	}
	c.wait("one of two", func() bool { return c.acted(c.next) })
	c.order = append(c.order, c.next)
	c.next++

	// A proposal and its withdrawal within a second.
	x, err := c.Ask(4, accord.Request{Op: accord.OpShow})
	must(err)
	x, err = c.Ask(4, accord.Request{Op: accord.OpPropose, Version: version.Version{BaseNumber: x.State.Latest, Mark: "soon withdrawn", Text: allow(c.next)}})
	must(err)
	_, err = c.Ask(3, accord.Request{Op: accord.OpWithdraw, Number: x.Number})
	must(err)
	c.next++
	c.settled()

	// What somebody can't act on is never agreed, and says why.
	for _, doc := range []string{`{"sheep":1}`, `{"attempts":1}`, `{"cold_share":0.2}`, `{"nodes":[]}`, `{"storm_good":0.9}`} {
		x, err := c.Ask(4, accord.Request{Op: accord.OpShow})
		must(err)
		key := strings.Trim(strings.Split(doc, ":")[0], `{"`)
		if _, err := c.Ask(4, accord.Request{Op: accord.OpPropose, Version: version.Version{BaseNumber: x.State.Latest, Mark: doc, Text: doc}}); err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: %v", doc, err)
		}
	}

	// Whoever tries a version first dies of it.
	x, err = c.Ask(4, accord.Request{Op: accord.OpShow})
	must(err)
	x, err = c.Ask(4, accord.Request{Op: accord.OpPropose, Version: version.Version{BaseNumber: x.State.Latest, Mark: "deadly", Text: strings.Replace(x.State.Old.Text, "{", `{"attempts":3,`, 1)}})
	must(err)
	victim, err := strconv.Atoi(strings.TrimPrefix(x.State.New.Canaries[0], "n"))
	must(err)
	c.lose(victim)
	back := c.wait("the version is withdrawn", func() bool {
		y, err := c.Ask((victim+1)%5, accord.Request{Op: accord.OpShow})
		v, _ := y.State.Find(x.Number)
		return err == nil && strings.HasPrefix(v.Outcome, "withdrawn") && y.State.Phase == version.PhaseSteady
	})
	t.Logf("a version whose first user died was withdrawn after %v", back)
	must(c.Start(victim))
	c.away[victim].Store(false)

	// A full disk at a voter; a lost one; all killed at once.
	full := (c.leader() + 1) % 3
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	must(unix.Prlimit(c.Mixer(full).Cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	agree("a voter's disk is full", 4)
	if c.Mixer(full).Logged("accord: the log can't be written") == 0 {
		t.Error("a full disk is not spoken of")
	}
	limit.Cur = unix.RLIM_INFINITY
	must(unix.Prlimit(c.Mixer(full).Cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	c.wait("the disk is written again", func() bool { return c.Mixer(full).Logged("accord: the log can be written again") > 0 })

	c.lose(1)
	must(os.RemoveAll(filepath.Join(c.Dir(1), "accord")))
	must(c.Start(1))
	c.away[1].Store(false)
	t.Logf("a voter without its disk votes again after %v", c.wait("it votes again", func() bool {
		y, err := c.Ask(4, accord.Request{Op: accord.OpShow})
		return err == nil && len(y.Voters) == 3 && c.Mixer(0).Logged("accord: the voters change")+c.Mixer(2).Logged("accord: the voters change") >= 6
	}))
	agree("with the new seat", 1)

	for i := range 5 {
		c.away[i].Store(true)
	}
	for i := range 5 {
		must(c.Kill(i))
	}
	for i := range 5 {
		must(c.Start(i))
	}
	for i := range 5 {
		c.away[i].Store(false)
	}
	c.settled()
	agree("after all were killed", 4)

	worst, sends, which := c.apart()
	t.Logf("%d versions, %d parts at markers, contradicting versions acted on %v apart at most", c.next, sends, max(0, worst))
	if sends < 10*c.next {
		t.Errorf("only %d parts went to markers", sends)
	}
	if worst > accordLease {
		t.Errorf("contradicting versions were acted on %v apart: %s", worst, which)
	}
}
