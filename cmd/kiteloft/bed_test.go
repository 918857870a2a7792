package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kiteloft/internal/standin"
	"kiteloft/internal/standin/callfaults"
	"kiteloft/internal/standin/confine"
)

// The bed starts the real program with stand-ins round it, over either protocol.

var program string

func TestMain(m *testing.M) {
	callfaults.Launch(os.Args[1:])
	confine.Launch(os.Args[1:])
	dir, err := os.MkdirTemp("", "kiteloft")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "kiteloft")
	tags := ""
	if loose {
		tags = "looseaccord"
	}
	if err := build(program, tags); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// build builds the program, or another form of it.
func build(path, tags string) error {
	args := append([]string{"build", "-tags", tags, "-o", path}, buildFlags...)
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		return fmt.Errorf("building: %w\n%s", err, out)
	}
	return nil
}

// settings has one class of each kind, on four cells that each hold a shard's
// two neighbours.
const settings = `{"balancers":1,"tick":0.005,"discovery":"ask","failure_domains":["a","b"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":60,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[
 {"name":"report","semantics":"repeatable","aim":2,"deadline":6,"worth":3,"late_value":0.1},
 {"name":"lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1},
 {"name":"booking","semantics":"by_key","aim":1.5,"deadline":4,"memory_span":1,"worth":1},
 {"name":"once","semantics":"once","aim":1.5,"deadline":4,"worth":1},
 {"name":"partial","semantics":"repeatable","aim":1,"deadline":4,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":2,"span":2,"ranges":8,"class_floor":[0.8,1,1,1,0.8],"need_by_class":[1,1,1,1,1],
 "short_worth":[0.8,0.9,0.9,0.9,0.9],"follow_up":[2,0,0,0,0]},
"rules":{"ask_within":10,"cold":1,"cold_from":0.3,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02}}`

type (
	part    = standin.Part
	reply   = standin.Reply
	result  = standin.Result
	query   = standin.Query
	member  = standin.Member
	standIn = standin.Node
)

func sound(p part) reply { return standin.Sound(p) }

// protocol is one way to speak to clients and stock nodes.
type protocol interface {
	node(t *testing.T, n *standIn) (addr string)
	ask(t *testing.T, b *bed, q query) result
}

type platformWire struct{}

func (platformWire) node(t *testing.T, n *standIn) string { return listens(t, n, n.ServeFrames) }

