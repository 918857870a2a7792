package main

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteloft/internal/otlp"
	"kiteloft/internal/segments"
	"kiteloft/internal/standin"
	"kiteloft/internal/tracing"
)

// traced starts a mixer that writes its traces into a directory.
func traced(t *testing.T, more string, members []member, nodes []*standIn) (*bed, string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "traces")
	b := &bed{nodes: nodes, members: members, extra: "[tracing]\ndirectory = \"" + dir + "\"\n" + more}
	b.run(t, settings)
	return b, dir
}

// two starts a traced mixer over two stock nodes that hold every shard.
func two(t *testing.T, p protocol, do func(part) reply) (*bed, string) {
	t.Helper()
	var nodes []*standIn
	var members []member
	for i := range 2 {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), do)
		nodes = append(nodes, n)
		members = append(members, member{ID: n.ID, HostPort: p.node(t, n), Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
	return traced(t, "spans_per_second = 100000\n", members, nodes)
}

// written reads all traces of a directory, by their query's id.
func written(t *testing.T, dir string) map[string]*otlp.Trace {
	t.Helper()
	list, err := segments.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]*otlp.Trace{}
	for _, path := range list {
		err := otlp.ReadSegment(path, func(traces []*otlp.Trace, lost []otlp.LossReport, strays int) {
			if len(lost) > 0 || strays > 0 {
				t.Fatalf("%d losses, %d strays", len(lost), strays)
			}
			for _, tr := range traces {
				all[tr.WireID] = tr
			}
		})
		var damage *segments.DamageError
		if err != nil && !(errors.As(err, &damage) && damage.Truncated) { // it is being written
			t.Fatal(err)
		}
	}
	return all
}

// find waits until a query's trace is written.
func find(t *testing.T, b *bed, dir, id string) *otlp.Trace {
	t.Helper()
	var tr *otlp.Trace
	b.wait(t, "the trace of "+id+" is written", func() bool { tr = written(t, dir)[id]; return tr != nil })
	return tr
}

// fleetSettings has classes of short aims, and six cells that hold a shard's two
// neighbours.
const fleetSettings = `{"balancers":3,"tick":0.005,"discovery":"ask","failure_domains":["a","b"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":2000,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[{"name":"lookup","semantics":"repeatable","aim":0.4,"deadline":3,"worth":1,"late_value":0.1},
 {"name":"once","semantics":"once","aim":0.4,"deadline":3,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":6,"span":2,"ranges":12,"class_floor":[1,1],"need_by_class":[1,1],"short_worth":[0.9,0.9],"follow_up":[0,0]},
"rules":{"ask_within":10,"cold":1,"cold_from":0.3,"drain_grace":2,"fall":1,"fall_multiple":3}}`

