// Package otlp encodes traces as OpenTelemetry protocol (OTLP) messages, decodes them, and exports
// them to files and to a collector over HTTP. Encoding and export run outside the core's goroutine.
package otlp

import (
	"time"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"kiteloft/internal/tracing"
)

// Encoder encodes the traces of one mixer. Its fields are common to all of them.
type Encoder struct {
	Mixer   string
	Version string
	Epoch   time.Time // the time at which the core's clock is 0
	Classes []string
	Zones   []string
}

// Attribute keys. Those without the prefix "kiteloft." are OpenTelemetry's semantic conventions.
const (
	keyService         = "service.name"
	keyInstance        = "service.instance.id"
	keyVersion         = "service.version"
	keyZone            = "cloud.availability_zone"
	keyAddress         = "server.address"
	keyError           = "error.type"
	keyFront           = "kiteloft.front"
	keySettingsVersion = "kiteloft.settings_version"
	keyClass           = "kiteloft.class"
	keyQuery           = "kiteloft.query.id"
	keyWanted          = "kiteloft.wanted_ms"
	keyDeadline        = "kiteloft.deadline_ms"
	keyEnded           = "kiteloft.ended"
	keyCause           = "kiteloft.cause"
	keyKeptFor         = "kiteloft.kept_for"
	keyWeight          = "kiteloft.weight"
	keyDroppedParts    = "kiteloft.dropped.parts"
	keyDroppedAttempts = "kiteloft.dropped.attempts"
	keyDroppedEvents   = "kiteloft.dropped.events"
	keyStep            = "kiteloft.step"
	keyShard           = "kiteloft.slice"
	keyWeightShare     = "kiteloft.weight_share"
	keyIn              = "kiteloft.in"
	keyNode            = "kiteloft.node"
	keyCell            = "kiteloft.cell"
	keyAttemptNumber   = "kiteloft.attempt"
	keyReason          = "kiteloft.reason"
	keyChoice          = "kiteloft.choice"
	keyOutcome         = "kiteloft.outcome"
	keyMayHaveRun      = "kiteloft.may_have_run"
	keyWon             = "kiteloft.won"
	keyOpen            = "kiteloft.open"
	keyPart            = "kiteloft.part"
	keyText            = "kiteloft.text"
	keyLostAlways      = "kiteloft.lost.always"
	keyLostChance      = "kiteloft.lost.chance"
	keyLostUnrecorded  = "kiteloft.lost.unrecorded"
)

// Names of spans, and of the events of an attempt's span.
const (
	nameStep      = "step"
	namePart      = "part"
	nameAttempt   = "attempt"
	nameLoss      = "traces lost"
	nameConnected = "connected"
	nameWritten   = "written"
	nameHeard     = "heard"
)

const scopeName = "kiteloft"

// Names of enumeration values, indexed by value.
var (
	endNames = words{"open", "served", "short", "refused", "failed", "expired", "deserted"}
	reasons  = words{"first", "further", "copy"}
	outcomes = words{"failed", "ok", "full", "timed-out", "connect-failed", "reset", "cancelled", "moot"}
	choices  = words{"by-offset", "left-slow", "next-best", "late-copy", "stranded"}
	causes   = words{"", "no-hope", "time-up", "part-lost", "unseen", "no-class"}
	events   = words{"guard", "no-token", "no-budget", "cold-full", "asked-again", "joined"}
	keeps    = words{"slow", "not-served", "retried", "copy-won", "cut-short", "guarded", "repeat", "asked-again"}
)

type words []string

func (w words) name(i int) string {
	if i < len(w) {
		return w[i]
	}
	return "unknown"
}

// index returns the index of s, or -1 if there is no such name.
func (w words) index(s string) int {
	for i, x := range w {
		if x == s {
			return i
		}
	}
	return -1
}

// HowName returns the name of the way in which a query ended.
func HowName(h tracing.Ending) string { return endNames.name(int(h)) }

// CauseName returns the name of the decision module's reason for ending a query.
func CauseName(c uint8) string { return causes.name(int(c)) }

// OutcomeName returns the name of an attempt's outcome.
func OutcomeName(o tracing.Outcome) string { return outcomes.name(int(o)) }

// ReasonName returns the name of the reason for which an attempt was made.
func ReasonName(r tracing.Reason) string { return reasons.name(int(r)) }

// ChoiceName returns the name of the decision module's reason for choosing a node.
func ChoiceName(c uint8) string { return choices.name(int(c)) }

// EventName returns the name of a kind of event.
func EventName(k tracing.EventKind) string { return events.name(int(k)) }

// KeepNames returns the names of the reasons for which a trace is kept.
func KeepNames(k tracing.KeepReasons) (list []string) {
	for i, name := range keeps {
		if k&(1<<i) != 0 {
			list = append(list, name)
		}
	}
	return list
}

