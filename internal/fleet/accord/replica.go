package accord

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/fleet/version"
)

const (
	electionTicks     = 10
	heartbeatTicks    = 2
	maxLogBytes       = 1 << 20         // bytes per message, and of uncommitted entries
	snapshotEntries   = 200             // entries after which a snapshot replaces them
	saveRetryInterval = time.Second     // between two attempts at a write
	snapshotTimeout   = 2 * time.Second // after which a snapshot that was sent counts as lost
)

// Peer identifies a replica of the log. A process that has lost its disk joins with a new ID.
type Peer struct {
	ID   uint64 `json:"id"`
	Name string `json:"name"`
}

// replicatedState is the state that the log's entries build up.
type replicatedState struct {
	State version.State `json:"state"`
	Peers []Peer        `json:"seats"`
}

// entry is the content of a log entry.
type entry struct {
	ID      uint64          `json:"id"` // random, drawn by the proposer, who waits for it
	Command version.Command `json:"command"`
}

// replica is a voter's replica of the log. It wraps the library's Raft node and executes
// what the node asks for in the order that Raft requires: first write to the disk, then
// send messages, then apply committed entries. The core's goroutine never waits for the
// disk.
type replica struct {
	a                *Participant
	id               uint64
	node             *raft.RawNode // nil: there is no log yet
	memory           *raft.MemoryStorage
	disk             disk
	bootstrapState   []byte
	replicatedState  replicatedState
	confState        *pb.ConfState
	applied          uint64
	snapshotIndex    uint64
	peerNames        map[uint64]string // mixers by replica ID, of the replicas that sent messages
	saving           bool              // a batch is being written
	writeErrorLogged bool              // a failing disk was logged
	abandoned        bool              // this replica must not be used any more

	lead       uint64
	leadership *lead // nil: another replica leads
	// confirmations counts the confirmations of leadership requested. It is not reset between
	// two terms of leadership, as the library may answer a request of an earlier one.
	confirmations uint64
	waiting       map[uint64]func(number uint64, err error)
}

// disk stores what a replica must not lose.
type disk interface {
	// Save writes a batch and posts done to the core's goroutine when it is durable, or with
	// an error if it could not be written. One batch may be in progress at a time.
	Save(b batch, done func(error))
	Close()
}

// newReplica returns the replica that was loaded from a disk.
func newReplica(a *Participant, d disk, l savedLog) *replica {
	s := &replica{a: a, id: l.replica, disk: d, bootstrapState: l.bootstrapState, peerNames: map[uint64]string{}, waiting: map[uint64]func(uint64, error){}, confState: &pb.ConfState{}}
	if !raft.IsEmptySnap(l.snapshot) || len(l.entries) > 0 || !raft.IsEmptyHardState(l.hard) {
		s.restore(l)
	}
	return s
}

func (s *replica) restore(l savedLog) {
	s.memory = raft.NewMemoryStorage()
	err := errors.New("entries without a snapshot")
	if !raft.IsEmptySnap(l.snapshot) {
		if err = s.memory.ApplySnapshot(l.snapshot); err == nil {
			err = s.applySnapshot(l.snapshot)
		}
	} else if len(l.entries) == 0 {
		err = nil // it has exchanged messages with a leader, but has no entry yet
	}
	if err == nil {
		err = s.memory.SetHardState(l.hard)
	}
	if err == nil {
		err = s.memory.Append(l.entries)
	}
	if err != nil {
		s.abandon(fmt.Errorf("the log can't be used: %w", err))
		return
	}
	s.startNode()
}

// applySnapshot replaces the replicated state by a snapshot's.
func (s *replica) applySnapshot(snap *pb.Snapshot) error {
	var a replicatedState
	if err := json.Unmarshal(snap.GetData(), &a); err != nil {
		return err
	}
	s.replicatedState, s.confState = a, snap.GetMetadata().GetConfState()
	s.applied = snap.GetMetadata().GetIndex()
	s.snapshotIndex = s.applied
	return nil
}

