//go:build review

// Command 6 has some clients repeat a large query at full speed while others ask as ever. It plays
// the platform, which kills a mixer that takes more memory than its limit.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"kiteloft/internal/standin"
	"kiteloft/review/rig"
)

const (
	nodes     = 12
	memoryMB  = 192 // limits.memory_mb, the most that the pages give
	sockets   = 1024
	deadline  = 4 * time.Second // a pallet lookup's give-up time
	weight    = 0.332           // of each of the three parts of the clients that repeat
	soundRate = 20              // queries a second
	loud      = 200             // requests at once of the clients that repeat
	bodyBytes = 65_000          // of their filter; a body holds 64 KiB at most
	before    = 5 * time.Second // of sound clients alone
	trouble   = 20 * time.Second
	after     = 5 * time.Second
)

const settings = `{"balancers":3,"zone":0,"tick":0.005,"discovery":"ask","failure_domains":["zona-12","mixco"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":210,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[{"name":"stock-report","semantics":"repeatable","aim":2.5,"deadline":7.5,"worth":3,"late_value":0.1},
 {"name":"pallet-lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":12,"span":2,"ranges":24,"class_floor":[0.8,1],"need_by_class":[1,1],"short_worth":[0.8,0.9],"follow_up":[0,0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02}}`

// request is a query in the platform's form.
func request(class, id string, shards []int, weights []float64, filter string) string {
	q := standin.Query{Shards: shards, Weights: weights, Filter: filter}
	body := q.Body()
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", class, id, deadline.Milliseconds(), len(body), body)
}

func main() {
	r := rig.New("review/6")
	var members []standin.Member
	for i := range nodes {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), nil)
		// Two cores, and the work of a part and of a call as the brief has them.
		at := standin.NewMachine(standin.Power{Cores: 2, Part: 80 * time.Millisecond, Call: 48 * time.Millisecond, Queue: 64, ColdFrom: 1, Cold: time.Second,
			Fall: time.Second, Multiple: 1e9}, true, nil)
		n.Answers(at.Do)
		n.Stops = at.Stop
		n.Forgets = true
		n.Probed = func(int) bool { return true }
		addr, err := n.ServeFrames()
		r.Need(err)
		members = append(members, standin.Member{ID: n.ID, HostPort: addr, Locality: []string{"zona-12", "mixco"}[i%2], Cell: i, Phase: "active", Size: 1})
	}
	dir := standin.NewDirectory(members...)
	m := r.Start(standin.Setup{Name: "n0", Settings: settings, Discovery: dir.Serve(), Known: members, MemoryMB: memoryMB, Sockets: sockets})
	memory := r.WatchMemory(m, memoryMB)

	var mu sync.Mutex
	sound, lost := map[string]int{}, 0
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		var asked sync.WaitGroup
		for range time.Tick(time.Second / soundRate) {
			select {
			case <-stop:
				asked.Wait()
				return
			default:
			}
			if memory.Killed.Load() {
				continue // a front would send them elsewhere
			}
			shard := rand.IntN(24)
			asked.Go(func() {
				res, err := standin.Ask(client, m.Listen(), standin.Query{Class: "pallet-lookup", Shards: []int{shard, (shard + 1) % 24, (shard + 2) % 24}, Deadline: 4 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					sound[res.Kind]++
					return
				}
				if lost++; lost <= 10 {
					r.Say("a sound client's query got no answer: %v", err)
				}
			})
		}
	})
	time.Sleep(before)
	r.Say("sound clients alone: %d KB at most", memory.PeakKB.Load())
	loudGot := map[string]int{}
	if r.Trouble {
		r.Say("%d clients send a query of %d bytes whose weights sum to 0.996, and the same again as soon as it is turned away", loud, bodyBytes)
		filter := strings.Repeat("c41e77d0", bodyBytes/8)
		end := time.Now().Add(trouble)
		for range loud {
			all.Go(func() {
				for time.Now().Before(end) && !memory.Killed.Load() {
					c, err := net.Dial("tcp", m.Listen())
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					for in := bufio.NewReader(c); time.Now().Before(end); {
						if _, err := io.WriteString(c, request("pallet-lookup", fmt.Sprintf("%016x", rand.Uint64()), []int{2, 3, 4}, []float64{weight, weight, weight}, filter)); err != nil {
							break
						}
						resp, err := http.ReadResponse(in, nil)
						if err != nil {
							break
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close() // read whole
						mu.Lock()
						loudGot[resp.Status]++
						mu.Unlock()
						if resp.Close {
							break
						}
					}
					_ = c.Close() // the client goes
				}
			})
		}
	}
	time.Sleep(trouble + after)
	close(stop)
	all.Wait()
	mu.Lock()
	r.Say("sound clients: %v, and %d without an answer; the others: %v", sound, lost, loudGot)
	mu.Unlock()
	r.Say("memory: %d KB at most of %d", memory.PeakKB.Load(), memoryMB<<10)
	if sound["served"] == 0 {
		r.End(rig.NotRun, "nothing was served")
	}
	if memory.Killed.Load() {
		r.End(rig.Broken, fmt.Sprintf("the mixer went over its memory, and %d queries of sound clients were lost with it", lost))
	}
	if lost > 0 {
		r.End(rig.Broken, fmt.Sprintf("%d queries of sound clients got no answer", lost))
	}
	r.End(rig.Held, "the mixer stayed within its memory")
}
