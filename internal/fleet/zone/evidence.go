// Package zone decides from the evidence of a whole fleet of mixers whether the stock nodes of a
// zone have failed, and how much of the traffic the fleet sends to each zone. The fleet leaves a
// failing zone in whole or in part, and returns to it in steps that cold nodes can handle. The
// package is pure: it does no I/O, reads no clock and starts no goroutine. Times are of the
// caller's monotonic clock; no time is compared between processes.
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
	sketchAccuracy  = 0.05                    // relative accuracy of latencies
	sketchBins      = 64                      // bins of a sketch; if more are needed, those of the lowest latencies are merged
	reportsPerMixer = 3                       // latest reports of a mixer that count
	reportTTL       = 3500 * time.Millisecond // age up to which a report counts, from its arrival
	maxMixers       = 4096                    // mixers whose reports are kept
	maxZones        = 64                      // zones in a report

	maxSketchBytes = 2 << 10 // of an encoded latency sketch
)

// Evidence is what one mixer observed of the nodes of one zone since its last report. If the zone
// is left or silent, health checks count like parts, as they are the only evidence.
type Evidence struct {
	InTime             uint32 // parts answered within the planned time
	Late               uint32 // parts answered later than planned
	Unanswered         uint32 // parts given up without any answer
	Refused            uint32 // parts that a node refused
	Failed             uint32 // parts answered with an error, or cut off
	Unconnected        uint32 // parts without a connection
	Nodes              uint16 // nodes that the mixer sent parts to
	BadNodes           uint16 // nodes that answered most of their parts neither in time nor late
	TransitioningNodes uint16 // nodes that are leaving or cold, according to the node list
	// Overdue is the number of parts sent since any node of the zone last answered, SilentFor ago,
	// that should have been answered by now.
	Overdue   uint32
	SilentFor time.Duration
	// Latency holds the latencies of the answers, in seconds; nil: no answers.
	Latency *ddsketch.DDSketch
}

// Sent returns the number of parts that the evidence rests on.
func (e Evidence) Sent() uint32 {
	return e.InTime + e.Late + e.Unanswered + e.Refused + e.Failed + e.Unconnected
}

// lostShare returns the share of parts without any answer.
func (e Evidence) lostShare() float64 { return ratio(e.Unanswered+e.Unconnected, e.Sent()) }

// failedShare returns the share of parts without a useful answer.
func (e Evidence) failedShare() float64 { return ratio(e.Sent()-e.InTime-e.Late, e.Sent()) }

// lateShare returns the share of answers that came late.
func (e Evidence) lateShare() float64 { return ratio(e.Late, e.InTime+e.Late) }

// ratio returns part/of; 0 if of is 0.
func ratio(part, of uint32) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}

// RecordAnswer counts an answer and records its latency.
func (e *Evidence) RecordAnswer(took time.Duration, inTime bool) {
	if e.Latency == nil {
		e.Latency = newSketch()
	}
	if err := e.Latency.Add(took.Seconds()); err != nil {
		return // not a valid latency
	}
	if inTime {
		e.InTime++
	} else {
		e.Late++
	}
}

// newSketch returns an empty latency sketch.
func newSketch() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(sketchAccuracy)
	if err != nil {
		panic(err) // cannot happen: the accuracy is constant
	}
	return ddsketch.NewDDSketch(m, store.NewCollapsingLowestDenseStore(sketchBins), store.NewCollapsingLowestDenseStore(sketchBins))
}

// EncodeLatencies returns the encoded latency sketch; nil if there is none.
func (e Evidence) EncodeLatencies() (b []byte) {
	if e.Latency != nil {
		e.Latency.Encode(&b, true)
	}
	return b
}

