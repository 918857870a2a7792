package version

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Life is a node's position in its life cycle. For each start of a node it only moves
// forward.
type Life uint8

// The positions in a node's life cycle. Mixers exchange their numbers.
const (
	NodeActive Life = iota
	NodeLeaving
	NodeGone // not listed by discovery any more
)

// NodeEntry is what discovery reported of a node to some mixer.
type NodeEntry struct {
	ID      string
	Started int64 // start time by discovery's clock; a later one begins another life cycle
	Life    Life
	Data    string        // the node's entry as discovery sent it
	Told    time.Duration // NodeLeaving, NodeGone: when the first mixer was told so, by the local clock
}

// Limits on what is accepted from lists.
const (
	omitHold   = 10 * time.Second // how long the omission of most nodes, or by a list of an older revision, is not accepted
	omitShare  = 0.5              // of all nodes; more omitted at once are "most"
	forgetLine = 10 * time.Minute // after which a node that is gone is deleted
	mostLines  = 4096
)

// NodeView is a mixer's view of the nodes, merged from its own watch of discovery and from
// the entries that other mixers received. A node that leaves, leaves for all mixers: of two
// entries on one start of a node, the later position in the life cycle and the earlier
// report time win, so that the order of arrival does not matter. The mere omission of a
// node from a list is weaker evidence: it counts only for the mixer that reads that list,
// and not at once if the list's revision went back or the list omits most nodes. A NodeView
// is not safe for concurrent use.
type NodeView struct {
	nodes    map[string]*listed
	revision int64
	// Hold keeps omitted nodes for as long as it is set. An operator sets it.
	Hold bool
}

type listed struct {
	NodeEntry
	missing time.Duration // since when this mixer's list omits it; 0: it does not
	gone    bool          // because of the omission
	at      time.Duration // when the omission was accepted, or Line last became another one
}

// NewNodeView returns an empty NodeView.
func NewNodeView() *NodeView { return &NodeView{nodes: map[string]*listed{}} }

// ApplyList merges a list from this mixer's own watch; full tells a whole list from a list
// of changes. It returns the entries that changed in the view, those that fall due by time
// included, and the reason why omissions are not accepted yet, or "".
func (l *NodeView) ApplyList(now time.Duration, full bool, revision int64, lines []NodeEntry) (changed []NodeEntry, doubts string) {
	named := map[string]bool{}
	for _, line := range lines {
		named[line.ID] = true
		if line.Told = 0; line.Life != NodeActive {
			line.Told = now
		}
		if c, ok := l.join(now, line, true); ok {
			changed = append(changed, c)
		}
	}
	if full {
		omitted, running := 0, 0
		for _, n := range l.nodes {
			if n.Life == NodeGone || n.gone {
				continue
			}
			if running++; !named[n.ID] {
				omitted++
			}
		}
		back := revision < l.revision
		most := float64(omitted) > omitShare*float64(running)
		switch {
		case omitted == 0:
		case back:
			doubts = "it has gone back from revision " + strconv.FormatInt(l.revision, 10) + " to " + strconv.FormatInt(revision, 10)
		case most:
			doubts = "it leaves out " + strconv.Itoa(omitted) + " of " + strconv.Itoa(running) + " nodes at once"
		}
		for _, id := range sorted(l.nodes) {
			n := l.nodes[id]
			if named[id] || n.Life == NodeGone || n.gone {
				continue
			}
			if n.missing == 0 {
				n.missing = now
			}
			if doubts == "" && !l.Hold {
				changed = append(changed, l.drop(now, n))
			}
		}
	}
	l.revision = max(l.revision, revision)
	return append(changed, l.DropOverdue(now)...), doubts
}

// dropOmitted marks a node as gone because this mixer's list omits it.
func (l *NodeView) drop(now time.Duration, n *listed) NodeEntry {
	n.gone, n.at = true, now
	line := n.NodeEntry
	line.Life, line.Told = NodeGone, n.missing
	return line
}

// ApplyReport merges an entry that another mixer received, with its report time converted
// to the local clock. It returns the resulting entry and whether it changed in the view.
func (l *NodeView) ApplyReport(now time.Duration, line NodeEntry) (NodeEntry, bool) {
	return l.join(now, line, false)
}

// mergeEntry merges an entry, from this mixer's own list if own is set. It returns the
// resulting entry and whether it changed in the view.
func (l *NodeView) join(now time.Duration, line NodeEntry, own bool) (NodeEntry, bool) {
	n := l.nodes[line.ID]
	if n == nil || line.Started > n.Started {
		if len(l.nodes) >= mostLines {
			l.forget(now, 0)
		}
		l.nodes[line.ID] = &listed{NodeEntry: line, at: now}
		return line, true
	}
	if line.Started < n.Started {
		return NodeEntry{}, false // about an earlier start
	}
	changed := false
	if own && line.Life != NodeGone {
		n.missing = 0
		if n.gone { // listed again after an omission
			n.gone, changed = false, true
		}
	}
	switch {
	case line.Life > n.Life:
		if n.Told > 0 && n.Told < line.Told {
			line.Told = n.Told // the report that it leaves came first
		}
		n.NodeEntry, n.at, changed = line, now, true
	case line.Life == n.Life && line.Life != NodeActive && line.Told < n.Told:
		n.Told, changed = line.Told, true
	case line.Life == n.Life && own && line.Data != n.Data:
		n.Data, changed = line.Data, true
	}
	if n.gone {
		return NodeEntry{}, false // already gone for this mixer
	}
	return n.NodeEntry, changed
}

// DropOverdue drops the nodes that have been omitted for longer than omissionHold and
// returns their entries. It also deletes nodes that have been gone for goneRetention.
func (l *NodeView) DropOverdue(now time.Duration) (changed []NodeEntry) {
	for _, id := range sorted(l.nodes) {
		n := l.nodes[id]
		if n.missing > 0 && !n.gone && n.Life != NodeGone && !l.Hold && now-n.missing >= omitHold {
			changed = append(changed, l.drop(now, n))
		}
	}
	l.forget(now, forgetLine)
	return changed
}

func (l *NodeView) forget(now, after time.Duration) {
	for id, n := range l.nodes {
		if (n.gone || n.Life == NodeGone) && now-n.at >= after {
			delete(l.nodes, id)
		}
	}
}

// Listed returns the nodes that are active or leaving, by ID.
func (l *NodeView) Listed() (list []NodeEntry) {
	for _, id := range sorted(l.nodes) {
		if n := l.nodes[id]; !n.gone && n.Life != NodeGone {
			list = append(list, n.NodeEntry)
		}
	}
	return list
}

// Entries returns the entries of all nodes, by ID, including those that are gone, for
// other mixers to merge.
func (l *NodeView) Entries() (list []NodeEntry) {
	for _, id := range sorted(l.nodes) {
		list = append(list, l.nodes[id].NodeEntry)
	}
	return list
}

// Digest returns a hash over the ID, start and life of all nodes. It is equal on two mixers
// that have merged the same entries.
func (l *NodeView) Digest() (sum uint64) {
	for _, n := range l.nodes {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n.ID + "\x00" + strconv.FormatInt(n.Started, 10) + "\x00" + strconv.Itoa(int(n.Life)))) // never fails
		sum ^= h.Sum64()
	}
	return sum
}

// Revision returns the highest revision of this mixer's own lists.
func (l *NodeView) Revision() int64 { return l.revision }
