// Package ipfix encodes flow records according to RFC 7011, templates and one data record for each
// connection that has ended, and exports them to a collector. The encoder, Stream, does no I/O and
// reads no clock.
package ipfix

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Information elements, by the numbers that IANA assigns.
const (
	protocolIdentifier       = 4
	sourceTransportPort      = 7
	sourceIPv4Address        = 8
	destinationTransportPort = 11
	destinationIPv4Address   = 12
	sourceIPv6Address        = 27
	destinationIPv6Address   = 28
	flowEndReason            = 136
	flowStartMilliseconds    = 152
	flowEndMilliseconds      = 153
	initiatorOctets          = 231
	responderOctets          = 232
)

const (
	protocolVersion = 10
	headerSize      = 16
	setHeaderSize   = 4
	templateSetID   = 2
	templateIPv4    = 256
	templateIPv6    = 257
	protocolTCP     = 6
	maxMessage      = 16 << 10 // bytes; well below the 65,535 that a message may have
)

// Reason is why a flow ended, as a value of the information element flowEndReason.
type Reason uint8

// The values of flowEndReason that this package uses.
const (
	IdleTimeout    Reason = 1
	EndOfFlow      Reason = 3
	ForcedEnd      Reason = 4
	LackOfResource Reason = 5
)

// Flow describes a connection that has ended. Its source is the side that opened the connection.
type Flow struct {
	Source, Destination netip.AddrPort
	Start, End          time.Time
	Sent, Received      uint64 // payload bytes sent by the source and received by it
	Reason              Reason
}

type field struct{ element, length uint16 }

func fields(source, destination, size uint16) []field {
	return []field{{flowStartMilliseconds, 8}, {flowEndMilliseconds, 8}, {source, size}, {destination, size},
		{sourceTransportPort, 2}, {destinationTransportPort, 2}, {protocolIdentifier, 1}, {initiatorOctets, 8},
		{responderOctets, 8}, {flowEndReason, 1}}
}

var templates = []struct {
	id     uint16
	fields []field
}{{templateIPv4, fields(sourceIPv4Address, destinationIPv4Address, 4)}, {templateIPv6, fields(sourceIPv6Address, destinationIPv6Address, 16)}}

// Stream encodes the messages of one connection to a collector. It is not safe for concurrent use.
type Stream struct {
	Domain   uint32 // the observation domain
	sequence uint32 // number of data records in earlier messages
}

// Templates returns the message with the template set, which must be the first of a stream.
func (s *Stream) Templates(now time.Time) []byte {
	b := s.newMessage(now)
	at := len(b)
	b = binary.BigEndian.AppendUint16(b, templateSetID)
	b = binary.BigEndian.AppendUint16(b, 0)
	for _, t := range templates {
		b = binary.BigEndian.AppendUint16(b, t.id)
		b = binary.BigEndian.AppendUint16(b, uint16(len(t.fields)))
		for _, f := range t.fields {
			b = binary.BigEndian.AppendUint16(b, f.element)
			b = binary.BigEndian.AppendUint16(b, f.length)
		}
	}
	binary.BigEndian.PutUint16(b[at+2:], uint16(len(b)-at))
	return setLength(b)
}

// Records returns messages that hold one data record for each flow, in the order of the flows.
func (s *Stream) Records(now time.Time, flows []Flow) (messages [][]byte) {
	for len(flows) > 0 {
		b := s.newMessage(now)
		sent := uint32(0)
		for len(flows) > 0 && len(b) < maxMessage {
			id, n := templateID(flows[0]), 1
			for n < len(flows) && templateID(flows[n]) == id && len(b)+n*64 < maxMessage {
				n++
			}
			at := len(b)
			b = binary.BigEndian.AppendUint16(b, id)
			b = binary.BigEndian.AppendUint16(b, 0)
			for _, f := range flows[:n] {
				b = appendFlow(b, f)
			}
			binary.BigEndian.PutUint16(b[at+2:], uint16(len(b)-at))
			flows, sent = flows[n:], sent+uint32(n)
		}
		s.sequence += sent
		messages = append(messages, setLength(b))
	}
	return messages
}

func templateID(f Flow) uint16 {
	if f.Source.Addr().Unmap().Is4() && f.Destination.Addr().Unmap().Is4() {
		return templateIPv4
	}
	return templateIPv6
}

// newMessage returns a message header, whose length is filled in by end.
func (s *Stream) newMessage(now time.Time) []byte {
	b := binary.BigEndian.AppendUint16(nil, protocolVersion)
	b = binary.BigEndian.AppendUint16(b, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(now.Unix()))
	b = binary.BigEndian.AppendUint32(b, s.sequence)
	return binary.BigEndian.AppendUint32(b, s.Domain)
}

func setLength(b []byte) []byte {
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	return b
}

func appendFlow(b []byte, f Flow) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(f.Start.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, uint64(f.End.UnixMilli()))
	for _, a := range []netip.Addr{f.Source.Addr(), f.Destination.Addr()} {
		if templateID(f) == templateIPv4 {
			v := a.Unmap().As4()
			b = append(b, v[:]...)
		} else {
			v := a.As16()
			b = append(b, v[:]...)
		}
	}
	b = binary.BigEndian.AppendUint16(b, f.Source.Port())
	b = binary.BigEndian.AppendUint16(b, f.Destination.Port())
	b = append(b, protocolTCP)
	b = binary.BigEndian.AppendUint64(b, f.Sent)
	b = binary.BigEndian.AppendUint64(b, f.Received)
	return append(b, byte(f.Reason))
}
