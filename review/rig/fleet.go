//go:build review

package rig

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"kiteloft/internal/standin"
)

// Fleet is mixers of one zone that share what discovery tells (fleet.lists).
type Fleet struct {
	Mixers []*standin.Mixer

	r      *Rig
	mu     sync.Mutex
	served map[int]int
}

// StartFleet starts so many mixers, named n0, n1 and so on, that call the discovery.
func (r *Rig) StartFleet(size int, zone, settings string, d *Discovery) *Fleet {
	var at []string
	for range size {
		addr, err := standin.FixedAddress()
		r.Need(err)
		at = append(at, addr)
	}
	key := filepath.Join(r.Dir("keys"), "fleet.key")
	r.Need(os.WriteFile(key, []byte("a key of this case alone\n"), 0o600))
	f := &Fleet{r: r, served: map[int]int{}}
	for i := range size {
		var seeds []string
		for j := range size {
			if j != i {
				seeds = append(seeds, strconv.Quote(at[j]))
			}
		}
		broker := fmt.Sprintf("[fleet]\nname = \"case\"\nlisten = %q\nkey_file = %q\nzone = %q\nexpected = %d\nseeds = [%s]\nlists = true\n",
			at[i], key, zone, size, strings.Join(seeds, ", "))
		f.Mixers = append(f.Mixers, r.Start(standin.Setup{Name: fmt.Sprintf("n%d", i), Settings: settings, Discovery: d.Serve(i), Known: d.Known(i), Broker: broker}))
	}
	return f
}

// Ask has clients ask each mixer once in a while, for as long as the case runs. The first digit of
// a query's id is its mixer's number.
func (f *Fleet) Ask(pace time.Duration, query func() standin.Query) {
	for i, m := range f.Mixers {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		go func() {
			for range time.Tick(pace) {
				q := query()
				q.ID = fmt.Sprintf("%x%015x", i, rand.Uint64()>>4)
				go func() {
					res, err := standin.Ask(client, m.Listen(), q)
					f.mu.Lock()
					defer f.mu.Unlock()
					if err == nil && res.Kind == "served" {
						f.served[i]++
					}
				}()
			}
		}()
	}
}

// Served is how many queries a mixer has served.
func (f *Fleet) Served(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served[i]
}

// MixerOf is the number of the mixer that a part came through.
func MixerOf(p standin.Part) int {
	n, _ := strconv.ParseInt(p.ID[:1], 16, 0)
	return int(n)
}

// Followers waits until the same mixers have left the watch to others for so long, and returns
// their numbers.
func (f *Fleet) Followers(steady, most time.Duration) []int {
	now := func() (list []int) {
		for i, m := range f.Mixers {
			if m.Logged("lists: discovery is watched")%2 == 1 { // it watches from the start, and each line says that this changes
				list = append(list, i)
			}
		}
		return list
	}
	last, since := "", time.Now()
	for until := time.Now().Add(most); ; time.Sleep(100 * time.Millisecond) {
		if s := fmt.Sprint(now()); s != last {
			last, since = s, time.Now()
		}
		if len(now()) > 0 && time.Since(since) > steady {
			f.r.Say("mixers that follow the list through others: %v", now())
			return now()
		}
		if time.Now().After(until) {
			f.r.End(NotRun, "no mixer leaves the watch to others")
		}
	}
}
