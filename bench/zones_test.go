package bench

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/standin"
)

// Schedule of TestZones: six mixers and 12 nodes of 2 cores in three zones, under a load that takes
// the whole capacity of two zones. One zone fails for a while.
const (
	zonesRate      = 52.0 // first tries a second
	zonesDuration  = 66 * time.Second
	zoneFailsAt    = 14 * time.Second
	zoneRecoversAt = 24 * time.Second
	listDelay      = 2 * time.Second // from a node's restart until the node list shows it
)

var zonesNodePower = standin.Power{Cores: 2, Part: 70 * time.Millisecond, Call: 48 * time.Millisecond, Queue: 60, ColdFrom: 0.32, Cold: 12 * time.Second,
	Fall: time.Second, Multiple: 3}

// zonesSettings places each shard in two of three zones.
var zonesSettings = strings.NewReplacer(`"balancers":3`, `"balancers":6`, `["a"]`, `["a","b","c"]`, `"cold":18`, `"cold":12`).Replace(outageSettings)

// zoneFailure is a way in which zone b fails and recovers.
type zoneFailure struct {
	name       string
	fails, end func(r *standin.Rooms)
	cold       bool // its nodes restart cold
}

var zoneFailures = []zoneFailure{
	{"dark and back cold", func(r *standin.Rooms) { r.Dark(1, true) }, func(r *standin.Rooms) { r.Dark(1, false) }, true},
	{"slow", func(r *standin.Rooms) { r.Slow(1, 900*time.Millisecond) }, func(r *standin.Rooms) { r.Slow(1, 0) }, false},
	{"cut from one zone", func(r *standin.Rooms) { r.Cut(0, 1, 1) }, func(r *standin.Rooms) { r.Cut(0, 1, 0) }, false},
}

// TestZones runs each zone failure against three groups of mixers side by side: "alone" without a
// fleet's agreement, "fleet" which leaves the zone by its own judgement, and "oracle" which is
// ordered to leave the zone as it fails and to return as the node list shows its restart. It fails
// if a cold node of "fleet" is overloaded until it topples.
func TestZones(t *testing.T) {
	if os.Getenv("KITELOFT_MEASURE") == "" {
		t.Skip("a measurement: make measure-zones")
	}
	seeds, err := strconv.Atoi(cmp.Or(os.Getenv("KITELOFT_SEEDS"), "2"))
	if err != nil {
		t.Fatal(err)
	}
	program := buildProgram(t)
	for _, what := range zoneFailures {
		if kind := os.Getenv("KITELOFT_KIND"); kind != "" && kind != what.name {
			continue
		}
		sums := map[string][]standin.Second{}
		for seed := range uint64(seeds) {
			var all sync.WaitGroup
			var mu sync.Mutex
			for _, how := range []string{"alone", "fleet", "oracle"} {
				all.Go(func() {
					seconds, worst, fell := runZoneFailure(t, program, what, how, seed)
					mu.Lock()
					defer mu.Unlock()
					t.Logf("%s, seed %d, %-6s: %s; load of a cold node at most %.2f of its capacity, %d toppled", what.name, seed, how, inTimeShares(seconds), worst, fell)
					if fell > 0 && how == "fleet" {
						t.Errorf("%s, seed %d: a cold node was overloaded until it toppled", what.name, seed)
					}
					sums[how] = sumSeconds(sums[how], seconds)
				})
			}
			all.Wait()
		}
		for _, how := range []string{"alone", "fleet", "oracle"} {
			t.Logf("%s, %d seeds, %-6s: %s", what.name, seeds, how, inTimeShares(sums[how]))
		}
	}
}

// sumSeconds returns the sums of queries asked and answered in time for each second; a may be nil.
func sumSeconds(a, b []standin.Second) []standin.Second {
	if a == nil {
		return slices.Clone(b)
	}
	for i := range a {
		a[i].Asked, a[i].InTime = a[i].Asked+b[i].Asked, a[i].InTime+b[i].InTime
	}
	return a
}