// TestEverySlowQueryIsInTheTraces is what traces are for: three mixers, six nodes
// that stand still in turn, 2,400 queries. Each that its client saw over its wanted
// time is in the kept traces, with a node that stood still on its critical path.
func TestEverySlowQueryIsInTheTraces(t *testing.T) {
	const (
		mixers, nodes  = 3, 6
		clients, asks  = 10, 80 // of each mixer, and of each client
		aim            = 400 * time.Millisecond
		pause, between = 700 * time.Millisecond, 900 * time.Millisecond
	)
	begun := time.Now()
	var mu sync.Mutex
	paused := map[string][]string{} // by query: the nodes that stood still when its parts came
	var members []member
	for i := range nodes {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), nil)
		n.Forgets, n.Probed = true, func(int) bool { return true }
		n.Answers(func(p part) reply {
			r := sound(p)
			r.After = time.Millisecond
			if at := time.Since(begun) % between; int(time.Since(begun)/between)%nodes == i && at < pause {
				r.After = pause - at + time.Millisecond
				mu.Lock()
				defer mu.Unlock()
				id, _, _ := strings.Cut(p.ID, ".")
				paused[id] = append(paused[id], p.Node)
			}
			return r
		})
		members = append(members, member{ID: n.ID, HostPort: platformWire{}.node(t, n), Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
	type seen struct {
		id, kind string
		took     time.Duration
	}
	results := make([][]seen, mixers*clients)
	var dirs []string
	var beds []*bed
	var wg sync.WaitGroup
	for m := range mixers {
		dir := filepath.Join(t.TempDir(), "traces")
		b := &bed{members: members, extra: "[tracing]\ndirectory = \"" + dir + "\"\nspans_per_second = 20\n"}
		b.run(t, fleetSettings)
		dirs, beds = append(dirs, dir), append(beds, b)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
		t.Cleanup(client.CloseIdleConnections)
		for c := range clients {
			wg.Go(func() {
				for i := range asks {
					q := query{Class: "lookup", Shards: []int{i % 12, (i + 1) % 12, (i + 2) % 12}, Deadline: 3 * time.Second,
						ID: fmt.Sprintf("%04x%04x%08x", m, c, i), Filter: fmt.Sprintf("%d.%d.%d", m, c, i)}
					if i%4 == 0 {
						q.Class, q.Shards = "once", q.Shards[:1]
					}
					r, err := standin.Ask(client, b.Listen(), q)
					if err != nil {
						t.Error(err)
						return
					}
					results[m*clients+c] = append(results[m*clients+c], seen{q.ID, r.Kind, r.Took})
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	for _, b := range beds {
		b.stop(t)
	}
	kept := map[string]*otlp.Trace{}
	for _, dir := range dirs {
		for id, tr := range written(t, dir) {
			kept[id] = tr
		}
	}
	all, slow, named, wire := 0, 0, 0, 0
	for _, s := range slices.Concat(results...) {
		all++
		if s.took <= aim && s.kind == "served" {
			continue
		}
		slow++
		tr := kept[s.id]
		if tr == nil {
			// The mixer had it done in time, and the machine was slow with it. The pauses are
			// far longer than that.
			if s.kind != "served" || len(paused[s.id]) > 0 && s.took > aim+busy/10 {
				t.Errorf("%s (%s after %v, paused %v) is not among the kept traces", s.id, s.kind, s.took, paused[s.id])
			}
			wire++
			continue
		}
		if s.kind == "refused" && len(tr.Attempts) == 0 {
			continue // never sent: no node is at fault
		}
		if len(paused[s.id]) == 0 {
			wire++ // the machine's own slowness
			continue
		}
		if !slices.ContainsFunc(tracing.CriticalPath(&tr.Query), func(g tracing.Segment) bool {
			return g.Attempt >= 0 && slices.Contains(paused[s.id], tr.Attempts[g.Attempt].Node)
		}) {
			t.Errorf("%s took %v; of %v, which stood still, none is on its critical path: %+v", s.id, s.took, paused[s.id], tr.Query)
			continue
		}
		named++
	}
	t.Logf("%d queries, %d slow or not served: %d with a paused node named, %d without; %d traces kept", all, slow, named, wire, len(kept))
	if all != mixers*clients*asks || named < 10 {
		t.Errorf("%d queries, %d with a paused node: too few to show anything", all, named)
	}
	if len(kept) > all*3/4 {
		t.Errorf("%d of %d traces kept: nothing was passed over", len(kept), all)
	}
}

// TestRetriesJoinAcrossMixers has a booking's retries come while the first try is
// open, and to another mixer.
func TestRetriesJoinAcrossMixers(t *testing.T) {
	t.Parallel()
	slow := func(p part) reply { r := sound(p); r.After = 400 * time.Millisecond; return r }
	b, dir := two(t, platformWire{}, slow)
	other, otherDir := traced(t, "", b.members, b.nodes)
	booking := query{Class: "booking", Key: "5c0f6e1a", Shards: []int{3}, Deadline: 3 * time.Second}
	var wg sync.WaitGroup
	for i, at := range []*bed{b, b, other} {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			q := booking
			q.ID, q.Repeat = fmt.Sprintf("try%d", i), i > 0
			if r := (platformWire{}).ask(t, at, q); r.Kind != "served" {
				t.Errorf("try %d got %+v", i, r)
			}
		})
	}
	wg.Wait()
	first, second := find(t, b, dir, "try0"), find(t, b, dir, "try1")
	third := find(t, other, otherDir, "try2")
	if first.Query.Trace != second.Query.Trace || first.Query.Trace != third.Query.Trace {
		t.Errorf("traces %v, %v and %v of one booking", first.Query.Trace, second.Query.Trace, third.Query.Trace)
	}
	if first.KeepReasons&tracing.RetriedByClient == 0 || second.KeepReasons&tracing.Repeat == 0 || third.KeepReasons&tracing.Repeat == 0 {
		t.Errorf("kept for %v, %v and %v", otlp.KeepNames(first.KeepReasons), otlp.KeepNames(second.KeepReasons), otlp.KeepNames(third.KeepReasons))
	}
	if second.Parent != first.Root {
		t.Error("the second try is no child of the first")
	}
	if first.Root == third.Root || first.Root == second.Root {
		t.Error("two roots of one id")
	}
}

// TestRetryWithoutAKeyJoins asks again for the same content, marked as a retry.
func TestRetryWithoutAKeyJoins(t *testing.T) {
	t.Parallel()
	b, dir := two(t, platformWire{}, sound)
	for i := range 2 {
		_ = (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1, 2}, Deadline: 3 * time.Second, ID: fmt.Sprintf("try%d", i), Repeat: i > 0, Filter: "same"})
	}
	if a, c := find(t, b, dir, "try0"), find(t, b, dir, "try1"); a.Query.Trace != c.Query.Trace || c.Parent != a.Root {
		t.Errorf("traces %v and %v", a.Query.Trace, c.Query.Trace)
	}
}

// TestANodeThatNeverAnswersIsSeen has both nodes take parts and say nothing.
func TestANodeThatNeverAnswersIsSeen(t *testing.T) {
	t.Parallel()
	b, dir := two(t, platformWire{}, silent)
	r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 900 * time.Millisecond, ID: "mute"})
	tr := find(t, b, dir, "mute")
	if tr.KeepReasons&tracing.NotServed == 0 || tr.Ending == tracing.Served {
		t.Errorf("client got %s, the trace says %s", r.Kind, otlp.HowName(tr.Ending))
	}
	if len(tr.Attempts) == 0 {
		t.Fatal("no attempt in the trace")
	}
	for _, a := range tr.Attempts {
		if a.Written == 0 || a.Heard != 0 || !a.MayHaveRun || a.Won {
			t.Errorf("attempt at %s: written %v, heard %v, may have run %v", a.Node, a.Written, a.Heard, a.MayHaveRun)
		}
	}
	path := tracing.CriticalPath(&tr.Query)
	var waited time.Duration
	for _, s := range path {
		if s.Stage == tracing.Node {
			waited += s.To - s.From
		}
	}
	if waited < tr.End*8/10 {
		t.Errorf("%v of %v are charged to nodes: %+v", waited, tr.End, path)
	}
}

