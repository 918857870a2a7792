package otlp_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"kiteloft/internal/otlp"
	"kiteloft/internal/segments"
	"kiteloft/internal/standin"
	"kiteloft/internal/tracing"
)

var source = otlp.Encoder{Mixer: "n0", Epoch: time.Unix(1_700_000_000, 0), Classes: []string{"lookup"}}

func batch(from, n int) (b otlp.Batch) {
	for i := range n {
		b.Traces = append(b.Traces, &tracing.Query{Trace: tracing.KeyedTrace("t", fmt.Sprint(from+i)), Root: tracing.SpanID{1}, WireID: fmt.Sprint(from + i), Begin: 1, End: 2})
	}
	return b
}

func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// offer passes a batch to the exporter once it is ready.
func offer(t *testing.T, e *otlp.Exporter, b otlp.Batch) {
	t.Helper()
	wait(t, "the exporter is ready", e.Ready)
	e.Offer(b)
}

func finish(t *testing.T, e *otlp.Exporter, within time.Duration) {
	t.Helper()
	done := make(chan struct{})
	e.Shutdown(within, func() { close(done) })
	select {
	case <-done:
	case <-time.After(within + 5*time.Second):
		t.Fatal("the exporter did not end")
	}
}

// ids returns the wire IDs of the queries in messages, in order.
func ids(list []*trace.TracesData) (out []string) {
	for _, data := range list {
		traces, _, _, _ := otlp.Decode(data)
		for _, tr := range traces {
			out = append(out, tr.WireID)
		}
	}
	return out
}

// logLines is a log writer whose text a test can read while it is written to.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestExporterHandlesCollectorResponses covers the ways in which OTLP lets a collector answer.
func TestExporterHandlesCollectorResponses(t *testing.T) {
	first := func(m standin.Manner, times int) func(int) standin.Manner {
		return func(n int) standin.Manner {
			if n < times {
				return m
			}
			return standin.Manner{}
		}
	}
	tests := []struct {
		name     string
		manner   func(int) standin.Manner
		taken    int // messages of two
		asked    int
		rejected int64
		log      string
		least    time.Duration
	}{
		{name: "takes all", taken: 2, asked: 2},
		{name: "is overloaded at first", manner: first(standin.Manner{Status: 503}, 2), taken: 2, asked: 4, log: "export is down"},
		{name: "says when to come back", manner: first(standin.Manner{Status: 429, RetryAfter: "1"}, 1), taken: 2, asked: 3, least: time.Second},
		{name: "has a bad gateway before it", manner: first(standin.Manner{Status: 502}, 1), taken: 2, asked: 3},
		{name: "cuts its answer", manner: first(standin.Manner{Cut: true}, 1), taken: 2, asked: 3, log: "up again"},
		{name: "refuses for good", manner: first(standin.Manner{Status: 400}, 1), taken: 1, asked: 2, rejected: 3, log: "refused"},
		{name: "sends us elsewhere", manner: first(standin.Manner{Status: 307}, 1), taken: 1, asked: 2, rejected: 3, log: "refused"},
		{name: "takes a part", manner: first(standin.Manner{Rejected: 2, Words: "too old"}, 1), taken: 2, asked: 2, rejected: 2, log: "too old"},
		{name: "only warns", manner: first(standin.Manner{Words: "slow down"}, 1), taken: 2, asked: 2, log: "slow down"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, err := standin.NewCollector(tt.manner)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			var log logLines
			e := otlp.NewExporter(source, nil, otlp.NewSender(c.URL()), zerolog.New(&log))
			begun := time.Now()
			offer(t, e, batch(0, 3))
			offer(t, e, batch(3, 2))
			finish(t, e, 10*time.Second)
			asked, wrong := c.Asked()
			if took := len(c.Took()); took != tt.taken || asked != tt.asked || len(wrong) > 0 {
				t.Errorf("%d messages taken of %d asked, want %d and %d; wrong: %v", took, asked, tt.taken, tt.asked, wrong)
			}
			st := e.Stats()
			if n := st.Rejected.Load(); n != tt.rejected || st.AcceptedSpans.Load() != 5-tt.rejected {
				t.Errorf("%d spans rejected and %d taken, want %d of 5 rejected", n, st.AcceptedSpans.Load(), tt.rejected)
			}
			if !strings.Contains(log.String(), tt.log) {
				t.Errorf("log: %s, want %q in it", log.String(), tt.log)
			}
			if took := time.Since(begun); took < tt.least {
				t.Errorf("came back after %v, asked to wait %v", took, tt.least)
			}
		})
	}
}

// TestExporterResumesAfterCollectorRestart restarts the collector at the same address: the message in
// flight and the one that waited for it must arrive once and in order.
func TestExporterResumesAfterCollectorRestart(t *testing.T) {
	c, err := standin.NewCollector(nil)
	if err != nil {
		t.Fatal(err)
	}
	e := otlp.NewExporter(source, nil, otlp.NewSender(c.URL()), zerolog.Nop())
	offer(t, e, batch(0, 1))
	wait(t, "the first is taken", func() bool { return len(c.Took()) == 1 && e.Ready() })
	c.Close()
	e.Offer(batch(1, 2))
	wait(t, "it is tried again", func() bool { return e.Stats().Retries.Load() >= 2 })
	if e.Ready() {
		t.Error("the exporter takes more while it is stuck: nothing would bound what it holds")
	}
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	offer(t, e, batch(3, 1))
	finish(t, e, 10*time.Second)
	c.Close()
	if got := ids(c.Took()); !slices.Equal(got, []string{"0", "1", "2", "3"}) {
		t.Errorf("the collector took %v", got)
	}
}

