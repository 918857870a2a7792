package node

import "slices"

// unread keeps, for one connection, the parts that were given up and of which the
// node may not have read so yet. A node reads in order: what it says of something
// sent later shows that it has read all before.
type unread struct {
	seq  int64 // of what was sent last
	list []givenUp
}

type givenUp struct {
	id  string
	seq int64 // of what was sent last before it was given up
}

// next numbers something that is sent.
func (u *unread) next() int64 {
	u.seq++
	return u.seq
}

// gaveUp notes that a part was given up.
func (u *unread) gaveUp(id string) { u.list = append(u.list, givenUp{id, u.seq}) }

// read notes a word of the node's on what was sent as number seq.
func (u *unread) read(seq int64) {
	n := 0
	for n < len(u.list) && u.list[n].seq < seq {
		n++
	}
	u.list = slices.Delete(u.list, 0, n)
}

// answered notes that the node has ended a part that was given up.
func (u *unread) answered(id string) {
	u.list = slices.DeleteFunc(u.list, func(g givenUp) bool { return g.id == id })
}

// len is how many parts the node may still hold, or not have read at all.
func (u *unread) len() int { return len(u.list) }