// TestACopyThatWinsBeforeTheFirstIsWritten has one node whose connects hang.
func TestACopyThatWinsBeforeTheFirstIsWritten(t *testing.T) {
	t.Parallel()
	n := standin.NewNode("s-1", sound)
	members := []member{{ID: "s-0", HostPort: full(t), Locality: "a", Cell: 0, Phase: "active", Size: 1},
		{ID: "s-1", HostPort: platformWire{}.node(t, n), Locality: "a", Cell: 1, Phase: "active", Size: 1}}
	b, dir := traced(t, "", members, []*standIn{n})
	hung := 0
	b.wait(t, "a part meets the node whose connects hang", func() bool {
		id := fmt.Sprintf("hang%d", hung)
		hung++
		if r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second, ID: id}); r.Kind != "served" {
			t.Fatalf("client got %+v", r)
		}
		time.Sleep(150 * time.Millisecond) // until it is written
		tr := written(t, dir)[id]
		if tr == nil || len(tr.Attempts) < 2 {
			return false
		}
		a := tr.Attempts[0]
		if a.Node != "s-0" || a.Connected != 0 || a.Written != 0 || a.Won {
			t.Errorf("first attempt %+v", a)
		}
		if last := tr.Attempts[len(tr.Attempts)-1]; last.Node != "s-1" || !last.Won || last.Reason == tracing.FirstAttempt {
			t.Errorf("last attempt %+v", last)
		}
		if s := tracing.CriticalPath(&tr.Query)[0]; s.Stage != tracing.Connect && s.Stage != tracing.Mixer {
			t.Errorf("the path begins with %+v", s)
		}
		return true
	})
}

