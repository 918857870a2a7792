package accord

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"kiteloft/internal/fields"
	"kiteloft/internal/fleet/version"
)

// messageKind is the purpose of a message. Mixers exchange its number.
type kind uint8

const (
	kindRaft    kind = iota + 1 // a Raft message to a replica
	kindRenew                   // a request for a lease, through any voter
	kindGrant                   // a lease
	kindAsk                     // an operator's request, through any voter
	kindAnswer                  // the answer to an operator's request
	kindCheck                   // asks a voter to validate a document
	kindChecked                 // the result of a validation
	kindHello                   // a voter's replica ID, before it has a log
	kindFound                   // the state with which the log begins
	kindInvite                  // asks a mixer to become a voter
)

// message is a message from one mixer to another. Which fields are set depends on its kind.
// It is encoded as a protobuf message; unknown fields are ignored.
type word struct {
	kind    kind
	id      uint64        // of a request; leases: the sequence number
	who     string        // the mixer that made the request, in requests and their answers
	seat    uint64        // hello: the sender's replica; lease request: the process's instance
	stage   uint64        // revision that the sender follows or knows
	left    time.Duration // lease grant: its duration, sent in microseconds
	number  uint64        // lease request: number of the version that the sender can't apply
	why     string        // the reason for that, or for a failed validation
	leader  string        // as far as the sender knows
	flag    bool          // lease request: release; hello: has a log; validation: passed
	body    []byte        // a Raft message, a state, a document, a request or an answer
	members []string      // lease grant: the voters
}

const (
	maxWho     = 128     // bytes
	maxWhy     = 4 << 10 // bytes
	maxMembers = 64
)

var errWord = errors.New("malformed message")

func (w word) encode() []byte {
	b := fields.AppendUint(nil, 1, uint64(w.kind))
	b = fields.AppendUint(b, 2, w.id)
	b = fields.AppendString(b, 3, w.who)
	b = fields.AppendUint(b, 4, w.seat)
	b = fields.AppendUint(b, 5, w.stage)
	b = fields.AppendUint(b, 6, uint64(max(0, w.left/time.Microsecond)))
	b = fields.AppendUint(b, 7, w.number)
	b = fields.AppendString(b, 8, w.why[:min(len(w.why), maxWhy)])
	b = fields.AppendString(b, 9, w.leader)
	if w.flag {
		b = fields.AppendUint(b, 10, 1)
	}
	b = fields.AppendString(b, 11, string(w.body))
	for _, m := range w.members {
		b = fields.AppendString(b, 12, m)
	}
	return b
}

func decode(b []byte) (w word, err error) {
	whole := fields.Each(b, func(n protowire.Number, x uint64, v []byte) bool {
		switch n {
		case 1:
			w.kind = kind(min(x, 255))
		case 2:
			w.id = x
		case 3:
			w.who = string(v)
		case 4:
			w.seat = x
		case 5:
			w.stage = x
		case 6:
			w.left = time.Duration(min(x, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
		case 7:
			w.number = x
		case 8:
			w.why = string(v)
		case 9:
			w.leader = string(v)
		case 10:
			w.flag = x != 0
		case 11:
			w.body = v
		case 12:
			w.members = append(w.members, string(v))
		}
		return len(w.who) <= maxWho && len(w.why) <= maxWhy && len(w.leader) <= maxWho && len(w.members) <= maxMembers
	})
	if !whole || w.kind == 0 {
		return word{}, errWord
	}
	return w, nil
}

func renewal(r version.LeaseRequest) word {
	return word{kind: kindRenew, id: r.Seq, who: r.Name, seat: r.Instance, stage: r.Revision, number: r.RefusedVersion, why: r.Why, flag: r.Release}
}

func (w word) request() version.LeaseRequest {
	return version.LeaseRequest{Name: w.who, Instance: w.seat, Seq: w.id, Revision: w.stage, RefusedVersion: w.number, Why: w.why, Release: w.flag}
}