// Encode returns a message with the spans of the given traces and one span for each report of traces
// that were lost since the previous message. Now is the time of the reports by the core's clock.
func (s Encoder) Encode(list []*tracing.Query, lost []tracing.Loss, now time.Duration) *trace.TracesData {
	spans := make([]*trace.Span, 0, 8*len(list))
	for _, q := range list {
		spans = s.appendQuery(spans, q)
	}
	for _, l := range lost {
		spans = append(spans, s.loss(l, now))
	}
	return &trace.TracesData{ResourceSpans: []*trace.ResourceSpans{{
		Resource: &resource.Resource{Attributes: []*common.KeyValue{text(keyService, scopeName), text(keyInstance, s.Mixer),
			text(keyVersion, s.Version)}},
		ScopeSpans: []*trace.ScopeSpans{{Scope: &common.InstrumentationScope{Name: scopeName, Version: s.Version}, Spans: spans}}}}}
}

func (s Encoder) time(t time.Duration) uint64 { return uint64(s.Epoch.Add(t).UnixNano()) }

func (s Encoder) class(i int) string { return words(s.Classes).name(i) }

func (s Encoder) appendQuery(spans []*trace.Span, q *tracing.Query) []*trace.Span {
	span := func(id, parent tracing.SpanID, name string, kind trace.Span_SpanKind, from, to time.Duration) *trace.Span {
		sp := &trace.Span{TraceId: append([]byte(nil), q.Trace[:]...), SpanId: append([]byte(nil), id[:]...), Name: name, Kind: kind,
			StartTimeUnixNano: s.time(from), EndTimeUnixNano: s.time(max(from, to))}
		if !parent.IsZero() {
			sp.ParentSpanId = append([]byte(nil), parent[:]...)
		}
		spans = append(spans, sp)
		return sp
	}
	root := span(q.Root, q.Parent, "query "+s.class(q.Class), trace.Span_SPAN_KIND_SERVER, q.Begin, q.End)
	s.root(root, q)
	step := func(n int, from, to time.Duration) {
		sp := span(q.StepSpan(n), q.Root, nameStep, trace.Span_SPAN_KIND_INTERNAL, from, to)
		sp.Attributes = []*common.KeyValue{integer(keyStep, int64(n))}
	}
	if len(q.Parts) > 0 {
		first := q.End
		if q.Step2Begin > 0 {
			first = q.Step2Begin
		}
		step(0, q.Begin, first)
		if q.Step2Begin > 0 {
			step(1, q.Step2Begin, q.End)
		}
	}
	for i := range q.Parts {
		p := &q.Parts[i]
		end := p.End
		if !p.Answered {
			end = q.End
			if p.Step == 0 && q.Step2Begin > 0 {
				end = q.Step2Begin
			}
		}
		sp := span(q.PartSpan(i), q.StepSpan(int(p.Step)), namePart, trace.Span_SPAN_KIND_INTERNAL, p.Begin, end)
		sp.Attributes = []*common.KeyValue{integer(keyPart, int64(p.Place)), integer(keyStep, int64(p.Step)), integer(keyShard, int64(p.Shard)),
			number(keyWeightShare, float64(p.Weight)), boolean(keyIn, p.Answered)}
	}
	for i := range q.Attempts {
		s.attempt(span, q, i)
	}
	return spans
}

type addSpanFunc func(id, parent tracing.SpanID, name string, kind trace.Span_SpanKind, from, to time.Duration) *trace.Span

func (s Encoder) root(sp *trace.Span, q *tracing.Query) {
	sp.TraceState = q.State
	if q.KeepReasons == 0 {
		state := "ot=th:" + tracing.Threshold(q.SamplingShift)
		if q.State != "" {
			state += "," + q.State
		}
		sp.TraceState = state
	}
	sp.Attributes = []*common.KeyValue{text(keyFront, q.Front), text(keyClass, s.class(q.Class)), text(keyQuery, q.WireID),
		number(keyWanted, milliseconds(q.TargetTime-q.Begin)), number(keyDeadline, milliseconds(q.Deadline-q.Begin)),
		text(keyEnded, endNames.name(int(q.Ending))), number(keyWeight, q.Weight())}
	if q.Version != 0 {
		sp.Attributes = append(sp.Attributes, integer(keySettingsVersion, int64(q.Version)))
	}
	if q.EndReason != 0 {
		sp.Attributes = append(sp.Attributes, text(keyCause, causes.name(int(q.EndReason))))
	}
	if names := KeepNames(q.KeepReasons); len(names) > 0 {
		sp.Attributes = append(sp.Attributes, list(keyKeptFor, names))
	}
	for _, d := range []struct {
		key string
		n   int
	}{{keyDroppedParts, q.Dropped.Parts}, {keyDroppedAttempts, q.Dropped.Attempts}, {keyDroppedEvents, q.Dropped.Events}} {
		if d.n > 0 {
			sp.Attributes = append(sp.Attributes, integer(d.key, int64(d.n)))
		}
	}
	switch q.Ending {
	case tracing.Served, tracing.Short, tracing.Deserted:
	default:
		sp.Status = &trace.Status{Code: trace.Status_STATUS_CODE_ERROR, Message: endNames.name(int(q.Ending))}
		sp.Attributes = append(sp.Attributes, text(keyError, endNames.name(int(q.Ending))))
	}
	for _, e := range q.Events {
		ev := &trace.Span_Event{TimeUnixNano: s.time(e.At), Name: events.name(int(e.Kind))}
		if e.Part >= 0 && int(e.Part) < len(q.Parts) {
			ev.Attributes = append(ev.Attributes, integer(keyPart, int64(q.Parts[e.Part].Place)))
		}
		if e.Text != "" {
			ev.Attributes = append(ev.Attributes, text(keyText, e.Text))
		}
		sp.Events = append(sp.Events, ev)
	}
}

