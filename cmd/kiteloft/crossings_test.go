package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Tests of two or three rare events that cross.

// TestPipelinedRequestsAreAnsweredThoughAllServersHangAtTheEnd: two requests were read, one behind
// the other, when the mixer is told to end, and no server answers any more. Both are owed their
// answers before the platform kills the mixer.
func TestPipelinedRequestsAreAnsweredThoughAllServersHangAtTheEnd(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, silent)
	c := dial(t, b)
	told := time.Now()
	_, _ = io.WriteString(c, request("first", lookup, "")+request("behind", lookup, ""))
	b.wait(t, "the first is with the servers", func() bool { return len(b.parts()) > 0 })
	if err := b.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		// The longest deadline counts as 3 s; the kill comes 0.7 s after it.
		if took := time.Since(told); took > 3700*time.Millisecond {
			t.Errorf("request %d got %d after %v, when the mixer may have been killed", i, resp.StatusCode, took)
		}
	}
}

// TestDiscoveryIsAskedThoughDialsHang: most servers are cut off, so that connects to them hang, and
// then the watch breaks. What discovery has to tell counts 6 s later at the latest, so the call
// to it may not wait behind the connects.
func TestDiscoveryIsAskedThoughDialsHang(t *testing.T) {
	t.Parallel()
	b := &bed{}
	hanging := full(t)
	for i := range 64 {
		b.members = append(b.members, member{ID: fmt.Sprintf("h-%d", i), HostPort: hanging, Locality: "a", Cell: i % 2, Phase: "active", Size: 1})
	}
	b.run(t, strings.NewReplacer(`"connect_timeout":0.25`, `"connect_timeout":12`, `"max_open":60`, `"max_open":6000`).Replace(settings))
	b.wait(t, "it watches", func() bool { return b.calls() >= 2 })
	for i := range 60 {
		_, _ = io.WriteString(dial(t, b), request(fmt.Sprintf("a%d", i), lookup, ""))
	}
	time.Sleep(500 * time.Millisecond) // until the connects are under way; more of them do no harm
	before, cut := b.calls(), time.Now()
	b.Tell(0, "leaving")
	b.Cut()
	b.wait(t, "it asks again", func() bool { return b.calls() > before })
	if took := time.Since(cut); took > 6*time.Second {
		t.Errorf("discovery was asked again after %v", took)
	}
}

// TestALogWhoseReaderDies: whoever reads the log goes away while the mixer serves.
func TestALogWhoseReaderDies(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	b.CloseLog()
	c := dial(t, b)
	for i := range 20 { // each is worth a line
		_, _ = io.WriteString(c, request(fmt.Sprintf("a%d", i), "{", ""))
		_ = responses(t, c, 1)
		time.Sleep(20 * time.Millisecond) // for the line to be written
	}
	if r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second}); r.Kind != "served" {
		t.Errorf("client got %+v", r)
	}
}

// silentFor answers nothing for requests whose id begins so, and is sound for all others.
func silentFor(prefix string) func(part) reply {
	return func(p part) reply {
		if strings.HasPrefix(p.ID, prefix) {
			return reply{}
		}
		return sound(p)
	}
}

// withDeadline is a request with another deadline than request gives it.
func withDeadline(id string, deadline time.Duration) string {
	return strings.Replace(request(id, lookup, ""), "Ms: 4000", fmt.Sprintf("Ms: %d", deadline.Milliseconds()), 1)
}

// TestAPipelinedRequestHasItsOwnTime: a request is read behind one that is slow, and a third one
// comes while both wait. The time of the second began when it was whole, not when the connection
// last brought bytes: its servers may not be told of more than its client has left.
func TestAPipelinedRequestHasItsOwnTime(t *testing.T) {
	t.Parallel()
	const first, second = 1 * time.Second, 1600 * time.Millisecond
	b := start(t, platformWire{}, silentFor("slow"))
	c := dial(t, b)
	_, _ = io.WriteString(c, withDeadline("slow", first)+withDeadline("behind", second))
	sent := time.Now()
	b.wait(t, "the first is with the servers", func() bool { return len(b.parts()) > 0 })
	time.Sleep(first*8/10 - time.Since(sent))
	_, _ = io.WriteString(c, withDeadline("third", second))
	_ = responses(t, c, 3)
	seen := false
	for _, p := range b.parts() {
		if strings.HasPrefix(p.ID, "behind") {
			seen = true
			// 0.15 s of slack are the protocol's.
			if left := second - p.At.Sub(sent); p.Wait > left+150*time.Millisecond {
				t.Errorf("%s was told that %v are left, its client has %v", p.ID, p.Wait, left)
			}
		}
	}
	if !seen {
		t.Error("no part of the second request came")
	}
}

