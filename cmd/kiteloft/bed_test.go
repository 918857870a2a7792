package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The bed starts the real program and stands in for discovery, stock nodes and
// clients, over either protocol.

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "kiteloft")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "kiteloft")
	args := append([]string{"build", "-o", program}, buildFlags...)
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
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

// part is one attempt as it reached a stock node.
type part struct {
	node          string
	id, key, text string
	shard         int
	wait          time.Duration
	from          string
	whole, second bool
	at            time.Time
	link          int // number of the connection it came on; frames only
}

// reply is what a stock node does with a part.
type reply struct {
	end   byte // S, E, B; 0: nothing; 'c': the connection breaks in the middle of the answer; 'r': value is all that is sent
	score int64
	value string
	after time.Duration
}

func sound(p part) reply {
	return reply{end: 'S', score: int64(p.shard), value: fmt.Sprintf("v%d", p.shard)}
}

// result is a final answer as its client saw it.
type result struct {
	kind   string // served, refused, failed, expired, malformed, cancelled
	entire bool
	values map[int]string
	after  time.Duration
	took   time.Duration
}

// query is what a client asks for.
type query struct {
	class, key string
	shards     []int
	weights    []float64 // none: equal ones
	deadline   time.Duration
	gone       time.Duration // the client leaves after so long
}

func (q query) body() string {
	var s []string
	for i, shard := range q.shards {
		w := 1 / float64(len(q.shards))
		if q.weights != nil {
			w = q.weights[i]
		}
		s = append(s, fmt.Sprintf(`{"slice":%d,"mass":%g,"micros":9000}`, shard, w))
	}
	return `{"slices":[` + strings.Join(s, ",") + `],"filter":"c41e77d0"}`
}

// protocol is one way to speak to clients and stock nodes.
type protocol interface {
	node(t *testing.T, n *standIn) (addr string)
	ask(t *testing.T, b *bed, q query) result
}

// standIn is a stock node.
type standIn struct {
	id   string
	mu   sync.Mutex
	do   func(part) reply
	got  []part
	gone []string    // ids given up
	came []time.Time // connections
	went []time.Time
}

func (n *standIn) connection(list *[]time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*list = append(*list, time.Now())
}

func (n *standIn) connections() (came, went int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.came), len(n.went)
}

func (n *standIn) take(p part) reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.node, p.at = n.id, time.Now()
	n.got = append(n.got, p)
	return n.do(p)
}

func (n *standIn) gaveUp(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = append(n.gone, id)
}

func (n *standIn) parts() []part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]part(nil), n.got...)
}

func (n *standIn) givenUp() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.gone)
}

func (n *standIn) answers(do func(part) reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.do = do
}

// bed is a running mixer and what stands round it.
type bed struct {
	nodes          []*standIn
	listen, flight string
	collector      string        // "": flows are not exported
	sockets        int           // 0: 1024
	deaf           chan struct{} // while it is open, nobody reads the log; nil: somebody does
	cmd            *exec.Cmd
	exit           chan error
	configure      func(discovery string) // writes the configuration anew
	calls          map[string]int         // calls of discovery, by its address

	mu       sync.Mutex
	revision int
	down     bool        // discovery answers 503
	asked    []time.Time // when each call came
	answered []time.Time // and when its answer went
	members  []member
	changed  map[string]int // revision of each member's latest change
	news     chan struct{}
	logs     []string
}

type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// start runs a mixer over two stock nodes that hold every shard.
func start(t *testing.T, p protocol, do func(part) reply) *bed {
	t.Helper()
	b := &bed{news: make(chan struct{}), changed: map[string]int{}, exit: make(chan error, 1)}
	for i := range 2 {
		n := &standIn{id: fmt.Sprintf("s-%d", i), do: do}
		b.nodes = append(b.nodes, n)
		b.members = append(b.members, member{ID: n.id, HostPort: p.node(t, n), Locality: "a", Cell: i, Phase: "active", Size: 1})
	}
	b.run(t, settings)
	return b
}

