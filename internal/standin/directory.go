package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of the list of nodes.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Directory is discovery. It may serve at several addresses at once.
type Directory struct {
	mu       sync.Mutex
	revision int
	fails    int // of so many calls one is answered; 0: all are, negative: none is
	failNext int // so many calls that come next are answered by 503
	asked    []time.Time
	answered []time.Time
	members  []Member
	changed  map[string]int // revision of each member's latest change
	news     chan struct{}
	holds    bool                 // calls that come are never answered
	slow     time.Duration        // every answer is on its way for so long
	muted    time.Time            // calls that came before it are never answered
	calls    map[string]int       // by the address called
	told     map[string]int       // the latest revision that went out, by the address called
	tellings map[string][]telling // all that went out, by the address called
	servers  []*httptest.Server
}

// telling is that a revision went out.
type telling struct {
	revision int
	at       time.Time
}

// NewDirectory returns a Directory that lists the members.
func NewDirectory(members ...Member) *Directory {
	return &Directory{revision: 1, members: slices.Clone(members), changed: map[string]int{}, news: make(chan struct{}), calls: map[string]int{},
		told: map[string]int{}, tellings: map[string][]telling{}}
}

// Serve listens at one more address and returns it.
func (d *Directory) Serve() string {
	s := httptest.NewServer(http.HandlerFunc(d.answer))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
	return s.Listener.Addr().String()
}

// Close ends all that it serves.
func (d *Directory) Close() {
	d.mu.Lock()
	list := d.servers
	d.servers = nil
	d.mu.Unlock()
	for _, s := range list {
		s.CloseClientConnections()
		s.Close()
	}
}

func (d *Directory) answer(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	timer := time.After(time.Duration(hold) * time.Millisecond)
	d.mu.Lock()
	n, came := len(d.asked), time.Now()
	d.asked = append(d.asked, time.Now())
	d.answered = append(d.answered, time.Time{})
	d.calls[r.Host]++
	d.mu.Unlock()
	for late := hold == 0; ; {
		d.mu.Lock()
		news := d.news
		if d.holds || came.Before(d.muted) {
			d.mu.Unlock()
			<-r.Context().Done()
			return
		}
		d.answered[n] = time.Now()
		if d.failNext > 0 {
			d.failNext--
			d.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if d.fails < 0 || d.fails > 0 && n%d.fails > 0 {
			d.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > d.revision {
			from = 0 // whoever asks knows of later changes than there were: it gets the whole list
		}
		if d.revision > from || late {
			list := []Member{}
			for _, m := range d.members {
				if d.changed[m.ID] > from || from == 0 {
					list = append(list, m)
				}
			}
			revision := d.revision
			out, err := json.Marshal(map[string]any{"revision": revision, "complete": from == 0, "members": list})
			if slow := d.slow; slow > 0 {
				d.mu.Unlock()
				time.Sleep(slow)
				d.mu.Lock()
			}
			d.told[r.Host] = max(d.told[r.Host], revision)
			d.tellings[r.Host] = append(d.tellings[r.Host], telling{revision, time.Now()})
			d.mu.Unlock()
			if err == nil {
				_, _ = w.Write(out) // a mixer that has gone hears nothing
			}
			return
		}
		d.mu.Unlock()
		select {
		case <-news:
		case <-timer:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// Revision is that of the list as it is now.
func (d *Directory) Revision() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// ToldAt is when a revision, or a later one, first went out from an address after a moment.
func (d *Directory) ToldAt(addr string, revision int, since time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.tellings[addr] {
		if t.revision >= revision && !t.at.Before(since) {
			return t.at, true
		}
	}
	return time.Time{}, false
}

// Tell changes a member's phase on the list.
func (d *Directory) Tell(i int, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members[i].Phase = phase
	d.listed(d.members[i].ID)
}

// Restore has the list go back to an earlier revision, as from a backup, with these members.
func (d *Directory) Restore(revision int, members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision, d.members, d.changed = revision, slices.Clone(members), map[string]int{}
	close(d.news)
	d.news = make(chan struct{})
}

// Join adds a member to the list.
func (d *Directory) Join(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = append(d.members, m)
	d.listed(m.ID)
}

// Replace puts a member in the place of one that has gone.
func (d *Directory) Replace(id string, m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.members, func(m Member) bool { return m.ID == id && m.Phase != "left" })
	if i < 0 {
		return
	}
	if id != m.ID {
		d.members[i].Phase = "left"
		d.members = append(d.members, m)
		d.listed(id)
	} else {
		d.members[i] = m
	}
	d.listed(m.ID)
}

func (d *Directory) listed(id string) {
	d.revision++
	d.changed[id] = d.revision
	close(d.news)
	d.news = make(chan struct{})
}

// Mute has all calls that are open never be answered; later ones are.
func (d *Directory) Mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.muted = time.Now()
}

// Hold has calls that come from now on never be answered, or be again.
func (d *Directory) Hold(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holds = on
}

// SetDown has every call answered by 503, or not.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = 0
	if down {
		d.fails = -1
	}
}

// SetSlow has every answer be on its way for so long; 0: for no time.
func (d *Directory) SetSlow(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = by
}

// FailNext has so many calls that come next, or are open, answered by 503.
func (d *Directory) FailNext(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failNext = n
}

// Cut ends all connections, and with them the watches that are open, without a word.
func (d *Directory) Cut() {
	d.mu.Lock()
	list := slices.Clone(d.servers)
	d.mu.Unlock()
	for _, s := range list {
		s.CloseClientConnections()
	}
}

// SetFailing has only one call in so many answered, the others by 503; 0: all are.
func (d *Directory) SetFailing(oneIn int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = oneIn
}

// Members are the entries, as they are now.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.members)
}

// Calls is how often an address was called.
func (d *Directory) Calls(addr string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[addr]
}

// Told reports whether all that is listed now has gone out from an address.
func (d *Directory) Told(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[addr] == d.revision
}

// Asked tells when each call came, and when its answer went as far as it has.
func (d *Directory) Asked() (asked, answered []time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.asked), slices.Clone(d.answered)
}
