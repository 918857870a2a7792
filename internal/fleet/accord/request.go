package accord

import (
	"fmt"
	"slices"
	"strings"

	stdjson "encoding/json"
	pb "go.etcd.io/raft/v3/raftpb"

	"kiteloft/internal/fleet/version"
)

// Operations that the operators' tool requests.
const (
	OpLocal       = "local"    // the state and the rules of the mixer that is asked
	OpShow        = "show"     // the agreed state
	OpVersions    = "versions" // which mixer follows which revision
	OpZones       = "zones"    // the judgement of the zones by the whole fleet's evidence
	OpLocalZones  = "own"      // the same by the evidence of the mixer that is asked alone
	OpPropose     = "propose"  // proposes a version
	OpWithdraw    = "withdraw" // withdraws the version that is being rolled out
	OpAddVoter    = "add"      // adds a voter
	OpRemoveVoter = "remove"   // removes a voter
	OpZoneOrder   = "order"    // gives an order on a zone
)

// Request is a request of the operators' tool.
type Request struct {
	Op      string          `json:"op"`
	Version version.Version `json:"version,omitzero"` // OpPropose
	Number  uint64          `json:"number,omitempty"` // OpWithdraw: of the version
	Why     string          `json:"why,omitempty"`    // OpWithdraw, OpZoneOrder: the reason
	Name    string          `json:"name,omitempty"`   // OpAddVoter, OpRemoveVoter: of a mixer; OpZoneOrder: of a zone
	Order   string          `json:"order,omitempty"`  // OpZoneOrder: "leave", "return", "hold" or "free"
}

// Holder is a mixer and the revision that it may follow.
type Holder struct {
	Name           string `json:"name"`
	Revision       uint64 `json:"stage"`
	Leased         bool   `json:"leased"`            // its lease may still be valid
	RemainingMS    int64  `json:"left_ms"`           // until its lease has expired, at the latest
	SinceMS        int64  `json:"since_ms"`          // since it reported Revision
	RefusedVersion uint64 `json:"refuses,omitempty"` // number of a version that it can't apply
	Why            string `json:"why,omitempty"`     // the reason for that
	Version        uint64 `json:"version"`           // number of the version in force at Revision, if that is the latest revision
	Votes          bool   `json:"votes,omitempty"`   // it is a voter
}

// Response is the answer to a Request.
type Response struct {
	Error          string        `json:"error,omitempty"`  // "": the request succeeded
	OutcomeUnknown bool          `json:"unsure,omitempty"` // with Error: the request may have been executed nevertheless
	Mixer          string        `json:"mixer"`            // name of the mixer that answers
	Leader         string        `json:"leader,omitempty"` // name, as far as Mixer knows
	Number         uint64        `json:"number,omitempty"` // OpPropose, OpWithdraw: of the version
	State          version.State `json:"state"`
	Voters         []string      `json:"voters,omitempty"`   // names
	Holders        []Holder      `json:"holders,omitempty"`  // OpVersions: all mixers; OpLocal: Mixer
	LeaseMS        int64         `json:"lease_ms,omitempty"` // duration of a lease

	// Zones is the encoded judgement of the zones for OpZones and OpLocalZones.
	Zones stdjson.RawMessage `json:"zones,omitempty"`
}

func (a *Participant) encodeResponse(x Response) []byte {
	x.LeaseMS = a.config.LeaseDuration.Milliseconds()
	text, err := json.Marshal(x)
	if err != nil {
		a.log.Error().Err(err).Msg("accord: an answer could not be encoded") // a bug
	}
	return text
}

// HandleRequest handles an operator's encoded Request at any mixer, forwarding it to the
// leader where needed. Answer is called once with the encoded Response.
func (a *Participant) HandleRequest(body []byte, answer func([]byte)) {
	fail := func(format string, args ...any) {
		answer(a.encodeResponse(Response{Mixer: a.config.Name, Error: fmt.Sprintf(format, args...)}))
	}
	var q Request
	switch err := json.Unmarshal(body, &q); {
	case err != nil:
		fail("the request can't be read: %v", err)
		return
	case q.Op == OpLocal:
		answer(a.encodeResponse(a.localStatus()))
		return
	case q.Op == OpLocalZones:
		answer(a.encodeResponse(Response{Mixer: a.config.Name, Leader: a.leader, Zones: a.zoneReport()}))
		return
	case len(a.requests) >= maxPendingRequests:
		fail("too many requests wait")
		return
	}
	id := a.newID()
	k := &pendingRequest{body: body, done: answer}
	a.requests[id] = k
	a.core.After(requestTimeout, func() {
		if a.requests[id] == k {
			delete(a.requests, id)
			answer(a.encodeResponse(Response{Mixer: a.config.Name, OutcomeUnknown: true, Error: "no answer from the leader of the voters"}))
		}
	})
	a.sendRequest(id, k)
}