func (b *bed) run(t *testing.T, settings string) {
	t.Helper()
	b.revision, b.calls = 1, map[string]int{}
	first := b.directory(t)
	dir := t.TempDir()
	known, _ := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": b.members})
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("deploy/broker.toml", "[flight]\nlisten = \"127.0.0.1:0\"\n[ipfix]\ncollector = \""+b.collector+"\"\n")
	b.configure = func(discovery string) {
		write("config.json", fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`, discovery, cmp.Or(b.sockets, 1024), known, settings))
	}
	b.configure(first)
	b.cmd = exec.Command(program)
	b.cmd.Dir = dir
	b.cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(dir, "config.json"), "LB_DISCOVERY="+first)
	stderr, err := b.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for s := bufio.NewScanner(stderr); s.Scan(); {
			var line struct{ Message, Listen string }
			_ = json.Unmarshal(s.Bytes(), &line)
			b.mu.Lock()
			b.logs = append(b.logs, s.Text())
			switch line.Message {
			case "mixer serves":
				b.listen = line.Listen
			case "Flight front serves":
				b.flight = line.Listen
			}
			deaf := b.deaf
			b.mu.Unlock()
			if deaf != nil {
				<-deaf
			}
		}
	}()
	go func() { <-read; b.exit <- b.cmd.Wait() }()
	t.Cleanup(func() { b.stop(t) })
	b.wait(t, "the mixer is ready", func() bool {
		if b.addr(&b.listen) == "" || b.addr(&b.flight) == "" {
			return false
		}
		resp, err := http.Get("http://" + b.addr(&b.listen) + "/health/ready")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == 200
	})
}

// directory starts a discovery and returns its address.
func (b *bed) directory(t *testing.T) string {
	d := httptest.NewServer(http.HandlerFunc(b.discover))
	t.Cleanup(d.Close)
	t.Cleanup(d.CloseClientConnections)
	return d.Listener.Addr().String()
}

func (b *bed) addr(s *string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *s
}

// stop ends the mixer as a planned restart does; it has to end by itself.
func (b *bed) stop(t *testing.T) {
	if b.cmd.ProcessState != nil {
		return
	}
	http.DefaultClient.CloseIdleConnections() // a client that stays is served for longer
	_ = b.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-b.exit:
		if err != nil {
			t.Errorf("the mixer ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		_ = b.cmd.Process.Kill()
		t.Error("the mixer did not end after SIGTERM")
	}
	if t.Failed() {
		b.mu.Lock()
		defer b.mu.Unlock()
		t.Logf("log:\n%s", strings.Join(b.logs, "\n"))
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

// discover answers as discovery does.
func (b *bed) discover(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	timer := time.After(time.Duration(hold) * time.Millisecond)
	b.mu.Lock()
	b.asked = append(b.asked, time.Now())
	b.calls[r.Host]++
	b.mu.Unlock()
	for late := hold == 0; ; {
		b.mu.Lock()
		news := b.news
		b.answered = append(b.answered[:len(b.asked)-1], time.Now())
		if b.down {
			b.mu.Unlock()
			w.WriteHeader(503)
			return
		}
		if b.revision > from || late {
			list := []member{}
			for _, m := range b.members {
				if b.changed[m.ID] > from || from == 0 {
					list = append(list, m)
				}
			}
			out, _ := json.Marshal(map[string]any{"revision": b.revision, "complete": from == 0, "members": list})
			b.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		b.mu.Unlock()
		select {
		case <-news:
		case <-timer:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// tell changes a member's phase on the list.
func (b *bed) tell(i int, phase string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i].Phase = phase
	b.listed(b.members[i].ID)
}

// join adds a member to the list.
func (b *bed) join(m member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = append(b.members, m)
	b.listed(m.ID)
}

func (b *bed) listed(id string) {
	b.revision++
	b.changed[id] = b.revision
	close(b.news)
	b.news = make(chan struct{})
}

// logged counts the log lines of a message.
func (b *bed) logged(message string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.logs {
		if strings.Contains(line, `"message":"`+message) {
			n++
		}
	}
	return n
}

func (b *bed) called(discovery string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[discovery]
}

func (b *bed) parts() (all []part) {
	for _, n := range b.nodes {
		all = append(all, n.parts()...)
	}
	return all
}
