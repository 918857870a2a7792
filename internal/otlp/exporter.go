package otlp

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/segments"
	"kiteloft/internal/tracing"
)

const (
	firstPause = 200 * time.Millisecond // before a message is sent again; it doubles
	mostPause  = 5 * time.Second
	longPause  = 60 * time.Second // the longest that a collector may ask for
	beside     = 64               // messages that wait for a collector where they are on disk already
)

// Batch is what is exported at once.
type Batch struct {
	Traces []*tracing.Query
	Lost   []tracing.Loss
	Now    time.Duration // the core's clock
}

// Exporter writes batches to segments, sends them to a collector, or both. It has
// goroutines of its own; Offer never blocks. While it is busy, what is to come
// waits with the recorder, which bounds it.
type Exporter struct {
	src   Encoder
	disk  *segments.Writer // nil: none
	send  *Sender          // nil: none
	log   zerolog.Logger
	in    chan Batch
	next  chan *trace.TracesData
	busy  atomic.Bool
	done  chan struct{}
	ctx   context.Context
	stop  context.CancelFunc
	down  bool // the collector's being away is logged
	stats ExportStats
}

// ExportStats counts what an Exporter has done.
type ExportStats struct {
	AcceptedSpans   atomic.Int64 // taken by the collector
	Rejected        atomic.Int64 // spans that it refused for good
	SkippedMessages atomic.Int64 // messages not sent to it; they are on disk
	WrittenMessages atomic.Int64 // messages on disk
	Retries         atomic.Int64 // sends of the same message again
}

// NewExporter returns an Exporter that runs. Either of disk and send may be nil.
func NewExporter(src Encoder, disk *segments.Writer, send *Sender, log zerolog.Logger) *Exporter {
	ctx, stop := context.WithCancel(context.Background())
	e := &Exporter{src: src, disk: disk, send: send, log: log, in: make(chan Batch, 1), next: make(chan *trace.TracesData, beside),
		done: make(chan struct{}), ctx: ctx, stop: stop}
	go e.run()
	return e
}

// Ready reports whether a batch would be taken.
func (e *Exporter) Ready() bool { return !e.busy.Load() }

// Offer hands over a batch; the caller must have seen that it is Ready.
func (e *Exporter) Offer(b Batch) {
	e.busy.Store(true)
	e.in <- b // has room: only one is under way
}

// Stats counts what was done.
func (e *Exporter) Stats() *ExportStats { return &e.stats }

// Shutdown has what was offered exported, and then calls done, at the latest when the
// time is up. Nothing may be offered any more.
func (e *Exporter) Shutdown(within time.Duration, done func()) {
	close(e.in)
	go func() {
		t := time.NewTimer(within)
		defer t.Stop()
		select {
		case <-e.done:
		case <-t.C:
			e.log.Warn().Msg("traces are left behind: no time to export them")
		}
		e.stop()
		done()
	}()
}

// run takes batches. With a disk, the collector is served beside it, so that its
// being away does not keep traces from the disk.
func (e *Exporter) run() {
	defer close(e.done)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for data := range e.next {
			e.deliver(data)
			if e.disk == nil {
				e.busy.Store(false)
			}
		}
	}()
	for b := range e.in {
		data := e.src.Encode(b.Traces, b.Lost, b.Now)
		if e.disk != nil {
			e.write(data)
			e.busy.Store(false)
		}
		switch {
		case e.send == nil:
			e.busy.Store(false)
		case e.disk == nil:
			e.next <- data // taken soon: it is the only one
		default:
			select {
			case e.next <- data:
			default: // guards memory against a collector that is away for long
				e.stats.SkippedMessages.Add(1)
			}
		}
	}
	close(e.next)
	<-sent
	if e.disk != nil {
		if err := e.disk.Close(); err != nil {
			e.log.Warn().Err(err).Msg("traces can't be written")
		}
	}
	if e.send != nil {
		e.send.Close()
	}
}

func (e *Exporter) write(data *trace.TracesData) {
	b, err := proto.Marshal(data)
	if err == nil {
		err = e.disk.Append(b)
	}
	if err != nil {
		e.log.Warn().Err(err).Int("spans", spans(data)).Msg("traces can't be written")
		return
	}
	e.stats.WrittenMessages.Add(1)
}

// deliver sends a message until it is taken, refused for good, or all ends.
func (e *Exporter) deliver(data *trace.TracesData) {
	pause := firstPause
	for {
		part, err := e.send.Send(e.ctx, data, time.Now())
		var retry *RetryableError
		switch {
		case err == nil:
			e.stats.AcceptedSpans.Add(int64(spans(data)) - part.Rejected)
			e.stats.Rejected.Add(part.Rejected)
			if part.Rejected > 0 || part.Message != "" {
				e.log.Warn().Int64("spans", part.Rejected).Str("words", part.Message[:min(len(part.Message), 200)]).
					Msg("collector took traces in part")
			}
			if e.down {
				e.down = false
				e.log.Info().Msg("trace export is up again")
			}
			return
		case !errors.As(err, &retry):
			e.stats.Rejected.Add(int64(spans(data)))
			e.log.Warn().Err(err).Int("spans", spans(data)).Msg("collector refused traces")
			return
		}
		if !e.down {
			e.down = true
			e.log.Warn().Err(err).Msg("trace export is down")
		}
		e.stats.Retries.Add(1)
		wait := time.Duration((0.5 + rand.Float64()) * float64(pause))
		if pause = min(2*pause, mostPause); retry.After > 0 {
			wait = min(retry.After, longPause)
		}
		t := time.NewTimer(wait)
		select {
		case <-e.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func spans(data *trace.TracesData) (n int) {
	for _, rs := range data.GetResourceSpans() {
		for _, ss := range rs.GetScopeSpans() {
			n += len(ss.GetSpans())
		}
	}
	return n
}
