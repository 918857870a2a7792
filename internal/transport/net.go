package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const (
	dialers                   = 24  // dials under way at once; each may hang for the time to connect
	maxQueuedDials            = 256 // dials that wait for one of them
	directDialers             = 2   // the same for a Direct dialer: a watch, and one call beside it
	maxQueuedDirectDials      = 4
	localFailureRetryInterval = 10 * time.Millisecond // before a connect that failed for want of our own is tried again
	dialReserveDivisor        = 8                     // one in so many connections is kept for those that we open
	// receiveBufferBytes bounds the kernel's buffer of what a peer has sent, and with it what
	// netpoll makes room for at a time: up to 8 MB for a peer at full speed otherwise.
	receiveBufferBytes = 64 << 10
)

// worker runs netpoll's callbacks, for all connections, on one goroutine: none
// is started for a request. They can't run on the poller's own: a connection
// closed within a callback would wait there for the poller, that is for itself.
var worker = taskQueue{ready: make(chan struct{}, 1)}

type taskQueue struct {
	mu    sync.Mutex
	list  []func() // at most one for each connection
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
	// Guards memory against peers at full speed: the poller would go on reading, for as
	// long as it isn't preempted, what nobody has looked at.
	runtime.Gosched()
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

// netpollLog hands netpoll's own lines to where LogTo says; its poller may not block
// on them.
type netpollLog struct{}

var logOutput atomic.Pointer[io.Writer]

// SetLogOutput says where netpoll's own log lines go. Until then they are dropped.
func SetLogOutput(w io.Writer) { logOutput.Store(&w) }

func (netpollLog) Write(b []byte) (int, error) {
	if w := logOutput.Load(); w != nil {
		return (*w).Write(b)
	}
	return len(b), nil
}

func init() {
	if err := netpoll.Configure(netpoll.Config{Runner: worker.add, LoadBalance: netpoll.RoundRobin, LoggerOutput: netpollLog{}}); err != nil {
		panic(err) // the values are constants that netpoll accepts
	}
	go worker.run()
}

// Dialer opens connections without blocking.
type Dialer interface {
	Dial(addr string, timeout time.Duration, h Handler, done func(*Conn, End))
}

// Net opens and accepts connections for one owner.
type Net struct {
	post  Poster
	onEnd func(Stats)
	max   int64
	open  atomic.Int64
	dials *dialQueue

	backlog atomic.Int64 // bytes read that wait for the owner's goroutine
	limit   int64        // of them, before one connection may have only its fair share
	mu      sync.Mutex
	silent  []*Conn // accepted ones that had said nothing when last looked at, oldest first
}

type dial struct {
	addr    string
	timeout time.Duration
	h       Handler
	done    func(*Conn, End)
}

// dialQueue holds dials until one of its goroutines is free; they start with the first dial.
type dialQueue struct {
	waiting chan dial
	workers int
	once    sync.Once
}

func newDialQueue(workers, waiting int) *dialQueue {
	return &dialQueue{waiting: make(chan dial, waiting), workers: workers}
}

// add hands over a dial, or reports that there is no room.
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

// Direct is a Dialer with a queue of its own and without the limit on connections, for a
// few connections that must not wait: dials that hang, and clients and servers that hold
// all descriptors, do not keep it from its peer. The few that it can hold are the owner's
// to reserve.
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

// Limits bound what a Net holds.
type Limits struct {
	Conns   int   // connections
	Backlog int64 // bytes read that wait for the owner's goroutine
}

// NewNet returns a Net whose callbacks are posted to p. OnEnd, which may be nil, is
// told of each connection that ended.
func NewNet(p Poster, lim Limits, onEnd func(Stats)) *Net {
	return &Net{post: p, onEnd: onEnd, max: int64(lim.Conns), dials: newDialQueue(dialers, maxQueuedDials), limit: lim.Backlog}
}

// Crowded reports whether accepted connections will soon be turned away.
func (n *Net) Crowded() bool { return n.open.Load() > n.max-2*n.max/dialReserveDivisor }

// Busy reports whether half of the connections that may be open are.
func (n *Net) Busy() bool { return n.open.Load() > n.max/2 }

// admit makes admit for one more accepted connection, where there is none, by
// closing the one that has been silent for longest. It guards the clients that
// ask against a crowd that connects and says nothing.
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

// Dial opens a connection without blocking; done is posted with it, or with the
// way in which it failed. A timeout of zero means netpoll's own.
func (n *Net) Dial(addr string, timeout time.Duration, h Handler, done func(*Conn, End)) {
	// Guards the limit on descriptors.
	if n.open.Add(1) > n.max {
		n.open.Add(-1)
		n.post.Post(func() { done(nil, NoDescriptor) })
		return
	}
	n.enqueue(n.dials, dial{addr, timeout, h, done})
}

// enqueue queues a dial that has been counted as open.
func (n *Net) enqueue(q *dialQueue, d dial) {
	_, err := netip.ParseAddrPort(d.addr) // guards against names: there is no DNS
	// The queue guards against dials that all hang.
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
		_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // a bound on memory, no need
		n.post.Post(func() { d.done(c, Open) })                                           // before any Data of it
		c.attach()
	}
}

// connect opens the connection. What fails for want of our own is tried again until the time to
// connect is over: such a lack passes in a moment, and says nothing of the peer.
func (d dial) connect() (nc netpoll.Connection, err error) {
	for begun := time.Now(); ; time.Sleep(localFailureRetryInterval) {
		left := d.timeout
		if d.timeout > 0 {
			left = max(time.Millisecond, d.timeout-time.Since(begun))
		}
		nc, err = netpoll.DialConnection("tcp", d.addr, left)
		if err == nil || dialEnd(err) != LocalFailure && dialEnd(err) != NoDescriptor || time.Since(begun)+localFailureRetryInterval >= d.timeout {
			return nc, err
		}
	}
}

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

// Listener accepts connections.
type Listener struct {
	ln netpoll.Listener
}

// Listen accepts connections at the address. Accept is called on the poller's
// goroutine and returns the connection's handler.
func (n *Net) Listen(addr string, accept func(*Conn) Handler) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { // what is accepted inherits it
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		}); e != nil {
			return e
		}
		return err
	}}
	tcp, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	ln, err := netpoll.ConvertListener(tcp)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	prepare := func(nc netpoll.Connection) context.Context {
		n.open.Add(1)
		c := n.newConn(nc, false)
		if !n.admit(c) {
			n.open.Add(-1)
			_ = nc.Close() // guards the limit on descriptors; the client tries elsewhere
			return context.Background()
		}
		c.h = accept(c)
		_ = nc.AddCloseCallback(func(netpoll.Connection) error { c.pollerClosed(); return nil }) // never fails
		return context.WithValue(context.Background(), connKey{}, c)
	}
	loop, err := netpoll.NewEventLoop(func(ctx context.Context, nc netpoll.Connection) error {
		if c, ok := ctx.Value(connKey{}).(*Conn); ok {
			c.readable()
		}
		return nil
	}, netpoll.WithOnPrepare(prepare))
	if err != nil {
		return nil, fmt.Errorf("serving %s: %w", addr, err)
	}
	go func() { _ = loop.Serve(ln) }() // ends when the listener is closed
	return &Listener{ln: ln}, nil
}

type connKey struct{}

// Addr is the address listened at.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Close stops accepting; connections live on. It shuts the socket down and
// leaves the descriptor to the end of the program: netpoll's own Close closes
// the number twice and might hit a connection that has got it since.
func (l *Listener) Close() error {
	if err := unix.Shutdown(l.ln.Fd(), unix.SHUT_RDWR); err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}
