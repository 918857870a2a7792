// Package link carries the messages among the mixers of a fleet: datagrams, and full exchanges
// over connections. The decisions are made by package member; this package has the encoding,
// the keys that authenticate messages, the snapshot file and the timers on the core's
// goroutine.
package link

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"kiteloft/internal/fields"
	"kiteloft/internal/fleet/member"
)

// A packet is a protobuf message behind a header: one byte for the format version, four
// that identify the key, and sixteen of the message's HMAC-SHA256. Unknown fields are
// skipped, so that older and newer programs can run in one fleet. Sizes are in bytes.
const (
	formatVersion = 1
	keyIDSize     = 4
	digestSize    = 16
	headerSize    = 1 + keyIDSize + digestSize
	maxDatagram   = 4 << 10
	maxFrame      = 4 << 20
	maxNameSize   = 128 // of a member's id, zone, address or key
	minKeySize    = 16
	maxRecords    = 8192 // member records in one packet
)

// Field numbers of a packet. They are never reused for another purpose.
const (
	fFleet protowire.Number = iota + 1
	fKind
	fFrom
	fInstance
	fTo
	fTarget
	fSeq
	fSubject
	fDigest
	fCount
	fRecord
	fDoubt
	fNews
	fAnswer
)

// Kinds of packets that this package adds to member's.
const (
	kindViewRequest  member.Kind = 64 // an operator's tool requests the view, or sends the request in the payload
	kindViewResponse member.Kind = 65 // the response to it
	kindMessage      member.Kind = 66 // a message to one member, see Fleet.Send
)

// Keys sign and verify packets. The first key signs; all are accepted, so that a key can be
// changed while the fleet runs: add the new one at the end everywhere, then put it first
// everywhere, then remove the old one.
type Keys []Key

// Key is one shared secret of the fleet.
type Key struct {
	secret []byte
	id     [keyIDSize]byte // identifies the signing key, so that the others need not be tried
}

// NewKey returns the key for a secret.
func NewKey(secret []byte) Key {
	sum := sha256.Sum256(append([]byte("kiteloft key "), secret...))
	return Key{secret, [keyIDSize]byte(sum[:])}
}

// ReadKeys reads a key file: one or two keys, one a line, of at least 16 bytes each; empty
// lines and those that begin with # are skipped.
func ReadKeys(path string) (Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys Keys
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		if len(line) < minKeySize {
			return nil, fmt.Errorf("%s: line %d: a key needs at least %d bytes", path, i+1, minKeySize)
		}
		keys = append(keys, NewKey([]byte(line)))
	}
	if len(keys) == 0 || len(keys) > 2 {
		return nil, fmt.Errorf("%s: %d keys, want one or two", path, len(keys))
	}
	return keys, nil
}

// digest returns the truncated HMAC-SHA256 of a packet's body.
func (k Key) digest(body []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	_, _ = h.Write([]byte{formatVersion}) // a hash never returns an error
	_, _ = h.Write(body)
	return h.Sum(nil)[:digestSize]
}

// seal puts the header before a packet's body, signed with the first key.
func (k Keys) seal(body []byte) []byte {
	b := append([]byte{formatVersion}, k[0].id[:]...)
	return append(append(b, k[0].digest(body)...), body...)
}

// Reasons for which a received packet is dropped. Their texts are keys of log lines.
var (
	errUnknownKey = errors.New("signed with no key of ours")
	errMalformed  = errors.New("can't be read")
	errOtherFleet = errors.New("of another fleet")
)

// open verifies a received packet's header and returns its body.
func (k Keys) open(b []byte) ([]byte, error) {
	if len(b) < headerSize || b[0] != formatVersion {
		return nil, errMalformed
	}
	for _, key := range k {
		if [keyIDSize]byte(b[1:]) == key.id && hmac.Equal(key.digest(b[headerSize:]), b[1+keyIDSize:headerSize]) {
			return b[headerSize:], nil
		}
	}
	return nil, errUnknownKey
}