// DecodeLatencies sets the latency sketch from its encoded form. It returns an error if the
// encoding is too long or invalid, or holds no latencies.
func (e *Evidence) DecodeLatencies(b []byte) error {
	s := newSketch()
	if len(b) > maxSketchBytes {
		return errors.New("latency sketch is too long")
	}
	if err := s.DecodeAndMergeWith(b); err != nil {
		return fmt.Errorf("latency sketch: %w", err)
	}
	if n := s.GetCount(); !(n > 0 && n < math.MaxUint32) {
		return errors.New("latency sketch holds no answers, or too many")
	}
	e.Latency = s
	return nil
}

// addCounts adds the counts of another report on the same zone, without its latencies.
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

// mergeLatency merges the latencies of another report, which takes far longer than the counts.
func (e *Evidence) mergeLatency(o Evidence) {
	if o.Latency == nil {
		return
	}
	if e.Latency == nil {
		e.Latency = newSketch()
	}
	_ = e.Latency.MergeWith(o.Latency) // fails only for a sketch of another accuracy, which Put drops
}

// medianLatency returns the median latency in seconds; 0 if none is known.
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

// Report is the evidence of one mixer on all zones. Each mixer makes one about every second.
type Report struct {
	Mixer string
	Zone  string              // zone of the mixer
	Seq   uint64              // sequence number of the mixer's reports
	Lag   time.Duration       // longest delay of a timer of the mixer since its previous report
	Zones map[string]Evidence // by the zone of the nodes
}

// ReportStore keeps the latest reports of all mixers.
type ReportStore struct {
	mixers map[string]*mixerReports
}

// mixerReports is the latest reports of one mixer.
type mixerReports struct {
	zone    string
	lastSeq uint64
	list    []receivedReport // oldest first
}

// receivedReport is a report with the time at which it arrived.
type receivedReport struct {
	receivedAt time.Duration
	Report
}

// NewReportStore returns an empty ReportStore.
func NewReportStore() *ReportStore { return &ReportStore{mixers: map[string]*mixerReports{}} }

// Put stores a report that arrived at a time. It ignores old and repeated reports.
func (rs *ReportStore) Put(now time.Duration, r Report) {
	if r.Mixer == "" || r.Zone == "" || len(r.Zones) > maxZones {
		return
	}
	s := rs.mixers[r.Mixer]
	if s == nil {
		if len(rs.mixers) >= maxMixers {
			rs.DropStale(now)
		}
		if len(rs.mixers) >= maxMixers {
			return // bounds memory if there are more names than any fleet has
		}
		s = &mixerReports{}
		rs.mixers[r.Mixer] = s
	}
	if r.Seq <= s.lastSeq {
		return
	}
	for name, e := range r.Zones {
		if e.Latency != nil && math.Abs(e.Latency.RelativeAccuracy()-sketchAccuracy) > 1e-9 {
			e.Latency = nil // from a program version with other sketches
			r.Zones[name] = e
		}
	}
	s.zone, s.lastSeq = r.Zone, r.Seq
	s.list = append(s.list, receivedReport{now, r})
	s.list = s.list[max(0, len(s.list)-reportsPerMixer):]
}

// DropStale drops mixers that have not reported for long.
func (rs *ReportStore) DropStale(now time.Duration) {
	for name, s := range rs.mixers {
		if len(s.list) == 0 || now-s.list[len(s.list)-1].receivedAt > 20*reportTTL {
			delete(rs.mixers, name)
		}
	}
}

// mixerEvidence is what one mixer has seen in its latest reports.
type mixerEvidence struct {
	mixer, zone string
	lag         time.Duration
	receivedAt  time.Duration         // when its latest report came
	reports     []map[string]Evidence // its latest reports, oldest first
	totals      map[string]Evidence   // sums of the counts, by the zone of the nodes
}

// recentEvidence returns the evidence of all mixers that is still valid, sorted by mixer.
func (rs *ReportStore) recentEvidence(now time.Duration) (list []mixerEvidence) {
	for name, s := range rs.mixers {
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
	slices.SortFunc(list, func(a, rs mixerEvidence) int { return strings.Compare(a.mixer, rs.mixer) })
	return list
}
