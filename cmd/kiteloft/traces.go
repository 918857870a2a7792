package main

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/broker"
	"kiteloft/internal/config"
	"kiteloft/internal/otlp"
	"kiteloft/internal/segments"
	"kiteloft/internal/tracing"
)

const (
	shipPace  = 100 * time.Millisecond // how often kept traces are handed to the exporter
	shipSpans = 4000                   // of one batch, about
	endPace   = 10 * time.Millisecond
	endTime   = time.Second // how long the end waits for traces at the most
)

// traces hands what the recorder keeps to the exporter. All of it runs on the core's
// goroutine.
type traces struct {
	core *broker.Core
	rec  *tracing.Recorder
	exp  *otlp.Exporter
	log  zerolog.Logger
}

// newTraces has the core's traces recorded; it returns nil where the configuration
// says that nobody wants them.
func newTraces(core *broker.Core, cfg config.Config, epoch time.Time, log zerolog.Logger) (*traces, error) {
	t := cfg.Tracing
	if !t.On() {
		return nil, nil
	}
	rc := tracing.Config{MemoryBytes: t.MemoryKB << 10, Spans: t.Spans, Seed: cfg.Seed ^ uint64(epoch.UnixNano())}
	src := otlp.Encoder{Mixer: cfg.Name, Version: revision(), Epoch: epoch, Zones: cfg.Settings.Zones}
	for _, c := range cfg.Settings.Module.Classes {
		rc.Classes = append(rc.Classes, tracing.Class{Name: c.Name, LatencyTarget: c.LatencyTarget, LatencyTargetPerWork: c.LatencyTargetPerWork, Deadline: c.Deadline})
		src.Classes = append(src.Classes, c.Name)
	}
	var disk *segments.Writer
	var send *otlp.Sender
	if t.Directory != "" {
		var err error
		name := fmt.Sprintf("%s-%d", cfg.Name, time.Now().UnixMilli())
		if disk, err = segments.NewWriter(t.Directory, name, int64(t.SegmentMB)<<20, t.MaxSegments); err != nil {
			return nil, fmt.Errorf("tracing.directory: %w", err)
		}
	}
	if t.Collector != "" {
		send = otlp.NewSender(t.Collector)
	}
	tr := &traces{core: core, rec: tracing.New(rc), exp: otlp.NewExporter(src, disk, send, log), log: log}
	core.SetTraceRecorder(tr.rec)
	log.Info().Str("collector", t.Collector).Str("directory", t.Directory).Int("memory_kb", t.MemoryKB).Msg("traces are recorded")
	return tr, nil
}

// ship hands over what is kept whenever the exporter has nothing else to do.
func (t *traces) ship() {
	t.offer(shipSpans)
	t.core.After(shipPace, t.ship)
}

func (t *traces) offer(spans int) {
	if !t.exp.Ready() {
		return
	}
	b := otlp.Batch{Traces: t.rec.Take(t.core.Now(), spans), Lost: t.rec.TakeLoss(), Now: t.core.Now()}
	for _, l := range b.Lost {
		t.log.Warn().Str("class", t.rec.ClassName(l.Class)).Int("always", l.Always).Int("chance", l.Chance).
			Int("unrecorded", l.Unrecorded).Msg("traces lost: there was no room for them")
	}
	if len(b.Traces)+len(b.Lost) > 0 {
		t.exp.Offer(b)
	}
}

// finish settles and exports all that is left, and then runs done on the core's
// goroutine, at the latest at the time given.
func (t *traces) finish(until time.Duration, done func()) {
	t.rec.Flush(t.core.Now())
	until = min(until, t.core.Now()+endTime)
	var try func()
	try = func() {
		ready := t.exp.Ready()
		left := until - t.core.Now()
		if !ready && left > 0 {
			t.core.After(endPace, try)
			return
		}
		t.offer(1 << 30)
		t.exp.Shutdown(max(left, 0), func() { t.core.Post(done) })
	}
	try()
}