// TestShutdownIsBoundedWhileCollectorStalls shuts the exporter down while the collector does not answer.
func TestShutdownIsBoundedWhileCollectorStalls(t *testing.T) {
	c, err := standin.NewCollector(func(int) standin.Manner { return standin.Manner{Stall: time.Minute} })
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var log logLines
	e := otlp.NewExporter(source, nil, otlp.NewSender(c.URL()), zerolog.New(&log))
	offer(t, e, batch(0, 1))
	begun := time.Now()
	finish(t, e, 50*time.Millisecond)
	if took := time.Since(begun); took > 5*time.Second || !strings.Contains(log.String(), "left behind") {
		t.Errorf("ended after %v; log: %s", took, log.String())
	}
}

// TestDiskWritesDoNotWaitForCollector exports to disk and to a collector that answers 503 throughout.
func TestDiskWritesDoNotWaitForCollector(t *testing.T) {
	c, err := standin.NewCollector(func(int) standin.Manner { return standin.Manner{Status: 503} })
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	dir := filepath.Join(t.TempDir(), "new")
	disk, err := segments.NewWriter(dir, "n0", 1<<20, 10)
	if err != nil {
		t.Fatal(err)
	}
	e := otlp.NewExporter(source, disk, otlp.NewSender(c.URL()), zerolog.Nop())
	const n = 200
	for i := range n {
		offer(t, e, batch(i, 1))
	}
	finish(t, e, 100*time.Millisecond)
	wait(t, "the segment is closed", func() bool { return e.Stats().WrittenMessages.Load() == n })
	list, err := segments.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, path := range list {
		if err := otlp.ReadSegment(path, func(traces []*otlp.Trace, _ []otlp.LossReport, _ int) {
			for _, tr := range traces {
				got = append(got, tr.WireID)
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	if len(got) != n || got[0] != "0" || got[n-1] != fmt.Sprint(n-1) {
		t.Errorf("%d traces on disk of %d", len(got), n)
	}
	if e.Stats().SkippedMessages.Load() == 0 {
		t.Error("nothing was left out for the collector: what waits for it is not bounded")
	}
}

// TestTracesAreAccountedForAfterOutage records the traces of refused queries while the collector is
// unavailable: a minute of 500 queries a second in 1 MB of memory. The traces that arrive afterwards
// and those reported lost must add up, and each trace must say what was dropped from it.
func TestTracesAreAccountedForAfterOutage(t *testing.T) {
	c, err := standin.NewCollector(func(int) standin.Manner { return standin.Manner{Status: 503} })
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const perSecond, seconds, memory = 500, 60, 1 << 20
	r := tracing.New(tracing.Config{MemoryBytes: memory, Spans: 100, Seed: 3, Classes: []tracing.Class{{Name: "lookup", LatencyTarget: time.Second, Deadline: 4 * time.Second}}})
	e := otlp.NewExporter(source, nil, otlp.NewSender(c.URL()), zerolog.Nop())
	lost := 0
	take := func(now time.Duration) {
		if !e.Ready() {
			return
		}
		b := otlp.Batch{Traces: r.Take(now, 2000), Lost: r.TakeLoss(), Now: now}
		for _, l := range b.Lost {
			lost += l.Always + l.Chance + l.Unrecorded
		}
		if len(b.Traces)+len(b.Lost) > 0 {
			e.Offer(b)
		}
	}
	now := time.Hour
	for range perSecond * seconds {
		now += time.Second / perSecond
		q := r.Begin(now, tracing.Start{Left: time.Second, WireID: "0123456789abcdef"})
		for shard := range 5 {
			p := q.AddPart(now, false, shard, 0.2)
			a := q.AddAttempt(tracing.Attempt{Part: p, Node: "s-1", Begin: now})
			q.EndAttempt(a, now+time.Millisecond, 4, false, false)
		}
		r.End(now+time.Millisecond, q, tracing.Refused, 1)
		if held := r.Stats().Bytes; held > memory {
			t.Fatalf("%d bytes held", held)
		}
		take(now)
	}
	c.Meets(nil)
	for range 100 {
		wait(t, "the exporter is ready", e.Ready)
		take(now)
	}
	finish(t, e, 10*time.Second)
	arrived, thinned := 0, 0
	for _, data := range c.Took() {
		traces, _, _, err := otlp.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, tr := range traces {
			arrived++
			if tr.Dropped.Parts > 0 {
				thinned++
			}
			if len(tr.Parts)+tr.Dropped.Parts != 5 || len(tr.Attempts)+tr.Dropped.Attempts != 5 {
				t.Fatalf("a trace with %d parts and %d dropped: it lies", len(tr.Parts), tr.Dropped.Parts)
			}
		}
	}
	if arrived+lost != perSecond*seconds || thinned == 0 || lost == 0 {
		t.Errorf("%d arrived, %d of them thinned out, %d lost, of %d", arrived, thinned, lost, perSecond*seconds)
	}
	t.Logf("%d of %d arrived, %d thinned out; %d lost and said so", arrived, perSecond*seconds, thinned, lost)
}
