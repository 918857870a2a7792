package flight

import (
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"kiteloft/decide"
	"kiteloft/internal/h2"
)

// TestNoStatusProvesThatAPartNeverRan guards against a part that may not be repeated being sent
// again after a status that its node may give once it has run.
func TestNoStatusProvesThatAPartNeverRan(t *testing.T) {
	const unknownCode = codes.Unauthenticated + 1
	for code := codes.OK; code <= unknownCode; code++ {
		for _, pushback := range []time.Duration{0, time.Millisecond, time.Second} {
			want := decide.Failed
			switch code {
			case codes.OK:
				want = decide.OK
			case codes.DeadlineExceeded:
				want = decide.TimedOut
			}
			got := partOutcome(h2.Status{Code: code, Pushback: pushback})
			if got != want || got.NeverRan() {
				t.Errorf("%v with a pushback of %v: outcome %v, want %v", code, pushback, got, want)
			}
		}
	}
}
