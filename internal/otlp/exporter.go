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
	initialBackoff    = 200 * time.Millisecond // before the first retry of a message; doubles with each further retry
	maxBackoff        = 5 * time.Second
	maxRetryAfter     = 60 * time.Second // upper bound of the delay that a collector may ask for
	maxQueuedMessages = 64               // messages queued for the collector when they are also written to disk
)

// Batch is a set of traces and reports of lost traces that are exported in one message.
type Batch struct {
	Traces []*tracing.Query
	Lost   []tracing.Loss
	Now    time.Duration // time of the loss reports, by the core's clock
}

// Exporter writes batches to segment files, sends them to a collector, or both. It does so on its
// own goroutines, and Offer never blocks. While it is busy, further traces wait in the recorder,
// which bounds their memory.
type Exporter struct {
	src        Encoder
	disk       *segments.Writer // nil: none
	send       *Sender          // nil: none
	log        zerolog.Logger
	in         chan Batch
	next       chan *trace.TracesData
	busy       atomic.Bool
	done       chan struct{}
	ctx        context.Context
	stop       context.CancelFunc
	downLogged bool // the loss of the collector has been logged
	stats      ExportStats
}

// ExportStats holds an Exporter's counters.
type ExportStats struct {
	AcceptedSpans   atomic.Int64 // accepted by the collector
	Rejected        atomic.Int64 // spans that the collector rejected permanently
	SkippedMessages atomic.Int64 // messages written to disk and not sent to the collector, whose queue was full
	WrittenMessages atomic.Int64 // messages written to disk
	Retries         atomic.Int64 // repeated sends of the same message
}

// NewExporter returns a running Exporter. Disk, send or both may be nil, which leaves that target out.
func NewExporter(src Encoder, disk *segments.Writer, send *Sender, log zerolog.Logger) *Exporter {
	ctx, stop := context.WithCancel(context.Background())
	e := &Exporter{src: src, disk: disk, send: send, log: log, in: make(chan Batch, 1), next: make(chan *trace.TracesData, maxQueuedMessages),
		done: make(chan struct{}), ctx: ctx, stop: stop}
	go e.run()
	return e
}

// Ready reports whether the exporter can accept a batch.
func (e *Exporter) Ready() bool { return !e.busy.Load() }

// Offer passes a batch to the exporter. The caller must have checked that it is Ready.
func (e *Exporter) Offer(b Batch) {
	e.busy.Store(true)
	e.in <- b // does not block: there is at most one batch in the channel
}

// Stats returns the exporter's counters, which may be read from any goroutine.
func (e *Exporter) Stats() *ExportStats { return &e.stats }

// Shutdown exports the batches offered so far, and then calls done on another goroutine, at the latest
// after the given time. Offer must not be called after it.
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

// run processes batches. Messages are sent to the collector on a second goroutine, so that an
// unavailable collector does not delay writes to disk.
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
			e.next <- data // does not block: without a disk there is only one message at a time
		default:
			select {
			case e.next <- data:
			default: // bounds memory while the collector is unavailable for a long time
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
		e.log.Warn().Err(err).Int("spans", countSpans(data)).Msg("traces can't be written")
		return
	}
	e.stats.WrittenMessages.Add(1)
}

// deliver sends a message until the collector accepts it or rejects it permanently, or until the
// exporter shuts down.
func (e *Exporter) deliver(data *trace.TracesData) {
	pause := initialBackoff
	for {
		part, err := e.send.Send(e.ctx, data, time.Now())
		var retry *RetryableError
		switch {
		case err == nil:
			e.stats.AcceptedSpans.Add(int64(countSpans(data)) - part.Rejected)
			e.stats.Rejected.Add(part.Rejected)
			if part.Rejected > 0 || part.Message != "" {
				e.log.Warn().Int64("spans", part.Rejected).Str("words", part.Message[:min(len(part.Message), 200)]).
					Msg("collector took traces in part")
			}
			if e.downLogged {
				e.downLogged = false
				e.log.Info().Msg("trace export is up again")
			}
			return
		case !errors.As(err, &retry):
			e.stats.Rejected.Add(int64(countSpans(data)))
			e.log.Warn().Err(err).Int("spans", countSpans(data)).Msg("collector refused traces")
			return
		}
		if !e.downLogged {
			e.downLogged = true
			e.log.Warn().Err(err).Msg("trace export is down")
		}
		e.stats.Retries.Add(1)
		wait := time.Duration((0.5 + rand.Float64()) * float64(pause))
		if pause = min(2*pause, maxBackoff); retry.After > 0 {
			wait = min(retry.After, maxRetryAfter)
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

func countSpans(data *trace.TracesData) (n int) {
	for _, rs := range data.GetResourceSpans() {
		for _, ss := range rs.GetScopeSpans() {
			n += len(ss.GetSpans())
		}
	}
	return n
}
