package columns

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"kiteloft/internal/broker"
)

var sample = []broker.Value{{Shard: 3, Body: []byte("5be2a07c")}, {Shard: 9, Body: []byte{}}, {Shard: 11, Body: []byte{0, 255}}}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	list, err := Encode(sample, []byte(`{"entire":true}`))
	if err != nil {
		t.Fatal(err)
	}
	got, meta, err := Decode(list)
	if diff := cmp.Diff(sample, got); err != nil || diff != "" || string(meta) != `{"entire":true}` {
		t.Errorf("error %v, metadata %q, %s", err, meta, diff)
	}
}

func TestDecodeRejectsInvalidStreams(t *testing.T) {
	list, err := Encode(sample, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string][][]byte{
		"nothing": nil, "no schema": list[1:], "no message": {[]byte("hello")}, "cut batch": {list[0], list[1][:len(list[1])-20]},
	} {
		if got, _, err := Decode(bad); err == nil {
			t.Errorf("%s was decoded as %v", name, got)
		}
	}
}

// FuzzDecode checks that no bytes from a node can end the process.
func FuzzDecode(f *testing.F) {
	list, err := Encode(sample, []byte("{}"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(list[0], list[1])
	f.Fuzz(func(_ *testing.T, schema, batch []byte) {
		_, _, _ = Decode([][]byte{bytes.Clone(schema), bytes.Clone(batch)})
	})
}
