// Package bench measures the cost of queries. The benchmarks run inside one process without
// sockets: allocations, bytes and time of a query in module and core, and also in the platform's
// front with its parser. The tests, which only run with KITELOFT_MEASURE set, measure the real
// program.
package bench

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/front/platform"
	"kiteloft/internal/settings"
	"kiteloft/internal/tracing"
	"kiteloft/internal/transport"
)

// fleetSettings is the settings object of a fleet like the operators': 12 cells, 24 slices and two
// classes.
const fleetSettings = `{"balancers":3,"tick":0.005,"zone":0,"discovery":"ask","failure_domains":["a","b","c"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":2000,"max_retry_after":2,
 "probes":true,"retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[{"name":"report","semantics":"repeatable","aim":2.5,"deadline":7.5,"worth":3,"late_value":0.1},
 {"name":"lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":12,"span":2,"ranges":24,"class_floor":[0.8,1],"need_by_class":[1,1],
 "short_worth":[0.8,0.9],"follow_up":[5,0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3}}`

const (
	tick      = 5 * time.Millisecond
	nodeCount = 12
)

// queryShapes are the measured queries, by class and number of parts.
var queryShapes = []struct {
	name  string
	class int
	parts int
}{{"1-part", 1, 1}, {"4-part", 1, 4}, {"report", 0, 6}}

// harness drives a core on a virtual clock. It stands in for the nodes, which answer each attempt
// by the next step, and for the client, whose answers it counts.
type harness struct {
	*broker.Core
	now        time.Duration
	pending    []*broker.Attempt
	served     int
	unexpected int // refusals, failures, retry storms and guard interventions
}

func newHarness(tb testing.TB) (*harness, settings.Settings) {
	tb.Helper()
	set, err := settings.Parse([]byte(fleetSettings))
	if err != nil {
		tb.Fatal(err)
	}
	w := &harness{now: 24 * time.Hour}
	w.Core = broker.New(set, decide.New(set.Module, 1), func() time.Duration { return w.now }, w)
	w.Attach(w, w)
	w.Post(func() {
		var list []broker.ListedNode
		for i := range nodeCount {
			list = append(list, broker.ListedNode{Server: decide.Server{ID: fmt.Sprintf("s-%02d", i), Zone: i % 3, Cell: i}, Addr: "x"})
		}
		w.UpdateNodeList(broker.List{Full: true, Version: 1, Members: list})
	})
	w.RunOnce()
	return w, set
}

// recordTraces makes the core record traces and takes them regularly, as an exporter does.
func (w *harness) recordTraces(set settings.Settings) {
	cfg := tracing.Config{MemoryBytes: 4 << 20, Spans: 200, Seed: 1}
	for _, c := range set.Module.Classes {
		cfg.Classes = append(cfg.Classes, tracing.Class{Name: c.Name, LatencyTarget: c.LatencyTarget, Deadline: c.Deadline})
	}
	r := tracing.New(cfg)
	w.SetTraceRecorder(r)
	var take func()
	take = func() {
		r.Take(w.Now(), 1000)
		w.After(200*time.Millisecond, take)
	}
	w.Post(take)
}

func (w *harness) Send(_ broker.Node, call []*broker.Attempt)     { w.pending = append(w.pending, call...) }
func (w *harness) GiveUp(*broker.Attempt)                         {}
func (w *harness) Probe(_ broker.Node, done func(decide.Outcome)) { done(decide.OK) }
func (w *harness) CloseIdle(broker.Node)                          {}
func (w *harness) SetNodes([]broker.Node)                         {}
func (w *harness) Watch(bool)                                     {}
func (w *harness) Read()                                          {}
func (w *harness) Module(string)                                  {}
func (w *harness) Storm(_, _ string)                              { w.unexpected++ }
func (w *harness) Guard(_, _, _, _ string)                        { w.unexpected++ }
func (w *harness) Served(bool, []broker.Value)                    { w.served++ }
func (w *harness) Refused(time.Duration)                          { w.unexpected++ }
func (w *harness) Failed(bool)                                    { w.unexpected++ }

var value = []byte("5be2a07c19f04d63")

// step advances the clock by a tick, answers the pending attempts and runs the core once.
func (w *harness) step() {
	w.now += tick
	pending := w.pending
	w.pending = w.pending[:0:0]
	if len(pending) > 0 {
		w.Post(func() {
			for _, a := range pending {
				w.Ended(a, decide.OK, int64(a.Shard), value)
			}
		})
	}
	w.RunOnce()
}

