package ipfix

import (
	"hash/fnv"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/transport"
)

const (
	flushInterval  = time.Second
	redialDelay    = 2 * time.Second
	connectTimeout = time.Second
	maxQueuedFlows = 4096 // flows held while the collector is unavailable
)

// Core runs functions on the core's goroutine after a delay.
type Core interface {
	After(d time.Duration, fn func())
}

// Exporter sends a flow record of each connection that has ended to a collector. It uses TCP,
// because on the platform UDP reaches only other mixers. Its methods run on the core's goroutine.
type Exporter struct {
	core       Core
	net        transport.Dialer
	addr       string
	stream     Stream
	log        zerolog.Logger
	conn       *transport.Conn
	queue      []Flow
	dropped    int
	downLogged bool // the loss of the connection has been logged
}

// NewExporter returns an Exporter to the collector at addr. The observation domain ID is a hash of
// the mixer's name.
func NewExporter(core Core, net transport.Dialer, addr, name string, log zerolog.Logger) *Exporter {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return &Exporter{core: core, net: net, addr: addr, stream: Stream{Domain: h.Sum32()}, log: log}
}

// Start connects to the collector and sends queued records periodically from then on.
func (e *Exporter) Start() {
	e.dial()
	e.flushPeriodically()
}

func (e *Exporter) flushPeriodically() {
	e.Flush()
	e.core.After(flushInterval, e.flushPeriodically)
}

func (e *Exporter) dial() { e.net.Dial(e.addr, connectTimeout, e, e.dialed) }

func (e *Exporter) dialed(c *transport.Conn, end transport.End) {
	if c == nil {
		e.Ended(end)
		return
	}
	e.conn, e.downLogged = c, false
	e.stream.sequence = 0 // each connection is a new stream, whose sequence numbers start at 0
	c.Write(e.stream.Templates(time.Now()))
	e.log.Info().Str("collector", e.addr).Msg("flow export is up")
	e.Flush()
}

// Add queues a flow record of a connection that has ended. It drops the record if maxQueuedFlows
// records are waiting.
func (e *Exporter) Add(s transport.Stats) {
	f := Flow{Source: addrPort(s.Remote), Destination: addrPort(s.Local), Start: s.Opened, End: s.Ended,
		Sent: uint64(s.In), Received: uint64(s.Out), Reason: endReason(s.End)}
	if s.Dialed {
		f.Source, f.Destination, f.Sent, f.Received = f.Destination, f.Source, f.Received, f.Sent
	}
	// Bounds memory while the collector is unavailable for a long time.
	if len(e.queue) >= maxQueuedFlows {
		e.dropped++
		return
	}
	e.queue = append(e.queue, f)
}

func addrPort(a net.Addr) netip.AddrPort {
	if a == nil {
		return netip.AddrPort{}
	}
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.AddrPort{}
	}
	return ap
}

func endReason(e transport.End) Reason {
	switch e {
	case transport.LocalIdle:
		return IdleTimeout
	case transport.LocalStop:
		return ForcedEnd
	case transport.PeerStalled, transport.PeerFlooded, transport.NoDescriptor:
		return LackOfResource
	}
	return EndOfFlow
}

// Flush sends the queued records if the collector is connected, and logs how many were dropped.
func (e *Exporter) Flush() {
	if e.dropped > 0 {
		e.log.Warn().Int("records", e.dropped).Msg("flow records dropped: the collector is away")
		e.dropped = 0
	}
	if e.conn == nil || len(e.queue) == 0 {
		return
	}
	for _, m := range e.stream.Records(time.Now(), e.queue) {
		e.conn.Write(m)
	}
	e.queue = nil
}

// Data implements transport.Handler. A collector sends no data; any is ignored.
func (e *Exporter) Data([]byte) {}

// HalfClosed implements transport.Handler. It does nothing: a dialed connection ends at once.
func (e *Exporter) HalfClosed() {}

// Ended implements transport.Handler. It logs the first loss of the connection and dials again after
// redialDelay.
func (e *Exporter) Ended(end transport.End) {
	e.conn = nil
	if !e.downLogged {
		e.downLogged = true
		e.log.Warn().Str("collector", e.addr).Stringer("end", end).Msg("flow export is down")
	}
	e.core.After(redialDelay, e.dial)
}
