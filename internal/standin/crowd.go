package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Crowd is the clients of a service: queries arrive whatever becomes of those before
// them, and clients ask again when they are turned away.
type Crowd struct {
	Addrs  []string // the mixers'
	Rate   float64  // first tries a second
	Time   time.Duration
	Seed   uint64
	Shards int
	// Make makes the n-th query; its Deadline is that of all tries.
	Make func(rng *rand.Rand, n int) Query
	// Aim is the time within which an answer to a class is worth something.
	Aim     map[string]time.Duration
	Tries   int           // after the first
	Pause   time.Duration // before each, where the mixer named none or the client does not care
	Obeys   float64       // share of clients that come back when they are told
	Marks   bool          // clients mark their retries
	Timeout float64       // share of the time left that a client gives a try; 0: all
}

// Second is what became of the first tries of one second.
type Second struct {
	Asked, InTime, Tries, Refused int
}

// Run lets the crowd ask and returns what became of it, second by second.
func (c *Crowd) Run() []Second {
	rng := rand.New(rand.NewPCG(c.Seed, 2))
	out := make([]Second, int(c.Time.Seconds())+1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, MaxIdleConns: 3000}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	at := 0.0
	for n := 0; ; n++ {
		at += rng.ExpFloat64() / c.Rate
		if at >= c.Time.Seconds() {
			break
		}
		q, home, obeys := c.Make(rng, n), c.Addrs[rng.IntN(len(c.Addrs))], rng.Float64() < c.Obeys
		time.Sleep(time.Until(begun.Add(time.Duration(at * float64(time.Second)))))
		second := int(at)
		wg.Go(func() {
			first := time.Now()
			add := func(fn func(s *Second)) { mu.Lock(); defer mu.Unlock(); fn(&out[second]) }
			add(func(s *Second) { s.Asked++ })
			for try := range c.Tries + 1 {
				left := q.Deadline - time.Since(first)
				if left < 50*time.Millisecond {
					return
				}
				a := q
				if a.Deadline = left; c.Timeout > 0 && try < c.Tries {
					a.Deadline = time.Duration(c.Timeout * float64(left))
				}
				a.ID, a.Repeat = fmt.Sprintf("%08x%08x", n, try), c.Marks && try > 0
				add(func(s *Second) { s.Tries++ })
				r, err := Ask(client, home, a)
				switch {
				case err != nil:
				case r.Kind == "served":
					if time.Since(first) <= c.Aim[q.Class] {
						add(func(s *Second) { s.InTime++ })
					}
					return
				case r.Kind == "refused":
					add(func(s *Second) { s.Refused++ })
				}
				pause := c.Pause
				if obeys && r.After > 0 {
					pause = r.After
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return out
}
