package tracing

import (
	"strconv"
	"strings"
	"time"
)

const (
	adaptInterval    = time.Second // how often the sampling probability of a class may change
	newRateWeight    = 0.3         // weight of the latest window in the smoothed rates
	minSampledShare  = 0.05        // share of the limit that sampling keeps, however much is always kept
	doubleBelowShare = 0.7         // the probability is doubled only if sampling then takes at most this share of its room
	maxShift         = 30
)

// sampler adapts the probability with which traces of a class are kept by sampling to a
// limit of spans per second. The probability is a power of 1/2, and a trace kept at a lower
// probability is also kept at any higher one. So mixers that adapt independently keep the
// same traces as far as possible.
type sampler struct {
	limit                   float64 // spans per second
	shift                   uint8   // the probability is 2^-shift
	alwaysRate, otherRate   float64 // spans per second, smoothed
	alwaysSpans, otherSpans int     // spans in the current window
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

// adapt updates the probability at the end of a window. It falls at once, as the limit has
// to hold, and rises by one step per window, as keeping more traces can wait.
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

// sampledByChance reports whether sampling keeps the trace of a query. It depends on the
// trace id and the probability of the class alone, as in OpenTelemetry's consistent
// probability sampling.
func (r *Recorder) sampledByChance(q *Query) bool {
	return q.Trace.random() >= threshold(r.samplers[q.Class].shift)
}

// threshold returns OpenTelemetry's rejection threshold for a probability of 2^-shift.
func threshold(shift uint8) uint64 {
	const all = uint64(1) << randomBits
	return all - all>>shift
}

// Threshold returns the value of th in OpenTelemetry's tracestate for a trace that stands
// for 2^shift traces.
func Threshold(shift uint8) string {
	if shift == 0 {
		return "0"
	}
	s := strconv.FormatUint(threshold(shift), 16)
	s = strings.Repeat("0", randomBits/4-len(s)) + s
	return strings.TrimRight(s, "0")
}

// Weight returns how many queries a kept trace stands for, so that rates can be computed
// from kept traces. It is 1 for a trace that was kept for a reason.
func (q *Query) Weight() float64 {
	if q.KeepReasons != 0 {
		return 1
	}
	return float64(uint64(1) << q.SamplingShift)
}
