package main

import (
	"path/filepath"
	"strings"
	"testing"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/version"
)

// TestASlowDiskAndAnOlderProgram has five mixers agree where each write of one voter's log
// takes 2 s, and where one that does not vote runs a program that does not know a key.
func TestASlowDiskAndAnOlderProgram(t *testing.T) {
	t.Parallel()
	const slow, elder = 1, 4
	others, dir := map[int]string{}, t.TempDir()
	for i, tag := range map[int]string{slow: "slowdisk", elder: "elder"} {
		others[i] = filepath.Join(dir, tag)
		if err := build(others[i], tag); err != nil {
			t.Fatal(err)
		}
	}
	c := newCouncil(t, 5, 3, others)
	for range 3 {
		c.agree("a slow disk", 3)
	}
	c.wait("the slow voter has all", func() bool {
		x, err := c.Ask(slow, accord.Request{Op: accord.OpLocal})
		return err == nil && x.State.Latest == c.latest && x.Holders[0].Leased
	})

	x, err := c.Ask(0, accord.Request{Op: accord.OpShow})
	if err != nil {
		t.Fatal(err)
	}
	with := func(key, mark string) version.Version {
		return version.Version{BaseNumber: x.State.Latest, Mark: mark, Text: strings.Replace(x.State.Old.Text, "{", key, 1)}
	}
	y, err := c.Ask(0, accord.Request{Op: accord.OpPropose, Version: with(`{"storm_retries":0.5,`, "a new key")})
	if err != nil {
		t.Fatal(err)
	}
	c.wait("the version that one can't act on is withdrawn", func() bool {
		z, err := c.Ask(0, accord.Request{Op: accord.OpShow})
		v, _ := z.State.Find(y.Number)
		if err != nil || z.State.Phase != version.PhaseSteady || v.Outcome == "" {
			return false
		}
		if !strings.Contains(v.Outcome, "n4") || !strings.Contains(v.Outcome, "storm_retries: unknown key") {
			t.Errorf("withdrawn for %q", v.Outcome)
		}
		return true
	})
	c.settled() // all on the version before, the older program among them
	x, err = c.Ask(0, accord.Request{Op: accord.OpShow})
	if err != nil {
		t.Fatal(err)
	}
	y, err = c.Ask(2, accord.Request{Op: accord.OpPropose, Version: with(`{"storm_good":0.4,`, "a key that all know")})
	if err != nil {
		t.Fatal(err)
	}
	c.wait("all act on it", func() bool {
		for i := range c.size {
			z, err := c.Ask(i, accord.Request{Op: accord.OpLocal})
			if err != nil || z.State.Phase != version.PhaseSteady || z.State.Old.Number != y.Number || !z.Holders[0].Leased {
				return false
			}
		}
		return true
	})
	if worst, sends, which := c.apart(); worst > accordLease || sends < 10*c.next {
		t.Errorf("contradicting versions were acted on %v apart: %s; %d parts at markers", worst, which, sends)
	}
}
