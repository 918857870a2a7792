// Package memory bounds the bytes that a process holds for its peers, summed over all of them. A
// bound on what is counted, such as connections or streams, says little of the bytes they take.
//
// A Budget and its Accounts belong to one goroutine. The package does no I/O and uses no clock.
package memory

import "container/list"

// Holder holds bytes for a peer that it can give up.
type Holder interface {
	// Shed gives up what the holder holds: it refuses the peer's request, say, and sets its
	// account to 0. It is called because others need the room, within their Account.Set.
	Shed()
}

// Budget bounds the sum of its accounts.
type Budget struct {
	limit, used int64
	holders     list.List // *Account that hold bytes, in the order in which they began to
	shed        int64
}

// NewBudget returns a Budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Shed returns how often a holder had to give up what it held.
func (b *Budget) Shed() int64 { return b.shed }

// Account is the share of a Budget that one holder has.
type Account struct {
	budget *Budget
	holder Holder
	held   int64
	place  *list.Element // in budget.holders; nil while nothing is held
}

// Account returns an account for a holder, at 0. A nil Budget has no limit.
func (b *Budget) Account(h Holder) *Account { return &Account{budget: b, holder: h} }

// Held returns the bytes that are held.
func (a *Account) Held() int64 { return a.held }

// Set sets the bytes that are held. While the budget is exceeded, the holder that has held bytes
// for longest sheds them, as what has stayed unfinished for longest is the least likely to be
// finished; it may be the caller's own.
func (a *Account) Set(n int64) {
	if a.budget == nil {
		return
	}
	a.record(n)
	a.budget.enforce()
}

// record sets the bytes that are held, whatever the limit.
func (a *Account) record(n int64) {
	b := a.budget
	b.used += n - a.held
	a.held = n
	switch {
	case n == 0 && a.place != nil:
		b.holders.Remove(a.place)
		a.place = nil
	case n > 0 && a.place == nil:
		a.place = b.holders.PushBack(a)
	}
}

// enforce has the oldest holders shed until the limit is kept.
func (b *Budget) enforce() {
	for b.used > b.limit {
		oldest, ok := b.holders.Front().Value.(*Account)
		if !ok {
			return // not reached: the list holds accounts
		}
		b.shed++
		oldest.holder.Shed()
		oldest.record(0) // if the holder has not done so itself
	}
}
