package otlp

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"kiteloft/internal/tracing"
)

const ms = time.Millisecond

var source = Encoder{Mixer: "n0", Version: "v", Epoch: time.Unix(1_700_000_000, 0), Classes: []string{"lookup", "report"}, Zones: []string{"a", "b"}}

// sample returns a query that uses every kind of record that a trace can hold.
func sample() *tracing.Query {
	return &tracing.Query{Trace: tracing.KeyedTrace("x", "y"), Root: tracing.SpanID{1}, Parent: tracing.SpanID{2}, Front: "platform", Class: 1,
		WireID: "9b1f", Begin: time.Hour, TargetTime: time.Hour + 50*ms, Deadline: time.Hour + 500*ms, End: time.Hour + 90*ms, Ending: tracing.Short,
		KeepReasons: tracing.Slow | tracing.PartlyAnswered | tracing.CopyWon, Step2Begin: time.Hour + 40*ms,
		Parts: []tracing.Part{{Place: 0, Answered: true, Shard: 3, Weight: 0.5, Begin: time.Hour, End: time.Hour + 30*ms},
			{Place: 2, Shard: 4, Weight: 0.5, Begin: time.Hour}, {Place: 3, Step: 1, Answered: true, Shard: 3, Weight: 1, Begin: time.Hour + 40*ms, End: time.Hour + 90*ms}},
		Attempts: []tracing.Attempt{{Place: 0, Part: 0, Node: "s-1", Address: "127.0.0.1:1", Zone: 1, Cell: 2, Begin: time.Hour, Connected: time.Hour + ms,
			Written: time.Hour + 2*ms, Heard: time.Hour + 29*ms, End: time.Hour + 30*ms, Over: true, Won: true, MayHaveRun: true, Outcome: 1},
			{Place: 2, Part: 1, Reason: tracing.CopyAttempt, Number: 1, NodeChoice: 3, Node: "s-2", Zone: 0, Begin: time.Hour + 5*ms},
			{Place: 3, Part: 2, Reason: tracing.RetryAttempt, Node: "s-1", Zone: 1, Begin: time.Hour + 41*ms, End: time.Hour + 90*ms, Over: true, Outcome: 4}},
		Events: []tracing.Event{{At: time.Hour + 3*ms, Part: -1, Kind: tracing.GuardTriggered, Text: "honest: x"},
			{At: time.Hour + 4*ms, Part: 1, Kind: tracing.CopyDenied}},
		Dropped: tracing.Dropped{Parts: 1, Attempts: 2}}
}

// TestEncodeDecodeRoundTrip decodes an encoded query and compares.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	q := sample()
	data := source.Encode([]*tracing.Query{q}, []tracing.Loss{{Class: 0, Always: 3, Chance: 2, Unrecorded: 1}}, 2*time.Hour)
	b, err := proto.Marshal(data)
	if err != nil {
		t.Fatal(err)
	}
	var again trace.TracesData
	if err := proto.Unmarshal(b, &again); err != nil {
		t.Fatal(err)
	}
	list, lost, strays, err := Decode(&again)
	if err != nil || len(list) != 1 || strays != 0 {
		t.Fatalf("%d traces, %d strays, %v", len(list), strays, err)
	}
	got := list[0]
	if !got.At.Equal(source.Epoch.Add(time.Hour)) || got.Mixer != "n0" || got.Class != "report" || got.Weight != 1 {
		t.Errorf("read as of %v, %q, %q, weight %v", got.At, got.Mixer, got.Class, got.Weight)
	}
	// Times count from the query's beginning; zones are numbered as they come.
	want := sample()
	want.Class = 0
	shift := func(d *time.Duration) {
		if *d > 0 {
			*d -= time.Hour
		}
	}
	for _, d := range []*time.Duration{&want.Begin, &want.TargetTime, &want.Deadline, &want.End, &want.Step2Begin} {
		shift(d)
	}
	for i := range want.Parts {
		shift(&want.Parts[i].Begin)
		shift(&want.Parts[i].End)
	}
	for i := range want.Attempts {
		a := &want.Attempts[i]
		a.Zone = 1 - a.Zone
		for _, d := range []*time.Duration{&a.Begin, &a.Connected, &a.Written, &a.Heard, &a.End} {
			shift(d)
		}
	}
	for i := range want.Events {
		shift(&want.Events[i].At)
	}
	if diff := cmp.Diff(*want, got.Query, cmpopts.IgnoreUnexported(tracing.Query{})); diff != "" {
		t.Errorf("traces differ: %s", diff)
	}
	if z := got.Zone(&got.Attempts[0]); z != "b" {
		t.Errorf("zone %q, want b", z)
	}
	if len(lost) != 1 || lost[0].Class != "lookup" || lost[0].Always != 3 || lost[0].Chance != 2 || lost[0].Unrecorded != 1 {
		t.Errorf("losses read as %+v", lost)
	}
}

// TestSpansFollowTheirParents checks span IDs, their order and the trace state as a collector sees them.
func TestSpansFollowTheirParents(t *testing.T) {
	q := sample()
	q.KeepReasons, q.SamplingShift = 0, 4
	spans := source.Encode([]*tracing.Query{q}, nil, 0).ResourceSpans[0].ScopeSpans[0].Spans
	if len(spans) != q.Spans() {
		t.Errorf("%d spans, counted as %d", len(spans), q.Spans())
	}
	ids := map[string]bool{string(q.Parent[:]): true}
	for _, sp := range spans {
		if !ids[string(sp.ParentSpanId)] {
			t.Errorf("span %s comes before its parent", sp.Name)
		}
		if ids[string(sp.SpanId)] {
			t.Errorf("two spans of one id")
		}
		ids[string(sp.SpanId)] = true
	}
	if spans[0].TraceState != "ot=th:f" {
		t.Errorf("state %q of a trace that stands for 16", spans[0].TraceState)
	}
}

// TestDecodeForeignSpans decodes spans that kiteloft did not write, and empty containers.
func TestDecodeForeignSpans(t *testing.T) {
	odd := &trace.TracesData{ResourceSpans: []*trace.ResourceSpans{nil, {}, {ScopeSpans: []*trace.ScopeSpans{nil, {Spans: []*trace.Span{
		{TraceId: make([]byte, 16), SpanId: make([]byte, 8), Name: "other"},
		{TraceId: make([]byte, 16), SpanId: make([]byte, 8), Name: nameAttempt},
		{TraceId: make([]byte, 16), SpanId: make([]byte, 8), Kind: trace.Span_SPAN_KIND_SERVER},
		{TraceId: make([]byte, 16), SpanId: make([]byte, 8), Name: nameAttempt}}}}}}}
	list, _, strays, err := Decode(odd)
	if err != nil || len(list) != 1 || strays != 3 {
		t.Errorf("%d traces, %d strays, %v", len(list), strays, err)
	}
	if _, _, _, err := Decode(&trace.TracesData{ResourceSpans: []*trace.ResourceSpans{{ScopeSpans: []*trace.ScopeSpans{{Spans: []*trace.Span{
		{TraceId: []byte{1}}}}}}}}); err == nil {
		t.Error("a span without an id was read")
	}
}
