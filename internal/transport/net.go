package transport

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const (
	dialers                   = 24                    // concurrent dials; each may block for its whole timeout
	maxQueuedDials            = 256                   // dials that may wait for one of the dialers
	directDialers             = 2                     // dialers of a Direct dialer: for a watch, and one call beside it
	maxQueuedDirectDials      = 4                     // dials that may wait for one of them
	localFailureRetryInterval = 10 * time.Millisecond // before a dial that failed for a local reason is retried
	dialReserveDivisor        = 8                     // one in this many connections is reserved for dialed ones
	// receiveBufferBytes is the size of a socket's receive buffer. It also bounds the memory that
	// netpoll allocates for one read, up to 8 MB otherwise for a peer that sends at full speed.
	receiveBufferBytes = 64 << 10
	// clientReceiveBufferBytes is the same for accepted connections. There may be hundreds of them at
	// full speed, and it bounds for how long one of them occupies the owner in each round.
	clientReceiveBufferBytes = 16 << 10
	// firstBufferBytes is the size of the buffer that netpoll gives each new connection.
	firstBufferBytes = 2 << 10
	// keptBufferBytes is the size of the buffer that netpoll keeps for each connection.
	keptBufferBytes = 8 << 10
	// maxKernelDiscard is how many bytes are discarded at once without being read, and
	// maxKernelDiscards how many times in a row.
	maxKernelDiscard  = 1 << 20
	maxKernelDiscards = 8
)

// worker runs netpoll's callbacks for all connections on one goroutine, so that none is started
// for a request. They can't run on the poller's goroutine: closing a connection within a callback
// waits for the poller, which would then wait for itself.
var worker = taskQueue{ready: make(chan struct{}, 1)}

// taskQueue runs functions one after another on the goroutine that calls run.
type taskQueue struct {
	mu    sync.Mutex
	list  []func() // at most two for each connection
	ready chan struct{}
}

func (t *taskQueue) add(_ context.Context, f func()) {
	t.mu.Lock()
	t.list = append(t.list, f)
	t.mu.Unlock()
	select {
	case t.ready <- struct{}{}:
	default:
	}
	// Bounds memory with peers that send at full speed: the poller would otherwise go on reading
	// until it is preempted, while nothing handles what it has read.
	runtime.Gosched()
}

// addWithNext queues a function to run once the next one is added.
func (t *taskQueue) addWithNext(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, f)
}

func (t *taskQueue) run() {
	for range t.ready {
		t.mu.Lock()
		list := t.list
		t.list = nil
		t.mu.Unlock()
		for _, f := range list {
			f()
		}
	}
}

// netpollLog passes netpoll's log lines to the writer set by SetLogOutput.
type netpollLog struct{}

var logOutput atomic.Pointer[io.Writer]

// SetLogOutput sets the writer of netpoll's log lines, which are dropped before. The writer may not
// block, as netpoll's poller writes to it.
func SetLogOutput(w io.Writer) { logOutput.Store(&w) }

func (netpollLog) Write(b []byte) (int, error) {
	if w := logOutput.Load(); w != nil {
		return (*w).Write(b)
	}
	return len(b), nil
}

func init() {
	if err := netpoll.Configure(netpoll.Config{BufferSize: firstBufferBytes, Runner: worker.add, LoadBalance: netpoll.RoundRobin, LoggerOutput: netpollLog{}}); err != nil {
		panic(err) // the values are constants that netpoll accepts
	}
	go worker.run()
}

// Dialer opens connections without blocking. For the meaning of the parameters see Net.Dial.
type Dialer interface {
	Dial(addr string, timeout time.Duration, h Handler, done func(*Conn, End))
}

// Net opens and accepts connections for one owner, up to a limit on all of them together.
type Net struct {
	post  Poster
	onEnd func(Stats)
	max   int64        // open connections at most
	open  atomic.Int64 // connections that are open or being dialed
	dials *dialQueue

	backlog atomic.Int64 // bytes read on all connections that wait for the owner's goroutine
	limit   int64        // above it, each connection may hold only fairShareBytes
	mu      sync.Mutex
	silent  []*Conn // accepted connections on which nothing had arrived when last checked, oldest first
	peaks   peaks
}

// dial is a request to open a connection; for its fields see Net.Dial.
type dial struct {
	addr    string
	timeout time.Duration
	h       Handler
	done    func(*Conn, End)
}

// dialQueue holds dials until one of its goroutines is free. The goroutines start with the first dial.
type dialQueue struct {
	waiting chan dial
	workers int
	once    sync.Once
}

func newDialQueue(workers, waiting int) *dialQueue {
	return &dialQueue{waiting: make(chan dial, waiting), workers: workers}
}

// add queues a dial. It reports false if the queue is full.
func (q *dialQueue) add(n *Net, d dial) bool {
	q.once.Do(func() {
		for range q.workers {
			go n.dialLoop(q.waiting)
		}
	})
	select {
	case q.waiting <- d:
		return true
	default:
		return false
	}
}

