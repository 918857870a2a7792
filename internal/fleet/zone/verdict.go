package zone

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Verdict is how a zone's nodes are, or how one zone's mixers see another's nodes.
type Verdict uint8

// The verdicts, the worst last.
const (
	Unknown Verdict = iota // too little is known
	Sound
	Slow
	Failing
	Dark // nothing is heard of it
)

var verdictNames = [...]string{"unknown", "sound", "slow", "failing", "dark"}

func (v Verdict) String() string { return verdictNames[v] }

// Figures by which a verdict is found. Each way back asks for more time than the way
// there, so that nothing flaps.
const (
	minParts           = 12                     // of one zone's mixers to another's nodes, under which shares say nothing
	darkShare          = 0.7                    // of parts of which nothing was heard
	darkSilence        = 600 * time.Millisecond // without a word to any mixer of a zone, though many parts were due
	failingShare       = 0.3                    // of parts that were of no use
	slowFactor         = 2.5                    // of what is usual between the two zones
	slowLateShare      = 0.25                   // of answers that came late, at least
	unknownPairFactor  = 1.5                    // of what is usual between others: what is seen first of a pair is usual up to that
	allSlowShare       = 0.5                    // of what the slowest zone is slowed by, that all are
	badNodesLimit      = 0.5                    // of a zone's nodes: if those that are bad are fewer,
	badNodesFactor     = 1.5                    // and no more is wrong than so many times their share,
	badNodesMargin     = 0.05                   // and this, it is those nodes, and not the zone
	transitionShare    = 0.5                    // of a zone's nodes that leave or are cold: a release is under way
	usualLatencyWindow = 60 * time.Second       // at which what is usual is learned
	maxMixerLag        = 150 * time.Millisecond
	zoneReportTimeout  = 1300 * time.Millisecond // without a report of any of a zone's mixers, their word does not count
	holdDark           = 300 * time.Millisecond
	holdBad            = 2 * time.Second
	holdSound          = 2500 * time.Millisecond
)

// Judgement is what is known of all zones.
type Judgement struct {
	Zones  map[string]Verdict
	Why    map[string]string
	Cuts   map[[2]string]Verdict // how the first's mixers see the second's nodes, where others see them better
	Off    []string              // mixers that are cut off, or stand still, themselves: their word does not count
	Shared bool                  // all are slow alike: there is nowhere better
}

// Judge finds verdicts from a Board's evidence.
type Judge struct {
	usualLatency   map[[2]string]float64 // seconds, by the mixers' and the nodes' zone
	verdicts       map[string]*verdictState
	lastEvaluation time.Duration
	allSlowAt      time.Duration // when all were last slow alike; 0: never
}

type verdictState struct {
	now            Verdict
	why            string
	candidate      Verdict
	candidateSince time.Duration // for how long next has held
}

// NewJudge returns a Judge that knows nothing.
func NewJudge() *Judge {
	return &Judge{usualLatency: map[[2]string]float64{}, verdicts: map[string]*verdictState{}}
}

// Look judges the evidence as it stands. It is called about five times a second.
func (j *Judge) Evaluate(now time.Duration, b *ReportStore) Judgement {
	recentEvidence := b.recentEvidence(now)
	out := Judgement{Zones: map[string]Verdict{}, Why: map[string]string{}, Cuts: map[[2]string]Verdict{}}
	out.Off = j.excludedMixers(recentEvidence)
	recentEvidence = withoutSilentZones(now, recentEvidence)
	paths, last, from, to := aggregatePaths(recentEvidence, out.Off)
	pathVerdicts := map[[2]string]Verdict{}
	for at, e := range paths {
		pathVerdicts[at] = j.pathVerdict(at, e, last[at])
	}
	raw, why := map[string]Verdict{}, map[string]string{}
	for _, t := range to {
		raw[t], why[t] = j.zoneVerdict(t, from, to, pathVerdicts, paths, out.Cuts)
	}
	if allZonesSlow(raw) || j.slowedAlike(paths) {
		j.allSlowAt = now
	}
	// A zone is deemed slow for longer than it is; so is it deemed that all are.
	out.Shared = j.allSlowAt > 0 && now-j.allSlowAt <= holdSound+holdBad
	for _, t := range to {
		j.updateVerdict(now, t, raw[t], why[t])
	}
	for t, s := range j.verdicts {
		if _, judged := raw[t]; !judged {
			j.updateVerdict(now, t, Unknown, "nothing is sent there")
		}
		out.Zones[t], out.Why[t] = s.now, s.why
	}
	if !out.Shared {
		j.learnUsualLatency(now, paths, pathVerdicts)
	}
	j.lastEvaluation = now
	return out
}

// heard leaves out the mixers of zones of which nothing comes any more: what they saw last was
// before whatever silenced them.
func withoutSilentZones(now time.Duration, rows []mixerEvidence) []mixerEvidence {
	latest := map[string]time.Duration{}
	for _, r := range rows {
		latest[r.zone] = max(latest[r.zone], r.receivedAt)
	}
	return slices.DeleteFunc(rows, func(r mixerEvidence) bool { return now-latest[r.zone] > zoneReportTimeout })
}

