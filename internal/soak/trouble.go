package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of trouble.
type Kind int

// The kinds of trouble.
const (
	TermMixers       Kind = iota // mixers are told to end, killed when their time is over, and started again
	KillMixers                   // mixers are killed outright and started again
	PauseMixers                  // mixers are stopped for moments
	ReloadMixers                 // a new configuration moves discovery, sometimes twice within a second
	DiscoveryDown                // every call to discovery fails
	DiscoverySilent              // no call to discovery is answered
	WatchesSilent                // the watches that are open are never answered
	WatchesCut                   // the watches that are open end
	DiscoveryCrowded             // of four calls to discovery one is answered
	DrainServers                 // servers drain and are replaced
	CrashServers                 // servers crash and are replaced
	ReturnCold                   // servers crash and come back under their names
	HangServers                  // some servers take work and answer nothing
	HangAll                      // all servers do
	ResetLinks                   // servers reset their connections, again and again
	CloseIdle                    // servers close connections that rest for a moment
	SpoilAnswers                 // some answers are cut, or no answers at all
	DeafServers                  // some servers do not read
	ClientsLeave                 // most clients leave before they are answered
	ClientsStall                 // clients stop in the middle of a request and stay
	ClientsPipeline              // clients send several requests at once
	ClientsFlood                 // clients send more than anybody holds, and stay or go
	ClientsCrowd                 // clients connect and say nothing
	ShortDeadlines               // requests come with very little time left
	ClockStep                    // the servers' wall clocks are set
	DiscoverySlow                // every answer of discovery is on its way for long
	CallFaults                   // system calls of mixers fail for moments
	kindCount
)

var kindNames = [kindCount]string{"term-mixers", "kill-mixers", "pause-mixers", "reload-mixers", "discovery-down",
	"discovery-silent", "watches-silent", "watches-cut", "discovery-crowded", "drain-servers", "crash-servers",
	"return-cold", "hang-servers", "hang-all", "reset-links", "close-idle", "spoil-answers", "deaf-servers",
	"clients-leave", "clients-stall", "clients-pipeline", "clients-flood", "clients-crowd", "short-deadlines",
	"clock-step", "discovery-slow", "call-faults"}

// String is the kind's name in reports.
func (k Kind) String() string { return kindNames[k] }

// KindByName returns the kind with a name, and whether there is one.
func KindByName(name string) (Kind, bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(i), i >= 0
}

// MidRunTrouble returns a trouble of a kind in the middle of a run, to be added to those that are drawn.
func MidRunTrouble(k Kind, seed uint64, length time.Duration) Trouble {
	return Trouble{Kind: k, At: length / 3, Length: maxTroubleLength, Share: 0.5, Seed: seed}
}

// Trouble is one trouble of a run.
type Trouble struct {
	Kind   Kind
	At     time.Duration // from the start
	Length time.Duration
	Share  float64 // share of mixers, servers or clients that it strikes
	Seed   uint64  // of its own draws
}

// String describes the trouble in a schedule.
func (t Trouble) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %-18s of %.2f", t.At.Seconds(), (t.At + t.Length).Seconds(), t.Kind, t.Share)
}

// overlaps tells whether two troubles are there at one time.
func (t Trouble) overlaps(o Trouble) bool { return t.At < o.At+o.Length && o.At < t.At+t.Length }

const (
	quietStart        = 3 * time.Second // before the first trouble
	quietEnd          = 4 * time.Second // after the last one, in which all have to recover
	lateTroublesShare = 0.2             // share of runs in which all troubles come late, after a long rest
	minTroubleLength  = 500 * time.Millisecond
	maxTroubleLength  = 8 * time.Second
	minTroubles       = 4
	maxExtraTroubles  = 4
)

// DrawTroubles draws the troubles of a run from its seed: most of them overlap with one to three others.
func DrawTroubles(seed uint64, length time.Duration) []Trouble {
	rng := rand.New(rand.NewPCG(seed, 1))
	first := quietStart
	room := length - first - quietEnd
	if room > 4*maxTroubleLength && rng.Float64() < lateTroublesShare {
		first += room / 2
		room /= 2
	}
	room = max(room, time.Second)
	var list []Trouble
	at := first
	for range minTroubles + rng.IntN(maxExtraTroubles+1) {
		// Two of three begin within a second of the one before.
		if len(list) == 0 || rng.IntN(3) == 0 {
			at = first + time.Duration(rng.Float64()*float64(room))
		} else {
			at += time.Duration(rng.Float64() * float64(time.Second))
		}
		span := minTroubleLength + time.Duration(rng.Float64()*rng.Float64()*float64(maxTroubleLength-minTroubleLength))
		end := length - quietEnd
		begins := min(at, end-minTroubleLength)
		list = append(list, Trouble{Kind: Kind(rng.IntN(int(kindCount))), At: begins, Length: min(span, end-begins),
			Share: 0.1 + 0.5*rng.Float64(), Seed: rng.Uint64()})
	}
	slices.SortFunc(list, func(a, b Trouble) int { return int(a.At - b.At) })
	return list
}
