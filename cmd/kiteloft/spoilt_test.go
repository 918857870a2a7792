package main

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// frame is a frame as a stock node sends it. ID stands for the part's id, which
// is as long as idOf.
func frame(letter byte, rest string) string {
	n := 1 + len(strings.ReplaceAll(rest, "ID", idOf))
	return string(binary.BigEndian.AppendUint32(nil, uint32(n))) + string(letter) + rest
}

const idOf = "0123456789abcdef.1"

func raw(text string) func(part) reply {
	return func(part) reply { return reply{End: 'r', Value: text} }
}

// TestSpoiltAnswers has nodes answer with what can't be used. The part may have
// run: it is sent elsewhere only where that may be, and its client gets the value
// made for it or an error.
func TestSpoiltAnswers(t *testing.T) {
	tests := []struct{ name, text string }{
		{"noise", "\x8e\x01\xff garbage without end"},
		{"a length of 3 GB", "\xb2\xd0\x5e\x00" + strings.Repeat("v", 5000)},
		{"a length that is too long", "\x00\x00\x00\x7f5ID S 1 -\nv1"},
		{"no length at all", "\x00\x00\x00\x00"},
		{"an unknown letter", frame('Q', "ID S 1 -\nv1")},
		{"an unknown end", frame('5', "ID Z 1 -\nv1")},
		{"an unknown id", frame('5', "fedcba9876543210.1 S 1 -\nv1")},
		{"a line without end", frame('5', "ID S 1 "+strings.Repeat("-", 500))},
		{"a line that is too short", frame('5', "ID S\nv1")},
		{"a score that is no number", frame('5', "ID S one -\nv1")},
		{"a refusal with a value", frame('5', "ID B 0 -\nv1")},
		{"a value that is no text", frame('5', "ID S 1 -\n\xff\xfe")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := start(t, platformWire{}, first(raw(tt.text))())
			r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second})
			if diff := cmp.Diff(values(1), r.Values); diff != "" || r.Kind != "served" {
				t.Errorf("client got %+v: %s", r, diff)
			}
			attempts(t, b, 2, 2)
			for _, n := range b.nodes {
				n.Answers(raw(tt.text))
			}
			if r := (platformWire{}).ask(t, b, query{Class: "once", Shards: []int{1}, Deadline: 3 * time.Second}); r.Kind != "failed" {
				t.Errorf("a client whose part may have run got %+v", r)
			}
			attempts(t, b, 3, 3)
			b.wait(t, "spoilt connections are closed", func() bool {
				came, went := 0, 0
				for _, n := range b.nodes {
					c, w := n.Connections()
					came, went = came+c, went+w
				}
				return went >= 2 && came-went <= 1
			})
		})
	}
}

// TestValuesThatAreNoTextAreNotAltered guards against a client being served what no node made: the
// platform's JSON carries text, and bytes of a Flight node's value that were none were replaced.
func TestValuesThatAreNoTextAreNotAltered(t *testing.T) {
	t.Parallel()
	const noise = "\xff\xfe\x00v"
	b := start(t, flightWire{}, first(func(part) reply { return reply{End: 'S', Score: 1, Value: noise} })())
	r := platformWire{}.ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second})
	if diff := cmp.Diff(values(1), r.Values); diff != "" || r.Kind != "served" {
		t.Errorf("a client of the platform's got %+v: %s", r, diff)
	}
	attempts(t, b, 2, 2)
	for _, n := range b.nodes {
		n.Answers(func(part) reply { return reply{End: 'S', Score: 1, Value: noise} })
	}
	if r := (platformWire{}).ask(t, b, query{Class: "once", Shards: []int{1}, Deadline: 3 * time.Second}); r.Kind != "failed" {
		t.Errorf("a client whose part has run got %+v", r)
	}
	attempts(t, b, 3, 3)
	r = flightWire{}.ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second})
	if diff := cmp.Diff(map[int]string{1: noise}, r.Values); diff != "" {
		t.Errorf("a Flight client, whose column is binary, got %+v: %s", r, diff)
	}
}

// TestGoodAnswersWithMore has a node add to a good answer what does not belong to
// it: the answer counts.
func TestGoodAnswersWithMore(t *testing.T) {
	good := frame('5', "ID S 1 -\nv1")
	tests := []struct {
		name, text string
		conns      int // for two queries
	}{
		{"a second copy", good + good, 2},
		{"noise", good + "\x8e\x01", 2},
		{"long noise", good + strings.Repeat("\x8e", 300), 2},
		{"a load report that can't be read", frame('5', "ID S 1 =,=;; x\nv1"), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, n := single(t, raw(tt.text), 0, settings)
			for i := range 2 {
				r := (platformWire{}).ask(t, b, query{Class: "once", Shards: []int{1}, Deadline: 4 * time.Second})
				if diff := cmp.Diff(values(1), r.Values); diff != "" || r.Kind != "served" {
					t.Errorf("client got %+v: %s", r, diff)
				}
				attempts(t, b, i+1, i+1)
				if tt.conns > 1 {
					b.wait(t, "the connection is closed", func() bool { _, went := n.Connections(); return went == i+1 })
				}
			}
			if came, _ := n.Connections(); came != tt.conns {
				t.Errorf("%d connections, want %d", came, tt.conns)
			}
		})
	}
}

// TestADeadConnectionIsLeft has one connection to a node fall silent for good while
// new ones to it live: the node is found again by a new one.
func TestADeadConnectionIsLeft(t *testing.T) {
	t.Parallel()
	b, n := single(t, silent, 0, settings)
	n.Answers(func(p part) reply {
		if len(n.Came) < 2 { // the list is held while it is asked
			return reply{}
		}
		return sound(p)
	})
	for range 3 {
		_ = (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 700 * time.Millisecond})
	}
	b.wait(t, "a client is served over a new connection", func() bool {
		return (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 700 * time.Millisecond}).Kind == "served"
	})
	if came, _ := n.Connections(); came > 5 {
		t.Errorf("%d connections", came)
	}
}
