package accord

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"kiteloft/internal/fields"
	"kiteloft/internal/fleet/version"
)

// kind is the purpose of a message. Mixers exchange its number.
type kind uint8

const (
	kindRaft         kind = iota + 1 // a Raft message to a replica
	kindLeaseRequest                 // a request for a lease, through any voter
	kindLeaseGrant                   // a lease
	kindRequest                      // an operator's request, through any voter
	kindAnswer                       // the answer to an operator's request
	kindValidate                     // asks a voter to validate a document
	kindValidated                    // the result of a validation
	kindHello                        // a voter's replica ID, before it has a log
	kindBootstrap                    // the state with which the log begins
	kindInvite                       // asks a mixer to become a voter
)

// message is a message from one mixer to another. Which fields are set depends on its kind.
// It is encoded as a protobuf message; unknown fields are ignored.
type message struct {
	kind           kind
	id             uint64        // of a request; leases: the sequence number
	requester      string        // the mixer that made the request, in requests and their answers
	replica        uint64        // hello: the sender's replica; lease request: the process's instance
	revision       uint64        // revision that the sender follows or knows
	ttl            time.Duration // lease grant: its duration, sent in microseconds
	refusedVersion uint64        // lease request: number of the version that the sender can't apply
	reason         string        // the reason for that, or for a failed validation
	leader         string        // as far as the sender knows
	flag           bool          // lease request: release; hello: has a log; validation: passed
	body           []byte        // a Raft message, a state, a document, a request or an answer
	members        []string      // lease grant: the voters
}

const (
	maxNameBytes   = 128     // bytes
	maxReasonBytes = 4 << 10 // bytes
	maxMembers     = 64
)

var errMalformed = errors.New("malformed message")

func (w message) encode() []byte {
	b := fields.AppendUint(nil, 1, uint64(w.kind))
	b = fields.AppendUint(b, 2, w.id)
	b = fields.AppendString(b, 3, w.requester)
	b = fields.AppendUint(b, 4, w.replica)
	b = fields.AppendUint(b, 5, w.revision)
	b = fields.AppendUint(b, 6, uint64(max(0, w.ttl/time.Microsecond)))
	b = fields.AppendUint(b, 7, w.refusedVersion)
	b = fields.AppendString(b, 8, w.reason[:min(len(w.reason), maxReasonBytes)])
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

func decodeMessage(b []byte) (w message, err error) {
	whole := fields.Each(b, func(n protowire.Number, x uint64, v []byte) bool {
		switch n {
		case 1:
			w.kind = kind(min(x, 255))
		case 2:
			w.id = x
		case 3:
			w.requester = string(v)
		case 4:
			w.replica = x
		case 5:
			w.revision = x
		case 6:
			w.ttl = time.Duration(min(x, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
		case 7:
			w.refusedVersion = x
		case 8:
			w.reason = string(v)
		case 9:
			w.leader = string(v)
		case 10:
			w.flag = x != 0
		case 11:
			w.body = v
		case 12:
			w.members = append(w.members, string(v))
		}
		return len(w.requester) <= maxNameBytes && len(w.reason) <= maxReasonBytes && len(w.leader) <= maxNameBytes && len(w.members) <= maxMembers
	})
	if !whole || w.kind == 0 {
		return message{}, errMalformed
	}
	return w, nil
}

func leaseRequestMessage(r version.LeaseRequest) message {
	return message{kind: kindLeaseRequest, id: r.Seq, requester: r.Name, replica: r.Instance, revision: r.Revision, refusedVersion: r.RefusedVersion, reason: r.Why, flag: r.Release}
}

func (w message) leaseRequest() version.LeaseRequest {
	return version.LeaseRequest{Name: w.requester, Instance: w.replica, Seq: w.id, Revision: w.revision, RefusedVersion: w.refusedVersion, Why: w.reason, Release: w.flag}
}
