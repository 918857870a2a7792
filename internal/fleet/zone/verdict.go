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
	leastParts   = 12                     // of one zone's mixers to another's nodes, under which shares say nothing
	darkShare    = 0.7                    // of parts of which nothing was heard
	quietTime    = 600 * time.Millisecond // without a word to any mixer of a zone, though many parts were due
	failingShare = 0.3                    // of parts that were of no use
	slowTimes    = 2.5                    // of what is usual between the two zones
	slowLate     = 0.25                   // of answers that came late, at least
	strangeTimes = 1.5                    // of what is usual between others: what is seen first of a pair is usual up to that
	alikeShare   = 0.5                    // of what the slowest zone is slowed by, that all are
	fewNodes     = 0.5                    // of a zone's nodes: if those that are bad are fewer,
	fewTimes     = 1.5                    // and no more is wrong than so many times their share,
	fewMore      = 0.05                   // and this, it is those nodes, and not the zone
	turningShare = 0.5                    // of a zone's nodes that leave or are cold: a release is under way
	usualPace    = 60 * time.Second       // at which what is usual is learned
	lagging      = 150 * time.Millisecond
	zoneSilent   = 1300 * time.Millisecond // without a report of any of a zone's mixers, their word does not count
	holdDark     = 300 * time.Millisecond
	holdBad      = 2 * time.Second
	holdSound    = 2500 * time.Millisecond
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
	usual    map[[2]string]float64 // seconds, by the mixers' and the nodes' zone
	stands   map[string]*standing
	looked   time.Duration
	sharedAt time.Duration // when all were last slow alike; 0: never
}

type standing struct {
	now   Verdict
	why   string
	next  Verdict
	since time.Duration // for how long next has held
}

// NewJudge returns a Judge that knows nothing.
func NewJudge() *Judge { return &Judge{usual: map[[2]string]float64{}, stands: map[string]*standing{}} }

// Look judges the evidence as it stands. It is called about five times a second.
func (j *Judge) Evaluate(now time.Duration, b *ReportStore) Judgement {
	rows := b.rows(now)
	out := Judgement{Zones: map[string]Verdict{}, Why: map[string]string{}, Cuts: map[[2]string]Verdict{}}
	out.Off = j.off(rows)
	rows = heard(now, rows)
	cells, last, from, to := gather(rows, out.Off)
	voices := map[[2]string]Verdict{}
	for at, e := range cells {
		voices[at] = j.cell(at, e, last[at])
	}
	raw, why := map[string]Verdict{}, map[string]string{}
	for _, t := range to {
		raw[t], why[t] = j.column(t, from, to, voices, cells, out.Cuts)
	}
	if shared(raw) || j.alike(cells) {
		j.sharedAt = now
	}
	// A zone is deemed slow for longer than it is; so is it deemed that all are.
	out.Shared = j.sharedAt > 0 && now-j.sharedAt <= holdSound+holdBad
	for _, t := range to {
		j.settle(now, t, raw[t], why[t])
	}
	for t, s := range j.stands {
		if _, told := raw[t]; !told {
			j.settle(now, t, Unknown, "nothing is sent there")
		}
		out.Zones[t], out.Why[t] = s.now, s.why
	}
	if !out.Shared {
		j.learn(now, cells, voices)
	}
	j.looked = now
	return out
}

// heard leaves out the mixers of zones of which nothing comes any more: what they saw last was
// before whatever silenced them.
func heard(now time.Duration, rows []row) []row {
	latest := map[string]time.Duration{}
	for _, r := range rows {
		latest[r.zone] = max(latest[r.zone], r.at)
	}
	return slices.DeleteFunc(rows, func(r row) bool { return now-latest[r.zone] > zoneSilent })
}

