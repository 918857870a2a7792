// Package standin stands in for what is round a mixer: discovery, stock nodes,
// clients and collectors, over loopback. Tests and tools share it; the mixer does
// not use it.
package standin

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Part is one attempt as it reached a stock node.
type Part struct {
	Node          string
	ID, Key, Text string
	Class         string // Flight nodes only
	Shard         int
	Wait          time.Duration // how long the mixer says that it will wait
	From          string        // second step: the shards that were in, joined by +
	Whole, Second bool
	At            time.Time
	Link          int    // number of the connection that it came on; frames only
	First         bool   // of its call; frames only
	Parent, State string // traceparent and tracestate; Flight nodes only
}

// Reply is what a stock node does with a part.
type Reply struct {
	// End is S, E or B as on the wire; 0: it never answers; 'c': the connection breaks
	// in the middle of the answer; 'r': Value is all that is sent, with ID for the part's id.
	End   byte
	Score int64
	Value string
	After time.Duration
	// CallEnd, if it is set, says how the call ends in place of End; Flight only.
	CallEnd *CallEnd
	// Later, if it is set, is called at once with the way to answer, and stands for all
	// the rest; frames only.
	Later func(answer func(Reply))
}

// Sound is the reply of a node that is well: a value by which its shard is known.
func Sound(p Part) Reply {
	return Reply{End: 'S', Score: int64(p.Shard), Value: fmt.Sprintf("v%d", p.Shard)}
}

// Node is a stock node.
type Node struct {
	ID string
	// Zone is where it is; "": in the first.
	Zone string
	// Probed tells whether a probe on a connection, by its number, is answered; nil: none
	// is.
	Probed func(link int) bool
	// MostLinks is how many connections may be open at once; on a further one, all is turned away. 0: any number.
	MostLinks int
	// Forgets has parts not kept, for long runs.
	Forgets bool
	// Stops is told of each part that the mixer gives up; it may be nil.
	Stops func(id string)

	mu    sync.Mutex
	do    func(Part) Reply
	got   []Part
	count int
	gone  []string
	Came  []time.Time // connections; to be read by the node's own reply, or at rest
	Went  []time.Time // and when they ended
	close []func()
	links []io.Closer
}

// NewNode returns a node that does as told with each part. Do is called by one
// goroutine at a time.
func NewNode(id string, do func(Part) Reply) *Node { return &Node{ID: id, do: do} }

func (n *Node) take(p Part) Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.Node, p.At = n.ID, time.Now()
	if n.count++; !n.Forgets {
		n.got = append(n.got, p)
	}
	return n.do(p)
}

func (n *Node) gaveUp(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.Forgets {
		n.gone = append(n.gone, id)
	}
	if n.Stops != nil {
		n.Stops(id)
	}
}

// Parts are the parts that have come.
func (n *Node) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.got)
}

// Count is the number of parts that have come.
func (n *Node) Count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count
}

// GivenUp is the number of parts that the mixer has given up.
func (n *Node) GivenUp() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.gone)
}

// Answers has the node do otherwise from now on.
func (n *Node) Answers(do func(Part) Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.do = do
}

// Connections are the numbers of connections that came, and of those that ended.
func (n *Node) Connections() (came, went int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.Came), len(n.Went)
}

func (n *Node) noted(list *[]time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	*list = append(*list, time.Now())
	return len(*list)
}

func (n *Node) onClose(fn func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.close = append(n.close, fn)
}

// CloseLinks ends the connections that the node has; it goes on listening.
func (n *Node) CloseLinks() {
	n.mu.Lock()
	list := n.links
	n.links = nil
	n.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // it may have ended
	}
}

// Close ends the node as a crash does: it listens no more and its connections break.
func (n *Node) Close() {
	n.mu.Lock()
	list := n.close
	n.close = nil
	n.mu.Unlock()
	for _, fn := range list {
		fn()
	}
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ln, nil
}

// Query is what a client asks for.
type Query struct {
	Class, Key string
	Shards     []int
	Weights    []float64 // none: equal ones
	Deadline   time.Duration
	Gone       time.Duration // the client leaves after so long
	ID         string        // none: a random one
	Repeat     bool          // the client says that it asks again
	Filter     string        // none: the same for all
	Parent     string        // traceparent
	State      string        // tracestate
}

// Body is the query in the platform's form.
func (q Query) Body() string {
	var s []string
	for i, shard := range q.Shards {
		w := 1 / float64(len(q.Shards))
		if q.Weights != nil {
			w = q.Weights[i]
		}
		s = append(s, fmt.Sprintf(`{"slice":%d,"mass":%g,"micros":9000}`, shard, w))
	}
	filter := q.Filter
	if filter == "" {
		filter = "c41e77d0"
	}
	return `{"slices":[` + strings.Join(s, ",") + `],"filter":"` + filter + `"}`
}

// Result is a final answer as its client saw it.
type Result struct {
	Kind   string // served, refused, failed, expired, malformed, cancelled
	Entire bool
	Values map[int]string
	After  time.Duration // when to come back, as the mixer said
	Took   time.Duration // by the client's clock
}
