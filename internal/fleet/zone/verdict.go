package zone

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Verdict is the state of a zone's nodes, or of these nodes as the mixers of one zone see them.
type Verdict uint8

// The verdicts, from the best to the worst.
const (
	Unknown Verdict = iota // too little is known
	Sound
	Slow
	Failing
	Dark // nothing is heard of it
)

var verdictNames = [...]string{"unknown", "sound", "slow", "failing", "dark"}

// String returns the verdict's name as operators see it.
func (v Verdict) String() string { return verdictNames[v] }

// Thresholds of the verdicts. A better verdict has to hold for longer than a worse one before it is
// accepted, to prevent flapping.
const (
	minParts           = 12                      // from mixers of one zone to nodes of another; with fewer parts, shares mean nothing
	darkShare          = 0.7                     // share of parts without any answer
	darkSilence        = 600 * time.Millisecond  // without any answer to a mixer of a zone, though minParts or more are overdue
	failingShare       = 0.3                     // share of parts without a useful answer
	slowFactor         = 2.5                     // multiple of the usual latency between the two zones
	slowLateShare      = 0.25                    // minimum share of late answers
	unknownPairFactor  = 1.5                     // multiple of the usual latency between other zones that is accepted as usual for a pair seen for the first time
	allSlowShare       = 0.5                     // if all zones are slowed by this share of what the slowest one is, all are slow
	badNodesLimit      = 0.5                     // If fewer than this share of a zone's nodes are bad,
	badNodesFactor     = 1.5                     // and the failed share is at most this multiple of the share of bad nodes
	badNodesMargin     = 0.05                    // plus this margin, the fault lies in these nodes and not in the zone
	transitionShare    = 0.5                     // if this share of a zone's nodes is leaving or cold, a release is under way
	usualLatencyWindow = 60 * time.Second        // time constant of the mean of the usual latency
	maxMixerLag        = 150 * time.Millisecond  // a mixer whose event loop lags by more is stalled
	zoneReportTimeout  = 1300 * time.Millisecond // reports of a zone's mixers do not count if none of them has reported for this time
	holdDark           = 300 * time.Millisecond  // time that a Dark verdict has to hold until it is accepted
	holdBad            = 2 * time.Second         // for another verdict that is worse than the present one
	holdSound          = 2500 * time.Millisecond // for a better verdict
)

// Judgement is the result of one evaluation of all zones.
type Judgement struct {
	Zones  map[string]Verdict    // by zone of the nodes
	Why    map[string]string     // reason of each verdict
	Cuts   map[[2]string]Verdict // how the mixers of the first zone see the nodes of the second, where others see them better
	Off    []string              // mixers that are cut off or stalled themselves: their evidence does not count
	Shared bool                  // all zones are slow to a similar degree: no zone is better than another
}

// Judge derives verdicts on zones from the reports in a ReportStore.
type Judge struct {
	usualLatency   map[[2]string]float64 // seconds, by the mixers' and the nodes' zone
	verdicts       map[string]*verdictState
	lastEvaluation time.Duration
	allSlowAt      time.Duration // when all zones were last slow alike; 0: never
}

// verdictState is the accepted verdict on a zone and the candidate that may replace it.
type verdictState struct {
	now            Verdict // the accepted verdict
	why            string  // its reason
	candidate      Verdict
	candidateSince time.Duration // since when the candidate has held
}

// NewJudge returns a Judge without history.
func NewJudge() *Judge {
	return &Judge{usualLatency: map[[2]string]float64{}, verdicts: map[string]*verdictState{}}
}

// Evaluate judges the evidence as of a time. It is called about five times a second.
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
	// A verdict outlasts the slowness of its zone by the hold times, so Shared has to do the same.
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

// withoutSilentZones removes the mixers of zones that have stopped reporting: their last reports
// are from before whatever silenced them.
func withoutSilentZones(now time.Duration, rows []mixerEvidence) []mixerEvidence {
	latest := map[string]time.Duration{}
	for _, r := range rows {
		latest[r.zone] = max(latest[r.zone], r.receivedAt)
	}
	return slices.DeleteFunc(rows, func(r mixerEvidence) bool { return now-latest[r.zone] > zoneReportTimeout })
}

// aggregatePaths adds up what the mixers of each zone observed of the nodes of each zone: paths
// over their latest few reports, and last, without latencies, over the latest report of each.
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

// pathVerdict returns how the mixers of one zone see the nodes of another.
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

// learnUsualLatency updates the usual latencies from the sound paths. It limits the first value of
// a pair: if a pair is first used while all zones are slow, as nothing was sent there before, its
// latency then is not the usual one.
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

