package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"kiteloft/internal/standin"
)

// askOnceAt has both nodes end the call of each part as given, asks once in a class that may not be
// repeated, and returns the client's answer and how many times the part was run.
func askOnceAt(t *testing.T, end standin.CallEnd) (r result, runs int) {
	t.Helper()
	b := start(t, flightWire{}, func(p part) reply {
		return reply{CallEnd: &end, Value: "booked"}
	})
	r = flightWire{}.ask(t, b, query{Class: "once", Shards: []int{5}, Deadline: 3 * time.Second})
	return r, len(b.parts())
}

// TestAStatusIsNoProofThatAPartNeverRan guards against a part that may not be repeated running at
// several nodes, because the status with which a Flight node ended its call was taken as proof.
func TestAStatusIsNoProofThatAPartNeverRan(t *testing.T) {
	statuses := []standin.CallEnd{
		{Code: codes.ResourceExhausted},
		{Code: codes.ResourceExhausted, Pushback: 50 * time.Millisecond},
		{Code: codes.Unavailable},
		{Code: codes.Unavailable, Pushback: 50 * time.Millisecond},
	}
	for _, status := range statuses {
		for messages := range 3 {
			end := status
			end.Messages = messages
			t.Run(fmt.Sprintf("%v, pushback %v, after %d messages", end.Code, end.Pushback, messages), func(t *testing.T) {
				t.Parallel()
				expectOneRun(t, end)
			})
		}
	}
}

// expectOneRun checks that a part runs once if its call ends so, and that its client is not told
// that it may ask again.
func expectOneRun(t *testing.T, end standin.CallEnd) {
	t.Helper()
	r, runs := askOnceAt(t, end)
	if runs != 1 {
		t.Errorf("the part ran %d times, want once", runs)
	}
	if !slices.Contains([]string{"failed", "expired"}, r.Kind) {
		t.Errorf("client got %+v, want a failure", r)
	}
}
