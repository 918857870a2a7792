// Package zone tells from the evidence of a whole fleet of mixers whether a zone's stock
// nodes have gone bad, and says what the fleet sends there: it leaves a zone, in whole or
// in part, and returns at a pace that cold nodes bear. It is pure: no I/O, no clock, no
// goroutine. Times are of the caller's monotonic clock; none is compared between
// processes.
//
// docs/design/zones.md derives the rules and says why they hold.
package zone

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	sketchAccuracy  = 0.05                    // relative, of latencies
	sketchBins      = 64                      // of a sketch; beyond that the quick ones are taken together
	reportsPerMixer = 3                       // reports of a mixer that count
	reportTTL       = 3500 * time.Millisecond // for so long after it came
	maxMixers       = 4096
	maxZones        = 64

	maxSketchBytes = 2 << 10
)

// Evidence is what one mixer saw of one zone's nodes since its last report. Of a zone
// that is left or silent checks count as parts do: they are all there is.
type Evidence struct {
	InTime             uint32 // parts answered within the time that was planned for them
	Late               uint32 // answered, and later
	Unanswered         uint32 // given up without a word
	Refused            uint32 // turned away
	Failed             uint32 // answered with an error, or broken off
	Unconnected        uint32 // whose connection never came up
	Nodes              uint16 // that it sent to
	BadNodes           uint16 // those of which most parts were none of the first two
	TransitioningNodes uint16 // those that leave or are cold, by the list
	// Unheard parts were sent since the last word of any of its nodes, which came Quiet ago,
	// and should have been answered by now.
	Overdue   uint32
	SilentFor time.Duration
	// Latency is of the answers, in seconds; nil: there were none.
	Latency *ddsketch.DDSketch
}

// Sent is how many parts it rests on.
func (e Evidence) Sent() uint32 {
	return e.InTime + e.Late + e.Unanswered + e.Refused + e.Failed + e.Unconnected
}

// lost is the share of parts of which nothing was heard.
func (e Evidence) lostShare() float64 { return ratio(e.Unanswered+e.Unconnected, e.Sent()) }

// wrong is the share of parts that were of no use.
func (e Evidence) failedShare() float64 { return ratio(e.Sent()-e.InTime-e.Late, e.Sent()) }

// late is the share of answers that came late.
func (e Evidence) lateShare() float64 { return ratio(e.Late, e.InTime+e.Late) }

func ratio(part, of uint32) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}

// Answered notes an answer's latency.
func (e *Evidence) RecordAnswer(took time.Duration, inTime bool) {
	if e.Latency == nil {
		e.Latency = newSketch()
	}
	if err := e.Latency.Add(took.Seconds()); err != nil {
		return // a time that is none
	}
	if inTime {
		e.InTime++
	} else {
		e.Late++
	}
}

func newSketch() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(sketchAccuracy)
	if err != nil {
		panic(err) // of a constant
	}
	return ddsketch.NewDDSketch(m, store.NewCollapsingLowestDenseStore(sketchBins), store.NewCollapsingLowestDenseStore(sketchBins))
}

// Latencies is the sketch as it travels; nil: there is none.
func (e Evidence) EncodeLatencies() (b []byte) {
	if e.Latency != nil {
		e.Latency.Encode(&b, true)
	}
	return b
}

// SetLatencies takes one that has travelled.
func (e *Evidence) DecodeLatencies(b []byte) error {
	s := newSketch()
	if len(b) > maxSketchBytes {
		return errors.New("a sketch that is too long")
	}
	if err := s.DecodeAndMergeWith(b); err != nil {
		return fmt.Errorf("latencies: %w", err)
	}
	if n := s.GetCount(); !(n > 0 && n < math.MaxUint32) {
		return errors.New("latencies of no answers")
	}
	e.Latency = s
	return nil
}

