package standin

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"kiteloft/internal/standin/faults"
)

// Fault is what is wrong with one directed link between two mixers.
type Fault = faults.Fault

// Wire is a directed link: what one mixer sends to another goes through it, datagrams
// and connections alike.
type Wire struct {
	From, To string
	target   string
	to       *net.UDPAddr
	udp      *net.UDPConn
	tcp      net.Listener
	out      *net.UDPConn
	host     string

	mu      sync.Mutex
	rng     *rand.Rand
	fault   Fault
	back    *Wire // the link the other way; connections need both
	refuses bool  // the process there is dead: its machine refuses connections
	conns   map[net.Conn]bool
	carried int
	kept    [][]byte // datagrams, for a replay
}

const mostKept = 2000

// NewWire stands between two mixers. Until Lead says where the second listens, it carries
// nothing.
func NewWire(from, to string, seed uint64) (*Wire, error) {
	w := &Wire{From: from, To: to, rng: rand.New(rand.NewPCG(seed, 5)), conns: map[net.Conn]bool{}}
	var err error
	if w.tcp, w.udp, err = listenFixed(); err != nil { // Refuse closes it and opens it again
		return nil, err
	}
	w.host = w.tcp.Addr().String()
	if w.out, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	go w.datagrams()
	go w.accept(w.tcp)
	return w, nil
}

// Lead says where the second mixer listens.
func (w *Wire) Lead(target string) error {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target, w.to = target, to
	return nil
}

// Addr is where the first mixer reaches the second.
func (w *Wire) Addr() string { return w.host }

// Spoil sets what is wrong with the link from now on. Connections of a link that is cut
// stay open and silent.
func (w *Wire) Spoil(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *Wire) cut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault.Drop >= 1
}

func (w *Wire) least() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault.Least
}

func (w *Wire) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := w.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		w.mu.Lock()
		f := w.fault
		w.carried++
		if len(w.kept) < mostKept {
			w.kept = append(w.kept, append([]byte(nil), b...))
		}
		drop, twice := w.rng.Float64() < f.Drop, w.rng.Float64() < f.Double
		if w.rng.Float64() < f.Corrupt && n > 0 {
			b[w.rng.IntN(n)] ^= 1 << w.rng.IntN(8)
		}
		delay := f.Least
		if f.Delay > 0 {
			delay += time.Duration(w.rng.Int64N(int64(f.Delay)))
		}
		w.mu.Unlock()
		if drop {
			continue
		}
		send := func() {
			w.Say(b)
			if twice {
				w.Say(b)
			}
			if f.Oversized {
				w.Say(make([]byte, 20<<10))
			}
		}
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}

// Say sends a datagram of anybody's to the second mixer.
func (w *Wire) Say(b []byte) {
	w.mu.Lock()
	to := w.to
	w.mu.Unlock()
	if to != nil {
		_, _ = w.out.WriteToUDP(b, to) // nobody may be there
	}
}

// Kept are the datagrams that came first, for a replay.
func (w *Wire) Kept() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([][]byte(nil), w.kept...)
}

// Carried is how many datagrams have come.
func (w *Wire) Carried() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.carried
}

func (w *Wire) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go w.carry(c)
	}
}

// carry carries a connection. Bytes of a link that is cut stay where they are.
func (w *Wire) carry(c net.Conn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		_ = c.Close() // either side has
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	wait := func(x *Wire) {
		for x.cut() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	wait(w)
	w.mu.Lock()
	target := w.target
	w.mu.Unlock()
	up, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }() // either side has
	pump := func(to, from net.Conn, x *Wire) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				wait(x)
				time.Sleep(x.least())
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite() // the other half goes on
		}
	}
	done := make(chan struct{})
	go func() { pump(c, up, w.back); close(done) }()
	pump(up, c, w)
	<-done
}

// listenRetryTime is how long the address of a closed listener may be taken.
const listenRetryTime = 10 * time.Second

// Refuse has connections refused, as a machine does whose process has died, or not.
func (w *Wire) Refuse(on bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on == w.refuses {
		return nil
	}
	w.refuses = on
	if on {
		return w.tcp.Close()
	}
	ln, err := net.Listen("tcp", w.host)
	// A process that is being started holds the closed listener until it runs its program.
	for until := time.Now().Add(listenRetryTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		ln, err = net.Listen("tcp", w.host)
	}
	if err != nil {
		w.refuses = true
		return fmt.Errorf("stand-in: %w", err)
	}
	w.tcp = ln
	go w.accept(ln)
	return nil
}

// Close ends the link.
func (w *Wire) Close() {
	w.mu.Lock()
	list := []io.Closer{w.udp, w.out, w.tcp}
	for c := range w.conns {
		list = append(list, c)
	}
	w.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // some are closed already
	}
}
