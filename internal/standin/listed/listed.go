// Package listed is the list of nodes as a test's core has it, in place of the real one's.
package listed

import "kiteloft/internal/broker"

// Nodes are the nodes listed.
type Nodes []broker.ListedNode

// EachNode goes over them.
func (l Nodes) EachNode(do func(broker.ListedNode)) {
	for _, m := range l {
		do(m)
	}
}

// ListedNode is one of them; the zero ListedNode: it is not listed.
func (l Nodes) ListedNode(id string) broker.ListedNode {
	for _, m := range l {
		if m.ID == id {
			return m
		}
	}
	return broker.ListedNode{}
}
