package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"kiteloft/internal/standin"
)

// Tests of the instants in which something ends while something is still owed.

// crowded is a listener whose queue is full: connects to it hang until it is served.
func crowded(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "crowded")
	defer func() { _ = f.Close() }() // the listener has its own
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	for range 4 {
		if c, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return ln
}

// begun are the queries of which parts have come, by their ids.
func begun(list []part) map[string]bool {
	ids := map[string]bool{}
	for _, p := range list {
		id, _, _ := strings.Cut(p.ID, ".")
		ids[id] = true
	}
	return ids
}

var leavings = []struct {
	name string
	do   func(c *net.TCPConn)
}{
	{"a FIN", func(c *net.TCPConn) { _ = c.CloseWrite() }},
	{"a close", func(c *net.TCPConn) { _ = c.Close() }},
	{"a reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
}

// TestNothingBeginsOnAConnectionThatComesUpTooLate: the client leaves while its parts wait for
// a connection. When that comes up, only what another client asked since is sent on it.
func TestNothingBeginsOnAConnectionThatComesUpTooLate(t *testing.T) {
	t.Parallel()
	for _, tt := range leavings {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, ln := &bed{}, crowded(t)
			n := standin.NewNode("s-0", sound)
			t.Cleanup(n.Close)
			b.nodes = []*standIn{n}
			b.members = []member{{ID: n.ID, HostPort: ln.Addr().String(), Locality: "a", Phase: "active", Size: 1}}
			b.run(t, strings.Replace(settings, `"connect_timeout":0.25`, `"connect_timeout":12`, 1))
			gone, stays := dial(t, b), dial(t, b)
			_, _ = io.WriteString(gone, request("gone", lookup, ""))
			b.wait(t, "it is open", func() bool { return opened(t, b, "gone") })
			tt.do(gone)
			b.wait(t, "the mixer knows that the client has left", func() bool { return b.Logged("connection ended with a query open") > 0 })
			_, _ = io.WriteString(stays, request("stays", `{"slices":[{"slice":1,"mass":1}],"filter":""}`, "")) // 4 s
			n.ServeFramesOn(ln)
			if got := responses(t, stays, 1); got[0] != 200 {
				t.Errorf("the client that stays got %v", got)
			}
			if ids := begun(n.Parts()); ids["gone"] || !ids["stays"] {
				t.Errorf("parts of %v were sent", ids)
			}
		})
	}
}

// opened tells whether a query of the id is open: another of that id is turned away.
func opened(t *testing.T, b *bed, id string) bool {
	t.Helper()
	c := dial(t, b)
	_, _ = io.WriteString(c, strings.Replace(request(id, `{"slices":[{"slice":1,"mass":1}],"filter":""}`, ""), "Ms: 4000", "Ms: 20", 1))
	return responses(t, c, 1)[0] == 400
}

// TestWhatIsOutForAClientThatLeavesIsGivenUp, and what it had sent behind that never begins.
func TestWhatIsOutForAClientThatLeavesIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, tt := range leavings {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := start(t, platformWire{}, func(p part) reply {
				if strings.HasPrefix(p.ID, "s") {
					return sound(p)
				}
				return reply{}
			})
			c := dial(t, b)
			_, _ = io.WriteString(c, request("first", lookup, "")+request("behind", lookup, ""))
			b.wait(t, "it is with the nodes", func() bool { return len(b.parts()) >= 2 })
			tt.do(c)
			b.wait(t, "all is given up", func() bool { return b.nodes[0].GivenUp()+b.nodes[1].GivenUp() >= len(b.parts()) })
			stays := dial(t, b)
			_, _ = io.WriteString(stays, request("stays", lookup, ""))
			if got := responses(t, stays, 1); got[0] != 200 {
				t.Errorf("a client that stays got %v", got)
			}
			if ids := begun(b.parts()); ids["behind"] {
				t.Errorf("parts of %v were sent", ids)
			}
		})
	}
}

// TestPipelinedRequestsAtTheEnd: a client sends two requests at a time until the mixer, which
// ends, closes its connection. A request that was read is owed an answer: each pair has two, or
// none where the close crossed it.
func TestPipelinedRequestsAtTheEnd(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	c := dial(t, b)
	r := bufio.NewReader(c)
	if err := b.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	pairs := 0
	for over := false; !over; pairs++ {
		_, _ = io.WriteString(c, request(fmt.Sprintf("a%d", pairs), lookup, "")+request(fmt.Sprintf("b%d", pairs), lookup, ""))
		got := 0
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				over = true
				break
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
			over = resp.Close
			got++
		}
		if got == 1 {
			t.Errorf("of pair %d one request had no answer", pairs)
		}
	}
	if pairs < 2 {
		t.Errorf("%d pairs were answered", pairs)
	}
}

