package accord

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func sampleWord() word {
	return word{kind: kindGrant, id: 9, who: "n4", seat: 1 << 60, stage: 3, left: 1234 * time.Microsecond, number: 7, why: "because", leader: "n1",
		flag: true, body: []byte(`{"stage":3}`), members: []string{"n0", "n1"}}
}

func TestAWordIsReadAsItWasSaid(t *testing.T) {
	got, err := decode(sampleWord().encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleWord(), got, cmp.AllowUnexported(word{})); diff != "" {
		t.Error(diff)
	}
	if _, err := decode(nil); err == nil {
		t.Error("an empty message was accepted")
	}
}

func FuzzWord(f *testing.F) {
	f.Add(sampleWord().encode())
	f.Add([]byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := decode(b)
		if err != nil {
			return
		}
		again, err := decode(w.encode())
		if err != nil {
			t.Fatalf("a decoded message can't be decoded again after encoding: %v", err)
		}
		if diff := cmp.Diff(w.encode(), again.encode()); diff != "" {
			t.Error(diff)
		}
	})
}
