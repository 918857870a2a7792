package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"kiteloft/internal/standin"
)

// Schedule of TestOutage: three mixers, 12 nodes of 2 cores, 12 cells. All nodes die at once, cold
// replacements start later, and the node list shows them later still.
const (
	outageRate           = 26.0 // first tries a second, some 40% of the nodes' capacity
	outageDuration       = 56 * time.Second
	nodesDieAt           = 12 * time.Second
	replacementsStartAt  = 20 * time.Second
	replacementsListedAt = 23 * time.Second
)

var nodePower = standin.Power{Cores: 2, Part: 70 * time.Millisecond, Call: 48 * time.Millisecond, Queue: 60, ColdFrom: 0.32, Cold: 18 * time.Second,
	Fall: time.Second, Multiple: 3}

const outageSettings = `{"balancers":3,"tick":0.005,"discovery":"ask","failure_domains":["a"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":400,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},"callers":{"marks_retry":true},
"classes":[{"name":"lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1},
 {"name":"booking","semantics":"by_key","aim":1.5,"deadline":4,"memory_span":4,"worth":1}],
"family_info":{"per_call":8,"positions":12,"span":2,"ranges":24,"class_floor":[1,1],"need_by_class":[1,1],"short_worth":[0.9,0.9],"follow_up":[0,0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02}}`

// TestOutage measures how fast the share of queries answered in time recovers after an outage of
// all nodes. It fails if a cold node is overloaded until it topples.
func TestOutage(t *testing.T) {
	if os.Getenv("KITELOFT_MEASURE") == "" {
		t.Skip("a measurement: make measure-outage")
	}
	seed := uint64(11)
	if n, err := strconv.ParseUint(os.Getenv("KITELOFT_SEED"), 10, 64); err == nil {
		seed = n
	}
	program := os.Getenv("KITELOFT_PROGRAM") // path of another build to compare with
	if program == "" {
		program = buildProgram(t)
	}
	dir := standin.NewDirectory()
	defer dir.Close()
	// host is a stand-in node with the machine that models its load.
	type host struct {
		*standin.Node
		*standin.Machine
	}
	hosts := func(generation string, warm bool) (list []host, members []standin.Member) {
		for i := range nodeCount {
			h := host{Node: standin.NewNode(fmt.Sprintf("%s-%02d", generation, i), nil)}
			h.Machine = standin.NewMachine(nodePower, warm, h.Node.Close)
			h.Forgets, h.Stops, h.Probed = true, h.Machine.Stop, func(int) bool { return true }
			h.Answers(h.Do)
			addr, err := h.ServeFrames()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(h.Close)
			up := int64(0)
			if !warm {
				up = h.Started().UnixMilli()
			}
			list = append(list, h)
			members = append(members, standin.Member{ID: h.ID, HostPort: addr, Locality: "a", Cell: i, Phase: "active", Size: 1, UpSince: up})
		}
		return list, members
	}
	old, members := hosts("a", true)
	for _, m := range members {
		dir.Join(m)
	}
	var addrs []string
	var mixers []*standin.Mixer
	for i := range 3 {
		m, err := standin.Start(standin.Setup{Program: program, Dir: t.TempDir(), Name: fmt.Sprintf("n%d", i), Settings: outageSettings, Discovery: dir.Serve(), Known: members})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := m.Stop(); err != nil {
				t.Error(err)
			}
		})
		addrs, mixers = append(addrs, m.Listen()), append(mixers, m)
	}
	crowd := standin.Crowd{Addrs: addrs, Rate: outageRate, Time: outageDuration, Seed: seed, Tries: 3, Pause: 100 * time.Millisecond, Obeys: 0.5, Marks: true, Timeout: 0.7,
		Aim:  map[string]time.Duration{"lookup": 1500 * time.Millisecond, "booking": 1500 * time.Millisecond},
		Make: randomQuery}
	var replacements []host
	time.AfterFunc(nodesDieAt, func() {
		for _, h := range old {
			h.Node.Close()
		}
	})
	var replacementMembers []standin.Member
	time.AfterFunc(replacementsStartAt, func() { replacements, replacementMembers = hosts("b", false) })
	time.AfterFunc(replacementsListedAt, func() {
		for i, m := range replacementMembers {
			dir.Join(m)
			dir.Tell(i, "left")
		}
	})
	seconds := crowd.Run()
	var line strings.Builder
	share := func(from, to time.Duration) float64 {
		asked, in := 0, 0
		for _, s := range seconds[int(from.Seconds()):int(to.Seconds())] {
			asked, in = asked+s.Asked, in+s.InTime
		}
		return 100 * float64(in) / float64(max(1, asked))
	}
	recoveryTime := time.Duration(-1)
	for i, s := range seconds[:int(outageDuration.Seconds())] {
		fmt.Fprintf(&line, "%d:%d/%d(r%d) ", i, s.InTime, s.Asked, s.Refused)
		if at := time.Duration(i) * time.Second; recoveryTime < 0 && at >= replacementsListedAt && at < outageDuration-3*time.Second && share(at, at+3*time.Second) >= 90 {
			recoveryTime = at - replacementsListedAt
		}
	}
	for _, m := range mixers {
		for _, l := range m.Logs() {
			if strings.Contains(l, "clients' retries") {
				t.Log(l)
			}
		}
	}
	worst, fell := 0.0, 0
	for _, h := range replacements {
		w, toppled := h.Worst()
		if worst = max(worst, w); toppled {
			fell++
		}
	}
	t.Logf("%s", line.String())
	t.Logf("%s: in time before the outage %.0f%%, in the 2 s after the list shows the replacements %.0f%%, in the 14 s after it %.0f%%, then %.0f%%; 90%% over 3 s after %v; load of a cold node at most %.2f of its capacity; %d toppled",
		cmp.Or(os.Getenv("KITELOFT_LABEL"), "this"), share(2*time.Second, nodesDieAt), share(replacementsListedAt, replacementsListedAt+2*time.Second), share(replacementsListedAt, replacementsListedAt+14*time.Second),
		share(replacementsListedAt+15*time.Second, outageDuration), recoveryTime, worst, fell)
	if fell > 0 {
		t.Error("a cold node was overloaded until it toppled")
	}
}

// randomQuery returns a lookup of 3 to 5 consecutive shards of 24, or, one time in four, a booking of one.
func randomQuery(rng *rand.Rand, n int) standin.Query {
	q := standin.Query{Class: "lookup", Deadline: 4 * time.Second, Filter: fmt.Sprintf("%08x", n)}
	from, parts := rng.IntN(24), 3+rng.IntN(3)
	if rng.IntN(4) == 0 {
		q.Class, q.Key, parts = "booking", fmt.Sprintf("k%08x", n), 1
	}
	for k := range parts {
		q.Shards = append(q.Shards, (from+k)%24)
	}
	return q
}
