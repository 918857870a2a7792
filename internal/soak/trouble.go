package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of trouble. Its name in reports and on the command line comes from kindNames.
type Kind int

// The kinds of trouble.
const (
	TermMixers       Kind = iota // mixers get SIGTERM, are killed after killAfter, and are started again
	KillMixers                   // mixers get SIGKILL and are started again
	PauseMixers                  // mixers are stopped with SIGSTOP for up to maxPause at a time
	ReloadMixers                 // a new configuration changes the discovery address, sometimes twice within a second
	DiscoveryDown                // every call to discovery fails
	DiscoverySilent              // calls to discovery get no answer
	WatchesSilent                // open watches are never answered
	WatchesCut                   // open watches are closed
	DiscoveryCrowded             // one of four calls to discovery is answered
	DrainServers                 // servers drain and are replaced
	CrashServers                 // servers crash and are replaced
	ReturnCold                   // servers crash and return under their IDs
	HangServers                  // some servers accept parts and answer nothing
	HangAll                      // all servers accept parts and answer nothing
	ResetLinks                   // servers reset their connections repeatedly
	CloseIdle                    // servers close connections that are idle for idleCloseAfter
	SpoilAnswers                 // some answers are truncated, doubled or errors
	DeafServers                  // some servers do not read from their connections
	ClientsLeave                 // most clients close the connection before the answer
	ClientsStall                 // clients stop in the middle of a request and stay connected
	ClientsPipeline              // clients pipeline several requests on a connection
	ClientsFlood                 // clients send malformed requests until buffers are full, reading no answer, then close
	ClientsCrowd                 // clients connect and send nothing
	ShortDeadlines               // half of the requests have deadlines of at most 60 ms
	ClockStep                    // the servers' wall clocks are stepped
	DiscoverySlow                // every answer of discovery is delayed
	CallFaults                   // system calls of mixers fail for short times
	ClientsFullSpeed             // a few clients of one mixer send small requests at full speed
	kindCount
)

var kindNames = [kindCount]string{"term-mixers", "kill-mixers", "pause-mixers", "reload-mixers", "discovery-down",
	"discovery-silent", "watches-silent", "watches-cut", "discovery-crowded", "drain-servers", "crash-servers",
	"return-cold", "hang-servers", "hang-all", "reset-links", "close-idle", "spoil-answers", "deaf-servers",
	"clients-leave", "clients-stall", "clients-pipeline", "clients-flood", "clients-crowd", "short-deadlines",
	"clock-step", "discovery-slow", "call-faults", "clients-full-speed"}

// String returns the kind's name in reports.
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

// Trouble is one scheduled fault of a run.
type Trouble struct {
	Kind   Kind
	At     time.Duration // from the start of the run
	Length time.Duration
	Share  float64 // share of the mixers or servers that it affects
	Seed   uint64  // of the random draws while it is injected
}

// String returns the trouble's line in a printed schedule.
func (t Trouble) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %-18s of %.2f", t.At.Seconds(), (t.At + t.Length).Seconds(), t.Kind, t.Share)
}

// overlaps reports whether two troubles are active at the same time.
func (t Trouble) overlaps(o Trouble) bool { return t.At < o.At+o.Length && o.At < t.At+t.Length }

const (
	quietStart        = 3 * time.Second // before the first trouble
	quietEnd          = 4 * time.Second // after the last trouble, for recovery
	lateTroublesShare = 0.2             // share of runs in which all troubles come in the second half, after a long quiet time
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
		// Two of three troubles begin within a second of the one drawn before.
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
