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
	electionTicks = 10
	beatTicks     = 2
	maxLog        = 1 << 20         // bytes per message, and of uncommitted entries
	keepEntries   = 200             // entries after which a snapshot replaces them
	saveRetry     = time.Second     // between two attempts at a write
	snapTime      = 2 * time.Second // after which a snapshot that was sent counts as lost
)

// Peer identifies a replica of the log. A process that has lost its disk joins with a new ID.
type Peer struct {
	ID   uint64 `json:"id"`
	Name string `json:"name"`
}

// replicatedState is the state that the log's entries build up.
type agreed struct {
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
type seat struct {
	a        *Participant
	id       uint64
	rn       *raft.RawNode // nil: there is no log yet
	mem      *raft.MemoryStorage
	disk     disk
	founding []byte
	agreed   agreed
	conf     *pb.ConfState
	applied  uint64
	snapped  uint64
	names    map[uint64]string // mixers by replica ID, of the replicas that sent messages
	saving   bool              // a batch is being written
	said     bool              // a failing disk was logged
	gone     bool              // this replica must not be used any more

	lead uint64
	led  *lead // nil: another replica leads
	// confirms counts the confirmations of leadership requested. It is not reset between two
	// terms of leadership, as the library may answer a request of an earlier one.
	confirms uint64
	waiting  map[uint64]func(number uint64, err error)
}

// logWriter stores what a replica must not lose.
type disk interface {
	// Save writes a batch and posts done to the core's goroutine when it is durable, or with
	// an error if it could not be written. One batch may be in progress at a time.
	Save(b batch, done func(error))
	Close()
}

// newReplica returns the replica that was loaded from a disk.
func newSeat(a *Participant, d disk, l loaded) *seat {
	s := &seat{a: a, id: l.seat, disk: d, founding: l.founding, names: map[uint64]string{}, waiting: map[uint64]func(uint64, error){}, conf: &pb.ConfState{}}
	if !raft.IsEmptySnap(l.snapshot) || len(l.entries) > 0 || !raft.IsEmptyHardState(l.hard) {
		s.restore(l)
	}
	return s
}

func (s *seat) restore(l loaded) {
	s.mem = raft.NewMemoryStorage()
	err := errors.New("entries without a snapshot")
	if !raft.IsEmptySnap(l.snapshot) {
		if err = s.mem.ApplySnapshot(l.snapshot); err == nil {
			err = s.take(l.snapshot)
		}
	} else if len(l.entries) == 0 {
		err = nil // it has exchanged messages with a leader, but has no entry yet
	}
	if err == nil {
		err = s.mem.SetHardState(l.hard)
	}
	if err == nil {
		err = s.mem.Append(l.entries)
	}
	if err != nil {
		s.fail(fmt.Errorf("the log can't be used: %w", err))
		return
	}
	s.begin()
}

// applySnapshot replaces the replicated state by a snapshot's.
func (s *seat) take(snap *pb.Snapshot) error {
	var a agreed
	if err := json.Unmarshal(snap.GetData(), &a); err != nil {
		return err
	}
	s.agreed, s.conf = a, snap.GetMetadata().GetConfState()
	s.applied = snap.GetMetadata().GetIndex()
	s.snapped = s.applied
	return nil
}

// startNode starts the Raft node on the entries in memory.
func (s *seat) begin() {
	if s.mem == nil {
		s.mem = raft.NewMemoryStorage()
	}
	rn, err := raft.NewRawNode(&raft.Config{ID: s.id, ElectionTick: electionTicks, HeartbeatTick: beatTicks, Storage: storage{s.mem, s}, Applied: s.applied,
		MaxSizePerMsg: maxLog, MaxUncommittedEntriesSize: maxLog, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: raftLog{s.a.log}})
	if err != nil {
		s.fail(err)
		return
	}
	s.rn = rn
}

// bootstrap begins the log with the encoded replicated state in text, if this replica is
// one of its peers and has no log yet.
func (s *seat) found(text []byte) {
	var a agreed
	if s.rn != nil || s.saving || json.Unmarshal(text, &a) != nil {
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
	s.disk.Save(batch{hard: hard, snapshot: snap, founding: text}, func(err error) {
		s.saving = false
		if err != nil {
			s.failing(err)
			return
		}
		s.founding = text
		s.a.log.Info().Int("voters", len(a.Peers)).Uint64("stage", a.State.Revision).Msg("accord: the log is bootstrapped")
		s.restore(loaded{hard: hard, snapshot: snap})
		s.drive()
	})
}

// guard calls the Raft node and recovers from its panics: it panics if its log contradicts
// the agreed one. The replica is then abandoned, and the process opens another one.
func (s *seat) guard(do func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
			s.fail(err)
		}
	}()
	if s.gone {
		return errors.New("this seat is not used any more")
	}
	return do()
}