func (a *Participant) sendRequest(id uint64, k *pendingRequest) {
	if a.requests[id] != k {
		return
	}
	k.attempts++
	a.sendToLeader(message{kind: kindRequest, id: id, body: k.body}, k.attempts)
	if a.requests[id] == k {
		a.core.After(requestRetryInterval, func() { a.sendRequest(id, k) })
	}
}

func (a *Participant) zoneReport() []byte {
	if a.Zones == nil {
		return nil
	}
	return a.Zones()
}

// localStatus returns what this mixer itself knows and follows.
func (a *Participant) localStatus() Response {
	now := a.core.Now()
	refuses, why := a.lease.RefusedVersion()
	return Response{Mixer: a.config.Name, Leader: a.leader, State: a.lease.State(), Voters: a.voters, Holders: []Holder{{Name: a.config.Name, Revision: a.active.Revision,
		Leased: a.active.Leased, RemainingMS: max(0, a.lease.ExpiresAt()-now).Milliseconds(), SinceMS: (now - a.activeSince).Milliseconds(),
		RefusedVersion: refuses, Why: why, Version: a.active.VersionNumber, Votes: a.replica != nil}}}
}

// handleRequest executes an operator's request at the leader. Done gets the encoded
// response, or nil if the outcome is undecided and the sender should retry.
func (l *lead) handleRequest(body []byte, done func([]byte)) {
	a, s := l.s.a, l.s
	x := Response{Mixer: a.config.Name, Leader: a.config.Name}
	reply := func(err error) {
		// These errors don't tell whether the request was executed: an earlier attempt at it may
		// have succeeded, here or at another leader. A retry with its idempotency key finds out.
		if slices.Contains([]error{errOutcomeUnknown, errBusy, errNoLeader, version.ErrTooManyRefusals}, err) {
			done(nil)
			return
		}
		if err != nil {
			x.Error = err.Error()
		}
		x.State, x.Voters = s.replicatedState.State, s.voters()
		done(a.encodeResponse(x))
	}
	var q Request
	if err := json.Unmarshal(body, &q); err != nil {
		reply(err)
		return
	}
	switch q.Op {
	case OpShow:
		l.linearizableRead(reply)
	case OpVersions:
		l.linearizableRead(func(err error) {
			x.Holders = l.holders()
			reply(err)
		})
	case OpZones:
		x.Zones = a.zoneReport()
		l.linearizableRead(reply)
	case OpPropose:
		l.propose(q.Version, func(n uint64, err error) { x.Number = n; reply(err) })
	case OpWithdraw:
		s.propose(version.Command{Kind: version.Withdraw, Number: q.Number, Why: q.Why}, func(n uint64, err error) { x.Number = n; reply(err) })
	case OpAddVoter:
		reply(l.addVoter(q.Name))
	case OpRemoveVoter:
		reply(l.removeVoter(q.Name))
	case OpZoneOrder:
		if a.Order == nil {
			reply(fmt.Errorf("%s has no plan for zones", a.config.Name))
			return
		}
		a.Order(q.Name, q.Order, q.Why, reply)
	default:
		reply(fmt.Errorf("%q can't be asked for", q.Op))
	}
}

// holders returns all live mixers and all holders of leases, by name.
func (l *lead) holders() (list []Holder) {
	now, voters := l.s.a.core.Now(), l.s.voters()
	st := l.s.replicatedState.State
	for _, h := range l.g.Holders(now) {
		x := Holder{Name: h.Name, Revision: h.Revision, Leased: true, RemainingMS: (h.ExpiresAt - now).Milliseconds(), SinceMS: (now - h.ReportedAt).Milliseconds(),
			RefusedVersion: h.RefusedVersion, Why: h.Why, Votes: slices.Contains(voters, h.Name)}
		if h.Revision == st.Revision {
			x.Version = st.InForce().Number
		}
		list = append(list, x)
	}
	for _, name := range l.s.a.fleet.LiveMembers() {
		if !slices.ContainsFunc(list, func(h Holder) bool { return h.Name == name }) {
			list = append(list, Holder{Name: name, Votes: slices.Contains(voters, name)})
		}
	}
	slices.SortStableFunc(list, func(a, b Holder) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (l *lead) addVoter(name string) error {
	a := l.s.a
	if slices.Contains(l.s.voters(), name) {
		return nil
	}
	if !slices.Contains(a.fleet.LiveMembers(), name) {
		return fmt.Errorf("%s is not there", name)
	}
	a.invited[name] = true
	a.sendMessage(name, message{kind: kindInvite})
	return nil
}

func (l *lead) removeVoter(name string) error {
	voters := l.s.voters()
	if len(voters) == 1 {
		return fmt.Errorf("%s is the only voter", voters[0])
	}
	delete(l.s.a.invited, name)
	for _, x := range l.s.replicatedState.Peers {
		if x.Name == name {
			err := l.s.proposePeerChange(pb.ConfChangeRemoveNode, x)
			l.s.processReady()
			return err
		}
	}
	return nil
}
