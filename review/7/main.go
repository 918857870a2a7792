//go:build review

// Command 7 has a fleet of mixers share what discovery tells, and a stock node leave by a whole
// list that does not name it. It checks the rule on drains at the stock nodes.
package main

import (
	"fmt"
	"math/rand/v2"
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

func main() {
	r := rig.New("review/7")
	var list []*standin.Node
	var members []standin.Member
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
		members = append(members, standin.Member{ID: n.ID, HostPort: at, Locality: []string{"zona-12", "mixco"}[i%2], Cell: i % 4, Phase: "active", Size: 1})
	}
	d := rig.NewDiscovery(r, members...)
	d.Whole = true
	f := r.StartFleet(mixers, "zona-12", settings, d)
	f.Ask(pace, func() standin.Query {
		shard := rand.IntN(8)
		return standin.Query{Class: "pallet-lookup", Shards: []int{shard, (shard + 1) % 8}, Deadline: 4 * time.Second}
	})
	f.Followers(8*time.Second, settle)
	const gone = 3
	before := list[gone].Count()
	changed := time.Now()
	if r.Trouble {
		d.Change(func(all []standin.Member) []standin.Member { return append(all[:gone], all[gone+1:]...) })
		r.Say("discovery's list leaves out %s from now on; its answers are whole lists; %s goes on answering", list[gone].ID, list[gone].ID)
	} else {
		d.Change(func(all []standin.Member) []standin.Member { all[gone].Phase = "leaving"; return all }, list[gone].ID)
		r.Say("discovery's list says of %s that it leaves; its answers are whole lists", list[gone].ID)
	}
	time.Sleep(watched)

	for i := range mixers {
		c, told := d.Calls(i), "never"
		if !c.Told.IsZero() {
			told = fmt.Sprintf("%.3f s after the change", c.Told.Sub(changed).Seconds())
		}
		r.Say("mixer n%d: %d calls to discovery, the latest %.1f s before the end; discovery wrote it the new list: %s; %d queries served", i, c.Count,
			time.Since(c.Last).Seconds(), told, f.Served(i))
	}
	var sent, late [mixers]int
	var last [mixers]time.Duration
	for _, p := range list[gone].Parts() {
		if p.At.Before(changed) {
			continue
		}
		i := rig.MixerOf(p)
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