// gather adds up what the mixers of each zone saw of each zone's nodes, in their last few
// reports and, but for latencies, in the last ones.
func gather(rows []row, off []string) (cells, last map[[2]string]Evidence, from, to []string) {
	cells, last = map[[2]string]Evidence{}, map[[2]string]Evidence{}
	for _, r := range rows {
		if slices.Contains(off, r.mixer) {
			continue
		}
		if !slices.Contains(from, r.zone) {
			from = append(from, r.zone)
		}
		for i, report := range r.reports {
			for z, e := range report {
				at := [2]string{r.zone, z}
				sum := cells[at]
				sum.add(e)
				sum.addLatency(e)
				cells[at] = sum
				if i == len(r.reports)-1 {
					sum := last[at]
					sum.add(e)
					last[at] = sum
				}
			}
		}
		for z := range r.sees {
			if !slices.Contains(to, z) {
				to = append(to, z)
			}
		}
	}
	slices.Sort(from)
	slices.Sort(to)
	return cells, last, from, to
}

// cell is how one zone's mixers see another's nodes.
func (j *Judge) cell(at [2]string, e, last Evidence) Verdict {
	bad := 0.0
	if e.Nodes > 2 {
		bad = float64(e.BadNodes) / float64(e.Nodes)
	}
	few := bad > 0 && bad < fewNodes && e.wrong() <= fewTimes*bad+fewMore
	turning := e.Nodes > 0 && float64(e.TransitioningNodes) >= turningShare*float64(e.Nodes)
	usual := j.of(at)
	switch {
	case last.Overdue >= leastParts && last.SilentFor >= quietTime:
		return Dark
	case e.Sent() < leastParts:
		return Unknown
	case e.lost() >= darkShare:
		return Dark
	case e.wrong() >= failingShare && !few && !turning:
		return Failing
	case usual > 0 && e.median() > slowTimes*usual && e.late() >= slowLate && !turning && !(bad > 0 && bad < fewNodes):
		return Slow
	}
	return Sound
}

// learn takes in what is usual, from what is sound. Guards against a pair that is first seen
// while all are slow, as nothing was sent there before: its slowness is not what is usual.
func (j *Judge) learn(now time.Duration, cells map[[2]string]Evidence, voices map[[2]string]Verdict) {
	weight := 1 - math.Exp(-(now-j.looked).Seconds()/usualPace.Seconds())
	for at, e := range cells {
		m := e.median()
		if voices[at] != Sound || m == 0 {
			continue
		}
		if old, known := j.usual[at]; known {
			j.usual[at] = old + weight*(m-old)
		} else {
			j.usual[at] = m
			if most := j.of(strange); most > 0 {
				j.usual[at] = min(m, most)
			}
		}
	}
}

var strange = [2]string{} // a pair of which nothing is known

// of is what is usual between two zones: where that is not known yet, what it may be at most, by
// what is usual between others; 0: nothing is known.
func (j *Judge) of(at [2]string) float64 {
	if x, known := j.usual[at]; known {
		return x
	}
	if known := slices.Sorted(maps.Values(j.usual)); len(known) > 0 {
		return strangeTimes * known[len(known)/2]
	}
	return 0
}

