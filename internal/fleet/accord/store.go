package accord

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"time"

	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// store is a voter's file: its replica ID, its vote and its log. A batch for which Save has
// returned survives a crash at any time. Torn or corrupt records are detected when the
// file is opened.
type store struct {
	db   *bolt.DB
	path string
	// stepHook is called at each step of a write. Tests use it to fail or to kill the process.
	stepHook func(at string) error
}

// batch is what has to be on the disk before messages that depend on it are sent.
type batch struct {
	hard           *pb.HardState
	snapshot       *pb.Snapshot
	entries        []*pb.Entry
	reset          bool   // the snapshot came from the leader: all present entries are deleted
	bootstrapState []byte // the encoded state with which the log begins
}

// savedLog is the content of a store when it was opened.
type savedLog struct {
	replica        uint64
	bootstrapState []byte
	hard           *pb.HardState
	snapshot       *pb.Snapshot
	entries        []*pb.Entry
}

var (
	bucketMeta        = []byte("meta")
	bucketLog         = []byte("log")
	keyReplica        = []byte("seat")
	keyHardState      = []byte("hard")
	keySnapshot       = []byte("snapshot")
	keyBootstrapState = []byte("founding")
)

var errChecksum = errors.New("wrong checksum")

// withChecksum returns a record's stored form: a checksum over key and value, 8 bytes,
// and then the value.
func withChecksum(key, value []byte) []byte {
	h := xxh3.New()
	_, _ = h.Write(key) // never fails
	_, _ = h.Write(value)
	return append(binary.BigEndian.AppendUint64(nil, h.Sum64()), value...)
}

// verifyChecksum returns a copy of a record's value, or an error wrapping errChecksum.
func verifyChecksum(key, record []byte) ([]byte, error) {
	if len(record) < 8 || !bytes.Equal(withChecksum(key, record[8:]), record) {
		return nil, fmt.Errorf("%q: %w", key, errChecksum)
	}
	return append([]byte(nil), record[8:]...), nil
}

const lockTimeout = 2 * time.Second // another process may still have the file

// openStore opens a voter's file, or creates it. A torn or corrupt file is renamed with the
// suffix ".bad" and replaced by a new one, whose replica ID has never voted; damaged then
// holds the reason.
func openStore(path string) (s *store, l savedLog, damaged, err error) {
	s, l, err = tryOpen(path)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return s, l, nil, err
	}
	damaged = err
	if e := os.Rename(path, path+".bad"); e != nil && !errors.Is(e, os.ErrNotExist) {
		return nil, l, damaged, e
	}
	s, l, err = tryOpen(path)
	return s, l, damaged, err
}

// tryOpen opens or creates a voter's file and reads all of it.
func tryOpen(path string) (s *store, l savedLog, err error) {
	// On a torn file the library panics, or faults on a missing page. Both are recovered here,
	// as everything is read on this goroutine. The library's own check and its search for
	// free pages run on other goroutines, where they could not be recovered, so neither is used.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %v", path, r)
		}
		if err != nil && s != nil {
			_ = s.db.Close() // the first error is returned
			s = nil
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, l, fmt.Errorf("%s: %w", path, err)
	}
	s = &store{db: db, path: path, stepHook: func(string) error { return nil }}
	return s, l, s.load(&l)
}

// load reads and verifies all records, and draws a replica ID for a new file.
func (s *store) load(l *savedLog) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(bucketLog)
		if err != nil {
			return err
		}
		get := func(key []byte, into func(b []byte) error) error {
			record := meta.Get(key)
			if record == nil {
				return nil
			}
			b, err := verifyChecksum(key, record)
			if err != nil {
				return err
			}
			return into(b)
		}
		l.hard, l.snapshot = &pb.HardState{}, &pb.Snapshot{}
		err = errors.Join(
			get(keyReplica, func(b []byte) error { l.replica = binary.BigEndian.Uint64(append(b, make([]byte, 8)...)); return nil }),
			get(keyBootstrapState, func(b []byte) error { l.bootstrapState = b; return nil }),
			get(keyHardState, func(b []byte) error { return proto.Unmarshal(b, l.hard) }),
			get(keySnapshot, func(b []byte) error { return proto.Unmarshal(b, l.snapshot) }))
		if err != nil {
			return err
		}
		next := uint64(0)
		if err := log.ForEach(func(k, v []byte) error {
			b, err := verifyChecksum(k, v)
			if err != nil {
				return err
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(b, e); err != nil {
				return err
			}
			if next > 0 && e.GetIndex() != next {
				return fmt.Errorf("entry %d follows entry %d", e.GetIndex(), next-1)
			}
			next = e.GetIndex() + 1
			l.entries = append(l.entries, e)
			return nil
		}); err != nil {
			return err
		}
		last := l.snapshot.GetMetadata().GetIndex()
		if len(l.entries) > 0 {
			if first := l.entries[0].GetIndex(); first > last+1 {
				return fmt.Errorf("the log begins at %d, the snapshot ends at %d", first, last)
			}
			last = max(last, next-1)
		}
		if l.hard.GetCommit() > last {
			return fmt.Errorf("%d is committed, the log ends at %d", l.hard.GetCommit(), last)
		}
		if l.replica == 0 {
			if l.hard.GetTerm() > 0 || len(l.entries) > 0 {
				return errors.New("a log without a replica identifier")
			}
			l.replica = rand.Uint64()>>1 | 1
			return meta.Put(keyReplica, withChecksum(keyReplica, binary.BigEndian.AppendUint64(nil, l.replica)))
		}
		return nil
	})
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Save writes a batch and returns once it is on the disk.
func (s *store) Save(b batch) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil { // a page was damaged after load had read it
			err = fmt.Errorf("%s: %v", s.path, r)
		}
	}()
	if err := s.stepHook("begin"); err != nil {
		return err
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		put := func(key []byte, m proto.Message) error {
			v, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return meta.Put(key, withChecksum(key, v))
		}
		if b.bootstrapState != nil {
			if err := meta.Put(keyBootstrapState, withChecksum(keyBootstrapState, b.bootstrapState)); err != nil {
				return err
			}
		}
		if b.snapshot != nil {
			if err := put(keySnapshot, b.snapshot); err != nil {
				return err
			}
		}
		if len(b.entries) > 0 || b.reset { // the entries from there on are replaced
			from := logKey(0)
			if !b.reset {
				from = logKey(b.entries[0].GetIndex())
			}
			for {
				k, _ := log.Cursor().Seek(from)
				if k == nil {
					break
				}
				if err := log.Delete(append([]byte(nil), k...)); err != nil {
					return err
				}
			}
		}
		for _, e := range b.entries {
			v, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			key := logKey(e.GetIndex())
			if err := log.Put(key, withChecksum(key, v)); err != nil {
				return err
			}
		}
		for b.snapshot != nil { // entries that the snapshot covers are deleted
			k, _ := log.Cursor().First()
			if k == nil || binary.BigEndian.Uint64(k) > b.snapshot.GetMetadata().GetIndex() {
				break
			}
			if err := log.Delete(append([]byte(nil), k...)); err != nil {
				return err
			}
		}
		if b.hard != nil && !raft.IsEmptyHardState(b.hard) {
			if err := put(keyHardState, b.hard); err != nil {
				return err
			}
		}
		return s.stepHook("commit")
	})
	if err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return s.stepHook("done")
}

// Close closes the file.
func (s *store) Close() error { return s.db.Close() }
