//go:build review

package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"kiteloft/internal/standin"
)

// Discovery is one list of stock nodes, served at an address for each mixer.
type Discovery struct {
	// Whole has each answer with news be the whole list; otherwise a watch is answered with the
	// entries that changed.
	Whole bool
	// HostPort is a member's address as a mixer sees it; nil: the member's own.
	HostPort func(mixer int, m standin.Member) string

	r        *Rig
	mu       sync.Mutex
	revision int
	members  []standin.Member
	changed  map[string]int // revision of each member's latest change
	news     chan struct{}
	calls    map[int]*Calls
}

// Calls is what one mixer asked of discovery and was told.
type Calls struct {
	Count int
	Last  time.Time // latest call
	Told  time.Time // when a list newer than the first was first written; zero: never
}

// NewDiscovery returns a Discovery that lists the members.
func NewDiscovery(r *Rig, members ...standin.Member) *Discovery {
	return &Discovery{r: r, revision: 1, members: members, changed: map[string]int{}, news: make(chan struct{}), calls: map[int]*Calls{}}
}

// Serve listens for a mixer and returns the address.
func (d *Discovery) Serve(mixer int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	d.r.Need(err)
	d.mu.Lock()
	d.calls[mixer] = &Calls{}
	d.mu.Unlock()
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { d.answer(mixer, w, q) })) // ends with the process
	}()
	return ln.Addr().String()
}

// Known is the list as a mixer sees it now.
func (d *Discovery) Known(mixer int) []standin.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen(mixer, d.members)
}

func (d *Discovery) seen(mixer int, list []standin.Member) []standin.Member {
	out := []standin.Member{}
	for _, m := range list {
		if d.HostPort != nil {
			m.HostPort = d.HostPort(mixer, m)
		}
		out = append(out, m)
	}
	return out
}

func (d *Discovery) answer(mixer int, w http.ResponseWriter, q *http.Request) {
	from, err := strconv.Atoi(q.URL.Query().Get("from"))
	watch := err == nil
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := d.calls[mixer]
	calls.Count, calls.Last = calls.Count+1, time.Now()
	for over := hold == 0; watch && from >= d.revision && !over; {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-end:
			over = true
		case <-q.Context().Done():
			d.mu.Lock()
			return
		}
		d.mu.Lock()
	}
	complete, list := true, d.members
	if watch && (from >= d.revision || !d.Whole && from > 0) {
		complete, list = false, nil
		for _, m := range d.members {
			if d.changed[m.ID] > from {
				list = append(list, m)
			}
		}
	}
	text, err := json.Marshal(map[string]any{"revision": d.revision, "complete": complete, "members": d.seen(mixer, list)})
	d.r.Need(err)
	if _, err := w.Write(text); err == nil && calls.Told.IsZero() && d.revision > 1 {
		calls.Told = time.Now()
	}
}

// Change changes the list, and tells whoever watches. The ids are those of the entries changed.
func (d *Discovery) Change(do func(list []standin.Member) []standin.Member, ids ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = do(append([]standin.Member(nil), d.members...))
	d.revision++
	for _, id := range ids {
		d.changed[id] = d.revision
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Calls is what a mixer asked and was told so far.
func (d *Discovery) Calls(mixer int) Calls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *d.calls[mixer]
}
