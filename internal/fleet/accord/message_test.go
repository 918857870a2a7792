package accord

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func sampleMessage() message {
	return message{kind: kindLeaseGrant, id: 9, requester: "n4", replica: 1 << 60, revision: 3, ttl: 1234 * time.Microsecond, refusedVersion: 7, reason: "because", leader: "n1",
		flag: true, body: []byte(`{"stage":3}`), members: []string{"n0", "n1"}}
}

func TestMessageRoundTrip(t *testing.T) {
	got, err := decodeMessage(sampleMessage().encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleMessage(), got, cmp.AllowUnexported(message{})); diff != "" {
		t.Error(diff)
	}
	if _, err := decodeMessage(nil); err == nil {
		t.Error("an empty message was accepted")
	}
}

func FuzzMessage(f *testing.F) {
	f.Add(sampleMessage().encode())
	f.Add([]byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := decodeMessage(b)
		if err != nil {
			return
		}
		again, err := decodeMessage(w.encode())
		if err != nil {
			t.Fatalf("a decoded message can't be decoded again after encoding: %v", err)
		}
		if diff := cmp.Diff(w.encode(), again.encode()); diff != "" {
			t.Error(diff)
		}
	})
}