// TestADrainThatFailedCallsMiss: the first calls to discovery fail, and a node drains
// meanwhile. That counts as told 6 s after the start, whatever became of the calls, and
// nothing may go to the node 2 s later.
func TestADrainThatFailedCallsMiss(t *testing.T) {
	t.Parallel()
	b := &bed{failFirst: 3}
	var last lastPart
	b.pair(t, platformWire{}, last.answer, nil)
	begun := time.Now()
	b.run(t, settings)
	b.Tell(0, "leaving")
	if at := last.since(t, b, begun, 12*time.Second); at > 8*time.Second {
		t.Errorf("a part went to the node that drains %v after the start", at)
	}
}

// TestAWatchThatEndsWithoutAWord, with all others, just before a node drains: the mixer asks
// again in time, though the next call fails.
func TestAWatchThatEndsWithoutAWord(t *testing.T) {
	t.Parallel()
	var last lastPart
	b := start(t, platformWire{}, last.answer)
	b.wait(t, "it watches", func() bool { return b.calls() >= 2 })
	cut := time.Now()
	b.FailNext(3)
	b.Cut()
	b.Tell(0, "leaving")
	if at := last.since(t, b, cut, 12*time.Second); at > 8*time.Second {
		t.Errorf("a part went to the node that drains %v after the watches ended", at)
	}
}

// TestADrainThatASlowDiscoveryTells: each answer of discovery is on its way for 3 s, for long. It
// can be reached, so that what it has counts as told 6 s later.
func TestADrainThatASlowDiscoveryTells(t *testing.T) {
	t.Parallel()
	b := &bed{sick: func(d *standin.Directory) { d.SetSlow(3 * time.Second) }}
	var last lastPart
	b.pair(t, platformWire{}, last.answer, nil)
	b.run(t, settings)
	time.Sleep(5 * time.Second) // some calls come and go
	begun := time.Now()
	b.Tell(0, "leaving")
	if at := last.since(t, b, begun, 12*time.Second); at > 8*time.Second {
		t.Errorf("a part went to the node that drains %v after discovery had that", at)
	}
}

// TestPushedListsAreWatched: where lists are pushed, an agent at the address of discovery has
// them. What it has counts as told from the start, so it is watched though the module asks for
// nothing, and again at once when a call fails.
func TestPushedListsAreWatched(t *testing.T) {
	t.Parallel()
	b := &bed{failFirst: 2}
	b.pair(t, platformWire{}, sound, nil)
	b.run(t, strings.Replace(settings, `"discovery":"ask"`, `"discovery":"push"`, 1))
	b.Tell(0, "leaving")
	b.leaves(t, "what the agent has counts")
	before := b.calls()
	b.Cut()
	b.wait(t, "a watch that has ended is begun anew", func() bool { return b.calls() > before })
	b.Tell(0, "active")
	b.wait(t, "the node is used again", func() bool {
		n := len(b.nodes[0].Parts())
		(platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1, 2}, Deadline: 4 * time.Second})
		return len(b.nodes[0].Parts()) > n
	})
}

// TestReadyWhateverDiscoveryDoes: a mixer that starts with a list from before takes clients and
// serves them though discovery is down, turns calls away or never answers, and follows it once
// it is well.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		sick, well func(d *standin.Directory)
	}{
		{"turns all calls away", func(d *standin.Directory) { d.SetDown(true) }, func(d *standin.Directory) { d.SetDown(false) }},
		{"turns away nine in ten", func(d *standin.Directory) { d.SetFailing(10) }, func(d *standin.Directory) { d.SetFailing(0) }},
		{"never answers", func(d *standin.Directory) { d.Hold(true) }, func(d *standin.Directory) { d.Hold(false) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := &bed{sick: tt.sick}
			b.pair(t, platformWire{}, sound, nil)
			b.run(t, settings) // until it is ready
			b.wait(t, "it has asked", func() bool { return b.calls() > 0 })
			for range 5 {
				if r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1, 2}, Deadline: 4 * time.Second}); r.Kind != "served" {
					t.Errorf("client got %+v", r)
				}
			}
			b.Tell(0, "leaving")
			tt.well(b.Directory)
			b.wait(t, "it has heard what there is", func() bool { return b.Told(b.discovery) })
		})
	}
}
