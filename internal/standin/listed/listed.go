// Package listed is a fixed list of nodes that tests use in place of the core's node list.
package listed

import "kiteloft/internal/broker"

// Nodes is a fixed node list.
type Nodes []broker.ListedNode

// EachNode calls do for each node in order.
func (l Nodes) EachNode(do func(broker.ListedNode)) {
	for _, m := range l {
		do(m)
	}
}

// ListedNode returns the node with the given id, or the zero ListedNode if it is not listed.
func (l Nodes) ListedNode(id string) broker.ListedNode {
	for _, m := range l {
		if m.ID == id {
			return m
		}
	}
	return broker.ListedNode{}
}
