package memory

import (
	"testing"

	"pgregory.net/rapid"
)

// holder is a Holder that records whether it was told to shed.
type holder struct {
	account *Account
	shed    bool
	silent  bool // it does not set its account to 0 itself
}

func (h *holder) Shed() {
	h.shed = true
	if !h.silent {
		h.account.Set(0)
	}
}

func newHolder(b *Budget) *holder {
	h := &holder{}
	h.account = b.Account(h)
	return h
}

// TestTheOldestHolderSheds guards against a new request being refused in place of one that has
// stayed unfinished.
func TestTheOldestHolderSheds(t *testing.T) {
	b := NewBudget(100)
	first, second, third := newHolder(b), newHolder(b), newHolder(b)
	first.account.Set(40)
	second.account.Set(60)
	first.account.Set(30) // it stays the oldest
	third.account.Set(10)
	if first.shed || second.shed || third.shed || b.Used() != 100 {
		t.Fatalf("shed within the limit, %d used", b.Used())
	}
	third.account.Set(20)
	if !first.shed || second.shed || third.shed || b.Used() != 80 || b.Shed() != 1 {
		t.Errorf("shed: %v %v %v, %d used, %d shed", first.shed, second.shed, third.shed, b.Used(), b.Shed())
	}
	third.account.Set(200) // more than the whole budget
	if !second.shed || !third.shed || b.Used() != 0 {
		t.Errorf("shed: %v %v, %d used", second.shed, third.shed, b.Used())
	}
}

// TestBudgetIsExact checks, over random sequences, that the limit is kept after each and that all
// that was taken is released.
func TestBudgetIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1000)
		var holders []*holder
		for range 5 {
			h := newHolder(b)
			h.silent = rapid.Bool().Draw(t, "silent")
			holders = append(holders, h)
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			h.account.Set(rapid.Int64Range(0, 1200).Draw(t, "bytes"))
			sum := int64(0)
			for _, h := range holders {
				sum += h.account.Held()
			}
			if b.Used() != sum || sum > 1000 {
				t.Fatalf("%d used, %d held", b.Used(), sum)
			}
		}
		for _, h := range holders {
			h.account.Set(0)
		}
		if b.Used() != 0 || b.holders.Len() != 0 {
			t.Fatalf("%d used at the end", b.Used())
		}
	})
}