// runUntilServed steps until n queries are served in all, and fails after 100 steps.
func (w *harness) runUntilServed(tb testing.TB, n int) {
	for range 100 {
		if w.served >= n {
			return
		}
		w.step()
	}
	tb.Fatalf("%d queries served, %d unexpected outcomes; want %d served", w.served, w.unexpected, n)
}

// parts returns n query parts of equal weight, one for each of the first n slices.
func parts(n int) (list []broker.QueryPart) {
	for i := range n {
		list = append(list, broker.QueryPart{Shard: i, Weight: 1 / float64(n), Work: 70 * time.Millisecond})
	}
	return list
}

// BenchmarkCore measures a query's path through core and module.
func BenchmarkCore(b *testing.B) { benchmarkCore(b, false) }

// BenchmarkCoreTraced measures the same while traces are recorded.
func BenchmarkCoreTraced(b *testing.B) { benchmarkCore(b, true) }

func benchmarkCore(b *testing.B, traced bool) {
	for _, s := range queryShapes {
		b.Run(s.name, func(b *testing.B) {
			w, set := newHarness(b)
			if traced {
				w.recordTraces(set)
			}
			list := parts(s.parts)
			n := 0
			ask := func() {
				n++
				w.Post(func() {
					if v, _ := w.Admit(broker.Query{WireID: fmt.Sprintf("%016x", n), Class: s.class, Left: set.Module.Classes[s.class].Deadline,
						Text: []byte("c41e77d0"), Parts: list, Responder: w}); v != broker.Taken {
						b.Fatalf("verdict %v", v)
					}
				})
				w.runUntilServed(b, n)
			}
			for range 500 {
				ask()
			}
			b.ReportAllocs()
			for b.Loop() {
				ask()
			}
		})
	}
}

// client is a client connection of the platform's front that counts responses by status.
type client struct{ ok, other int }

func (c *client) Write(b []byte) int64 {
	if strings.HasPrefix(string(b), "HTTP/1.1 200") {
		c.ok++
	} else {
		c.other++
	}
	return 0
}
func (c *client) Close(transport.End)       {}
func (c *client) CloseIfReset()             {}
func (c *client) InputDrained() bool        { return true }
func (c *client) DiscardInput() bool        { return false }
func (c *client) PeerGone() bool            { return false }
func (c *client) InputDelay() time.Duration { return 0 }
func (c *client) Flushed() bool             { return true }
func (c *client) Unsent() int               { return 0 }
func (c *client) Finish(transport.End)      {}

// unlimitedConnections is a connection limit that is never near.
type unlimitedConnections struct{}

func (unlimitedConnections) NearLimit() bool { return false }
func (unlimitedConnections) HalfUsed() bool  { return false }

// BenchmarkFront measures a query's path from the bytes of its request to those of its response.
func BenchmarkFront(b *testing.B) { benchmarkFront(b, false) }

// BenchmarkFrontTraced measures the same while traces are recorded.
func BenchmarkFrontTraced(b *testing.B) { benchmarkFront(b, true) }

func benchmarkFront(b *testing.B, traced bool) {
	for _, s := range queryShapes {
		b.Run(s.name, func(b *testing.B) {
			w, set := newHarness(b)
			if traced {
				w.recordTraces(set)
			}
			f := platform.New(w.Core, set.Module.Classes, nil, unlimitedConnections{}, zerolog.Nop())
			c := &client{}
			h := f.Accept(c)
			w.RunOnce()
			class := set.Module.Classes[s.class]
			var list []string
			for _, p := range parts(s.parts) {
				list = append(list, fmt.Sprintf(`{"slice":%d,"mass":%g,"micros":70000}`, p.Shard, p.Weight))
			}
			body := `{"slices":[` + strings.Join(list, ",") + `],"filter":"c41e77d0"}`
			n := 0
			ask := func() {
				n++
				request := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %016x\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
					class.Name, n, class.Deadline.Milliseconds(), len(body), body)
				w.Post(func() { h.Data([]byte(request)) })
				for range 100 {
					if w.step(); c.ok >= n {
						return
					}
				}
				b.Fatalf("%d responses with status 200, %d others", c.ok, c.other)
			}
			for range 500 {
				ask()
			}
			b.ReportAllocs()
			for b.Loop() {
				ask()
			}
		})
	}
}
