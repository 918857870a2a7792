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
	maxQueuedFlows = 4096 // flows that wait for the collector
)

// Core is what the exporter needs of the core.
type Core interface {
	After(d time.Duration, fn func())
}

// Exporter sends a record of each connection that has ended to a collector, over
// TCP: on the platform UDP reaches only other mixers. All of it runs on the
// core's goroutine.
type Exporter struct {
	core       Core
	net        transport.Dialer
	addr       string
	stream     Stream
	log        zerolog.Logger
	conn       *transport.Conn
	queue      []Flow
	dropped    int
	downLogged bool // logged
}

// NewExporter returns an Exporter whose observation domain is made from the
// mixer's name.
func NewExporter(core Core, net transport.Dialer, addr, name string, log zerolog.Logger) *Exporter {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return &Exporter{core: core, net: net, addr: addr, stream: Stream{Domain: h.Sum32()}, log: log}
}

// Start begins to send.
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
	e.stream.sequence = 0 // each connection is a stream of its own
	c.Write(e.stream.Templates(time.Now()))
	e.log.Info().Str("collector", e.addr).Msg("flow export is up")
	e.Flush()
}

// Add takes the record of a connection that has ended.
func (e *Exporter) Add(s transport.Stats) {
	f := Flow{Source: addrPort(s.Remote), Destination: addrPort(s.Local), Start: s.Opened, End: s.Ended,
		Sent: uint64(s.In), Received: uint64(s.Out), Reason: endReason(s.End)}
	if s.Dialed {
		f.Source, f.Destination, f.Sent, f.Received = f.Destination, f.Source, f.Received, f.Sent
	}
	// Guards memory against a collector that is away for long.
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

// Flush sends what waits.
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

// Data implements transport.Handler; a collector says nothing.
func (e *Exporter) Data([]byte) {}

// HalfClosed implements transport.Handler; connections we dialed end at once.
func (e *Exporter) HalfClosed() {}

// Ended implements transport.Handler.
func (e *Exporter) Ended(end transport.End) {
	e.conn = nil
	if !e.downLogged {
		e.downLogged = true
		e.log.Warn().Str("collector", e.addr).Stringer("end", end).Msg("flow export is down")
	}
	e.core.After(redialDelay, e.dial)
}
