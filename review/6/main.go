// Command 6 has a fleet of mixers share what discovery tells, and a stock node leave by a whole
// list that does not name it. It checks the rule on drains at the stock nodes.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"kiteloft/internal/standin"
	"kiteloft/review/rig"
)

const (
	mixers    = 4
	nodes     = 8
	settle    = 30 * time.Second       // for the fleet to agree on who watches
	askWithin = 10 * time.Second       // rules.ask_within of the settings
	grace     = 2 * time.Second        // rules.drain_grace
	slack     = 50 * time.Millisecond  // on sockets every time limit is so much longer
	watched   = 30 * time.Second       // from the node's leaving to the end
	pace      = 100 * time.Millisecond // between two queries to one mixer
)

const settings = `{"balancers":4,"zone":0,"tick":0.005,"discovery":"ask","failure_domains":["zona-12","mixco"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":210,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[{"name":"pallet-lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":4,"span":2,"ranges":8,"class_floor":[1],"need_by_class":[1],"short_worth":[0.9],"follow_up":[0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02}}`

// discovery is one list, served at an address for each mixer. A watch that has news is answered
// with the whole list.
type discovery struct {
	r        *rig.Rig
	mu       sync.Mutex
	revision int
	members  []standin.Member
	news     chan struct{}
	calls    [mixers]int
	last     [mixers]time.Time // latest call
	told     [mixers]time.Time // when the latest revision was written
}

func (d *discovery) serve(mixer int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	d.r.Need(err)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { d.answer(mixer, w, q) })) // ends with the process
	}()
	return ln.Addr().String()
}

func (d *discovery) answer(mixer int, w http.ResponseWriter, q *http.Request) {
	from, err := strconv.Atoi(q.URL.Query().Get("from"))
	watch := err == nil
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[mixer]++
	d.last[mixer] = time.Now()
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
	out := map[string]any{"revision": d.revision, "complete": true, "members": d.members}
	if watch && from >= d.revision {
		out["complete"], out["members"] = false, []standin.Member{}
	}
	text, err := json.Marshal(out)
	d.r.Need(err)
	if _, err := w.Write(text); err == nil && d.told[mixer].IsZero() && d.revision > 1 {
		d.told[mixer] = time.Now()
	}
}

// leave takes a member off the list; named, it stays there as one that leaves.
func (d *discovery) leave(i int, named bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	if named {
		d.members[i].Phase = "leaving"
	} else {
		d.members = append(d.members[:i:i], d.members[i+1:]...)
	}
	close(d.news)
	d.news = make(chan struct{})
}

func main() {
	r := rig.New("review/6")
	var list []*standin.Node
	d := &discovery{r: r, revision: 1, news: make(chan struct{})}
	for i := range nodes {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), func(p standin.Part) standin.Reply {
			do := standin.Sound(p)
			do.After = 10 * time.Millisecond
			return do
		})
		n.Probed = func(int) bool { return true }
		at, err := n.ServeFrames()
		r.Need(err)
		list = append(list, n)
		d.members = append(d.members, standin.Member{ID: n.ID, HostPort: at, Locality: []string{"zona-12", "mixco"}[i%2], Cell: i % 4, Phase: "active", Size: 1})
	}
	known := append([]standin.Member(nil), d.members...)

	var at []string
	for range mixers {
		addr, err := standin.FixedAddress()
		r.Need(err)
		at = append(at, addr)
	}
	key := filepath.Join(r.Dir("keys"), "fleet.key")
	r.Need(os.WriteFile(key, []byte("a key of this case alone\n"), 0o600))
	var all []*standin.Mixer
	for i := range mixers {
		var seeds []string
		for j := range mixers {
			if j != i {
				seeds = append(seeds, strconv.Quote(at[j]))
			}
		}
		broker := fmt.Sprintf("[fleet]\nname = \"case-6\"\nlisten = %q\nkey_file = %q\nzone = \"zona-12\"\nexpected = %d\nseeds = [%s]\nlists = true\n",
			at[i], key, mixers, strings.Join(seeds, ", "))
		all = append(all, r.Start(standin.Setup{Name: fmt.Sprintf("n%d", i), Settings: settings, Discovery: d.serve(i), Known: known, Broker: broker}))
	}

	var served [mixers]int
	var mu sync.Mutex
	for i, m := range all {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		go func() {
			for n := 0; ; n++ {
				time.Sleep(pace)
				shard := rand.IntN(8)
				go func() {
					// The id's first digit is the mixer's number.
					q := standin.Query{ID: fmt.Sprintf("%x%015x", i, rand.Uint64()>>4), Class: "pallet-lookup", Shards: []int{shard, (shard + 1) % 8}, Deadline: 4 * time.Second}
					res, err := standin.Ask(client, m.Listen(), q)
					mu.Lock()
					defer mu.Unlock()
					if err == nil && res.Kind == "served" {
						served[i]++
					}
				}()
			}
		}()
	}

	follows := func() (list []int) {
		for i, m := range all {
			if m.Logged("lists: discovery is watched")%2 == 1 { // it watches from the start, and each line says that this changes
				list = append(list, i)
			}
		}
		return list
	}
	steady, since := "", time.Now()
	for until := time.Now().Add(settle); ; time.Sleep(100 * time.Millisecond) {
		if now := fmt.Sprint(follows()); now != steady {
			steady, since = now, time.Now()
		}
		if len(follows()) > 0 && time.Since(since) > 8*time.Second {
			break
		}
		if time.Now().After(until) {
			r.End(rig.NotRun, "no mixer leaves the watch to others")
		}
	}
	r.Say("mixers that follow the list through others: %v", follows())
	const gone = 3
	before := list[gone].Count()
	changed := time.Now()
	d.leave(gone, !r.Trouble)
	if r.Trouble {
		r.Say("discovery's list leaves out %s from now on; its answers are whole lists; %s goes on answering", list[gone].ID, list[gone].ID)
	} else {
		r.Say("discovery's list says of %s that it leaves; its answers are whole lists", list[gone].ID)
	}
	time.Sleep(watched)

	d.mu.Lock()
	for i := range mixers {
		told := "never"
		if !d.told[i].IsZero() {
			told = fmt.Sprintf("%.3f s after the change", d.told[i].Sub(changed).Seconds())
		}
		r.Say("mixer n%d: %d calls to discovery, the latest %.1f s before the end; discovery wrote it the new list: %s; %d queries served", i, d.calls[i],
			time.Since(d.last[i]).Seconds(), told, served[i])
	}
	d.mu.Unlock()
	var sent, late [mixers]int
	var last [mixers]time.Duration
	for _, p := range list[gone].Parts() {
		if p.At.Before(changed) {
			continue
		}
		i := int(p.ID[0] - '0')
		after := p.At.Sub(changed)
		sent[i]++
		last[i] = max(last[i], after)
		if after > askWithin+grace+slack {
			late[i]++
		}
	}
	sum := 0
	for i := range mixers {
		r.Say("mixer n%d: %d parts at %s after it had left the list, the last %.3f s after; %d of them later than %v", i, sent[i], list[gone].ID, last[i].Seconds(),
			late[i], askWithin+grace+slack)
		sum += late[i]
	}
	if before == 0 {
		r.End(rig.NotRun, "the node got no parts before it left")
	}
	if sum > 0 {
		r.End(rig.Broken, fmt.Sprintf("%d parts were sent to a node that had gone from the list more than %v before", sum, askWithin+grace+slack))
	}
	r.End(rig.Held, "nothing was sent to the node after its time")
}
