//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/standin"
)

const (
	voterCount    = 3
	followerCount = 2
	mixerCount    = voterCount + followerCount
	leaseTime     = time.Second
	fleetPeriod   = 200 * time.Millisecond
	goneTime      = 1300 * time.Millisecond // after which a mixer that nobody hears has no lease and is known to be gone
	usualRate     = 10                      // reports a second, of each mixer's clients
)

// mixerZones are the mixers' zones. The last one has one mixer, which does not vote.
var mixerZones = [mixerCount]string{zones[0], zones[1], zones[0], zones[1], zones[2]}

// council is a fleet of mixers that agree on settings, and what its nodes saw.
type council struct {
	*world
	*standin.Crew
	mu       sync.Mutex
	sent     [nodeCount][]arrival
	proposed int
	served   atomic.Int64
	unserved atomic.Int64
}

type arrival struct {
	at   time.Time
	part string
}

// newCouncil starts the mixers and their clients. Closing what it returns ends the clients.
func newCouncil(w *world) (*council, chan struct{}, error) {
	c := &council{world: w}
	err := w.addNodes(func(id string) (string, error) {
		i := len(w.members)
		n := standin.NewNode(id, func(p standin.Part) standin.Reply {
			c.mu.Lock()
			c.sent[i] = append(c.sent[i], arrival{time.Now(), p.ID})
			c.mu.Unlock()
			return standin.Reply{End: 'S', Score: int64(p.Shard), Value: valueOf(p.Shard, p.Text), After: nodeTime}
		})
		n.Forgets = true
		n.Probed = func(int) bool { return true }
		w.closers = append(w.closers, n.Close)
		return n.ServeFrames()
	})
	if err != nil {
		return nil, nil, err
	}
	w.directory = standin.NewDirectory(w.members...)
	w.closers = append(w.closers, w.directory.Close)
	at := w.directory.Serve()
	program := filepath.Join(w.dir, "run")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+w.run+"\n"), 0o755); err != nil {
		return nil, nil, err
	}
	s := standin.CrewSetup{Program: program, Dir: w.dir, Mixers: mixerCount, Known: w.members, Period: fleetPeriod, Seed: 1,
		Settings: strings.Replace(fmt.Sprintf(settings, "by_key"), `"balancers":3`, fmt.Sprintf(`"balancers":%d`, mixerCount), 1)}
	var voters []string
	for i := range mixerCount {
		s.Zones, s.Dirs = append(s.Zones, mixerZones[i]), append(s.Dirs, at)
		if i < voterCount {
			voters = append(voters, fmt.Sprintf("%q", fmt.Sprintf("n%d", i)))
		}
		dir := filepath.Join(w.dir, fmt.Sprintf("n%d", i))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, nil, err
		}
		if err := os.Symlink(filepath.Join(w.root, "bin"), filepath.Join(dir, "bin")); err != nil {
			return nil, nil, err
		}
	}
	s.More = func(i int) string {
		return fmt.Sprintf("[fleet.accord]\nvoters = [%s]\ndirectory = %q\nlease_ms = %d\ntrial_ms = 100\n", strings.Join(voters, ", "),
			filepath.Join(w.dir, fmt.Sprintf("n%d", i), "accord"), leaseTime.Milliseconds())
	}
	c.Crew, err = standin.NewCrew(s)
	if c.Crew != nil {
		w.closers = append(w.closers, c.Crew.Close)
	}
	if err != nil {
		return nil, nil, err
	}
	stop := make(chan struct{})
	for i := range mixerCount {
		go c.clients(i, stop)
	}
	return c, stop, nil
}

// agree has the next version agreed and waits until the first so many mixers act on it.
func (c *council) agree(text string, mixers int) error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		x, err := c.Ask(0, accord.Request{Op: accord.OpShow})
		if err != nil {
			continue
		}
		if x.State.Phase == version.PhaseSteady && x.State.Old.Text != text {
			c.proposed++
			_, _ = c.Ask(0, accord.Request{Op: accord.OpPropose, Version: version.Version{BaseNumber: x.State.Latest, Mark: fmt.Sprint("try ", c.proposed), Text: text}})
			continue // what became of it shows in the state
		}
		if x.State.Phase == version.PhaseSteady && c.act(text, mixers) {
			return nil
		}
	}
	return errors.New("it is not acted on")
}

// act reports whether the first so many mixers act on a version with this text, by their leases.
func (c *council) act(text string, mixers int) bool {
	for i := range mixers {
		x, err := c.Ask(i, accord.Request{Op: accord.OpLocal})
		if err != nil || !x.Holders[0].Leased || x.State.Phase != version.PhaseSteady || x.State.Old.Text != text {
			return false
		}
	}
	return true
}

// clients ask a mixer at the usual rate.
func (c *council) clients(i int, stop chan struct{}) {
	tick := time.NewTicker(time.Second / usualRate)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			go c.ask(i, n)
		}
	}
}

// ask asks a mixer for a report of six slices.
func (c *council) ask(i, n int) {
	q := standin.Query{Class: "stock-report", ID: fmt.Sprintf("%02x%014x", i, rand.Uint64N(1<<56)), Deadline: 7500 * time.Millisecond, Filter: fmt.Sprintf("%08d", n)}
	for j := range 6 {
		q.Shards = append(q.Shards, (n+j)%shardCount)
	}
	r, err := standin.Ask(http.DefaultClient, c.Mixer(i).Listen(), q)
	if err != nil {
		c.unserved.Add(1)
		return
	}
	if r.Kind == "served" {
		c.served.Add(1)
	} else {
		c.unserved.Add(1)
	}
}
