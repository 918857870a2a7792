package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// abandonedAfter is how long after a client has left an attempt for it may begin.
const abandonedAfter = 100 * time.Millisecond

// TestNothingBeginsForClientsThatLeaveMuchUnread guards against requests being sent on after their
// client has closed its connection, with more behind them than the mixer has read: its FIN cannot be
// seen before that. The client's next try of the same id would run a second time.
func TestNothingBeginsForClientsThatLeaveMuchUnread(t *testing.T) {
	sizes, loads := []struct{ requests, filter int }{{100, 8000}, {2000, 100}}, []int{100}
	if os.Getenv("KITELOFT_MEASURE") != "" {
		sizes, loads = []struct{ requests, filter int }{{40, 100}, {60, 2000}, {100, 8000}, {20, 60_000}, {2000, 100}}, []int{0, 100, 320}
	}
	for _, size := range sizes {
		for _, tt := range leavings {
			for _, load := range loads {
				t.Run(fmt.Sprintf("%d requests of %d bytes, %s, beside %d others", size.requests, size.filter, tt.name, load), func(t *testing.T) {
					leaveMuchUnread(t, size.requests, size.filter, load, tt.do)
				})
			}
		}
	}
}

func leaveMuchUnread(t *testing.T, requests, filter, load int, leave func(c *net.TCPConn)) {
	b := start(t, platformWire{}, func(p part) reply { r := sound(p); r.After = 60 * time.Millisecond; return r })
	stop := make(chan struct{})
	var all sync.WaitGroup
	var used atomic.Int64
	large := largeQuery("0.496") // refused at once
	for range load {
		all.Go(func() {
			connectAgain(b.Listen(), again(func() string { return head("lookup", largeBody, "") + large }), stop, &used)
		})
	}
	time.Sleep(200 * time.Millisecond)
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"` + strings.Repeat("x", filter) + `"}`
	var text strings.Builder
	for i := range requests {
		text.WriteString(strings.Replace(request(fmt.Sprintf("gone%d", i), body, ""), "/lookup", "/once", 1))
	}
	c := dial(t, b)
	go func() { _, _ = c.Write([]byte(text.String())) }()
	time.Sleep(100 * time.Millisecond)
	left := time.Now()
	leave(c)
	time.Sleep(time.Second)
	close(stop)
	all.Wait()
	late := 0
	var latest time.Duration
	for _, p := range b.parts() {
		if after := p.At.Sub(left); strings.HasPrefix(p.ID, "gone") && after > abandonedAfter {
			late, latest = late+1, max(latest, after)
		}
	}
	if late > 0 {
		t.Errorf("%d attempts began after their client had left, the latest after %v", late, latest)
	}
}
