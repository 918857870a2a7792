package accord

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"kiteloft/internal/fleet/version"
)

const (
	confirmationTimeout = 500 * time.Millisecond // after which an unanswered confirmation of leadership is requested again
	validationTimeout   = time.Second            // for the other voters to validate a document
	proposeTimeout      = 3 * time.Second        // until the outcome of a proposal or read counts as unknown
	helloInterval       = 500 * time.Millisecond // between two hellos, and two checks of the voters
	helloLifetime       = 3 * time.Second        // for which a hello counts
	maxAnswers          = 128                    // answers kept for retries
)

var (
	// These errors never reach an operator: the request is retried.
	errOutcomeUnknown = errors.New("it is not known whether that was agreed; ask again with the same mark")
	errNoLeader       = errors.New("nobody leads the voters now")
	errBusy           = errors.New("another document is being checked")
)

// lead holds the duties of the voters' leader beyond Raft: it grants leases, moves versions
// from phase to phase, has documents validated and maintains the replicas.
type lead struct {
	s                   *replica
	g                   *version.Granter
	confirmationNumber  uint64 // number of the latest confirmation requested
	confirmationAskedAt time.Duration
	confirmationPending bool
	confirmedAt         time.Duration // at this time no other leader had been elected
	confirmed           bool          // a first confirmation has come: all that was agreed before is known
	reads               []pendingRead
	advancing           bool
	validation          *validation
	peersCheckedAt      time.Duration
	answers             map[uint64][]byte // answers to the latest requests by ID; nil: in progress
	answerOrder         []uint64          // keys of answers, the oldest first
}

// pendingRead waits for a confirmation that was requested at or after a time.
type pendingRead struct {
	at time.Duration
	do func(error)
}

// validation is a document that the other voters are validating.
type validation struct {
	id      uint64
	waiting map[string]bool // voters that have not answered yet
	passed  func()
	failed  func(error) // it was not completed
	refused func(error)
}

func newLead(s *replica) *lead {
	now := s.a.core.Now()
	return &lead{s: s, g: version.NewGranter(s.a.config.LeaseDuration, s.a.config.TrialDuration, now), answers: map[uint64][]byte{}}
}

// recordAnswer keeps the answer to a request for its retries.
func (l *lead) recordAnswer(id uint64, answer []byte) {
	if _, known := l.answers[id]; !known {
		if l.answerOrder = append(l.answerOrder, id); len(l.answerOrder) > maxAnswers { // the entry may be deleted already
			delete(l.answers, l.answerOrder[0])
			l.answerOrder = l.answerOrder[1:]
		}
	}
	l.answers[id] = answer
}

func (l *lead) end() {
	list := l.reads
	l.reads = nil
	for _, r := range list {
		r.do(errNoLeader)
	}
	if l.validation != nil {
		l.validation.failed(errNoLeader)
	}
}

func (l *lead) tick() {
	now := l.s.a.core.Now()
	if !l.confirmationPending || now-l.confirmationAskedAt > confirmationTimeout {
		l.s.confirmations++
		l.confirmationNumber, l.confirmationAskedAt, l.confirmationPending = l.s.confirmations, now, true
		l.s.requestConfirmation(l.confirmationNumber)
	}
	if l.confirmed && !l.advancing {
		if c, ok := l.g.NextCommand(now, l.s.replicatedState.State); ok {
			l.advancing = true
			l.s.propose(c, func(uint64, error) { l.advancing = false })
		}
	}
	if now-l.peersCheckedAt >= helloInterval {
		l.peersCheckedAt = now
		l.reconcilePeers()
	}
}

// handleReadState handles a confirmation of leadership: when it was requested, no other
// leader had been elected.
func (l *lead) handleReadState(r raft.ReadState) {
	if len(r.RequestCtx) != 8 || binary.BigEndian.Uint64(r.RequestCtx) != l.confirmationNumber || l.s.applied < r.Index {
		return
	}
	l.confirmationPending, l.confirmed = false, true
	l.confirmedAt = l.confirmationAskedAt
	list := l.reads
	l.reads = nil
	for _, x := range list {
		if x.at > l.confirmedAt {
			l.reads = append(l.reads, x)
			continue
		}
		x.do(nil)
	}
}

// linearizableRead calls do once this replica certainly knows all that was agreed until
// now, or with an error after proposeTimeout.
func (l *lead) linearizableRead(do func(error)) {
	r := pendingRead{l.s.a.core.Now(), do}
	l.reads = append(l.reads, r)
	l.s.a.core.After(proposeTimeout, func() {
		if i := slices.IndexFunc(l.reads, func(x pendingRead) bool { return x.at == r.at }); i >= 0 {
			x := l.reads[i]
			l.reads = slices.Delete(l.reads, i, i+1)
			x.do(errNoLeader)
		}
	})
}