// startNode starts the Raft node on the entries in memory.
func (s *replica) startNode() {
	if s.memory == nil {
		s.memory = raft.NewMemoryStorage()
	}
	node, err := raft.NewRawNode(&raft.Config{ID: s.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: logStorage{s.memory, s}, Applied: s.applied,
		MaxSizePerMsg: maxLogBytes, MaxUncommittedEntriesSize: maxLogBytes, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: raftLog{s.a.log}})
	if err != nil {
		s.abandon(err)
		return
	}
	s.node = node
}

// bootstrap begins the log with the encoded replicated state in text, if this replica is
// one of its peers and has no log yet.
func (s *replica) bootstrap(text []byte) {
	var a replicatedState
	if s.node != nil || s.saving || json.Unmarshal(text, &a) != nil {
		return
	}
	mine := false
	conf := &pb.ConfState{}
	for _, x := range a.Peers {
		conf.Voters = append(conf.Voters, x.ID)
		mine = mine || x.ID == s.id
	}
	if !mine {
		return
	}
	index, term := uint64(1), uint64(1)
	snap := &pb.Snapshot{Data: text, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}}
	hard := &pb.HardState{Term: &term, Commit: &index}
	s.saving = true
	s.disk.Save(batch{hard: hard, snapshot: snap, bootstrapState: text}, func(err error) {
		s.saving = false
		if err != nil {
			s.reportWriteError(err)
			return
		}
		s.bootstrapState = text
		s.a.log.Info().Int("voters", len(a.Peers)).Uint64("stage", a.State.Revision).Msg("accord: the log is bootstrapped")
		s.restore(savedLog{hard: hard, snapshot: snap})
		s.processReady()
	})
}

// guard calls the Raft node and recovers from its panics: it panics if its log contradicts
// the agreed one. The replica is then abandoned, and the process opens another one.
func (s *replica) guard(do func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
			s.abandon(err)
		}
	}()
	if s.abandoned {
		return errors.New("this seat is not used any more")
	}
	return do()
}

func (s *replica) abandon(err error) {
	if !s.abandoned {
		s.abandoned = true
		s.a.log.Error().Err(err).Msg("accord: this replica can't be used any more")
		s.a.core.After(0, s.a.replaceReplica)
	}
}

func (s *replica) tick() {
	if s.node == nil || s.abandoned {
		return
	}
	_ = s.guard(func() error { s.node.Tick(); return nil }) // abandon has logged the error
	if s.leadership != nil {
		s.leadership.tick()
	}
	s.processReady()
}

// receive handles a Raft message from another replica. A message that arrives before this
// replica has a log shows that there is a log with this replica among its peers.
func (s *replica) receive(from string, body []byte) {
	m := &pb.Message{}
	if s.abandoned || proto.Unmarshal(body, m) != nil || m.GetTo() != s.id {
		return
	}
	if s.node == nil {
		if s.saving {
			return
		}
		s.startNode()
	}
	s.peerNames[m.GetFrom()] = from
	_ = s.guard(func() error { return s.node.Step(m) }) // messages that don't fit are dropped, as the library advises
	s.processReady()
}

// processReady processes the Raft node's pending work until a write to the disk is in progress.
func (s *replica) processReady() {
	for !s.abandoned && !s.saving && s.node != nil && s.node.HasReady() {
		rd := s.node.Ready()
		if rd.SoftState != nil {
			s.leaderChanged(rd.Lead, rd.RaftState == raft.StateLeader)
		}
		b := batch{hard: rd.HardState, entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.snapshot, b.reset = rd.Snapshot, true
		}
		if len(b.entries) == 0 && b.snapshot == nil && raft.IsEmptyHardState(b.hard) {
			s.finishReady(rd, b)
			continue
		}
		s.saving = true
		s.save(rd, b)
	}
}

