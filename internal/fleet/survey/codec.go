package survey

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"kiteloft/internal/fields"
	"kiteloft/internal/fleet/zone"
)

// Field numbers of a report, a protobuf message. Unknown fields are skipped, so that older and
// newer programs can run in one fleet; numbers are never reused for another purpose.
const (
	fMixer protowire.Number = iota + 1
	fZone
	fSeq
	fLag
	fEvidence
)

// Field numbers of the evidence on one zone. The counts follow each other from fCounts on, the
// numbers of nodes from fNodes on.
const (
	fName protowire.Number = iota + 1
	fSilentFor
	fLatency
	fCounts protowire.Number = 10
	fNodes  protowire.Number = 30
)

// counts returns the counts in the order of their field numbers; new ones are added at the
// end.
func counts(e *zone.Evidence) []*uint32 {
	return []*uint32{&e.InTime, &e.Late, &e.Unanswered, &e.Refused, &e.Failed, &e.Unconnected, &e.Overdue}
}

// nodes returns the numbers of nodes in the order of their field numbers; new ones are added
// at the end.
func nodes(e *zone.Evidence) []*uint16 {
	return []*uint16{&e.Nodes, &e.BadNodes, &e.TransitioningNodes}
}

const (
	maxNameSize  = 64 // in bytes
	maxZones     = 64
	maxPartCount = 1 << 24 // in a second; a higher count is not plausible
)

var errMalformedReport = errors.New("malformed zone report")

// encode returns a report as protobuf.
func encode(r zone.Report) []byte {
	b := fields.AppendString(nil, fMixer, r.Mixer)
	b = fields.AppendString(b, fZone, r.Zone)
	b = fields.AppendUint(b, fSeq, r.Seq)
	b = fields.AppendUint(b, fLag, uint64(max(0, r.Lag)))
	for name, e := range r.Zones {
		x := fields.AppendString(nil, fName, name)
		for i, n := range counts(&e) {
			x = fields.AppendUint(x, fCounts+protowire.Number(i), uint64(*n))
		}
		for i, n := range nodes(&e) {
			x = fields.AppendUint(x, fNodes+protowire.Number(i), uint64(*n))
		}
		x = fields.AppendUint(x, fSilentFor, uint64(max(0, e.SilentFor)))
		x = fields.AppendBytes(x, fLatency, e.EncodeLatencies())
		b = fields.AppendBytes(b, fEvidence, x)
	}
	return b
}

// decode parses a report. It limits names, zones and counts, and rejects reports without
// sender, zone or number.
func decode(b []byte) (r zone.Report, err error) {
	r.Zones = map[string]zone.Evidence{}
	whole := fields.Each(b, func(n protowire.Number, x uint64, v []byte) bool {
		switch n {
		case fMixer:
			r.Mixer = string(v)
		case fZone:
			r.Zone = string(v)
		case fSeq:
			r.Seq = x
		case fLag:
			r.Lag = time.Duration(min(x, 1<<62))
		case fEvidence:
			name, e, ok := decodeEvidence(v)
			r.Zones[name] = e
			return ok && len(r.Zones) <= maxZones
		}
		return len(r.Mixer) <= maxNameSize && len(r.Zone) <= maxNameSize
	})
	if !whole || r.Mixer == "" || r.Zone == "" || r.Seq == 0 {
		return zone.Report{}, errMalformedReport
	}
	return r, nil
}

// decodeEvidence parses the evidence on one zone; ok is false if it is malformed.
func decodeEvidence(b []byte) (name string, e zone.Evidence, ok bool) {
	counts, nodes := counts(&e), nodes(&e)
	whole := fields.Each(b, func(n protowire.Number, x uint64, v []byte) bool {
		i, k := int(n-fCounts), int(n-fNodes)
		switch {
		case n == fName:
			name = string(v)
		case n == fSilentFor:
			e.SilentFor = time.Duration(min(x, 1<<62))
		case n == fLatency:
			return e.DecodeLatencies(v) == nil
		case i >= 0 && i < len(counts):
			*counts[i] = uint32(min(x, maxPartCount))
		case k >= 0 && k < len(nodes):
			*nodes[k] = uint16(min(x, 1<<15))
		}
		return true
	})
	return name, e, whole && name != "" && len(name) <= maxNameSize
}