// TestTermFlushesWhatIsDecided ends the mixer while traces wait for a sign that they
// matter, and with a query open.
func TestTermFlushesWhatIsDecided(t *testing.T) {
	t.Parallel()
	b, dir := two(t, platformWire{}, sound)
	for i := range 20 {
		_ = (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second, ID: fmt.Sprintf("q%d", i), Filter: fmt.Sprint(i)})
	}
	for _, n := range b.nodes {
		n.Answers(func(p part) reply { r := sound(p); r.After = 500 * time.Millisecond; return r })
	}
	open := make(chan result, 1)
	go func() {
		open <- (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second, ID: "open", Filter: "open"})
	}()
	b.wait(t, "the query is with a node", func() bool { return b.nodes[0].Count()+b.nodes[1].Count() > 20 })
	go func() { <-open; http.DefaultClient.CloseIdleConnections() }()
	b.stop(t)
	if got := written(t, dir); len(got) != 21 || got["open"] == nil {
		t.Errorf("%d traces of 21 queries", len(got))
	}
}

// TestThePlatformsClientsNameTheirTrace has one do so, and its frames stay as they are.
func TestThePlatformsClientsNameTheirTrace(t *testing.T) {
	t.Parallel()
	const trc, span = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	b, dir := two(t, platformWire{}, sound)
	for i, parent := range []string{"00-" + trc + "-" + span + "-01", "00-" + trc + "-" + span} {
		id := fmt.Sprintf("q%d", i)
		if r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 3 * time.Second, ID: id, Parent: parent}); r.Kind != "served" {
			t.Fatalf("client got %+v", r)
		}
		tr := find(t, b, dir, id)
		if joins := tr.Query.Trace.String() == trc && tr.Parent.String() == span; joins != (i == 0) {
			t.Errorf("%q: trace %v under %v", parent, tr.Query.Trace, tr.Parent)
		}
	}
	for _, p := range b.parts() {
		if p.Text != "c41e77d0" || p.Parent != "" || p.Key != "" {
			t.Errorf("part came as %+v", p)
		}
	}
}

// TestContextGoesThrough has a Flight client name its trace; Flight nodes are told
// of it.
func TestContextGoesThrough(t *testing.T) {
	const trc, span = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	for _, tt := range []struct {
		name, parent, state string
		joins               bool
	}{
		{"sound", "00-" + trc + "-" + span + "-01", "vendor=x", true},
		{"malformed", "00-" + trc + "-" + span + "-zz", "vendor=x", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, dir := two(t, flightWire{}, sound)
			if r := (flightWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 3 * time.Second, Parent: tt.parent, State: tt.state}); r.Kind != "served" {
				t.Fatalf("client got %+v", r)
			}
			p := b.parts()[0]
			id, _, _ := strings.Cut(p.ID, ".")
			tr := find(t, b, dir, id)
			if joins := tr.Query.Trace.String() == trc && tr.Parent.String() == span; joins != tt.joins {
				t.Errorf("trace %v under %v", tr.Query.Trace, tr.Parent)
			}
			if want := tracing.Traceparent(tr.Query.Trace, tr.AttemptSpan(0), 0)[:53]; !strings.HasPrefix(p.Parent, want) {
				t.Errorf("the node was told %q, want %q", p.Parent, want)
			}
			if (p.State == tt.state) != tt.joins {
				t.Errorf("the node was told the state %q", p.State)
			}
		})
	}
}