// gather adds up what the mixers of each zone saw of each zone's nodes, in their last few
// reports and, but for latencies, in the last ones.
func aggregatePaths(rows []mixerEvidence, excluded []string) (paths, last map[[2]string]Evidence, from, to []string) {
	paths, last = map[[2]string]Evidence{}, map[[2]string]Evidence{}
	for _, r := range rows {
		if slices.Contains(excluded, r.mixer) {
			continue
		}
		if !slices.Contains(from, r.zone) {
			from = append(from, r.zone)
		}
		for i, report := range r.reports {
			for z, e := range report {
				at := [2]string{r.zone, z}
				sum := paths[at]
				sum.addCounts(e)
				sum.mergeLatency(e)
				paths[at] = sum
				if i == len(r.reports)-1 {
					sum := last[at]
					sum.addCounts(e)
					last[at] = sum
				}
			}
		}
		for z := range r.totals {
			if !slices.Contains(to, z) {
				to = append(to, z)
			}
		}
	}
	slices.Sort(from)
	slices.Sort(to)
	return paths, last, from, to
}

// cell is how one zone's mixers see another's nodes.
func (j *Judge) pathVerdict(at [2]string, e, last Evidence) Verdict {
	badShare := 0.0
	if e.Nodes > 2 {
		badShare = float64(e.BadNodes) / float64(e.Nodes)
	}
	onlyBadNodes := badShare > 0 && badShare < badNodesLimit && e.failedShare() <= badNodesFactor*badShare+badNodesMargin
	transitioning := e.Nodes > 0 && float64(e.TransitioningNodes) >= transitionShare*float64(e.Nodes)
	usual := j.usualLatencyOf(at)
	switch {
	case last.Overdue >= minParts && last.SilentFor >= darkSilence:
		return Dark
	case e.Sent() < minParts:
		return Unknown
	case e.lostShare() >= darkShare:
		return Dark
	case e.failedShare() >= failingShare && !onlyBadNodes && !transitioning:
		return Failing
	case usual > 0 && e.medianLatency() > slowFactor*usual && e.lateShare() >= slowLateShare && !transitioning && !(badShare > 0 && badShare < badNodesLimit):
		return Slow
	}
	return Sound
}

// learn takes in what is usual, from what is sound. Guards against a pair that is first seen
// while all are slow, as nothing was sent there before: its slowness is not what is usual.
func (j *Judge) learnUsualLatency(now time.Duration, paths map[[2]string]Evidence, pathVerdicts map[[2]string]Verdict) {
	weight := 1 - math.Exp(-(now-j.lastEvaluation).Seconds()/usualLatencyWindow.Seconds())
	for at, e := range paths {
		m := e.medianLatency()
		if pathVerdicts[at] != Sound || m == 0 {
			continue
		}
		if old, known := j.usualLatency[at]; known {
			j.usualLatency[at] = old + weight*(m-old)
		} else {
			j.usualLatency[at] = m
			if limit := j.usualLatencyOf(unknownPair); limit > 0 {
				j.usualLatency[at] = min(m, limit)
			}
		}
	}
}

var unknownPair = [2]string{} // a pair of which nothing is known

// of is what is usual between two zones: where that is not known yet, what it may be at most, by
// what is usual between others; 0: nothing is known.
func (j *Judge) usualLatencyOf(at [2]string) float64 {
	if x, known := j.usualLatency[at]; known {
		return x
	}
	if known := slices.Sorted(maps.Values(j.usualLatency)); len(known) > 0 {
		return unknownPairFactor * known[len(known)/2]
	}
	return 0
}

// off names the mixers whose own word is worth nothing: those that stand still for long, and
// those to which everything looks bad that looks sound to most others.
func (j *Judge) excludedMixers(rows []mixerEvidence) (list []string) {
	soundCounts := map[string][2]int{} // by zone of nodes: mixers to which it looks sound, and all
	for _, r := range rows {
		for z, e := range r.totals {
			if e.Sent() == 0 {
				continue
			}
			n := soundCounts[z]
			if n[1]++; e.failedShare() < failingShare {
				n[0]++
			}
			soundCounts[z] = n
		}
	}
	for _, r := range rows {
		if r.lag > maxMixerLag {
			list = append(list, r.mixer)
			continue
		}
		zones, against := 0, 0
		for z, e := range r.totals {
			if e.Sent() == 0 {
				continue
			}
			zones++
			if n := soundCounts[z]; e.failedShare() >= failingShare && 2*n[0] > n[1] {
				against++
			}
		}
		// Of a zone whose mixers are all cut off the others still tell; the pairs say the rest.
		if zones > 1 && against == zones {
			list = append(list, r.mixer)
		}
	}
	return list
}

