package link

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"

	"kiteloft/internal/fields"
	"kiteloft/internal/fleet/atomicfile"
	"kiteloft/internal/fleet/member"
)

func sample() packet {
	return packet{fleet: "f", sendCount: 7, Message: member.Message{Kind: member.Gossip, From: "n1", Instance: 1 << 60, To: "n2", Target: 3, Seq: 4,
		Subject: "n3", Digest: 5,
		Records: []member.Record{{ID: "n1", Zone: "a", Addr: "127.0.0.1:1", Instance: 9, Incarnation: member.Incarnation{Generation: 1, Turn: 2}, State: member.Gone,
			ConfirmedGone: true, Ready: true, Age: time.Second, RetainedShare: 0.25}},
		Doubts: []member.Doubt{{Subject: "n3", Incarnation: member.Incarnation{Generation: 4}, Observer: "n1", Version: 6, SilentFor: 2 * time.Second, Refused: true, Withdrawn: true}},
		News:   []member.News{{Key: "k", Origin: "n1", Version: 8, Body: []byte("b")}}}}
}

func TestPacketRoundTrip(t *testing.T) {
	got, err := decode(sample().encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sample(), got, cmp.AllowUnexported(packet{})); diff != "" {
		t.Error(diff)
	}
}

// TestUnknownFieldsAreSkipped guards a fleet with newer programs, which send fields that this
// one does not know.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := fields.AppendBytes(fields.AppendUint(sample().encode(), 900, 5), 901, []byte("new"))
	b = protowire.AppendFixed64(protowire.AppendTag(b, 902, protowire.Fixed64Type), 1)
	if got, err := decode(b); err != nil || got.From != "n1" {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestKeyRotation(t *testing.T) {
	one, two := NewKey([]byte("the first key, long")), NewKey([]byte("the second key, long"))
	steps := []Keys{{one}, {one, two}, {two, one}, {two}}
	for i, k := range steps {
		for j := max(0, i-1); j <= min(i+1, len(steps)-1); j++ { // adjacent steps run in one fleet
			if _, err := steps[j].open(k.seal([]byte("words"))); err != nil {
				t.Errorf("a packet sealed in step %d is rejected in step %d: %v", i, j, err)
			}
		}
	}
	if _, err := steps[0].open(steps[3].seal([]byte("words"))); err != errUnknownKey {
		t.Errorf("%v", err)
	}
	spoilt := steps[0].seal([]byte("words"))
	spoilt[len(spoilt)-1] ^= 1
	if _, err := steps[0].open(spoilt); err != errUnknownKey {
		t.Errorf("%v", err)
	}
}

func TestReadKeys(t *testing.T) {
	for text, want := range map[string]int{"# old\n\n0123456789abcdef\n": 1, "0123456789abcdef\nfedcba9876543210\n": 2, "short\n": 0, "": 0,
		"0123456789abcdef\n0123456789abcde1\n0123456789abcde2\n": 0} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if len(keys) != want || (err == nil) != (want > 0) {
			t.Errorf("key file %q: %d keys, %v", text, len(keys), err)
		}
	}
}

func TestReplayedDatagramsAreRejected(t *testing.T) {
	s := &sender{}
	for _, c := range []struct {
		n    uint64
		want bool
	}{{5, true}, {5, false}, {3, true}, {3, false}, {70, true}, {5, false}, {7, true}, {6, false}, {1000, true}, {70, false}} {
		if got := s.markSeen(c.n); got != c.want {
			t.Errorf("packet number %d: new is %v", c.n, got)
		}
	}
}

func TestSnapshots(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.json")
	s := snapshot{Name: "n1", Generation: 3, Members: []knownMember{{"n2", "a", "127.0.0.1:2"}}}
	s.Sum = s.checksum()
	text, err := s.text()
	if err != nil {
		t.Fatal(err)
	}
	if err := atomicfile.Write(path, text); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, loadSnapshot(path, "n1", zerolog.Nop())); diff != "" {
		t.Error(diff)
	}
	if got := loadSnapshot(path, "n9", zerolog.Nop()); got.Generation != 0 {
		t.Errorf("the snapshot of another mixer was loaded: %+v", got)
	}
	if _, err := os.Stat(path + ".bad"); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sample().encode())
	f.Add([]byte{})
	f.Add([]byte{0x5a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := decode(b)
		if err != nil {
			return
		}
		if _, err := decode(p.encode()); err != nil {
			t.Errorf("a decoded packet, encoded again, can't be decoded: %v", err)
		}
	})
}

func FuzzOpen(f *testing.F) {
	keys := Keys{NewKey([]byte("the first key, long"))}
	f.Add(keys.seal(sample().encode()))
	f.Fuzz(func(t *testing.T, b []byte) {
		if body, err := keys.open(b); err == nil && string(keys.seal(body)) != string(b) {
			t.Error("opened a packet that seal does not produce")
		}
		_, _, _ = unframe(b)
	})
}