var unknownPair = [2]string{} // a pair of zones of which nothing is known

// usualLatencyOf returns the usual latency between two zones in seconds. If it is not known yet, it
// returns an upper limit from the median of the other pairs; 0: nothing is known.
func (j *Judge) usualLatencyOf(at [2]string) float64 {
	if x, known := j.usualLatency[at]; known {
		return x
	}
	if known := slices.Sorted(maps.Values(j.usualLatency)); len(known) > 0 {
		return unknownPairFactor * known[len(known)/2]
	}
	return 0
}

// excludedMixers returns the mixers whose evidence is worthless: those that are stalled for long,
// and those that see all zones as bad although most mixers see each of them as sound.
func (j *Judge) excludedMixers(rows []mixerEvidence) (list []string) {
	soundCounts := map[string][2]int{} // by zone of the nodes: number of mixers that see it sound, and of all that see it
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
		// If all mixers of a zone are cut off, the mixers of other zones still report on its nodes,
		// and the verdicts on single paths cover the rest.
		if zones > 1 && against == zones {
			list = append(list, r.mixer)
		}
	}
	return list
}

// zoneVerdict returns the verdict on a zone's nodes from what the mixers of all zones see of them,
// and its reason. It adds paths that are worse than others to badPaths.
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
		// Mixers of some zone reach it well, so the path is bad for the others, and the zone itself
		// is not.
		for _, o := range bad {
			badPaths[[2]string{o, t}] = pathVerdicts[[2]string{o, t}]
		}
		return Sound, fmt.Sprintf("sound from %s, not from %s", strings.Join(sound, ", "), strings.Join(bad, ", "))
	case len(bad) == 1 && bad[0] != t && !isOnlySource(bad[0], from):
		// A report from one zone alone may be caused by a fault of the path, which no other zone
		// uses. It has to suffice if it is the only source, as the zone's own mixers are gone.
		if v, o := badVerdicts[0], bad[0]; v != Dark || !otherZonesSound(o, t, to, pathVerdicts) {
			badPaths[[2]string{o, t}] = v
			return Unknown, "seen from " + o + " alone"
		}
	}
	// The lower median of the bad verdicts: mixers that see worse may be partly cut off as well.
	v := badVerdicts[(len(badVerdicts)-1)/2]
	sum := Evidence{}
	for _, o := range bad {
		sum.addCounts(paths[[2]string{o, t}])
	}
	return v, fmt.Sprintf("of %d parts from %s: %.0f%% without a word, %.0f%% of no use, %.0f%% of answers late, %d of %d nodes bad", sum.Sent(),
		strings.Join(bad, ", "), 100*sum.lostShare(), 100*sum.failedShare(), 100*sum.lateShare(), sum.BadNodes, sum.Nodes)
}

// isOnlySource reports whether no mixers of another zone report anything.
func isOnlySource(o string, from []string) bool { return len(from) == 1 && from[0] == o }

// otherZonesSound reports whether the mixers of a zone see all zones except one as sound or
// unknown.
func otherZonesSound(o, except string, to []string, pathVerdicts map[[2]string]Verdict) bool {
	for _, t := range to {
		if v := pathVerdicts[[2]string{o, t}]; t != except && v != Sound && v != Unknown {
			return false
		}
	}
	return true
}

// allZonesSlow reports whether all zones with a known verdict are slow or failing.
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

// slowedAlike reports whether the other zones are slowed by at least half as much as the slowest
// one, either by the ratio to the usual latency or by the time added. Then something that all zones
// depend on is slow, and no zone is better than another.
func (j *Judge) slowedAlike(paths map[[2]string]Evidence) bool {
	slowdowns, delays := map[string]float64{}, map[string]float64{} // by zone of the nodes, compared to the usual latency, on the quickest path
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

// minMax returns the smallest and the largest value.
func minMax(list map[string]float64) (lowest, highest float64) {
	lowest, highest = math.Inf(1), math.Inf(-1)
	for _, x := range list {
		lowest, highest = min(lowest, x), max(highest, x)
	}
	return lowest, highest
}

// updateVerdict changes the verdict on a zone after the new one has held for its hold time.
func (j *Judge) updateVerdict(now time.Duration, t string, v Verdict, why string) {
	s := j.verdicts[t]
	if s == nil {
		s = &verdictState{now: v, why: why, candidate: v, candidateSince: now}
		if v > Sound {
			s.now = Unknown // a verdict that is bad from the start has to hold first as well
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

// ZoneNames returns the names of the judged zones, sorted.
func (j Judgement) ZoneNames() []string { return slices.Sorted(maps.Keys(j.Zones)) }
