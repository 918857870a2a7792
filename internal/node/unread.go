package node

import "slices"

// unread keeps, for one connection, the cancelled parts whose cancellation the node may not
// have read yet. A node reads in order, so its answer to something that was sent later shows
// that it has read all before that.
type unread struct {
	seq  int64 // number of the part or probe that was sent last
	list []givenUp
}

// givenUp is a cancelled part.
type givenUp struct {
	id  string
	seq int64 // number of the part or probe that was sent last before the cancellation
}

// next returns the number of a part or probe that is about to be sent.
func (u *unread) next() int64 {
	u.seq++
	return u.seq
}

// gaveUp records that a part was cancelled.
func (u *unread) gaveUp(id string) { u.list = append(u.list, givenUp{id, u.seq}) }

// read records that the node has answered the part or probe with number seq.
func (u *unread) read(seq int64) {
	n := 0
	for n < len(u.list) && u.list[n].seq < seq {
		n++
	}
	u.list = slices.Delete(u.list, 0, n)
}

// answered records that the node has answered a cancelled part.
func (u *unread) answered(id string) {
	u.list = slices.DeleteFunc(u.list, func(g givenUp) bool { return g.id == id })
}

// len returns the number of cancelled parts that the node may still hold or not have read.
func (u *unread) len() int { return len(u.list) }
