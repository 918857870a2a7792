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
	minWork        = 3 * time.Millisecond // of a part
	maxExtraWork   = 25 * time.Millisecond
	maxFrameBytes  = 1 << 20
	unreadMargin   = 300 * time.Millisecond // after it did not read, what it reads may have been sent before
	idleCloseAfter = 300 * time.Millisecond // after which a server in that trouble closes a connection
)

// server is a stand-in server that behaves as it is told.
type server struct {
	env      *environment
	id       string
	cell     int
	addr     string
	listener net.Listener

	mu           sync.Mutex
	rng          *rand.Rand
	ended        bool
	connections  map[net.Conn]time.Time // and when each was last used
	hangEnd      time.Time              // until when it answers nothing
	deafEnd      time.Time              // until when it does not read
	spoils       time.Time              // until when some answers are spoilt
	idleCloseEnd time.Time              // until when it closes connections that rest
	startedAt    time.Time              // its last start
	cold         bool                   // it was started while we ran
	partArrivals []time.Time            // parts since its start
}

func (env *environment) newServer(id string, cell int, cold bool) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in server: %w", err)
	}
	s := &server{env: env, id: id, cell: cell, addr: listener.Addr().String(), listener: listener, rng: rand.New(rand.NewPCG(env.o.Seed, uint64(len(id)*1000+cell))),
		connections: map[net.Conn]time.Time{}, startedAt: time.Now(), cold: cold}
	go s.acceptConnections()
	go s.closeIdleConnections()
	return s, nil
}

func (s *server) acceptConnections() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ended {
			_ = c.Close()
		} else {
			s.connections[c] = time.Now()
		}
		s.mu.Unlock()
		go s.serveConnection(c)
	}
}

// crash ends the server: it listens no more and its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.listener.Close()
	s.reserveAddress()
	s.resetConnections()
}

// hold keeps the address of a server that has crashed, so that nobody else's server is found
// there: connections to it are refused.
func (s *server) reserveAddress() {
	if s.env.hasEnded() {
		return
	}
	at := s.listener.Addr().(*net.TCPAddr)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		s.env.record("", "server %s: its address is not held: %v", s.id, err)
		return
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // for what is left of its connections
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		s.env.record("", "server %s: its address is not held: %v", s.id, err)
	}
	s.env.trackSocket(fd)
}

// reset resets all connections.
func (s *server) resetConnections() {
	s.mu.Lock()
	list := s.connections
	s.connections = map[net.Conn]time.Time{}
	s.mu.Unlock()
	for c := range list {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) closeIdleConnections() {
	for ; !s.hasEnded(); time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		for c, used := range s.connections {
			if time.Now().Before(s.idleCloseEnd) && time.Since(used) > idleCloseAfter {
				delete(s.connections, c)
				_ = c.Close()
			}
		}
		s.mu.Unlock()
	}
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended || s.env.hasEnded()
}

// set changes the server's behaviour.
func (s *server) update(change func(s *server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *server) deafUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deafEnd
}

// serve reads calls from a connection.
func (s *server) serveConnection(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.connections, c)
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
		for wait := time.Until(s.deafUntil()); wait > 0 && !s.hasEnded(); wait = time.Until(s.deafUntil()) {
			time.Sleep(min(wait, 50*time.Millisecond))
		}
		if _, err := io.ReadFull(r, length[1:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(length[:])
		if n == 0 || n > maxFrameBytes {
			s.env.recordViolation("form", "", "server %s got a frame of %d bytes", s.id, n)
			return
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		s.mu.Lock()
		if _, open := s.connections[c]; open {
			s.connections[c] = time.Now()
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
				s.env.recordViolation("form", "", "server %s got the line %q", s.id, line)
				return
			}
			size, err := strconv.Atoi(words[3])
			if err != nil || size > len(more) {
				s.env.recordViolation("form", "", "server %s got the line %q", s.id, line)
				return
			}
			s.handlePart(c, send, words, more[:size], came)
			rest = more[size:]
		}
	case '3':
		if !s.isHanging() {
			send([]byte{0, 0, 0, 2, '3', 'S'})
		}
	}
}

func (s *server) isHanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.hangEnd)
}

// part does the work of one part.
func (s *server) handlePart(c net.Conn, send func([]byte), words []string, text string, came time.Time) {
	a := &arrival{server: s, id: words[0], text: text, at: came, delayed: time.Since(s.deafUntil()) < unreadMargin}
	a.shard, _ = strconv.Atoi(words[1])
	for item := range strings.SplitSeq(words[2], ",") {
		if ms, ok := strings.CutPrefix(item, "d="); ok {
			n, _ := strconv.Atoi(ms)
			a.told = time.Duration(n) * time.Millisecond
		}
	}
	s.env.recordArrival(a)
	s.mu.Lock()
	work := minWork + time.Duration(s.rng.Float64()*float64(maxExtraWork))
	draw, spoils := s.rng.Float64(), time.Now().Before(s.spoils)
	s.mu.Unlock()
	body := partValue(words[0], words[1])
	answer := answerFrame(fmt.Sprintf("%s S 7 -\n%s", words[0], body))
	time.AfterFunc(work, func() {
		switch {
		case s.isHanging():
		case spoils && draw < 0.1: // half of an answer, then a reset
			send(answer[:len(answer)/2])
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case spoils && draw < 0.2: // half of an answer, and no more
			send(answer[:len(answer)/2])
		case spoils && draw < 0.3:
			send(answerFrame(words[0] + " E 0 -\n"))
		case spoils && draw < 0.35: // twice
			send(append(append([]byte{}, answer...), answer...))
		default:
			send(answer)
		}
	})
}

// value is what a server makes of a part: a client can tell whether it is its own.
func partValue(id, shard string) string {
	request, _, _ := strings.Cut(id, ".")
	return "v-" + request + "-" + shard
}

func answerFrame(text string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(text)))
	return append(append(b, '5'), text...)
}