// save writes a batch and retries until that succeeds. Until then this replica sends no
// messages.
func (s *replica) save(rd raft.Ready, b batch) {
	if s.abandoned {
		return // a retry that was waiting: the disk is closed
	}
	s.disk.Save(b, func(err error) {
		if s.abandoned {
			return
		}
		if err != nil {
			s.reportWriteError(err)
			s.a.core.After(saveRetryInterval, func() { s.save(rd, b) })
			return
		}
		if s.writeErrorLogged {
			s.writeErrorLogged = false
			s.a.log.Info().Msg("accord: the log can be written again")
		}
		s.saving = false
		s.finishReady(rd, b)
		s.processReady()
	})
}

func (s *replica) reportWriteError(err error) {
	if !s.writeErrorLogged {
		s.writeErrorLogged = true
		s.a.log.Error().Err(err).Msg("accord: the log can't be written; this voter sends no messages until it can")
	}
}

// finishReady does what the Raft node asked for after the batch was written: it updates the
// log in memory, sends messages and applies committed entries.
func (s *replica) finishReady(rd raft.Ready, b batch) {
	err := s.guard(func() error {
		if b.snapshot != nil {
			if err := s.memory.ApplySnapshot(b.snapshot); err != nil {
				return err
			}
			if err := s.applySnapshot(b.snapshot); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(b.hard) {
			if err := s.memory.SetHardState(b.hard); err != nil {
				return err
			}
		}
		if err := s.memory.Append(b.entries); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			s.send(m)
		}
		for _, e := range rd.CommittedEntries {
			s.applyEntry(e)
		}
		for _, r := range rd.ReadStates {
			if s.leadership != nil {
				s.leadership.handleReadState(r)
			}
		}
		s.node.Advance(rd)
		return nil
	})
	if err != nil {
		s.abandon(err)
		return
	}
	s.a.handleAgreed(s.replicatedState)
	s.compact()
}

func (s *replica) send(m *pb.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		s.a.log.Error().Err(err).Msg("accord: a message could not be encoded") // a bug
		return
	}
	if to := s.nameOf(m.GetTo()); to != "" {
		s.a.sendMessage(to, message{kind: kindRaft, body: b})
	}
	if m.GetType() == pb.MessageType_MsgSnap {
		// The Raft node waits for the outcome of a snapshot without a limit, so a snapshot that
		// was lost would stop the replication to its receiver for good.
		s.a.core.After(snapshotTimeout, func() {
			_ = s.guard(func() error { s.node.ReportSnapshot(m.GetTo(), raft.SnapshotFailure); return nil }) // has no effect if the node does not wait any more
			s.processReady()
		})
	}
}

func (s *replica) nameOf(id uint64) string {
	for _, x := range s.replicatedState.Peers {
		if x.ID == id {
			return x.Name
		}
	}
	return s.peerNames[id]
}

// applyEntry executes a committed entry.
func (s *replica) applyEntry(e *pb.Entry) {
	// Set at the end: a snapshot that is requested meanwhile would hold half of the entry.
	defer func() { s.applied = e.GetIndex() }()
	switch e.GetType() {
	case pb.EntryConfChange:
		cc := &pb.ConfChange{}
		if proto.Unmarshal(e.GetData(), cc) != nil {
			return
		}
		s.confState = s.node.ApplyConfChange(cc)
		s.applyPeerChange(cc)
	case pb.EntryNormal:
		var x entry
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &x) != nil {
			return // the empty entry of a new leader
		}
		next, number, err := s.replicatedState.State.Apply(x.Command)
		if s.replicatedState.State = next; err == nil && next.LastChange != "" {
			s.a.log.Info().Uint64("stage", next.Revision).Str("phase", next.Phase.String()).Uint64("version", number).Msg("accord: " + next.LastChange)
		}
		if done := s.waiting[x.ID]; done != nil {
			delete(s.waiting, x.ID)
			done(number, err)
		}
	}
}

