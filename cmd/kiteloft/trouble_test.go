package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteloft/internal/standin"
)

// crew starts several mixers round the same stock nodes and list.
func crew(t *testing.T, mixers int, settings string, nodes ...*standIn) []*bed {
	t.Helper()
	first := &bed{nodes: nodes}
	for i, n := range nodes {
		first.members = append(first.members, member{ID: n.ID, HostPort: platformWire{}.node(t, n), Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
	first.Directory = standin.NewDirectory(first.members...)
	t.Cleanup(first.Directory.Close)
	list := make([]*bed, mixers)
	var all sync.WaitGroup
	for i := range list {
		all.Go(func() {
			b := &bed{nodes: nodes, members: first.members, Directory: first.Directory, discovery: first.Serve()}
			var err error
			b.Mixer, err = standin.Start(standin.Setup{Program: program, Dir: t.TempDir(), Name: fmt.Sprintf("n%d", i), Settings: settings,
				Discovery: b.discovery, Known: first.members})
			if err != nil {
				t.Error(err)
				return
			}
			list[i] = b
		})
	}
	all.Wait()
	for _, b := range list {
		if b != nil {
			t.Cleanup(func() { b.stop(t) })
		}
	}
	if t.Failed() {
		t.FailNow()
	}
	return list
}

// TestANodeAtItsConnectionCap has four mixers share two nodes of which one lets in a
// single connection: whoever is turned away there is served by the other, bookings
// too, and the cap draws no crowd of connections.
func TestANodeAtItsConnectionCap(t *testing.T) {
	t.Parallel()
	full := standin.NewNode("s-0", sound)
	full.MostLinks = 1
	mixers := crew(t, 4, settings, full, standin.NewNode("s-1", sound))
	var all sync.WaitGroup
	for _, b := range mixers {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range 60 {
				q := query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second}
				if i%4 == 0 {
					q.Class, q.Key = "booking", fmt.Sprintf("%032x", i)
				}
				if r, err := standin.Ask(client, b.Listen(), q); err != nil || r.Kind != "served" {
					t.Errorf("client got %+v, %v", r, err)
				}
			}
		})
	}
	all.Wait()
	if came, _ := full.Connections(); came > 3*len(mixers) {
		t.Errorf("%d connections to the node at its cap, by %d mixers", came, len(mixers))
	}
}

// TestDiscoveryFailsNineCallsInTen has three mixers follow a list of which they mostly
// hear nothing for 10 s: clients are served, discovery is not called more often for
// it, and a node that leaves meanwhile gets nothing once its mixers have been told for
// longer than the window.
func TestDiscoveryFailsNineCallsInTen(t *testing.T) {
	t.Parallel()
	nodes := []*standIn{standin.NewNode("s-0", sound), standin.NewNode("s-1", sound), standin.NewNode("s-2", sound)}
	mixers := crew(t, 3, strings.Replace(settings, `"balancers":1`, `"balancers":3`, 1), nodes...)
	dir := mixers[0].Directory
	ask := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			for _, b := range mixers {
				if r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{0, 1}, Deadline: 4 * time.Second}); r.Kind != "served" {
					t.Errorf("client got %+v", r)
				}
			}
		}
	}
	dir.SetFailing(10)
	dir.Tell(2, "leaving") // ends the watches: all call again, and mostly in vain
	before, _ := dir.Asked()
	ask(10 * time.Second)
	asked, _ := dir.Asked()
	if n := len(asked) - len(before); n == 0 || n > 30 {
		t.Errorf("%d calls by three mixers in 10 s in which nearly all failed", n)
	}
	dir.SetFailing(0)
	mixers[0].wait(t, "all three are told", func() bool {
		return !slices.ContainsFunc(mixers, func(b *bed) bool { return !dir.Told(b.discovery) })
	})
	told := time.Now()
	ask(3 * time.Second)
	for _, p := range nodes[2].Parts() {
		if late := p.At.Sub(told); late > 2050*time.Millisecond {
			t.Errorf("a part came %v after all were told that the node leaves", late)
		}
	}
}

// TestEvidenceOfLostQueries has clients lose a query in each way that a mixer can see, and
// wants a line with its id.
func TestEvidenceOfLostQueries(t *testing.T) {
	t.Parallel()
	var b *bed
	b, _ = alone(t, func(p part) reply { r := sound(p); r.After = 300 * time.Millisecond; return r }, `"tick":0.005`, `"tick":0.005`)
	post := func(id, more string) string {
		body := query{Shards: []int{0}}.Body()
		return fmt.Sprintf("POST /lookup HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
	}
	open := func() *net.TCPConn {
		c, err := net.Dial("tcp", b.Listen())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c.(*net.TCPConn)
	}
	say := func(c net.Conn, text string) {
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	logged := func(words ...string) {
		t.Helper()
		b.wait(t, strings.Join(words, " "), func() bool {
			return slices.ContainsFunc(b.Logs(), func(l string) bool {
				return !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(l, w) })
			})
		})
	}
	c := open()
	say(c, post("crossed-by-a-close", "Connection: close\r\n"))
	b.wait(t, "an answer and the end", func() bool {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := io.ReadAll(c)
		return err == nil
	})
	say(c, post("after-the-last-words", ""))
	logged("request came on a connection that is closing", "after-the-last-words")

	c = open()
	say(c, post("left-alone", ""))
	b.wait(t, "it is taken", func() bool { return len(b.parts()) > 1 })
	_ = c.SetLinger(0) // resets
	_ = c.Close()
	logged("connection ended with a query open", "left-alone", "peer-reset")
}