// add adds the counts of another report of the same zone.
func (e *Evidence) addCounts(o Evidence) {
	switch {
	case o.Sent()+o.Overdue == 0:
	case e.Sent()+e.Overdue == 0:
		e.SilentFor = o.SilentFor
	default:
		e.SilentFor = min(e.SilentFor, o.SilentFor)
	}
	e.Overdue += o.Overdue
	e.InTime, e.Late, e.Unanswered = e.InTime+o.InTime, e.Late+o.Late, e.Unanswered+o.Unanswered
	e.Refused, e.Failed, e.Unconnected = e.Refused+o.Refused, e.Failed+o.Failed, e.Unconnected+o.Unconnected
	e.Nodes, e.BadNodes, e.TransitioningNodes = max(e.Nodes, o.Nodes), max(e.BadNodes, o.BadNodes), max(e.TransitioningNodes, o.TransitioningNodes)
}

// addLatency adds its latencies, which takes far longer than the counts.
func (e *Evidence) mergeLatency(o Evidence) {
	if o.Latency == nil {
		return
	}
	if e.Latency == nil {
		e.Latency = newSketch()
	}
	_ = e.Latency.MergeWith(o.Latency) // fails only for a sketch of another accuracy, which Take does not let in
}

// median is of the latencies, in seconds; 0: none is known.
func (e Evidence) medianLatency() float64 {
	if e.Latency == nil {
		return 0
	}
	median, err := e.Latency.GetValueAtQuantile(0.5)
	if err != nil {
		return 0
	}
	return median
}

// Report is one mixer's evidence, about once a second.
type Report struct {
	Mixer string
	Zone  string // its own
	Seq   uint64 // counts its reports
	Lag   time.Duration
	Zones map[string]Evidence // by the nodes' zone
}

// Board keeps the latest reports of all mixers.
type ReportStore struct {
	mixers map[string]*mixerReports
}

type mixerReports struct {
	zone    string
	lastSeq uint64
	list    []receivedReport // the oldest first
}

type receivedReport struct {
	receivedAt time.Duration
	Report
}

// NewBoard returns a Board without reports.
func NewReportStore() *ReportStore { return &ReportStore{mixers: map[string]*mixerReports{}} }

// Take takes a report. One that is old, or comes again, changes nothing.
func (b *ReportStore) Put(now time.Duration, r Report) {
	if r.Mixer == "" || r.Zone == "" || len(r.Zones) > maxZones {
		return
	}
	s := b.mixers[r.Mixer]
	if s == nil {
		if len(b.mixers) >= maxMixers {
			b.DropStale(now)
		}
		if len(b.mixers) >= maxMixers {
			return // guards memory against names without end
		}
		s = &mixerReports{}
		b.mixers[r.Mixer] = s
	}
	if r.Seq <= s.lastSeq {
		return
	}
	for name, e := range r.Zones {
		if e.Latency != nil && math.Abs(e.Latency.RelativeAccuracy()-sketchAccuracy) > 1e-9 {
			e.Latency = nil // by a program with other sketches
			r.Zones[name] = e
		}
	}
	s.zone, s.lastSeq = r.Zone, r.Seq
	s.list = append(s.list, receivedReport{now, r})
	s.list = s.list[max(0, len(s.list)-reportsPerMixer):]
}

// Forget drops mixers of which nothing has come for long.
func (b *ReportStore) DropStale(now time.Duration) {
	for name, s := range b.mixers {
		if len(s.list) == 0 || now-s.list[len(s.list)-1].receivedAt > 20*reportTTL {
			delete(b.mixers, name)
		}
	}
}

// row is what one mixer has seen of late.
type mixerEvidence struct {
	mixer, zone string
	lag         time.Duration
	receivedAt  time.Duration         // when its last report came
	reports     []map[string]Evidence // its last few, the oldest first
	totals      map[string]Evidence   // their counts in sum
}

// rows are all mixers' evidence that still counts, by name.
func (b *ReportStore) recentEvidence(now time.Duration) (list []mixerEvidence) {
	for name, s := range b.mixers {
		r := mixerEvidence{mixer: name, zone: s.zone, totals: map[string]Evidence{}}
		for _, k := range s.list {
			if now-k.receivedAt > reportTTL {
				continue
			}
			r.lag, r.receivedAt = k.Lag, k.receivedAt
			r.reports = append(r.reports, k.Zones)
			for z, e := range k.Zones {
				sum := r.totals[z]
				sum.addCounts(e)
				r.totals[z] = sum
			}
		}
		if len(r.reports) > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b mixerEvidence) int { return strings.Compare(a.mixer, b.mixer) })
	return list
}