// off names the mixers whose own word is worth nothing: those that stand still for long, and
// those to which everything looks bad that looks sound to most others.
func (j *Judge) off(rows []row) (list []string) {
	sound := map[string][2]int{} // by zone of nodes: mixers to which it looks sound, and all
	for _, r := range rows {
		for z, e := range r.sees {
			if e.Sent() == 0 {
				continue
			}
			n := sound[z]
			if n[1]++; e.wrong() < failingShare {
				n[0]++
			}
			sound[z] = n
		}
	}
	for _, r := range rows {
		if r.lag > lagging {
			list = append(list, r.mixer)
			continue
		}
		zones, against := 0, 0
		for z, e := range r.sees {
			if e.Sent() == 0 {
				continue
			}
			zones++
			if n := sound[z]; e.wrong() >= failingShare && 2*n[0] > n[1] {
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
func (j *Judge) column(t string, from, to []string, voices map[[2]string]Verdict, cells map[[2]string]Evidence, cuts map[[2]string]Verdict) (Verdict, string) {
	var list []Verdict
	var bad, sound []string
	for _, o := range from {
		switch v := voices[[2]string{o, t}]; {
		case v == Unknown:
		case v == Sound:
			sound = append(sound, o)
		default:
			bad = append(bad, o)
			list = append(list, v)
		}
	}
	slices.Sort(list)
	switch {
	case len(bad) == 0 && len(sound) == 0:
		return Unknown, "too little is sent there"
	case len(bad) == 0:
		return Sound, ""
	case len(sound) > 0:
		// Somebody reaches it well: the way there is bad for the others, not the zone.
		for _, o := range bad {
			cuts[[2]string{o, t}] = voices[[2]string{o, t}]
		}
		return Sound, fmt.Sprintf("sound from %s, not from %s", strings.Join(sound, ", "), strings.Join(bad, ", "))
	case len(bad) == 1 && bad[0] != t && !lonely(bad[0], from):
		// One zone's word alone, on a way that nobody else uses, may be that way's fault. Where
		// it is all that anybody hears, as its own mixers are gone, it has to do.
		if v, o := list[0], bad[0]; v != Dark || !othersSound(o, t, to, voices) {
			cuts[[2]string{o, t}] = v
			return Unknown, "seen from " + o + " alone"
		}
	}
	// The mildest word of most: whoever sees worse may be half cut off besides.
	v := list[(len(list)-1)/2]
	sum := Evidence{}
	for _, o := range bad {
		sum.add(cells[[2]string{o, t}])
	}
	return v, fmt.Sprintf("of %d parts from %s: %.0f%% without a word, %.0f%% of no use, %.0f%% of answers late, %d of %d nodes bad", sum.Sent(),
		strings.Join(bad, ", "), 100*sum.lost(), 100*sum.wrong(), 100*sum.late(), sum.BadNodes, sum.Nodes)
}

// lonely reports whether no other zone has mixers that tell anything.
func lonely(o string, from []string) bool { return len(from) == 1 && from[0] == o }

// othersSound reports whether a zone's mixers see all other zones well.
func othersSound(o, but string, to []string, voices map[[2]string]Verdict) bool {
	for _, t := range to {
		if v := voices[[2]string{o, t}]; t != but && v != Sound && v != Unknown {
			return false
		}
	}
	return true
}

// shared reports whether all zones that anything is known of are slow alike, or worse.
func shared(raw map[string]Verdict) bool {
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
func (j *Judge) alike(cells map[[2]string]Evidence) bool {
	times, adds := map[string]float64{}, map[string]float64{} // by zone of nodes, of the usual, to whom it is quickest
	for at, e := range cells {
		usual, m := j.usual[at], e.median()
		if usual == 0 || m == 0 || e.Sent() < leastParts {
			continue
		}
		if x, known := times[at[1]]; !known || m/usual < x {
			times[at[1]] = m / usual
		}
		if x, known := adds[at[1]]; !known || m-usual < x {
			adds[at[1]] = m - usual
		}
	}
	least, most := ends(times)
	leastAdd, mostAdd := ends(adds)
	return len(times) > 1 && most > slowTimes && (least >= alikeShare*most || leastAdd >= alikeShare*mostAdd)
}

// ends are the least and the largest.
func ends(list map[string]float64) (least, most float64) {
	least, most = math.Inf(1), math.Inf(-1)
	for _, x := range list {
		least, most = min(least, x), max(most, x)
	}
	return least, most
}

// settle lets a verdict change once the new one has held for long enough.
func (j *Judge) settle(now time.Duration, t string, v Verdict, why string) {
	s := j.stands[t]
	if s == nil {
		s = &standing{now: v, why: why, next: v, since: now}
		if v > Sound {
			s.now = Unknown // what is bad from the start has to hold as well
		}
		j.stands[t] = s
	}
	if v != s.next {
		s.next, s.since = v, now
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
	if now-s.since >= hold {
		s.now, s.why = v, why
	}
}

// Names are the zones judged, sorted.
func (j Judgement) ZoneNames() []string { return slices.Sorted(maps.Keys(j.Zones)) }
