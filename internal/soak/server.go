package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	workLeast = 3 * time.Millisecond // of a part
	workMore  = 25 * time.Millisecond
	frameMost = 1 << 20
	deafAfter = 300 * time.Millisecond // after it did not read, what it reads may have been sent before
	idleClose = 300 * time.Millisecond // after which a server in that trouble closes a connection
)

// server is a stand-in server that behaves as it is told.
type server struct {
	w    *world
	id   string
	cell int
	addr string
	ln   net.Listener

	mu      sync.Mutex
	rng     *rand.Rand
	ended   bool
	links   map[net.Conn]time.Time // and when each was last used
	hangs   time.Time              // until when it answers nothing
	deaf    time.Time              // until when it does not read
	spoils  time.Time              // until when some answers are spoilt
	idles   time.Time              // until when it closes connections that rest
	started time.Time              // its last start
	cold    bool                   // it was started while we ran
	sent    []time.Time            // parts since its start
}

func (w *world) newServer(id string, cell int, cold bool) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in server: %w", err)
	}
	s := &server{w: w, id: id, cell: cell, addr: ln.Addr().String(), ln: ln, rng: rand.New(rand.NewPCG(w.o.Seed, uint64(len(id)*1000+cell))),
		links: map[net.Conn]time.Time{}, started: time.Now(), cold: cold}
	go s.accept()
	go s.closeIdle()
	return s, nil
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ended {
			_ = c.Close()
		} else {
			s.links[c] = time.Now()
		}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// crash ends the server: it listens no more and its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.ln.Close()
	s.hold()
	s.reset()
}

// hold keeps the address of a server that has crashed, so that nobody else's server is found
// there: connections to it are refused.
func (s *server) hold() {
	if s.w.over() {
		return
	}
	at := s.ln.Addr().(*net.TCPAddr)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		s.w.note("", "server %s: its address is not held: %v", s.id, err)
		return
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // for what is left of its connections
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		s.w.note("", "server %s: its address is not held: %v", s.id, err)
	}
	s.w.held(fd)
}

// reset resets all connections.
func (s *server) reset() {
	s.mu.Lock()
	list := s.links
	s.links = map[net.Conn]time.Time{}
	s.mu.Unlock()
	for c := range list {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) closeIdle() {
	for ; !s.over(); time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		for c, used := range s.links {
			if time.Now().Before(s.idles) && time.Since(used) > idleClose {
				delete(s.links, c)
				_ = c.Close()
			}
		}
		s.mu.Unlock()
	}
}

func (s *server) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended || s.w.over()
}

// set changes the server's behaviour.
func (s *server) set(change func(s *server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *server) deafUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaf
}

// serve reads calls from a connection.
func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.links, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	var writing sync.Mutex
	send := func(b []byte) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = c.Write(b) // the mixer may have gone
	}
	r := bufio.NewReader(c)
	for {
		var length [4]byte
		if _, err := io.ReadFull(r, length[:1]); err != nil {
			return
		}
		came := time.Now()
		for wait := time.Until(s.deafUntil()); wait > 0 && !s.over(); wait = time.Until(s.deafUntil()) {
			time.Sleep(min(wait, 50*time.Millisecond))
		}
		if _, err := io.ReadFull(r, length[1:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(length[:])
		if n == 0 || n > frameMost {
			s.w.broken("form", "", "server %s got a frame of %d bytes", s.id, n)
			return
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		s.mu.Lock()
		if _, open := s.links[c]; open {
			s.links[c] = time.Now()
		}
		s.mu.Unlock()
		s.frame(c, send, frame[0], string(frame[1:]), came)
	}
}

func (s *server) frame(c net.Conn, send func([]byte), letter byte, rest string, came time.Time) {
	switch letter {
	case '1':
		for rest != "" {
			line, more, ok := strings.Cut(rest, "\n")
			words := strings.Split(line, " ")
			if !ok || len(words) != 4 {
				s.w.broken("form", "", "server %s got the line %q", s.id, line)
				return
			}
			size, err := strconv.Atoi(words[3])
			if err != nil || size > len(more) {
				s.w.broken("form", "", "server %s got the line %q", s.id, line)
				return
			}
			s.part(c, send, words, more[:size], came)
			rest = more[size:]
		}
	case '3':
		if !s.hanging() {
			send([]byte{0, 0, 0, 2, '3', 'S'})
		}
	}
}

func (s *server) hanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.hangs)
}

// part does the work of one part.
func (s *server) part(c net.Conn, send func([]byte), words []string, text string, came time.Time) {
	a := &arrival{server: s, id: words[0], text: text, at: came, late: time.Since(s.deafUntil()) < deafAfter}
	a.shard, _ = strconv.Atoi(words[1])
	for item := range strings.SplitSeq(words[2], ",") {
		if ms, ok := strings.CutPrefix(item, "d="); ok {
			n, _ := strconv.Atoi(ms)
			a.told = time.Duration(n) * time.Millisecond
		}
	}
	s.w.arrived(a)
	s.mu.Lock()
	work := workLeast + time.Duration(s.rng.Float64()*float64(workMore))
	draw, spoils := s.rng.Float64(), time.Now().Before(s.spoils)
	s.mu.Unlock()
	body := value(words[0], words[1])
	answer := frameOf(fmt.Sprintf("%s S 7 -\n%s", words[0], body))
	time.AfterFunc(work, func() {
		switch {
		case s.hanging():
		case spoils && draw < 0.1: // half of an answer, then a reset
			send(answer[:len(answer)/2])
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case spoils && draw < 0.2: // half of an answer, and no more
			send(answer[:len(answer)/2])
		case spoils && draw < 0.3:
			send(frameOf(words[0] + " E 0 -\n"))
		case spoils && draw < 0.35: // twice
			send(append(append([]byte{}, answer...), answer...))
		default:
			send(answer)
		}
	})
}

// value is what a server makes of a part: a client can tell whether it is its own.
func value(id, shard string) string {
	request, _, _ := strings.Cut(id, ".")
	return "v-" + request + "-" + shard
}

func frameOf(text string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(text)))
	return append(append(b, '5'), text...)
}
