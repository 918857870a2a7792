package main

import (
	"syscall"
	"testing"
	"time"
)

// TestHangUpMovesDiscovery replaces the configuration under a query: the new
// address is followed, what it tells counts, a faulty file changes nothing, and
// the query is answered.
func TestHangUpMovesDiscovery(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, first(func(p part) reply { r := sound(p); r.After = time.Second; return r })())
	hangUp := func() {
		t.Helper()
		if err := b.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	open := make(chan result, 1)
	go func() {
		open <- (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1, 2}, Deadline: 4 * time.Second})
	}()
	b.wait(t, "the query is with the nodes", func() bool { return len(b.parts()) > 0 })

	b.configure(t, "nowhere")
	hangUp()
	b.wait(t, "the fault is logged", func() bool { return b.Logged("new configuration is faulty") == 1 })

	for i := range 2 { // it may come again
		next := b.Serve()
		b.configure(t, next)
		hangUp()
		hangUp()
		// The whole list, then a watch.
		b.wait(t, "the new address is followed", func() bool { return b.Calls(next) >= 2 })
		if i == 1 {
			b.Tell(0, "left")
			b.wait(t, "the watch there goes on", func() bool { return b.Calls(next) >= 3 })
		}
	}
	if r := <-open; r.Kind != "served" {
		t.Errorf("client got %+v", r)
	}
	b.leaves(t, "what the new address tells counts")
	if err := b.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	hangUp() // meets the end
	if err := <-b.Exit; err != nil {
		t.Errorf("the mixer ended with %v", err)
	}
}

// TestASilentWatchMissesADrain: the open watch falls silent, a node drains, and by the time at
// which that counts as told, 2 s after the watch's wait is over, the mixer has asked anew.
func TestASilentWatchMissesADrain(t *testing.T) {
	t.Parallel()
	var last lastPart
	b := start(t, platformWire{}, last.answer)
	b.wait(t, "it watches", func() bool { return b.calls() >= 2 })
	begun := time.Now() // of a wait of 10 s, at the latest
	b.Mute()
	b.Tell(0, "leaving")
	if at := last.since(t, b, begun, 16*time.Second); at > 14*time.Second {
		t.Errorf("a part went to the node that drains %v after its watch's wait began", at)
	} else {
		t.Logf("the last one %v after", at)
	}
	if b.calls() < 3 {
		t.Error("the watch was not begun anew")
	}
}