// grantLease answers a request for a lease, or returns false if none is granted now.
func (l *lead) grantLease(r version.LeaseRequest) (message, bool) {
	if !l.confirmed {
		return message{}, false
	}
	st := l.s.replicatedState.State
	g, ok := l.g.Renew(l.s.a.core.Now(), l.confirmedAt, r, st)
	if !ok {
		return message{}, false
	}
	w := message{kind: kindLeaseGrant, id: g.Seq, requester: r.Name, ttl: g.TTL, revision: st.Revision, leader: l.s.a.config.Name, members: l.s.voters()}
	if r.Revision != st.Revision || r.RefusedVersion != 0 {
		st.Refusals = nil // only the voters need them
		text, err := json.Marshal(st)
		if err != nil {
			return message{}, false
		}
		w.body = text
	}
	return w, true
}

// voters returns the sorted names of the voting replicas.
func (s *replica) voters() (names []string) {
	for _, x := range s.replicatedState.Peers {
		if slices.Contains(s.confState.GetVoters(), x.ID) {
			names = append(names, x.Name)
		}
	}
	slices.Sort(names)
	return names
}

// propose has the voters validate a document and then proposes it. A document that any
// voter rejects is refused; voters that do not answer in time are passed over.
func (l *lead) propose(v version.Version, done func(number uint64, err error)) {
	a := l.s.a
	if _, err := a.config.ParseRules(v.Text); err != nil {
		l.refuse(v, fmt.Errorf("%s: %w", a.config.Name, err), done)
		return
	}
	if l.validation != nil {
		done(0, errBusy)
		return
	}
	now := a.core.Now()
	k := &validation{id: a.newID(), waiting: map[string]bool{}}
	k.failed = func(err error) { l.validation = nil; done(0, err) }
	k.refused = func(err error) { l.validation = nil; l.refuse(v, err, done) }
	k.passed = func() {
		l.validation = nil
		var names []string
		live := a.fleet.LiveMembers()
		for _, h := range l.g.Holders(now) {
			if slices.Contains(live, h.Name) { // a dead canary would look as if the version had crashed it
				names = append(names, h.Name)
			}
		}
		voters := l.s.voters()
		v.Canaries = version.PickCanaries(v.Mark, slices.Compact(names), func(n string) bool { return slices.Contains(voters, n) })
		l.s.propose(version.Command{Kind: version.Propose, Version: v}, done)
	}
	l.validation = k
	for _, name := range l.s.voters() {
		if name != a.config.Name {
			k.waiting[name] = true
			a.sendMessage(name, message{kind: kindValidate, id: k.id, body: []byte(v.Text)})
		}
	}
	a.core.After(validationTimeout, func() {
		if l.validation == k { // voters that have not answered are passed over
			k.passed()
		}
	})
	if len(k.waiting) == 0 {
		k.passed()
	}
}

// refuse records a refusal in the log: another leader may have accepted an earlier attempt
// at the same proposal, and no later attempt may be accepted once the author was told.
func (l *lead) refuse(v version.Version, why error, done func(number uint64, err error)) {
	v.Text = ""
	l.s.propose(version.Command{Kind: version.Refuse, Version: v, Why: why.Error()}, done)
}

func (l *lead) handleValidated(from string, w message) {
	k := l.validation
	if k == nil || k.id != w.id || !k.waiting[from] {
		return
	}
	if !w.flag {
		k.refused(fmt.Errorf("%s: %s", from, w.reason))
		return
	}
	if delete(k.waiting, from); len(k.waiting) == 0 {
		k.passed()
	}
}

// reconcilePeers maintains the replicas, one membership change at a time. A process that has
// lost its replica joins with a new one as a learner. Once that has caught up, the old
// replica is removed, and then the learner becomes a voter.
func (l *lead) reconcilePeers() {
	s, now := l.s, l.s.a.core.Now()
	st := s.node.Status()
	named := func(name string) (list []uint64) {
		for _, x := range s.replicatedState.Peers {
			if x.Name == name {
				list = append(list, x.ID)
			}
		}
		return list
	}
	for _, x := range s.replicatedState.Peers {
		if !slices.Contains(s.confState.GetLearners(), x.ID) {
			continue
		}
		p := st.Progress[x.ID]
		if p.State != tracker.StateReplicate || p.Match+8 < s.applied {
			continue // it has not caught up
		}
		kind, target := pb.ConfChangeAddNode, x
		for _, id := range named(x.Name) {
			if id != x.ID {
				kind, target.ID = pb.ConfChangeRemoveNode, id
			}
		}
		s.finishPeerChange(s.proposePeerChange(kind, target))
		return
	}
	for name, h := range s.a.hellos {
		ours := named(name)
		if now-h.receivedAt > helloLifetime || h.hasLog || slices.Contains(ours, h.replica) || len(ours) == 0 && !s.a.invited[name] || len(ours) > 1 {
			continue
		}
		s.finishPeerChange(s.proposePeerChange(pb.ConfChangeAddLearnerNode, Peer{h.replica, name}))
		return
	}
}

// finishPeerChange logs why a membership change failed, unless this replica has lost the
// leadership, and drives the replica.
func (s *replica) finishPeerChange(err error) {
	if err != nil && !errors.Is(err, errNoLeader) {
		s.a.log.Warn().Err(err).Msg("accord: the voters can't be changed now")
	}
	s.processReady()
}
