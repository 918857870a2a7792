//go:build review

// Command 8 has a platform client ask a mixer whose stock nodes speak Arrow Flight. It checks that
// the values in the client's answers are those that the nodes made.
package main

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"kiteloft/internal/standin"
	"kiteloft/review/rig"
)

const (
	nodes   = 4
	queries = 100
)

const settings = `{"balancers":1,"zone":0,"tick":0.005,"discovery":"ask","failure_domains":["zona-12","mixco"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":210,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[{"name":"pallet-lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":4,"span":2,"ranges":8,"class_floor":[1],"need_by_class":[1],"short_worth":[0.9],"follow_up":[0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02}}`

func main() {
	r := rig.New("review/8")
	var mu sync.Mutex
	made := map[string]map[string]bool{} // values by the part's id
	noise := 0
	var members []standin.Member
	for i := range nodes {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), func(p standin.Part) standin.Reply {
			value := fmt.Sprintf("%016x", rand.Uint64())
			mu.Lock()
			defer mu.Unlock()
			// One answer in five is noise: bytes in place of a value, in a batch that is in order.
			if r.Trouble && rand.IntN(5) == 0 {
				b := make([]byte, 16)
				for i := range b {
					b[i] = byte(rand.Uint32())
				}
				b[0] = 0xff // never in UTF-8
				value = string(b)
				noise++
			}
			if made[p.ID] == nil {
				made[p.ID] = map[string]bool{}
			}
			made[p.ID][value] = true
			return standin.Reply{End: 'S', Score: 1, Value: value}
		})
		at, err := n.ServeFlight()
		r.Need(err)
		members = append(members, standin.Member{ID: n.ID, HostPort: at, Locality: []string{"zona-12", "mixco"}[i%2], Cell: i, Phase: "active", Size: 1})
	}
	dir := standin.NewDirectory(members...)
	m := r.Start(standin.Setup{Name: "n0", Settings: settings, Discovery: dir.Serve(), Known: members})

	served, other, wrong := 0, 0, 0
	for n := range queries {
		id := fmt.Sprintf("%016x", rand.Uint64())
		body := fmt.Sprintf(`{"slices":[{"slice":%d,"mass":0.5},{"slice":%d,"mass":0.5}],"filter":"c41e77d0"}`, n%8, (n+1)%8)
		req, err := http.NewRequest("POST", "http://"+m.Listen()+"/pallet-lookup", strings.NewReader(body))
		r.Need(err)
		req.Header.Set("Req-Id", id)
		req.Header.Set("Req-Deadline-Ms", "4000")
		resp, err := http.DefaultClient.Do(req)
		r.Need(err)
		text, err := io.ReadAll(resp.Body)
		r.Need(err)
		_ = resp.Body.Close() // read whole
		if resp.StatusCode != http.StatusOK {
			other++
			r.Say("query %s: status %d", id, resp.StatusCode)
			continue
		}
		served++
		var answer struct {
			Entire bool
			Items  []struct {
				Slice int
				Body  string
			}
		}
		r.Need(json.Unmarshal(text, &answer))
		for _, v := range answer.Items {
			mu.Lock()
			values := made[fmt.Sprintf("%s.%d", id, v.Slice)]
			mu.Unlock()
			// A value that was passed on as it is stands in the answer's own bytes; the decoder would replace what is no UTF-8.
			right := false
			for value := range values {
				right = right || bytes.Contains(text, []byte(value))
			}
			if right {
				continue
			}
			wrong++
			r.Say("query %s got: %s", id, text)
			for value := range values {
				r.Say("slice %d holds, decoded, the bytes %s; its node made %s", v.Slice, hex.EncodeToString([]byte(v.Body)), hex.EncodeToString([]byte(value)))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.Say("%d queries served, %d not; %d answers of nodes were noise; %d values that no node had made", served, other, noise, wrong)
	switch {
	case served == 0 || r.Trouble && noise == 0:
		r.End(rig.NotRun, "nothing was served, or nothing was spoilt")
	case wrong > 0:
		r.End(rig.Broken, fmt.Sprintf("clients were served %d values that no stock node had made", wrong))
	}
	r.End(rig.Held, "all values are those that the nodes made")
}
