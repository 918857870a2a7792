package node

import "testing"

// TestUnreadCancels sends and cancels parts, and checks after each answer how many cancellations
// the node may not have read.
func TestUnreadCancels(t *testing.T) {
	var u unreadCancels
	check := func(what string, want int) {
		t.Helper()
		if got := u.len(); got != want {
			t.Errorf("%s: %d parts may be unread, want %d", what, got, want)
		}
	}
	a := u.nextSeq()
	u.recordCancel("a")
	check("given up without a word", 1)
	u.recordRead(a)
	check("a word on the part itself says nothing of what came after", 1)
	b := u.nextSeq()
	u.nextSeq() // c
	u.recordCancel("c")
	u.recordRead(b)
	check("a later part's answer shows that the node read of a, not of c", 1)
	u.recordAnswer("c")
	check("an answer to the part given up ends it", 0)
	u.recordCancel("d")
	u.recordCancel("e")
	u.recordRead(u.nextSeq())
	check("a probe's answer shows that all was read", 0)
}
