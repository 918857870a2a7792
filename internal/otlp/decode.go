package otlp

import (
	"fmt"
	"slices"
	"time"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"kiteloft/internal/tracing"
)

// Trace is the trace of a query as one mixer recorded it.
type Trace struct {
	tracing.Query
	Mixer  string
	Class  string
	Zones  []string  // names that the attempts' Zone fields index
	At     time.Time // when the query began; the times in Query are relative to it
	Weight float64   // the number of queries that this sampled trace represents
}

// LossReport is a mixer's report of the traces of one class that it could not store.
type LossReport struct {
	Mixer, Class string
	At           time.Time
	tracing.Loss
}

// attributes is the attribute list of a resource, a span or an event. A missing attribute, or one of
// another type, reads as the zero value.
type attributes []*common.KeyValue

func (a attributes) get(key string) *common.AnyValue {
	for _, kv := range a {
		if kv.GetKey() == key {
			return kv.GetValue()
		}
	}
	return nil
}

func (a attributes) text(key string) string    { return a.get(key).GetStringValue() }
func (a attributes) integer(key string) int64  { return a.get(key).GetIntValue() }
func (a attributes) number(key string) float64 { return a.get(key).GetDoubleValue() }
func (a attributes) boolean(key string) bool   { return a.get(key).GetBoolValue() }
func (a attributes) duration(key string) time.Duration {
	return time.Duration(a.number(key) * float64(time.Millisecond))
}

// Decode returns the traces and loss reports in a message. Strays is the number of spans that were
// ignored because their root span does not precede them or kiteloft did not write them. On an error,
// the results hold what was decoded before it.
func Decode(data *trace.TracesData) (list []*Trace, lost []LossReport, strays int, err error) {
	for _, rs := range data.GetResourceSpans() {
		mixer := attributes(rs.GetResource().GetAttributes()).text(keyInstance)
		for _, ss := range rs.GetScopeSpans() {
			t, l, n, err := decodeSpans(mixer, ss.GetSpans())
			if err != nil {
				return list, lost, strays, err
			}
			list, lost, strays = append(list, t...), append(lost, l...), strays+n
		}
	}
	return list, lost, strays, nil
}

func decodeSpans(mixer string, spans []*trace.Span) (list []*Trace, lost []LossReport, strays int, err error) {
	var cur *Trace
	var parts map[int64]int32
	for _, sp := range spans {
		at := attributes(sp.GetAttributes())
		switch name := sp.GetName(); {
		case len(sp.GetTraceId()) != 16 || len(sp.GetSpanId()) != 8:
			return list, lost, strays, fmt.Errorf("span %q has no sound id", name)
		case name == nameLoss:
			lost = append(lost, LossReport{Mixer: mixer, Class: at.text(keyClass), At: time.Unix(0, int64(sp.GetStartTimeUnixNano())),
				Loss: tracing.Loss{Always: int(at.integer(keyLostAlways)), Chance: int(at.integer(keyLostChance)),
					Unrecorded: int(at.integer(keyLostUnrecorded))}})
		case sp.GetKind() == trace.Span_SPAN_KIND_SERVER:
			cur, parts = decodeRoot(mixer, sp), map[int64]int32{}
			list = append(list, cur)
		case cur == nil || !slices.Equal(cur.Trace[:], sp.GetTraceId()):
			strays++
		case name == nameStep:
			if at.integer(keyStep) == 1 {
				cur.Step2Begin = cur.since(sp.GetStartTimeUnixNano())
			}
		case name == namePart:
			p := tracing.Part{Place: int32(at.integer(keyPart)), Step: uint8(at.integer(keyStep)), Shard: int32(at.integer(keyShard)),
				Weight: float32(at.number(keyWeightShare)), Answered: at.boolean(keyIn), Begin: cur.since(sp.GetStartTimeUnixNano())}
			if p.Answered {
				p.End = cur.since(sp.GetEndTimeUnixNano())
			}
			parts[int64(p.Place)] = int32(len(cur.Parts))
			cur.Parts = append(cur.Parts, p)
		case name == nameAttempt:
			part, ok := parts[at.integer(keyPart)]
			if !ok {
				strays++
				continue
			}
			cur.addAttempt(sp, at, part)
		default:
			strays++
		}
	}
	for _, t := range list {
		for i := range t.Events { // events refer to parts by place, and are read before the parts
			e := &t.Events[i]
			if e.Part >= 0 {
				e.Part = int32(slices.IndexFunc(t.Parts, func(p tracing.Part) bool { return p.Place == e.Part }))
			}
		}
	}
	return list, lost, strays, nil
}

