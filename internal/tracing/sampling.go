package tracing

import (
	"strconv"
	"strings"
	"time"
)

const (
	adaptInterval    = time.Second // how often a class's probability may change
	newRateWeight    = 0.3         // of a new second in the rates
	minSampledShare  = 0.05        // of the budget that chance keeps, whatever is always kept
	doubleBelowShare = 0.7         // of its room that chance must leave free before it keeps twice as many
	maxShift         = 30
)

// budget is what a class may spend on traces that chance keeps. Their probability
// is a power of a half, so that what one mixer keeps at a lower one is kept at any
// higher one too: mixers that adapt on their own choose alike as far as they can.
type sampler struct {
	limit                   float64 // spans a second
	shift                   uint8   // probability 2^-shift
	alwaysRate, otherRate   float64 // spans a second, smoothed
	alwaysSpans, otherSpans int     // spans in this window
	windowBegin             time.Duration
	begun                   bool
}

func (b *sampler) add(always bool, spans int) {
	if always {
		b.alwaysSpans += spans
	} else {
		b.otherSpans += spans
	}
}

// adapt sets the probability anew once a window is over. It falls at once and
// rises by one step a window: a budget is a promise, a fuller picture is not.
func (b *sampler) adapt(now time.Duration) {
	if !b.begun {
		b.begun, b.windowBegin = true, now
	}
	took := now - b.windowBegin
	if took < adaptInterval {
		return
	}
	w := newRateWeight
	if b.alwaysRate == 0 && b.otherRate == 0 {
		w = 1
	}
	b.alwaysRate += w * (float64(b.alwaysSpans)/took.Seconds() - b.alwaysRate)
	b.otherRate += w * (float64(b.otherSpans)/took.Seconds() - b.otherRate)
	b.alwaysSpans, b.otherSpans, b.windowBegin = 0, 0, now
	room := max(b.limit-b.alwaysRate, minSampledShare*b.limit)
	want := uint8(0)
	for want < maxShift && b.otherRate/float64(uint64(1)<<want) > room {
		want++
	}
	switch {
	case want > b.shift:
		b.shift = want
	case want < b.shift && b.otherRate/float64(uint64(1)<<(b.shift-1)) <= doubleBelowShare*room:
		b.shift--
	}
}

// chosen tells whether chance keeps a query's trace. It goes by the trace's id
// alone, as OpenTelemetry's consistent probability sampling has it.
func (r *Recorder) sampledByChance(q *Query) bool {
	return q.Trace.random() >= threshold(r.samplers[q.Class].shift)
}

// threshold is OpenTelemetry's rejection threshold for a probability of 2^-shift.
func threshold(shift uint8) uint64 {
	const all = uint64(1) << randomBits
	return all - all>>shift
}

// Threshold is the value th of OpenTelemetry's tracestate for a trace that stands
// for 2^shift of its kind.
func Threshold(shift uint8) string {
	if shift == 0 {
		return "0"
	}
	s := strconv.FormatUint(threshold(shift), 16)
	s = strings.Repeat("0", randomBits/4-len(s)) + s
	return strings.TrimRight(s, "0")
}

// Weight is how many queries a kept trace stands for, so that rates can be
// computed from what is kept: 1 for one that is kept for a reason.
func (q *Query) Weight() float64 {
	if q.KeepReasons != 0 {
		return 1
	}
	return float64(uint64(1) << q.SamplingShift)
}
