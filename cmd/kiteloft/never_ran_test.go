package main

import (
	"fmt"
	"slices"
	"sync"
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

// TestARefusalUnderAnAnswerIsNoProof guards against a part that may not be repeated running again
// because its node took back, by HTTP/2, a stream on which its answer had begun.
func TestARefusalUnderAnAnswerIsNoProof(t *testing.T) {
	for name, by := range map[string]standin.EndBy{"REFUSED_STREAM": standin.RefusedStream, "GOAWAY": standin.GoAway} {
		for _, messages := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s after %d messages", name, messages), func(t *testing.T) {
				t.Parallel()
				expectOneRun(t, standin.CallEnd{By: by, Messages: messages})
			})
		}
		t.Run(name+" before any message is proof", func(t *testing.T) {
			t.Parallel()
			r, runs := askOnceAt(t, standin.CallEnd{By: by})
			if runs < 2 || r.Kind != "refused" {
				t.Errorf("%d attempts, client got %+v, want at least 2 and a refusal", runs, r)
			}
		})
	}
}

// TestARefusalThatCameTwiceIsNoProofForTheNextAttempt guards against a part that may not be repeated
// running twice: a second copy of a node's refusal arrives after the part was sent to the node again,
// which runs it this time, and is taken for the answer to that attempt.
func TestARefusalThatCameTwiceIsNoProofForTheNextAttempt(t *testing.T) {
	var mu sync.Mutex
	attemptsByNode, runs := map[string]int{}, 0
	run := func() {
		mu.Lock()
		defer mu.Unlock()
		runs++
	}
	b := start(t, platformWire{}, func(p part) reply {
		mu.Lock()
		defer mu.Unlock()
		if attemptsByNode[p.Node]++; attemptsByNode[p.Node] == 1 {
			return reply{End: 'B'}
		}
		return reply{Later: func(answer func(reply)) {
			answer(reply{End: 'B'}) // of the first attempt
			run()
			time.AfterFunc(300*time.Millisecond, func() { answer(sound(p)) })
		}}
	})
	r := platformWire{}.ask(t, b, query{Class: "once", Shards: []int{1}, Deadline: 3 * time.Second})
	mu.Lock()
	defer mu.Unlock()
	if runs != 1 {
		t.Errorf("the part ran %d times, want once", runs)
	}
	if r.Kind == "refused" {
		t.Errorf("client got %+v, though the part ran", r)
	}
}
