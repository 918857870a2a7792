package accord

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	pb "go.etcd.io/raft/v3/raftpb"
)

func entryAt(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

func hardAt(term, commit uint64) *pb.HardState {
	vote := uint64(7)
	return &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func snapAt(index uint64) *pb.Snapshot {
	term := uint64(1)
	return &pb.Snapshot{Data: []byte(`{}`), Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{7}}}}
}

func mustOpenStore(t *testing.T, path string) (*store, savedLog) {
	t.Helper()
	s, l, damaged, err := openStore(path)
	if err != nil || damaged != nil {
		t.Fatal(damaged, err)
	}
	return s, l
}

func entryTexts(l savedLog) (list []string) {
	for _, e := range l.entries {
		list = append(list, fmt.Sprint(e.GetIndex(), " ", string(e.GetData())))
	}
	return list
}

func TestStoreRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log.db")
	s, l := mustOpenStore(t, path)
	replica := l.replica
	save := func(b batch) {
		t.Helper()
		if err := s.Save(b); err != nil {
			t.Fatal(err)
		}
	}
	save(batch{hard: hardAt(1, 1), snapshot: snapAt(1), bootstrapState: []byte("f")})
	save(batch{entries: []*pb.Entry{entryAt(2, 1, "a"), entryAt(3, 1, "b"), entryAt(4, 1, "c")}})
	save(batch{hard: hardAt(2, 3), entries: []*pb.Entry{entryAt(4, 2, "d")}}) // from another leader
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, l = mustOpenStore(t, path)
	if l.replica != replica || replica == 0 || string(l.bootstrapState) != "f" || l.hard.GetTerm() != 2 || l.hard.GetCommit() != 3 {
		t.Errorf("%+v", l)
	}
	if diff := cmp.Diff([]string{"2 a", "3 b", "4 d"}, entryTexts(l)); diff != "" {
		t.Error(diff)
	}
	save(batch{snapshot: snapAt(3)})
	_ = s.Close()
	s, l = mustOpenStore(t, path)
	if diff := cmp.Diff([]string{"4 d"}, entryTexts(l)); diff != "" {
		t.Error(diff)
	}
	save(batch{snapshot: snapAt(9), hard: hardAt(3, 9), reset: true}) // from the leader
	_ = s.Close()
	s, l = mustOpenStore(t, path)
	if len(l.entries) != 0 || l.snapshot.GetMetadata().GetIndex() != 9 {
		t.Errorf("%v, %v", entryTexts(l), l.snapshot)
	}
	_ = s.Close()
}

// TestDamagedStoreIsSetAside changes random bytes of the file, or truncates it. Opening it has
// to return the log as it was, or a new replica that has never voted.
func TestDamagedStoreIsSetAside(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log.db")
	s, l := mustOpenStore(t, path)
	replica := l.replica
	var want []string
	for i := uint64(2); i < 40; i++ {
		if err := s.Save(batch{hard: hardAt(1, i-1), snapshot: nil, entries: []*pb.Entry{entryAt(i, 1, strings.Repeat("x", 200))}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Save(batch{snapshot: snapAt(1)}); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	s, l = mustOpenStore(t, path)
	want = entryTexts(l)
	_ = s.Close()
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	aside := 0
	for i := range 150 {
		b := append([]byte(nil), sound...)
		if i%10 == 0 {
			b = b[:rng.IntN(len(b))]
		} else {
			for range 1 + rng.IntN(8) {
				b[rng.IntN(len(b))] ^= byte(1 + rng.IntN(255))
			}
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, l, damaged, err := openStore(path)
		if err != nil {
			t.Fatalf("damage %d: %v", i, err)
		}
		switch {
		case damaged != nil:
			aside++
			if l.replica == replica || len(l.entries) != 0 || l.hard.GetTerm() != 0 {
				t.Errorf("damage %d: %v, and yet the replica is the old one: %v", i, damaged, entryTexts(l))
			}
		case l.replica != replica || l.hard.GetTerm() != 1:
			t.Errorf("damage %d: not detected: %+v", i, l)
		default:
			if diff := cmp.Diff(want, entryTexts(l)); diff != "" {
				t.Errorf("damage %d: not detected: %s", i, diff)
			}
		}
		_ = s.Close()
	}
	t.Logf("%d of 150 damages had an effect and were detected", aside)
	if aside < 20 {
		t.Errorf("only %d of 150 damages had an effect", aside)
	}
}

// TestKilledAtEveryStep runs the store in a process that is killed at each step of its writes
// in turn. What the process had reported as written has to be there.
func TestKilledAtEveryStep(t *testing.T) {
	if path := os.Getenv("KITELOFT_STORE"); path != "" {
		writeUntilKilled(path)
		return
	}
	for at := range 24 {
		path := filepath.Join(t.TempDir(), "log.db")
		cmd := exec.Command(os.Args[0], "-test.run=TestKilledAtEveryStep")
		cmd.Env = append(os.Environ(), "KITELOFT_STORE="+path, "KITELOFT_KILL="+strconv.Itoa(at))
		out, err := cmd.Output()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != -1 {
			t.Fatalf("step %d: it was not killed: %v, %s", at, err, out)
		}
		said := uint64(1)
		for line := range strings.Lines(string(out)) {
			if _, err := fmt.Sscanf(line, "written %d", &said); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
		}
		s, l := mustOpenStore(t, path)
		last := l.hard.GetCommit() + 1
		if n := len(l.entries); n > 0 {
			last = l.entries[n-1].GetIndex()
		}
		if last < said || last > said+1 {
			t.Errorf("step %d: %d was reported as written, %d is there", at, said, last)
		}
		_ = s.Close()
	}
}

func writeUntilKilled(path string) {
	at, err := strconv.Atoi(os.Getenv("KITELOFT_KILL"))
	if err != nil {
		panic(err)
	}
	s, _, _, err := openStore(path)
	if err != nil {
		panic(err)
	}
	if err := s.Save(batch{snapshot: snapAt(1)}); err != nil {
		panic(err)
	}
	s.stepHook = func(string) error {
		if at == 0 {
			p, _ := os.FindProcess(os.Getpid()) // never fails on Unix
			_ = p.Kill()
			select {}
		}
		at--
		return nil
	}
	for i := uint64(2); ; i++ {
		if err := s.Save(batch{hard: hardAt(1, i-1), entries: []*pb.Entry{entryAt(i, 1, "x")}}); err != nil {
			panic(err)
		}
		fmt.Printf("written %d\n", i)
	}
}
