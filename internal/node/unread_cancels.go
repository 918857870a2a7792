package node

import "slices"

// unreadCancels keeps, for one connection, the cancelled parts whose cancellation the node may not
// have read yet. A node reads in order, so its answer to something that was sent later shows
// that it has read all before that.
type unreadCancels struct {
	seq  int64 // number of the part or probe that was sent last
	list []cancelledPart
}

// cancelledPart is a cancelled part.
type cancelledPart struct {
	id  string
	seq int64 // number of the part or probe that was sent last before the cancellation
}

// nextSeq returns the number of a part or probe that is about to be sent.
func (u *unreadCancels) nextSeq() int64 {
	u.seq++
	return u.seq
}

// recordCancel records that a part was cancelled.
func (u *unreadCancels) recordCancel(id string) { u.list = append(u.list, cancelledPart{id, u.seq}) }

// recordRead records that the node has answered the part or probe with number seq.
func (u *unreadCancels) recordRead(seq int64) {
	n := 0
	for n < len(u.list) && u.list[n].seq < seq {
		n++
	}
	u.list = slices.Delete(u.list, 0, n)
}

// recordAnswer records that the node has recordAnswer a cancelled part.
func (u *unreadCancels) recordAnswer(id string) {
	u.list = slices.DeleteFunc(u.list, func(g cancelledPart) bool { return g.id == id })
}

// len returns the number of cancelled parts that the node may still hold or not have read.
func (u *unreadCancels) len() int { return len(u.list) }
