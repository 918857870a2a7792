package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"kiteloft/internal/standin/callfaults"
	"kiteloft/internal/standin/confine"
)

func TestMain(m *testing.M) {
	callfaults.Launch(os.Args[1:])
	confine.Launch(os.Args[1:])
	os.Exit(m.Run())
}

// buildMixer builds the mixer and returns its path.
func buildMixer(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "kiteloft")
	if out, err := exec.Command("go", "build", "-o", path, "kiteloft/cmd/kiteloft").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return path
}

// TestShortSoak runs three seeds with small fleets for 12 s each. make soak runs larger fleets for longer.
func TestShortSoak(t *testing.T) {
	path := buildMixer(t)
	for seed := range uint64(3) {
		length := 12 * time.Second
		r, err := Run(Options{Program: path, Dir: t.TempDir(), Seed: seed, Mixers: 3, Servers: cells, Rate: 6, Length: length, Troubles: DrawTroubles(seed, length)})
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Violations {
			t.Errorf("seed %d: %s %s: %s\n%s", seed, b.Rule, b.Request, b.Text, r.Timeline(b.Request))
		}
		if r.Outcomes["served"] == 0 {
			t.Errorf("seed %d: nothing was served: %v", seed, r.Outcomes)
		}
	}
}

// TestScheduleIsDeterminedBySeed checks that a seed always draws the same troubles, that they lie within the run,
// that all kinds occur, and that on average at least two pairs overlap per seed.
func TestScheduleIsDeterminedBySeed(t *testing.T) {
	const seeds, length = 200, 30 * time.Second
	overlaps, seen := 0, map[Kind]bool{}
	for seed := range uint64(seeds) {
		list, again := DrawTroubles(seed, length), DrawTroubles(seed, length)
		for i, a := range list {
			if a != again[i] {
				t.Fatalf("seed %d draws %v and %v", seed, a, again[i])
			}
			if a.At < quietStart || a.At+a.Length > length-quietEnd+time.Millisecond || a.Length <= 0 {
				t.Errorf("seed %d: %v is outside of the run", seed, a)
			}
			seen[a.Kind] = true
			for _, b := range list[i+1:] {
				if a.overlaps(b) {
					overlaps++
				}
			}
		}
	}
	if len(seen) != int(kindCount) || overlaps < 2*seeds {
		t.Errorf("%d kinds of %d, %d overlaps in %d seeds", len(seen), kindCount, overlaps, seeds)
	}
}
