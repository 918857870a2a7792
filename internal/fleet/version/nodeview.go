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
	omissionHold    = 10 * time.Second // how long the omission of most nodes, or by a list of an older revision, is not accepted
	maxOmittedShare = 0.5              // of all nodes; more omitted at once are "most"
	goneRetention   = 10 * time.Minute // after which a node that is gone is deleted
	maxNodes        = 4096             // beyond which nodes that are gone are deleted early
)

// NodeView is a mixer's view of the nodes, merged from its own watch of discovery and from
// the entries that other mixers received. A node that leaves, leaves for all mixers: of two
// entries on one start of a node, the later position in the life cycle and the earlier
// report time win, so that the order of arrival does not matter. The mere omission of a
// node from a list is weaker evidence: it counts only for the mixer that reads that list,
// and not at once if the list's revision went back or the list omits most nodes. A NodeView
// is not safe for concurrent use.
type NodeView struct {
	nodes    map[string]*nodeRecord
	revision int64
	// Hold keeps omitted nodes for as long as it is set. An operator sets it.
	Hold bool
}

type nodeRecord struct {
	NodeEntry
	omittedSince time.Duration // since when this mixer's list omits it; 0: it does not
	dropped      bool          // because of the omission
	changedAt    time.Duration // when the omission was accepted, or NodeEntry last moved in its life cycle
}

// NewNodeView returns an empty NodeView.
func NewNodeView() *NodeView { return &NodeView{nodes: map[string]*nodeRecord{}} }

// ApplyList merges a list from this mixer's own watch; full tells a whole list from a list
// of changes. It returns the entries that changed in the view, those that fall due by time
// included, and the reason why omissions are not accepted yet, or "".
func (l *NodeView) ApplyList(now time.Duration, full bool, revision int64, entries []NodeEntry) (changed []NodeEntry, doubts string) {
	named := map[string]bool{}
	for _, entry := range entries {
		named[entry.ID] = true
		if entry.Told = 0; entry.Life != NodeActive {
			entry.Told = now
		}
		if c, ok := l.mergeEntry(now, entry, true); ok {
			changed = append(changed, c)
		}
	}
	if full {
		omitted, running := 0, 0
		for _, n := range l.nodes {
			if n.Life == NodeGone || n.dropped {
				continue
			}
			if running++; !named[n.ID] {
				omitted++
			}
		}
		back := revision < l.revision
		most := float64(omitted) > maxOmittedShare*float64(running)
		switch {
		case omitted == 0:
		case back:
			doubts = "it has gone back from revision " + strconv.FormatInt(l.revision, 10) + " to " + strconv.FormatInt(revision, 10)
		case most:
			doubts = "it leaves out " + strconv.Itoa(omitted) + " of " + strconv.Itoa(running) + " nodes at once"
		}
		for _, id := range sortedKeys(l.nodes) {
			n := l.nodes[id]
			if named[id] || n.Life == NodeGone || n.dropped {
				continue
			}
			if n.omittedSince == 0 {
				n.omittedSince = now
			}
			if doubts == "" && !l.Hold {
				changed = append(changed, l.dropOmitted(now, n))
			}
		}
	}
	l.revision = max(l.revision, revision)
	return append(changed, l.DropOverdue(now)...), doubts
}

// dropOmitted marks a node as gone because this mixer's list omits it.
func (l *NodeView) dropOmitted(now time.Duration, n *nodeRecord) NodeEntry {
	n.dropped, n.changedAt = true, now
	entry := n.NodeEntry
	entry.Life, entry.Told = NodeGone, n.omittedSince
	return entry
}

// ApplyReport merges an entry that another mixer received, with its report time converted
// to the local clock. It returns the resulting entry and whether it changed in the view.
func (l *NodeView) ApplyReport(now time.Duration, entry NodeEntry) (NodeEntry, bool) {
	return l.mergeEntry(now, entry, false)
}

// mergeEntry merges an entry, from this mixer's own list if own is set. It returns the
// resulting entry and whether it changed in the view.
func (l *NodeView) mergeEntry(now time.Duration, entry NodeEntry, own bool) (NodeEntry, bool) {
	n := l.nodes[entry.ID]
	if n == nil || entry.Started > n.Started {
		if len(l.nodes) >= maxNodes {
			l.removeGone(now, 0)
		}
		l.nodes[entry.ID] = &nodeRecord{NodeEntry: entry, changedAt: now}
		return entry, true
	}
	if entry.Started < n.Started {
		return NodeEntry{}, false // about an earlier start
	}
	changed := false
	if own && entry.Life != NodeGone {
		n.omittedSince = 0
		if n.dropped { // listed again after an omission
			n.dropped, changed = false, true
		}
	}
	switch {
	case entry.Life > n.Life:
		if n.Told > 0 && n.Told < entry.Told {
			entry.Told = n.Told // the report that it leaves came first
		}
		n.NodeEntry, n.changedAt, changed = entry, now, true
	case entry.Life == n.Life && entry.Life != NodeActive && entry.Told < n.Told:
		n.Told, changed = entry.Told, true
	case entry.Life == n.Life && own && entry.Data != n.Data:
		n.Data, changed = entry.Data, true
	}
	if n.dropped {
		return NodeEntry{}, false // already gone for this mixer
	}
	return n.NodeEntry, changed
}

// DropOverdue drops the nodes that have been omitted for longer than omissionHold and
// returns their entries. It also deletes nodes that have been gone for goneRetention.
func (l *NodeView) DropOverdue(now time.Duration) (changed []NodeEntry) {
	for _, id := range sortedKeys(l.nodes) {
		n := l.nodes[id]
		if n.omittedSince > 0 && !n.dropped && n.Life != NodeGone && !l.Hold && now-n.omittedSince >= omissionHold {
			changed = append(changed, l.dropOmitted(now, n))
		}
	}
	l.removeGone(now, goneRetention)
	return changed
}

func (l *NodeView) removeGone(now, after time.Duration) {
	for id, n := range l.nodes {
		if (n.dropped || n.Life == NodeGone) && now-n.changedAt >= after {
			delete(l.nodes, id)
		}
	}
}

// Listed returns the nodes that are active or leaving, by ID.
func (l *NodeView) Listed() (list []NodeEntry) {
	for _, id := range sortedKeys(l.nodes) {
		if n := l.nodes[id]; !n.dropped && n.Life != NodeGone {
			list = append(list, n.NodeEntry)
		}
	}
	return list
}

// Entries returns the entries of all nodes, by ID, including those that are gone, for
// other mixers to merge.
func (l *NodeView) Entries() (list []NodeEntry) {
	for _, id := range sortedKeys(l.nodes) {
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