func (s *seat) fail(err error) {
	if !s.gone {
		s.gone = true
		s.a.log.Error().Err(err).Msg("accord: this replica can't be used any more")
		s.a.core.After(0, s.a.reseat)
	}
}

func (s *seat) tick() {
	if s.rn == nil || s.gone {
		return
	}
	_ = s.guard(func() error { s.rn.Tick(); return nil }) // fail has logged the error
	if s.led != nil {
		s.led.tick()
	}
	s.drive()
}

// receive handles a Raft message from another replica. A message that arrives before this
// replica has a log shows that there is a log with this replica among its peers.
func (s *seat) receive(from string, body []byte) {
	m := &pb.Message{}
	if s.gone || proto.Unmarshal(body, m) != nil || m.GetTo() != s.id {
		return
	}
	if s.rn == nil {
		if s.saving {
			return
		}
		s.begin()
	}
	s.names[m.GetFrom()] = from
	_ = s.guard(func() error { return s.rn.Step(m) }) // messages that don't fit are dropped, as the library advises
	s.drive()
}

// drive processes the Raft node's pending work until a write to the disk is in progress.
func (s *seat) drive() {
	for !s.gone && !s.saving && s.rn != nil && s.rn.HasReady() {
		rd := s.rn.Ready()
		if rd.SoftState != nil {
			s.leads(rd.Lead, rd.RaftState == raft.StateLeader)
		}
		b := batch{hard: rd.HardState, entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.snapshot, b.reset = rd.Snapshot, true
		}
		if len(b.entries) == 0 && b.snapshot == nil && raft.IsEmptyHardState(b.hard) {
			s.carry(rd, b)
			continue
		}
		s.saving = true
		s.save(rd, b)
	}
}

// save writes a batch and retries until that succeeds. Until then this replica sends no
// messages.
func (s *seat) save(rd raft.Ready, b batch) {
	if s.gone {
		return // a retry that was waiting: the disk is closed
	}
	s.disk.Save(b, func(err error) {
		if s.gone {
			return
		}
		if err != nil {
			s.failing(err)
			s.a.core.After(saveRetry, func() { s.save(rd, b) })
			return
		}
		if s.said {
			s.said = false
			s.a.log.Info().Msg("accord: the log can be written again")
		}
		s.saving = false
		s.carry(rd, b)
		s.drive()
	})
}

func (s *seat) failing(err error) {
	if !s.said {
		s.said = true
		s.a.log.Error().Err(err).Msg("accord: the log can't be written; this voter sends no messages until it can")
	}
}

// finishReady does what the Raft node asked for after the batch was written: it updates the
// log in memory, sends messages and applies committed entries.
func (s *seat) carry(rd raft.Ready, b batch) {
	err := s.guard(func() error {
		if b.snapshot != nil {
			if err := s.mem.ApplySnapshot(b.snapshot); err != nil {
				return err
			}
			if err := s.take(b.snapshot); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(b.hard) {
			if err := s.mem.SetHardState(b.hard); err != nil {
				return err
			}
		}
		if err := s.mem.Append(b.entries); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			s.send(m)
		}
		for _, e := range rd.CommittedEntries {
			s.apply(e)
		}
		for _, r := range rd.ReadStates {
			if s.led != nil {
				s.led.read(r)
			}
		}
		s.rn.Advance(rd)
		return nil
	})
	if err != nil {
		s.fail(err)
		return
	}
	s.a.heard(s.agreed)
	s.compact()
}

func (s *seat) send(m *pb.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		s.a.log.Error().Err(err).Msg("accord: a message could not be encoded") // a bug
		return
	}
	if to := s.nameOf(m.GetTo()); to != "" {
		s.a.say(to, word{kind: kindRaft, body: b})
	}
	if m.GetType() == pb.MessageType_MsgSnap {
		// The Raft node waits for the outcome of a snapshot without a limit, so a snapshot that
		// was lost would stop the replication to its receiver for good.
		s.a.core.After(snapTime, func() {
			_ = s.guard(func() error { s.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFailure); return nil }) // has no effect if the node does not wait any more
			s.drive()
		})
	}
}

func (s *seat) nameOf(id uint64) string {
	for _, x := range s.agreed.Peers {
		if x.ID == id {
			return x.Name
		}
	}
	return s.names[id]
}

