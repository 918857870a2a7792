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
	confirmLost = 500 * time.Millisecond // after which an unanswered confirmation of leadership is requested again
	checkTime   = time.Second            // for the other voters to validate a document
	proposeTime = 3 * time.Second        // until the outcome of a proposal or read counts as unknown
	helloTime   = 500 * time.Millisecond // between two hellos, and two checks of the voters
	helloLasts  = 3 * time.Second        // for which a hello counts
	mostDone    = 128                    // answers kept for retries
)

var (
	// These errors never reach an operator: the request is retried.
	errUnsure = errors.New("it is not known whether that was agreed; ask again with the same mark")
	errNoLead = errors.New("nobody leads the voters now")
	errBusy   = errors.New("another document is being checked")
)

// leadership holds the duties of the voters' leader beyond Raft: it grants leases, moves
// versions from phase to phase, has documents validated and maintains the replicas.
type lead struct {
	s         *seat
	g         *version.Granter
	asked     uint64 // number of the latest confirmation requested
	askedAt   time.Duration
	pending   bool
	confirmed time.Duration // at this time no other leader had been elected
	sure      bool          // a first confirmation has come: all that was agreed before is known
	reads     []reading
	stepping  bool
	check     *check
	looked    time.Duration
	done      map[uint64][]byte // answers to the latest requests by ID; nil: in progress
	order     []uint64          // keys of done, the oldest first
}

// pendingRead waits for a confirmation that was requested at or after a time.
type reading struct {
	at time.Duration
	do func(error)
}

// validation is a document that the other voters are validating.
type check struct {
	id      uint64
	open    map[string]bool // voters that have not answered yet
	passed  func()
	failed  func(error) // it was not completed
	refused func(error)
}

func newLead(s *seat) *lead {
	now := s.a.core.Now()
	return &lead{s: s, g: version.NewGranter(s.a.c.LeaseDuration, s.a.c.TrialDuration, now), done: map[uint64][]byte{}}
}

// recordAnswer keeps the answer to a request for its retries.
func (l *lead) remember(id uint64, answer []byte) {
	if _, known := l.done[id]; !known {
		if l.order = append(l.order, id); len(l.order) > mostDone { // the entry may be deleted already
			delete(l.done, l.order[0])
			l.order = l.order[1:]
		}
	}
	l.done[id] = answer
}

func (l *lead) end() {
	list := l.reads
	l.reads = nil
	for _, r := range list {
		r.do(errNoLead)
	}
	if l.check != nil {
		l.check.failed(errNoLead)
	}
}

func (l *lead) tick() {
	now := l.s.a.core.Now()
	if !l.pending || now-l.askedAt > confirmLost {
		l.s.confirms++
		l.asked, l.askedAt, l.pending = l.s.confirms, now, true
		l.s.confirm(l.asked)
	}
	if l.sure && !l.stepping {
		if c, ok := l.g.NextCommand(now, l.s.agreed.State); ok {
			l.stepping = true
			l.s.propose(c, func(uint64, error) { l.stepping = false })
		}
	}
	if now-l.looked >= helloTime {
		l.looked = now
		l.seats()
	}
}

// handleReadState handles a confirmation of leadership: when it was requested, no other
// leader had been elected.
func (l *lead) read(r raft.ReadState) {
	if len(r.RequestCtx) != 8 || binary.BigEndian.Uint64(r.RequestCtx) != l.asked || l.s.applied < r.Index {
		return
	}
	l.pending, l.sure = false, true
	l.confirmed = l.askedAt
	list := l.reads
	l.reads = nil
	for _, x := range list {
		if x.at > l.confirmed {
			l.reads = append(l.reads, x)
			continue
		}
		x.do(nil)
	}
}

// linearizableRead calls do once this replica certainly knows all that was agreed until
// now, or with an error after proposeTimeout.
func (l *lead) surely(do func(error)) {
	r := reading{l.s.a.core.Now(), do}
	l.reads = append(l.reads, r)
	l.s.a.core.After(proposeTime, func() {
		if i := slices.IndexFunc(l.reads, func(x reading) bool { return x.at == r.at }); i >= 0 {
			x := l.reads[i]
			l.reads = slices.Delete(l.reads, i, i+1)
			x.do(errNoLead)
		}
	})
}

