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