// TestWhatWasReadBeforeAFloodIsAnswered: a client sends more behind an open request than is held
// for one connection, and stays. Every request that was read whole is owed its answer; the close
// comes after them.
func TestWhatWasReadBeforeAFloodIsAnswered(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, func(p part) reply {
		r := sound(p)
		if strings.HasPrefix(p.ID, "first") {
			r.After = 500 * time.Millisecond
		}
		return r
	})
	c := dial(t, b)
	_, _ = io.WriteString(c, request("first", lookup, ""))
	b.wait(t, "the first is with the servers", func() bool { return len(b.parts()) > 0 })
	go func() {
		for i := range 2000 { // some 0.5 MB
			if _, err := io.WriteString(c, request(fmt.Sprintf("flood%d", i), lookup, "")); err != nil {
				return
			}
		}
	}()
	r := bufio.NewReader(c)
	answers := 0
	for closes := false; !closes; answers++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("after %d answers: %v", answers, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		closes = resp.Close
	}
	// As many as fit into what is held for one connection, 144 KiB, are whole there.
	if least := 400; answers < least {
		t.Errorf("%d answers, want %d", answers, least)
	}
}

// TestTheLastAnswersLeaveBeforeTheKill: no server answers any more when the mixer is told to end. It may be held
// up for 0.15 s between reading its clock and writing, and as long before it hears of the signal.
func TestTheLastAnswersLeaveBeforeTheKill(t *testing.T) {
	t.Parallel()
	const killed, heldUp = 3700 * time.Millisecond, 150 * time.Millisecond
	b := start(t, platformWire{}, silent)
	c := dial(t, b)
	_, _ = io.WriteString(c, withDeadline("open", 6*time.Second))
	b.wait(t, "it is with the servers", func() bool { return len(b.parts()) > 0 })
	told := time.Now()
	if err := b.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = responses(t, c, 1)
	if took := time.Since(told); took > killed-2*heldUp {
		t.Errorf("the last answer came %v after SIGTERM, want it by %v", took, killed-2*heldUp)
	}
}

// TestAPipelinedRequestIsNotLostBehindOneThatHangs: answers go out in the order of the requests, and
// the servers of the first never answer. The second has less time: half a second after that it counts as
// lost, so that the first may not be waited for until then.
func TestAPipelinedRequestIsNotLostBehindOneThatHangs(t *testing.T) {
	t.Parallel()
	const lost = 500 * time.Millisecond
	b := start(t, platformWire{}, silentFor("slow"))
	tests := []struct {
		name      string
		deadlines []time.Duration // the first one's servers are silent
		pause     time.Duration   // before the others are sent
	}{
		{"sent at once", []time.Duration{4 * time.Second, 600 * time.Millisecond}, 0},
		{"sent later", []time.Duration{4 * time.Second, 600 * time.Millisecond}, 300 * time.Millisecond},
		{"the last of three", []time.Duration{4 * time.Second, 3 * time.Second, 700 * time.Millisecond}, 0},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, b)
			_, _ = io.WriteString(c, withDeadline(fmt.Sprintf("slow%d", i), tt.deadlines[0]))
			time.Sleep(tt.pause)
			sent := time.Now()
			for n, d := range tt.deadlines[1:] {
				_, _ = io.WriteString(c, withDeadline(fmt.Sprintf("behind%d-%d", i, n), d))
			}
			_ = responses(t, c, len(tt.deadlines))
			if took, least := time.Since(sent), tt.deadlines[len(tt.deadlines)-1]; took > least+lost {
				t.Errorf("answered after %v, its time was %v", took, least)
			}
		})
	}
}