// grantLease answers a request for a lease, or returns false if none is granted now.
func (l *lead) grant(r version.LeaseRequest) (word, bool) {
	if !l.sure {
		return word{}, false
	}
	st := l.s.agreed.State
	g, ok := l.g.Renew(l.s.a.core.Now(), l.confirmed, r, st)
	if !ok {
		return word{}, false
	}
	w := word{kind: kindGrant, id: g.Seq, who: r.Name, left: g.TTL, stage: st.Revision, leader: l.s.a.c.Name, members: l.s.voters()}
	if r.Revision != st.Revision || r.RefusedVersion != 0 {
		st.Refusals = nil // only the voters need them
		text, err := json.Marshal(st)
		if err != nil {
			return word{}, false
		}
		w.body = text
	}
	return w, true
}

// voters returns the sorted names of the voting replicas.
func (s *seat) voters() (names []string) {
	for _, x := range s.agreed.Peers {
		if slices.Contains(s.conf.GetVoters(), x.ID) {
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
	if _, err := a.c.ParseRules(v.Text); err != nil {
		l.refuse(v, fmt.Errorf("%s: %w", a.c.Name, err), done)
		return
	}
	if l.check != nil {
		done(0, errBusy)
		return
	}
	now := a.core.Now()
	k := &check{id: a.draw(), open: map[string]bool{}}
	k.failed = func(err error) { l.check = nil; done(0, err) }
	k.refused = func(err error) { l.check = nil; l.refuse(v, err, done) }
	k.passed = func() {
		l.check = nil
		var names []string
		live := a.fleet.Live()
		for _, h := range l.g.Holders(now) {
			if slices.Contains(live, h.Name) { // a dead canary would look as if the version had crashed it
				names = append(names, h.Name)
			}
		}
		voters := l.s.voters()
		v.Canaries = version.PickCanaries(v.Mark, slices.Compact(names), func(n string) bool { return slices.Contains(voters, n) })
		l.s.propose(version.Command{Kind: version.Propose, Version: v}, done)
	}
	l.check = k
	for _, name := range l.s.voters() {
		if name != a.c.Name {
			k.open[name] = true
			a.say(name, word{kind: kindCheck, id: k.id, body: []byte(v.Text)})
		}
	}
	a.core.After(checkTime, func() {
		if l.check == k { // voters that have not answered are passed over
			k.passed()
		}
	})
	if len(k.open) == 0 {
		k.passed()
	}
}

// refuse records a refusal in the log: another leader may have accepted an earlier attempt
// at the same proposal, and no later attempt may be accepted once the author was told.
func (l *lead) refuse(v version.Version, why error, done func(number uint64, err error)) {
	v.Text = ""
	l.s.propose(version.Command{Kind: version.Refuse, Version: v, Why: why.Error()}, done)
}

func (l *lead) checked(from string, w word) {
	k := l.check
	if k == nil || k.id != w.id || !k.open[from] {
		return
	}
	if !w.flag {
		k.refused(fmt.Errorf("%s: %s", from, w.why))
		return
	}
	if delete(k.open, from); len(k.open) == 0 {
		k.passed()
	}
}

// reconcilePeers maintains the replicas, one membership change at a time. A process that has
// lost its replica joins with a new one as a learner. Once that has caught up, the old
// replica is removed, and then the learner becomes a voter.
func (l *lead) seats() {
	s, now := l.s, l.s.a.core.Now()
	st := s.rn.Status()
	named := func(name string) (list []uint64) {
		for _, x := range s.agreed.Peers {
			if x.Name == name {
				list = append(list, x.ID)
			}
		}
		return list
	}
	for _, x := range s.agreed.Peers {
		if !slices.Contains(s.conf.GetLearners(), x.ID) {
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
		s.changing(s.change(kind, target))
		return
	}
	for name, h := range s.a.hellos {
		ours := named(name)
		if now-h.at > helloLasts || h.founded || slices.Contains(ours, h.seat) || len(ours) == 0 && !s.a.wanted[name] || len(ours) > 1 {
			continue
		}
		s.changing(s.change(pb.ConfChangeAddLearnerNode, Peer{h.seat, name}))
		return
	}
}

// afterPeerChange logs why a membership change failed, unless this replica has lost the
// leadership, and drives the replica.
func (s *seat) changing(err error) {
	if err != nil && !errors.Is(err, errNoLead) {
		s.a.log.Warn().Err(err).Msg("accord: the voters can't be changed now")
	}
	s.drive()
}