// packet is a member message with what this package adds.
type packet struct {
	member.Message
	fleet     string
	sendCount uint64 // numbers the packets that this instance of the process has sent
	answer    []byte // payload of a message, or of an operator's request or its response
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// encode returns the packet as protobuf.
func (p packet) encode() []byte {
	b := fields.AppendString(nil, fFleet, p.fleet)
	b = fields.AppendUint(b, fKind, uint64(p.Kind))
	b = fields.AppendString(b, fFrom, p.From)
	b = fields.AppendUint(b, fInstance, p.Instance)
	b = fields.AppendString(b, fTo, p.To)
	b = fields.AppendUint(b, fTarget, p.Target)
	b = fields.AppendUint(b, fSeq, p.Seq)
	b = fields.AppendString(b, fSubject, p.Subject)
	b = fields.AppendUint(b, fDigest, p.Digest)
	b = fields.AppendUint(b, fCount, p.sendCount)
	for _, r := range p.Records {
		v := fields.AppendString([]byte{}, 1, r.ID)
		v = fields.AppendString(fields.AppendString(v, 2, r.Zone), 3, r.Addr)
		v = fields.AppendUint(fields.AppendUint(fields.AppendUint(v, 4, r.Instance), 5, uint64(r.Incarnation.Generation)), 6, uint64(r.Incarnation.Turn))
		v = fields.AppendUint(fields.AppendUint(fields.AppendUint(v, 7, uint64(r.State)), 8, boolToUint(r.ConfirmedGone)), 9, boolToUint(r.Ready))
		v = fields.AppendUint(fields.AppendUint(v, 10, millis(r.Age)), 11, math.Float64bits(r.RetainedShare))
		b = fields.AppendBytes(b, fRecord, v)
	}
	for _, d := range p.Doubts {
		v := fields.AppendString(fields.AppendString([]byte{}, 1, d.Subject), 2, d.Observer)
		v = fields.AppendUint(fields.AppendUint(fields.AppendUint(v, 3, uint64(d.Incarnation.Generation)), 4, uint64(d.Incarnation.Turn)), 5, uint64(d.Version))
		v = fields.AppendUint(fields.AppendUint(fields.AppendUint(v, 6, millis(d.SilentFor)), 7, boolToUint(d.Refused)), 8, boolToUint(d.Withdrawn))
		b = fields.AppendBytes(b, fDoubt, v)
	}
	for _, n := range p.News {
		v := fields.AppendString(fields.AppendString([]byte{}, 1, n.Key), 2, n.Origin)
		v = fields.AppendUint(fields.AppendBytes(fields.AppendUint(v, 3, n.Version), 4, n.Body), 5, millis(n.Age))
		b = fields.AppendBytes(b, fNews, v)
	}
	return fields.AppendBytes(b, fAnswer, p.answer)
}

// durationOfMillis converts milliseconds to a duration, limited to what it can hold.
func durationOfMillis(x uint64) time.Duration {
	return time.Duration(min(x, uint64(math.MaxInt64/int64(time.Millisecond)))) * time.Millisecond
}

// decode parses a packet. The size of the result is bounded by the bytes received.
func decode(b []byte) (p packet, err error) {
	sound := true
	name := func(v []byte) string {
		sound = sound && len(v) <= maxNameSize
		return string(v)
	}
	whole := fields.Each(b, func(n protowire.Number, x uint64, v []byte) bool {
		switch n {
		case fFleet:
			p.fleet = name(v)
		case fKind:
			p.Kind = member.Kind(min(x, 255))
		case fFrom:
			p.From = name(v)
		case fInstance:
			p.Instance = x
		case fTo:
			p.To = name(v)
		case fTarget:
			p.Target = x
		case fSeq:
			p.Seq = x
		case fSubject:
			p.Subject = name(v)
		case fDigest:
			p.Digest = x
		case fCount:
			p.sendCount = x
		case fAnswer:
			p.answer = v
		case fRecord:
			var r member.Record
			sound = sound && fields.Each(v, func(n protowire.Number, x uint64, v []byte) bool { readRecord(&r, n, x, v); return true }) &&
				len(r.ID) <= maxNameSize && len(r.Zone) <= maxNameSize && len(r.Addr) <= maxNameSize && !math.IsNaN(r.RetainedShare) && r.RetainedShare >= 0 && r.RetainedShare <= 1
			p.Records = append(p.Records, r)
		case fDoubt:
			var d member.Doubt
			sound = sound && fields.Each(v, func(n protowire.Number, x uint64, v []byte) bool { readDoubt(&d, n, x, v); return true }) &&
				len(d.Subject) <= maxNameSize && len(d.Observer) <= maxNameSize
			p.Doubts = append(p.Doubts, d)
		case fNews:
			var w member.News
			sound = sound && fields.Each(v, func(n protowire.Number, x uint64, v []byte) bool { readNews(&w, n, x, v); return true }) &&
				len(w.Key) <= maxNameSize && len(w.Origin) <= maxNameSize
			p.News = append(p.News, w)
		}
		return sound && len(p.Records) <= maxRecords
	})
	if !whole || !sound {
		return packet{}, errMalformed
	}
	return p, nil
}

// readRecord, readDoubt and readNews set the field with a number in one entry of a packet.
func readRecord(r *member.Record, n protowire.Number, x uint64, v []byte) {
	switch n {
	case 1:
		r.ID = string(v)
	case 2:
		r.Zone = string(v)
	case 3:
		r.Addr = string(v)
	case 4:
		r.Instance = x
	case 5:
		r.Incarnation.Generation = uint32(x)
	case 6:
		r.Incarnation.Turn = uint32(x)
	case 7:
		r.State = member.State(min(x, 255))
	case 8:
		r.ConfirmedGone = x != 0
	case 9:
		r.Ready = x != 0
	case 10:
		r.Age = durationOfMillis(x)
	case 11:
		r.RetainedShare = math.Float64frombits(x)
	}
}

func readDoubt(d *member.Doubt, n protowire.Number, x uint64, v []byte) {
	switch n {
	case 1:
		d.Subject = string(v)
	case 2:
		d.Observer = string(v)
	case 3:
		d.Incarnation.Generation = uint32(x)
	case 4:
		d.Incarnation.Turn = uint32(x)
	case 5:
		d.Version = uint32(x)
	case 6:
		d.SilentFor = durationOfMillis(x)
	case 7:
		d.Refused = x != 0
	case 8:
		d.Withdrawn = x != 0
	}
}

func readNews(w *member.News, n protowire.Number, x uint64, v []byte) {
	switch n {
	case 1:
		w.Key = string(v)
	case 2:
		w.Origin = string(v)
	case 3:
		w.Version = x
	case 4:
		w.Body = append([]byte(nil), v...)
	case 5:
		w.Age = durationOfMillis(x)
	}
}
