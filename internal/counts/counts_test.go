package counts

import "testing"

func TestEveryKindHasAName(t *testing.T) {
	for k := range kindCount {
		if got, ok := KindByName(k.String()); k.String() == "" || !ok || got != k {
			t.Errorf("kind %d is named %q, which is found as %d", k, k, got)
		}
	}
	if _, ok := KindByName("none such"); ok {
		t.Error("a name that is none was found")
	}
}

func TestSumsAndPeaks(t *testing.T) {
	var a, b Set
	a.Add(Taken, 2)
	a.Add(Taken, 3)
	a.Add(OpenConnections, 7)
	a.Add(OpenConnections, 4)
	b.Add(Taken, 10)
	b.Add(OpenConnections, 9)
	a.Merge(&b)
	if a.Get(Taken) != 15 || a.Get(OpenConnections) != 9 {
		t.Errorf("taken %d, open links %d, want 15 and 9", a.Get(Taken), a.Get(OpenConnections))
	}
	var seen []Kind
	a.Each(func(k Kind, _ int64) { seen = append(seen, k) })
	if len(seen) != 2 {
		t.Errorf("%v are not 0, want two", seen)
	}
	a.Clear()
	a.Each(func(k Kind, n int64) { t.Errorf("%v is %d after Clear", k, n) })
	var none *Set
	none.Add(Taken, 1) // adding to a nil set must not panic
	if none.Get(Taken) != 0 {
		t.Error("a nil set keeps something")
	}
}