func (platformWire) ask(t *testing.T, b *bed, q query) result {
	t.Helper()
	r, err := standin.Ask(http.DefaultClient, b.Listen(), q)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

type flightWire struct{}

func (flightWire) node(t *testing.T, n *standIn) string { return listens(t, n, n.ServeFlight) }

func (flightWire) ask(t *testing.T, b *bed, q query) result {
	t.Helper()
	r, err := standin.AskFlight(b.Flight(), q)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// listens has a node listen until the test ends.
func listens(t *testing.T, n *standIn, listen func() (string, error)) string {
	t.Helper()
	addr, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return addr
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// bed is a running mixer and what stands round it.
type bed struct {
	*standin.Mixer
	*standin.Directory
	nodes     []*standIn
	members   []member
	discovery string                     // address at which it asks, where mixers have one each
	sick      func(d *standin.Directory) // done to discovery before the start; nil: nothing
	failFirst int                        // so many first calls to discovery are answered by 503
	collector string                     // of flows; "": they are not exported
	extra     string                     // more of deploy/broker.toml
	sockets   int                        // 0: 1024
	memoryMB  int                        // 0: 192
	listen    string                     // "": any address that is free
	torn      time.Duration              // for so long only half of the configuration is there
	launcher  bool                       // the mixer's system calls may fail
	faults    *callfaults.Process
	limits    *confine.Limits // under which the mixer runs; nil: none
	watch     *confine.Watch  // enforces them
}

// start runs a mixer over two stock nodes that hold every shard.
func start(t *testing.T, p protocol, do func(part) reply) *bed {
	t.Helper()
	return startProbed(t, p, do, nil)
}

// startProbed is start with nodes that answer probes on connections of which probed
// says so; nil: they answer none.
func startProbed(t *testing.T, p protocol, do func(part) reply, probed func(node string, link int) bool) *bed {
	t.Helper()
	b := &bed{}
	b.pair(t, p, do, probed)
	b.run(t, settings)
	return b
}

// pair adds two stock nodes that hold every shard.
func (b *bed) pair(t *testing.T, p protocol, do func(part) reply, probed func(node string, link int) bool) {
	t.Helper()
	for i := range 2 {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), do)
		if probed != nil {
			n.Probed = func(link int) bool { return probed(n.ID, link) }
		}
		b.nodes = append(b.nodes, n)
		b.members = append(b.members, member{ID: n.ID, HostPort: p.node(t, n), Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
}

// lastPart is when the first node got its last part.
type lastPart struct{ at atomic.Int64 }

// answer is what both nodes do.
func (l *lastPart) answer(p part) reply {
	if p.Node == "s-0" {
		l.at.Store(time.Now().UnixNano())
	}
	return sound(p)
}

// since asks all the while until so long after a moment, and returns how long after it the
// first node got its last part.
func (l *lastPart) since(t *testing.T, b *bed, begun time.Time, length time.Duration) time.Duration {
	t.Helper()
	for time.Since(begun) < length {
		(platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1, 2}, Deadline: 4 * time.Second})
		time.Sleep(20 * time.Millisecond)
	}
	return time.Unix(0, l.at.Load()).Sub(begun)
}

// calls is how often discovery was asked.
func (b *bed) calls() int {
	asked, _ := b.Asked()
	return len(asked)
}

func (b *bed) run(t *testing.T, settings string) {
	t.Helper()
	b.Directory = standin.NewDirectory(b.members...)
	t.Cleanup(b.Directory.Close)
	b.Directory.FailNext(b.failFirst)
	if b.sick != nil {
		b.sick(b.Directory)
	}
	b.discovery = b.Serve()
	dir, path, args := t.TempDir(), program, []string(nil)
	attached := make(chan error, 1)
	if b.launcher {
		path, args = os.Args[0], []string{callfaults.LaunchArgument, program}
		go func() {
			var err error
			b.faults, err = callfaults.Attach(dir)
			attached <- err
		}()
	} else {
		attached <- nil
	}
	if b.limits != nil {
		command := b.limits.Command(os.Args[0], append([]string{path}, args...)...)
		path, args = command[0], command[1:]
	}
	var err error
	b.Mixer, err = standin.Start(standin.Setup{Program: path, Args: args, Dir: dir, Settings: settings, Discovery: b.discovery, Known: b.members,
		Listen: b.listen, Torn: b.torn, Sockets: b.sockets, MemoryMB: b.memoryMB, Broker: "[flight]\nlisten = \"127.0.0.1:0\"\n[ipfix]\ncollector = \"" + b.collector + "\"\n" + b.extra})
	if err := errors.Join(err, <-attached); err != nil {
		t.Fatal(err)
	}
	if b.limits != nil {
		if b.watch, err = confine.NewWatch(os.Args[0], b.Cmd.Process.Pid, *b.limits); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { b.stop(t) })
}

// stop ends the mixer as a planned restart does; it has to end by itself.
func (b *bed) stop(t *testing.T) {
	http.DefaultClient.CloseIdleConnections() // a client that stays is served for longer
	if b.watch != nil {
		if _, _, err := b.watch.Stop(); err != nil {
			t.Error(err)
		}
	}
	if err := b.Mixer.Stop(); err != nil {
		t.Error(err)
	}
	b.audited(t)
	if t.Failed() {
		t.Logf("log:\n%s", strings.Join(b.Logs(), "\n"))
	}
}

// audited has a mixer that has ended in order say that each query it took ended once, and
// each request it read was answered or had lost its client.
func (b *bed) audited(t *testing.T) {
	t.Helper()
	for _, line := range b.Logs() {
		var a struct {
			Message                                             string
			Taken, Ended, Asked, Answered, Deserted, Violations int64
		}
		if json.Unmarshal([]byte(line), &a) != nil || a.Message != "mixer has ended" {
			continue
		}
		if a.Taken != a.Ended || a.Asked != a.Answered+a.Deserted {
			t.Errorf("a query was lost, or ended twice: %s", line)
		}
		if a.Violations > 0 {
			t.Errorf("an attempt left when it might not: %s", line)
		}
	}
}

// CloseLinks ends the servers' connections, so that the mixer has to open others.
func (b *bed) CloseLinks() {
	for _, n := range b.nodes {
		n.CloseLinks()
	}
}

// configure writes the mixer's configuration anew.
func (b *bed) configure(t *testing.T, discovery string) {
	t.Helper()
	if err := b.Configure(discovery); err != nil {
		t.Fatal(err)
	}
}

// wait waits for a condition.
func (b *bed) wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

func (b *bed) parts() (all []part) {
	for _, n := range b.nodes {
		all = append(all, n.Parts()...)
	}
	return all
}
