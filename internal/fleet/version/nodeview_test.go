package version

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func entry(id string, started int64, life Life) NodeEntry {
	return NodeEntry{ID: id, Started: started, Life: life, Data: id}
}

func entryIDs(list []NodeEntry) (out []string) {
	for _, x := range list {
		out = append(out, x.ID)
	}
	return out
}

const sec = time.Second

func newViewOfFour() *NodeView {
	l := NewNodeView()
	l.ApplyList(sec, true, 10, []NodeEntry{entry("a", 1, NodeActive), entry("b", 1, NodeActive), entry("c", 1, NodeActive), entry("d", 1, NodeActive)})
	return l
}

func TestLeavingNodeLeavesForAll(t *testing.T) {
	l := newViewOfFour()
	got, changed := l.ApplyReport(5*sec, NodeEntry{ID: "a", Started: 1, Life: NodeLeaving, Told: 4 * sec, Data: "a"})
	if !changed || got.Told != 4*sec {
		t.Errorf("%+v, %v", got, changed)
	}
	if _, changed := l.ApplyReport(5*sec, NodeEntry{ID: "a", Started: 1, Life: NodeLeaving, Told: 5 * sec}); changed {
		t.Error("a later report of the same life changed the view")
	}
	if got, changed := l.ApplyReport(6*sec, NodeEntry{ID: "a", Started: 1, Life: NodeLeaving, Told: 3 * sec}); !changed || got.Told != 3*sec {
		t.Error("an earlier report time was not taken")
	}
	if changed, _ := l.ApplyList(7*sec, false, 11, []NodeEntry{entry("a", 1, NodeActive)}); len(changed) != 0 {
		t.Errorf("a leaving node became active without a new start: %v", changed)
	}
	if changed, _ := l.ApplyList(8*sec, false, 12, []NodeEntry{entry("a", 2, NodeActive)}); len(changed) != 1 || changed[0].Started != 2 {
		t.Errorf("a later start was not taken: %v", changed)
	}
	if _, changed := l.ApplyReport(9*sec, NodeEntry{ID: "a", Started: 1, Life: NodeGone, Told: 9 * sec}); changed {
		t.Error("a report about an earlier start changed the view")
	}
}

func TestOmittedNodes(t *testing.T) {
	rest := func(ids ...string) (list []NodeEntry) {
		for _, id := range ids {
			list = append(list, entry(id, 1, NodeActive))
		}
		return list
	}
	l := newViewOfFour()
	if changed, doubts := l.ApplyList(2*sec, true, 11, rest("a", "b", "c")); doubts != "" || !cmp.Equal(entryIDs(changed), []string{"d"}) || changed[0].Life != NodeGone || changed[0].Told != 2*sec {
		t.Errorf("one of four nodes omitted: %v, %q", changed, doubts)
	}
	if changed, _ := l.ApplyList(3*sec, true, 12, rest("a", "b", "c", "d")); !cmp.Equal(entryIDs(changed), []string{"d"}) || changed[0].Life != NodeActive {
		t.Errorf("back on the list: %v", changed)
	}
	if changed, doubts := l.ApplyList(4*sec, true, 13, nil); len(changed) != 0 || !strings.Contains(doubts, "4 of 4") {
		t.Errorf("all nodes omitted at once: %v, %q", changed, doubts)
	}
	if changed, _ := l.ApplyList(5*sec, true, 14, rest("a", "b", "c", "d")); len(changed) != 0 || len(l.DropOverdue(30*sec)) != 0 {
		t.Error("nodes that were never dropped changed")
	}
	if changed, doubts := l.ApplyList(40*sec, true, 3, rest("a", "b", "c")); len(changed) != 0 || !strings.Contains(doubts, "from revision 14 to 3") {
		t.Errorf("a list of an older revision: %v, %q", changed, doubts)
	}
	if due := l.DropOverdue(40*sec + omissionHold); !cmp.Equal(entryIDs(due), []string{"d"}) || due[0].Told != 40*sec {
		t.Errorf("after the hold: %v", due)
	}
	l.Hold = true
	if changed, _ := l.ApplyList(60*sec, true, 15, rest("a", "b")); len(changed) != 0 || len(l.DropOverdue(200*sec)) != 0 {
		t.Error("an omitted node was dropped despite Hold")
	}
	l.Hold = false
	if due := l.DropOverdue(200 * sec); !cmp.Equal(entryIDs(due), []string{"c"}) {
		t.Errorf("after Hold was unset: %v", due)
	}
	if l.DropOverdue(200*sec + 2*goneRetention); len(l.Entries()) != 2 {
		t.Errorf("entries kept after the retention: %v", l.Entries())
	}
}

// TestEntriesInAnyOrder merges the same entries in two orders, with a duplicate: the views
// have to be equal.
func TestEntriesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) NodeEntry {
			x := NodeEntry{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Started: rapid.Int64Range(0, 3).Draw(t, "started"),
				Life: Life(rapid.IntRange(0, 2).Draw(t, "life"))}
			if x.Life != NodeActive {
				x.Told = time.Duration(rapid.IntRange(1, 9).Draw(t, "told")) * sec
			}
			return x
		}), 1, 20).Draw(t, "words")
		one, two := NewNodeView(), NewNodeView()
		for _, w := range entries {
			one.ApplyReport(20*sec, w)
		}
		for _, w := range rapid.Permutation(append(entries, entries[0])).Draw(t, "order") {
			two.ApplyReport(20*sec, w)
		}
		if one.Digest() != two.Digest() {
			t.Fatalf("%v\n%v", one.Entries(), two.Entries())
		}
		// The report time is the earliest one of the resulting life or of an earlier one.
		for i, x := range one.Entries() {
			y := two.Entries()[i]
			if x.Life == NodeLeaving && x.Told != y.Told {
				t.Fatalf("%v and %v", x, y)
			}
		}
	})
}
