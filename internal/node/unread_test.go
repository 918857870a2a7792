package node

import "testing"

// TestUnread sends and cancels parts, and checks after each answer how many cancellations
// the node may not have read.
func TestUnread(t *testing.T) {
	var u unread
	check := func(what string, want int) {
		t.Helper()
		if got := u.len(); got != want {
			t.Errorf("%s: %d parts may be unread, want %d", what, got, want)
		}
	}
	a := u.next()
	u.gaveUp("a")
	check("given up without a word", 1)
	u.read(a)
	check("a word on the part itself says nothing of what came after", 1)
	b := u.next()
	u.next() // c
	u.gaveUp("c")
	u.read(b)
	check("a later part's answer shows that the node read of a, not of c", 1)
	u.answered("c")
	check("an answer to the part given up ends it", 0)
	u.gaveUp("d")
	u.gaveUp("e")
	u.read(u.next())
	check("a probe's answer shows that all was read", 0)
}