func (s Encoder) attempt(span addSpanFunc, q *tracing.Query, i int) {
	a := &q.Attempts[i]
	end := a.End
	if !a.Over {
		end = q.End
	}
	sp := span(q.AttemptSpan(i), q.PartSpan(int(a.Part)), nameAttempt, trace.Span_SPAN_KIND_CLIENT, a.Begin, end)
	zone := ""
	if a.Zone >= 0 && int(a.Zone) < len(s.Zones) {
		zone = s.Zones[a.Zone]
	}
	sp.Attributes = []*common.KeyValue{text(keyNode, a.Node), text(keyAddress, a.Address), text(keyZone, zone),
		integer(keyCell, int64(a.Cell)), integer(keyAttemptNumber, int64(a.Number)), text(keyReason, reasons.name(int(a.Reason))),
		text(keyChoice, choices.name(int(a.NodeChoice))), boolean(keyMayHaveRun, a.MayHaveRun), boolean(keyWon, a.Won),
		integer(keyPart, int64(q.Parts[a.Part].Place)), integer("kiteloft.place", int64(a.Place))}
	if a.Over {
		sp.Attributes = append(sp.Attributes, text(keyOutcome, outcomes.name(int(a.Outcome))))
		if a.Outcome != 1 && a.Outcome != 6 {
			sp.Status = &trace.Status{Code: trace.Status_STATUS_CODE_ERROR}
			sp.Attributes = append(sp.Attributes, text(keyError, outcomes.name(int(a.Outcome))))
		}
	} else {
		sp.Attributes = append(sp.Attributes, boolean(keyOpen, true))
	}
	for _, m := range []struct {
		name string
		at   time.Duration
	}{{nameConnected, a.Connected}, {nameWritten, a.Written}, {nameHeard, a.Heard}} {
		if m.at > 0 {
			sp.Events = append(sp.Events, &trace.Span_Event{TimeUnixNano: s.time(m.at), Name: m.name})
		}
	}
}

// loss returns a span that reports how many traces were lost, so that a reader does not take the
// stored traces for all that there were.
func (s Encoder) loss(l tracing.Loss, now time.Duration) *trace.Span {
	id := tracing.KeyedTrace(s.Mixer+s.Epoch.String(), s.class(l.Class)+now.String())
	return &trace.Span{TraceId: id[:], SpanId: append([]byte(nil), id[:8]...), Name: nameLoss, Kind: trace.Span_SPAN_KIND_INTERNAL,
		StartTimeUnixNano: s.time(now), EndTimeUnixNano: s.time(now),
		Attributes: []*common.KeyValue{text(keyClass, s.class(l.Class)), integer(keyLostAlways, int64(l.Always)),
			integer(keyLostChance, int64(l.Chance)), integer(keyLostUnrecorded, int64(l.Unrecorded))}}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func value(key string, v *common.AnyValue) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: v}
}

func text(key, s string) *common.KeyValue {
	return value(key, &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: s}})
}

func integer(key string, n int64) *common.KeyValue {
	return value(key, &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: n}})
}

func number(key string, x float64) *common.KeyValue {
	return value(key, &common.AnyValue{Value: &common.AnyValue_DoubleValue{DoubleValue: x}})
}

func boolean(key string, b bool) *common.KeyValue {
	return value(key, &common.AnyValue{Value: &common.AnyValue_BoolValue{BoolValue: b}})
}

func list(key string, names []string) *common.KeyValue {
	a := &common.ArrayValue{}
	for _, n := range names {
		a.Values = append(a.Values, &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: n}})
	}
	return value(key, &common.AnyValue{Value: &common.AnyValue_ArrayValue{ArrayValue: a}})
}