// inTimeShares formats the share of queries answered in time in each phase of the schedule.
func inTimeShares(list []standin.Second) string {
	share := func(from, to time.Duration) float64 {
		asked, in := 0, 0
		for _, s := range list[int(from.Seconds()):int(to.Seconds())] {
			asked, in = asked+s.Asked, in+s.InTime
		}
		return float64(in) / float64(max(1, asked))
	}
	back := zoneRecoversAt + listDelay
	return fmt.Sprintf("before %.3f, 5 s from the failure %.3f, 10 s %.3f, 12 s from the return %.3f, then %.3f", share(4*time.Second, zoneFailsAt),
		share(zoneFailsAt, zoneFailsAt+5*time.Second), share(zoneFailsAt, zoneFailsAt+10*time.Second), share(back, back+12*time.Second), share(back+16*time.Second, zonesDuration-4*time.Second))
}

// runZoneFailure runs one failure against one group of mixers. It returns the results by second, the
// highest load of a cold node as a share of its capacity, and the number of nodes that toppled.
func runZoneFailure(t *testing.T, program string, what zoneFailure, how string, seed uint64) ([]standin.Second, float64, int) {
	rooms, err := standin.NewRooms(standin.RoomsSetup{Zones: 3, Each: 4, Cells: 12, Machine: zonesNodePower, Seed: seed})
	if err != nil {
		rooms.Close()
		t.Error(err)
		return nil, 0, 0
	}
	defer rooms.Close()
	dir := t.TempDir()
	s := standin.CrewSetup{Program: program, Dir: dir, Mixers: 6, Settings: zonesSettings, Rooms: rooms, Home: true, Period: 500 * time.Millisecond, Seed: seed}
	for i := range s.Mixers {
		s.Zones, s.Dirs = append(s.Zones, standin.ZoneName(i%3)), append(s.Dirs, rooms.Dirs[i%3].Serve())
	}
	s.More = func(i int) string {
		more := fmt.Sprintf("[fleet.accord]\nvoters = [\"n0\", \"n1\", \"n2\"]\ndirectory = %q\nlease_ms = 1000\n", filepath.Join(dir, fmt.Sprintf("n%d", i), "accord"))
		switch how {
		case "alone":
			return ""
		case "fleet":
			return more + "leave_zones = true\n"
		}
		return more
	}
	crew, err := standin.NewCrew(s)
	if err != nil {
		crew.Close()
		t.Error(err)
		return nil, 0, 0
	}
	defer crew.Close()
	time.Sleep(6 * time.Second) // until all are ready
	crowd := standin.Crowd{Rate: zonesRate, Time: zonesDuration, Seed: seed, Tries: 3, Pause: 100 * time.Millisecond, Obeys: 0.5, Marks: true, Timeout: 0.7,
		Aim:  map[string]time.Duration{"lookup": 1500 * time.Millisecond, "booking": 1500 * time.Millisecond},
		Make: randomQuery}
	for i := range s.Mixers {
		crowd.Addrs = append(crowd.Addrs, crew.Mixer(i).Listen())
	}
	order := func(word string) {
		if how != "oracle" || what.name == "cut from one zone" { // no zone has to be left for that failure
			return
		}
		if _, err := crew.Ask(0, accord.Request{Op: accord.OpZoneOrder, Name: "b", Order: word, Why: "the truth"}); err != nil {
			t.Errorf("the oracle's order to the fleet: %v", err)
		}
	}
	time.AfterFunc(zoneFailsAt, func() {
		what.fails(rooms)
		order("leave")
	})
	time.AfterFunc(zoneRecoversAt, func() {
		if what.cold {
			if err := rooms.Cold(1, "", listDelay); err != nil {
				t.Error(err)
			}
		}
		what.end(rooms)
	})
	time.AfterFunc(zoneRecoversAt+listDelay, func() { order("return") })
	seconds := crowd.Run()
	worst, fell := rooms.Worst()
	if os.Getenv("KITELOFT_LINES") != "" {
		for i := range s.Mixers {
			for _, l := range crew.Mixer(i).Logs() {
				if strings.Contains(l, "zones: ") || strings.Contains(l, "for the zones") {
					t.Logf("%s %s", how, l)
				}
			}
		}
	}
	return seconds, worst, fell
}