func (t *Trace) since(nanos uint64) time.Duration { return time.Unix(0, int64(nanos)).Sub(t.At) }

func decodeRoot(mixer string, sp *trace.Span) *Trace {
	at := attributes(sp.GetAttributes())
	t := &Trace{Mixer: mixer, Class: at.text(keyClass), At: time.Unix(0, int64(sp.GetStartTimeUnixNano())), Weight: at.number(keyWeight)}
	q := &t.Query
	copy(q.Trace[:], sp.GetTraceId())
	copy(q.Root[:], sp.GetSpanId())
	copy(q.Parent[:], sp.GetParentSpanId())
	q.Front, q.WireID, q.Version = at.text(keyFront), at.text(keyQuery), uint64(at.integer(keySettingsVersion))
	q.TargetTime, q.Deadline, q.End = at.duration(keyWanted), at.duration(keyDeadline), t.since(sp.GetEndTimeUnixNano())
	q.Ending = tracing.Ending(max(0, endNames.index(at.text(keyEnded))))
	q.EndReason = uint8(max(0, causes.index(at.text(keyCause))))
	for _, v := range at.get(keyKeptFor).GetArrayValue().GetValues() {
		if i := keeps.index(v.GetStringValue()); i >= 0 {
			q.KeepReasons |= 1 << i
		}
	}
	q.Dropped = tracing.Dropped{Parts: int(at.integer(keyDroppedParts)), Attempts: int(at.integer(keyDroppedAttempts)), Events: int(at.integer(keyDroppedEvents))}
	for _, ev := range sp.GetEvents() {
		ea := attributes(ev.GetAttributes())
		e := tracing.Event{At: t.since(ev.GetTimeUnixNano()), Part: -1, Kind: tracing.EventKind(max(0, events.index(ev.GetName()))), Text: ea.text(keyText)}
		if ea.get(keyPart) != nil {
			e.Part = int32(ea.integer(keyPart))
		}
		q.Events = append(q.Events, e)
	}
	return t
}

func (t *Trace) addAttempt(sp *trace.Span, at attributes, part int32) {
	a := tracing.Attempt{Place: int32(at.integer("kiteloft.place")), Part: part, Number: uint8(at.integer(keyAttemptNumber)),
		Reason: tracing.Reason(max(0, reasons.index(at.text(keyReason)))), NodeChoice: uint8(max(0, choices.index(at.text(keyChoice)))),
		Won: at.boolean(keyWon), MayHaveRun: at.boolean(keyMayHaveRun), Cell: int32(at.integer(keyCell)), Node: at.text(keyNode),
		Address: at.text(keyAddress), Zone: -1, Begin: t.since(sp.GetStartTimeUnixNano())}
	if a.Over = !at.boolean(keyOpen); a.Over {
		a.End = t.since(sp.GetEndTimeUnixNano())
		a.Outcome = tracing.Outcome(max(0, outcomes.index(at.text(keyOutcome))))
	}
	if zone := at.text(keyZone); zone != "" {
		i := slices.Index(t.Zones, zone)
		if i < 0 {
			i = len(t.Zones)
			t.Zones = append(t.Zones, zone)
		}
		a.Zone = int16(i)
	}
	for _, ev := range sp.GetEvents() {
		switch when := t.since(ev.GetTimeUnixNano()); ev.GetName() {
		case nameConnected:
			a.Connected = when
		case nameWritten:
			a.Written = when
		case nameHeard:
			a.Heard = when
		}
	}
	t.Attempts = append(t.Attempts, a)
}

// Zone returns the name of an attempt's zone, or "" if it is not known.
func (t *Trace) Zone(a *tracing.Attempt) string {
	if a.Zone < 0 || int(a.Zone) >= len(t.Zones) {
		return ""
	}
	return t.Zones[a.Zone]
}