// apply executes a committed entry.
func (s *seat) apply(e *pb.Entry) {
	// Set at the end: a snapshot that is requested meanwhile would hold half of the entry.
	defer func() { s.applied = e.GetIndex() }()
	switch e.GetType() {
	case pb.EntryConfChange:
		cc := &pb.ConfChange{}
		if proto.Unmarshal(e.GetData(), cc) != nil {
			return
		}
		s.conf = s.rn.ApplyConfChange(cc)
		s.seatChanged(cc)
	case pb.EntryNormal:
		var x entry
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &x) != nil {
			return // the empty entry of a new leader
		}
		next, number, err := s.agreed.State.Apply(x.Command)
		if s.agreed.State = next; err == nil && next.LastChange != "" {
			s.a.log.Info().Uint64("stage", next.Revision).Str("phase", next.Phase.String()).Uint64("version", number).Msg("accord: " + next.LastChange)
		}
		if done := s.waiting[x.ID]; done != nil {
			delete(s.waiting, x.ID)
			done(number, err)
		}
	}
}

func (s *seat) seatChanged(cc *pb.ConfChange) {
	id, name := cc.GetNodeId(), string(cc.GetContext())
	var list []Peer
	for _, x := range s.agreed.Peers {
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
	s.agreed.Peers = list
	s.a.log.Info().Str("voter", name).Str("seat", fmt.Sprintf("%016x", id)).Str("what", what).Msg("accord: the voters change")
}

// logStorage is the log in memory as the Raft node reads it. Its snapshots are taken when
// they are requested, because the receiver of a snapshot has to be among its peers.
type storage struct {
	*raft.MemoryStorage
	s *seat
}

// Snapshot implements raft.Storage. The snapshot is of the present applied state.
func (st storage) Snapshot() (*pb.Snapshot, error) {
	s := st.s
	if last, err := st.MemoryStorage.Snapshot(); err != nil || last.GetMetadata().GetIndex() >= s.applied {
		return last, err
	}
	data, err := json.Marshal(s.agreed)
	if err != nil {
		return nil, err
	}
	return st.CreateSnapshot(s.applied, s.conf, data)
}

// compact replaces the log by a snapshot once it has grown by snapshotEntries.
func (s *seat) compact() {
	if s.gone || s.saving || s.rn == nil || s.applied-s.snapped < keepEntries {
		return
	}
	err := s.guard(func() error {
		snap, err := storage{s.mem, s}.Snapshot()
		if err != nil {
			return err
		}
		s.saving = true
		s.disk.Save(batch{snapshot: snap}, func(err error) {
			s.saving = false
			if err != nil {
				s.failing(err)
			} else if err := s.mem.Compact(snap.GetMetadata().GetIndex()); err == nil {
				s.snapped = snap.GetMetadata().GetIndex()
			}
			s.drive()
		})
		return nil
	})
	if err != nil {
		s.fail(err)
	}
}

// leaderChanged handles a change of the leader.
func (s *seat) leads(leader uint64, we bool) {
	s.lead = leader
	switch {
	case we && s.led == nil:
		s.led = newLead(s)
		s.a.log.Info().Msg("accord: this mixer leads")
	case !we && s.led != nil:
		s.led.end()
		s.led = nil
		s.a.log.Info().Msg("accord: this mixer does not lead any more")
	}
}

// propose proposes a command. Done is called once: with the result of executing the command,
// with errNoLeader if this replica does not lead, or with errOutcomeUnknown after
// proposeTimeout.
func (s *seat) propose(c version.Command, done func(number uint64, err error)) {
	id := s.a.draw()
	data, err := json.Marshal(entry{ID: id, Command: c})
	if err == nil {
		err = s.guard(func() error { return s.rn.Propose(data) })
	}
	if err != nil { // not accepted, as this replica leads no more; an earlier attempt may have been
		done(0, errNoLead)
		return
	}
	s.waiting[id] = done
	s.a.core.After(proposeTime, func() {
		if done := s.waiting[id]; done != nil {
			delete(s.waiting, id)
			done(0, errUnsure)
		}
	})
	s.drive()
}

// proposePeerChange proposes to add, promote or remove a replica.
func (s *seat) change(kind pb.ConfChangeType, x Peer) error {
	err := s.guard(func() error {
		return s.rn.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: &x.ID, Context: []byte(x.Name)})
	})
	if errors.Is(err, raft.ErrProposalDropped) {
		return errNoLead
	}
	return err
}

// requestConfirmation asks the other voters to confirm that this replica still leads. The
// answer carries the number n.
func (s *seat) confirm(n uint64) {
	_ = s.guard(func() error { s.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, n)); return nil }) // fail has logged the error
}