// column is how a zone's nodes are, by what the mixers of all zones see of them.
func (j *Judge) zoneVerdict(t string, from, to []string, pathVerdicts map[[2]string]Verdict, paths map[[2]string]Evidence, badPaths map[[2]string]Verdict) (Verdict, string) {
	var badVerdicts []Verdict
	var bad, sound []string
	for _, o := range from {
		switch v := pathVerdicts[[2]string{o, t}]; {
		case v == Unknown:
		case v == Sound:
			sound = append(sound, o)
		default:
			bad = append(bad, o)
			badVerdicts = append(badVerdicts, v)
		}
	}
	slices.Sort(badVerdicts)
	switch {
	case len(bad) == 0 && len(sound) == 0:
		return Unknown, "too little is sent there"
	case len(bad) == 0:
		return Sound, ""
	case len(sound) > 0:
		// Somebody reaches it well: the way there is bad for the others, not the zone.
		for _, o := range bad {
			badPaths[[2]string{o, t}] = pathVerdicts[[2]string{o, t}]
		}
		return Sound, fmt.Sprintf("sound from %s, not from %s", strings.Join(sound, ", "), strings.Join(bad, ", "))
	case len(bad) == 1 && bad[0] != t && !isOnlySource(bad[0], from):
		// One zone's word alone, on a way that nobody else uses, may be that way's fault. Where
		// it is all that anybody hears, as its own mixers are gone, it has to do.
		if v, o := badVerdicts[0], bad[0]; v != Dark || !otherZonesSound(o, t, to, pathVerdicts) {
			badPaths[[2]string{o, t}] = v
			return Unknown, "seen from " + o + " alone"
		}
	}
	// The mildest word of most: whoever sees worse may be half cut off besides.
	v := badVerdicts[(len(badVerdicts)-1)/2]
	sum := Evidence{}
	for _, o := range bad {
		sum.addCounts(paths[[2]string{o, t}])
	}
	return v, fmt.Sprintf("of %d parts from %s: %.0f%% without a word, %.0f%% of no use, %.0f%% of answers late, %d of %d nodes bad", sum.Sent(),
		strings.Join(bad, ", "), 100*sum.lostShare(), 100*sum.failedShare(), 100*sum.lateShare(), sum.BadNodes, sum.Nodes)
}

// lonely reports whether no other zone has mixers that tell anything.
func isOnlySource(o string, from []string) bool { return len(from) == 1 && from[0] == o }

// othersSound reports whether a zone's mixers see all other zones well.
func otherZonesSound(o, except string, to []string, pathVerdicts map[[2]string]Verdict) bool {
	for _, t := range to {
		if v := pathVerdicts[[2]string{o, t}]; t != except && v != Sound && v != Unknown {
			return false
		}
	}
	return true
}

// shared reports whether all zones that anything is known of are slow alike, or worse.
func allZonesSlow(raw map[string]Verdict) bool {
	known, slow := 0, 0
	for _, v := range raw {
		if v == Unknown {
			continue
		}
		known++
		if v == Slow || v == Failing {
			slow++
		}
	}
	return known > 1 && slow == known
}

// alike reports whether what slows the slowest zone slows all others by half as much or more,
// by its times or by the time that it adds: what all depend on is slow, and no zone is the better
// one.
func (j *Judge) slowedAlike(paths map[[2]string]Evidence) bool {
	slowdowns, delays := map[string]float64{}, map[string]float64{} // by zone of nodes, of the usual, to whom it is quickest
	for at, e := range paths {
		usualLatency, m := j.usualLatency[at], e.medianLatency()
		if usualLatency == 0 || m == 0 || e.Sent() < minParts {
			continue
		}
		if x, known := slowdowns[at[1]]; !known || m/usualLatency < x {
			slowdowns[at[1]] = m / usualLatency
		}
		if x, known := delays[at[1]]; !known || m-usualLatency < x {
			delays[at[1]] = m - usualLatency
		}
	}
	minSlowdown, maxSlowdown := minMax(slowdowns)
	minDelay, maxDelay := minMax(delays)
	return len(slowdowns) > 1 && maxSlowdown > slowFactor && (minSlowdown >= allSlowShare*maxSlowdown || minDelay >= allSlowShare*maxDelay)
}

// ends are the least and the largest.
func minMax(list map[string]float64) (lowest, highest float64) {
	lowest, highest = math.Inf(1), math.Inf(-1)
	for _, x := range list {
		lowest, highest = min(lowest, x), max(highest, x)
	}
	return lowest, highest
}

// settle lets a verdict change once the new one has held for long enough.
func (j *Judge) updateVerdict(now time.Duration, t string, v Verdict, why string) {
	s := j.verdicts[t]
	if s == nil {
		s = &verdictState{now: v, why: why, candidate: v, candidateSince: now}
		if v > Sound {
			s.now = Unknown // what is bad from the start has to hold as well
		}
		j.verdicts[t] = s
	}
	if v != s.candidate {
		s.candidate, s.candidateSince = v, now
	}
	if v == s.now {
		s.why = why
		return
	}
	hold := holdBad
	switch {
	case v == Dark:
		hold = holdDark
	case v < s.now:
		hold = holdSound
	}
	if now-s.candidateSince >= hold {
		s.now, s.why = v, why
	}
}

// Names are the zones judged, sorted.
func (j Judgement) ZoneNames() []string { return slices.Sorted(maps.Keys(j.Zones)) }