// Direct returns a Dialer with a queue of its own and without the limit on connections. It is for
// a few connections that must not wait: neither dials that hang nor clients and servers that use
// up the limit delay it. The owner has to reserve descriptors for these connections.
func (n *Net) Direct() Dialer { return direct{n, newDialQueue(directDialers, maxQueuedDirectDials)} }

type direct struct {
	net   *Net
	queue *dialQueue
}

// Dial implements Dialer.
func (d direct) Dial(addr string, timeout time.Duration, h Handler, done func(*Conn, End)) {
	d.net.open.Add(1)
	d.net.enqueue(d.queue, dial{addr, timeout, h, done})
}

// Limits bound the resources of a Net.
type Limits struct {
	Conns   int   // open connections; Direct dialers may exceed it
	Backlog int64 // bytes read that wait for the owner's goroutine; above it, each connection is held to fairShareBytes
}

// NewNet returns a Net whose callbacks are posted to p. OnEnd, which may be nil, is called on the
// owner's goroutine for each connection that ended.
func NewNet(p Poster, lim Limits, onEnd func(Stats)) *Net {
	return &Net{post: p, onEnd: onEnd, max: int64(lim.Conns), dials: newDialQueue(dialers, maxQueuedDials), limit: lim.Backlog}
}

// NearLimit reports whether the limit is so near that accepted connections will soon be closed.
func (n *Net) NearLimit() bool { return n.open.Load() > n.max-2*n.max/dialReserveDivisor }

// HalfUsed reports whether more than half of the allowed connections are open.
func (n *Net) HalfUsed() bool { return n.open.Load() > n.max/2 }

// admit reports whether one more accepted connection may stay open. At the limit it closes the
// oldest connection on which nothing has arrived, so that peers that connect and send nothing
// don't keep out clients that send requests.
func (n *Net) admit(newcomer *Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if int64(len(n.silent)) > n.max/2 {
		n.silent = slices.DeleteFunc(n.silent, func(c *Conn) bool { return c.in.Load() > 0 || c.ended() })
	}
	for n.open.Load() > n.max-n.max/dialReserveDivisor {
		i := slices.IndexFunc(n.silent, func(c *Conn) bool { return c.in.Load() == 0 && !c.ended() && c.InputDrained() })
		if i < 0 {
			return false
		}
		c := n.silent[i]
		n.silent = slices.Delete(n.silent, 0, i+1)
		c.Close(LocalIdle)
	}
	n.silent = append(n.silent, newcomer)
	return true
}

// Dial opens a connection to addr, an IP address and port, without blocking. Done is posted with
// the connection and Open, before any call to h, or with nil and the reason of the failure. A
// timeout of zero means netpoll's default.
func (n *Net) Dial(addr string, timeout time.Duration, h Handler, done func(*Conn, End)) {
	// Keeps to the limit on descriptors.
	if n.open.Add(1) > n.max {
		n.open.Add(-1)
		n.post.Post(func() { done(nil, NoDescriptor) })
		return
	}
	n.enqueue(n.dials, dial{addr, timeout, h, done})
}

// enqueue queues a dial that has been counted in open.
func (n *Net) enqueue(q *dialQueue, d dial) {
	_, err := netip.ParseAddrPort(d.addr) // rejects host names: there is no DNS
	// The queue is bounded in case all dials hang.
	if err != nil || !q.add(n, d) {
		n.open.Add(-1)
		n.post.Post(func() { d.done(nil, NotDialed) })
	}
}

func (n *Net) dialLoop(waiting <-chan dial) {
	for d := range waiting {
		nc, err := d.connect()
		if err != nil {
			n.open.Add(-1)
			e := dialEnd(err)
			n.post.Post(func() { d.done(nil, e) })
			continue
		}
		c := n.newConn(nc, true)
		c.h = d.h
		_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // bounds memory; the connection works without it
		n.post.Post(func() { d.done(c, Open) })                                           // before attach, so that it comes before any Data
		c.attach()
	}
}

// connect opens the connection. It retries after local failures until the timeout is over: they
// pass quickly, and are not evidence about the peer.
func (d dial) connect() (nc netpoll.Connection, err error) {
	for start := time.Now(); ; time.Sleep(localFailureRetryInterval) {
		remaining := d.timeout
		if d.timeout > 0 {
			remaining = max(time.Millisecond, d.timeout-time.Since(start))
		}
		nc, err = netpoll.DialConnection("tcp", d.addr, remaining)
		if err == nil || dialEnd(err) != LocalFailure && dialEnd(err) != NoDescriptor || time.Since(start)+localFailureRetryInterval >= d.timeout {
			return nc, err
		}
	}
}

// dialEnd returns the End for the error of a dial.
func dialEnd(err error) End {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
		return NoDescriptor
	case errors.Is(err, unix.EADDRNOTAVAIL), errors.Is(err, unix.ENETUNREACH), errors.Is(err, unix.ENOBUFS),
		errors.Is(err, unix.ENOMEM), errors.Is(err, unix.EAGAIN):
		return LocalFailure
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return ConnectTimeout
	}
	return Refused
}