func (s *replica) applyPeerChange(cc *pb.ConfChange) {
	id, name := cc.GetNodeId(), string(cc.GetContext())
	var list []Peer
	for _, x := range s.replicatedState.Peers {
		if x.ID != id {
			list = append(list, x)
		}
	}
	what := "leaves"
	if cc.GetType() != pb.ConfChangeRemoveNode {
		list = append(list, Peer{id, name})
		what = "votes"
		if cc.GetType() == pb.ConfChangeAddLearnerNode {
			what = "learns"
		}
	}
	s.replicatedState.Peers = list
	s.a.log.Info().Str("voter", name).Str("seat", fmt.Sprintf("%016x", id)).Str("what", what).Msg("accord: the voters change")
}

// logStorage is the log in memory as the Raft node reads it. Its snapshots are taken when
// they are requested, because the receiver of a snapshot has to be among its peers.
type logStorage struct {
	*raft.MemoryStorage
	s *replica
}

// Snapshot implements raft.Storage. The snapshot is of the present applied state.
func (st logStorage) Snapshot() (*pb.Snapshot, error) {
	s := st.s
	if last, err := st.MemoryStorage.Snapshot(); err != nil || last.GetMetadata().GetIndex() >= s.applied {
		return last, err
	}
	data, err := json.Marshal(s.replicatedState)
	if err != nil {
		return nil, err
	}
	return st.CreateSnapshot(s.applied, s.confState, data)
}

// compact replaces the log by a snapshot once it has grown by snapshotEntries.
func (s *replica) compact() {
	if s.abandoned || s.saving || s.node == nil || s.applied-s.snapshotIndex < snapshotEntries {
		return
	}
	err := s.guard(func() error {
		snap, err := logStorage{s.memory, s}.Snapshot()
		if err != nil {
			return err
		}
		s.saving = true
		s.disk.Save(batch{snapshot: snap}, func(err error) {
			s.saving = false
			if err != nil {
				s.reportWriteError(err)
			} else if err := s.memory.Compact(snap.GetMetadata().GetIndex()); err == nil {
				s.snapshotIndex = snap.GetMetadata().GetIndex()
			}
			s.processReady()
		})
		return nil
	})
	if err != nil {
		s.abandon(err)
	}
}

// leaderChanged handles a change of the leader.
func (s *replica) leaderChanged(leader uint64, leading bool) {
	s.lead = leader
	switch {
	case leading && s.leadership == nil:
		s.leadership = newLead(s)
		s.a.log.Info().Msg("accord: this mixer leads")
	case !leading && s.leadership != nil:
		s.leadership.end()
		s.leadership = nil
		s.a.log.Info().Msg("accord: this mixer does not lead any more")
	}
}

// propose proposes a command. Done is called once: with the result of executing the command,
// with errNoLeader if this replica does not lead, or with errOutcomeUnknown after
// proposeTimeout.
func (s *replica) propose(c version.Command, done func(number uint64, err error)) {
	id := s.a.newID()
	data, err := json.Marshal(entry{ID: id, Command: c})
	if err == nil {
		err = s.guard(func() error { return s.node.Propose(data) })
	}
	if err != nil { // not accepted, as this replica leads no more; an earlier attempt may have been
		done(0, errNoLeader)
		return
	}
	s.waiting[id] = done
	s.a.core.After(proposeTimeout, func() {
		if done := s.waiting[id]; done != nil {
			delete(s.waiting, id)
			done(0, errOutcomeUnknown)
		}
	})
	s.processReady()
}

// proposePeerChange proposes to add, promote or remove a replica.
func (s *replica) proposePeerChange(kind pb.ConfChangeType, x Peer) error {
	err := s.guard(func() error {
		return s.node.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: &x.ID, Context: []byte(x.Name)})
	})
	if errors.Is(err, raft.ErrProposalDropped) {
		return errNoLeader
	}
	return err
}

// requestConfirmation asks the other voters to confirm that this replica still leads. The
// answer carries the number n.
func (s *replica) requestConfirmation(n uint64) {
	_ = s.guard(func() error { s.node.ReadIndex(binary.BigEndian.AppendUint64(nil, n)); return nil }) // abandon has logged the error
}
