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
	minWork        = 3 * time.Millisecond   // least processing time of a part
	maxExtraWork   = 25 * time.Millisecond  // random addition to it
	maxFrameBytes  = 1 << 20                // larger frames break the protocol
	unreadMargin   = 300 * time.Millisecond // after a server resumes reading, parts that it reads may have been sent earlier
	idleCloseAfter = 300 * time.Millisecond // idle time after which a server closes a connection, under CloseIdle
)

// server is a stand-in server whose behaviour the injector sets.
type server struct {
	env      *environment
	id       string
	cell     int
	addr     string
	listener net.Listener

	mu           sync.Mutex
	rng          *rand.Rand
	ended        bool
	connections  map[net.Conn]time.Time // open connections, with the time of their last use
	hangEnd      time.Time              // until then it answers nothing
	deafEnd      time.Time              // until then it doesn't read
	spoils       time.Time              // until then some answers are corrupt
	idleCloseEnd time.Time              // until then it closes idle connections
	startedAt    time.Time              // its start
	cold         bool                   // it was started during the run, so slow start applies
	partArrivals []time.Time            // times of the parts within coldDuration of its start
}

// newServer starts a server of a cell on a free local port.
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

// acceptConnections serves each new connection until the listener is closed.
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

// crash ends the server: it stops listening, and its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.listener.Close()
	s.reserveAddress()
	s.resetConnections()
}

// reserveAddress binds the address of a crashed server without listening, so that connections to it are refused and
// no other server can get the port.
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
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // connections of the crashed server may still hold the port
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		s.env.record("", "server %s: its address is not held: %v", s.id, err)
	}
	s.env.trackSocket(fd)
}

// resetConnections resets all open connections.
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

// closeIdleConnections closes idle connections while idleCloseEnd is in the future. It returns when the server has
// ended.
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

// hasEnded reports whether the server or the run has ended.
func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended || s.env.hasEnded()
}

// update calls change with s.mu held.
func (s *server) update(change func(s *server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// deafUntil returns the time until which the server doesn't read.
func (s *server) deafUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deafEnd
}

// serveConnection reads frames from a connection until it is closed or breaks the protocol.
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
		_, _ = c.Write(b) // the mixer may have closed the connection
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

// frame handles one frame: '1' carries parts, '3' is a probe, which a hanging server doesn't answer.
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

// isHanging reports whether the server answers nothing now.
func (s *server) isHanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.hangEnd)
}

// handlePart records the arrival of a part and answers it after a random processing time. While spoils is in the
// future, some answers are corrupt.
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
		case spoils && draw < 0.1: // half of the answer, then a reset
			send(answer[:len(answer)/2])
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case spoils && draw < 0.2: // half of the answer, and nothing more
			send(answer[:len(answer)/2])
		case spoils && draw < 0.3:
			send(answerFrame(words[0] + " E 0 -\n"))
		case spoils && draw < 0.35: // the answer twice
			send(append(append([]byte{}, answer...), answer...))
		default:
			send(answer)
		}
	})
}

// partValue returns a server's result for a part. It names the request and the slice, so that a client can check
// that the result is its own.
func partValue(id, shard string) string {
	request, _, _ := strings.Cut(id, ".")
	return "v-" + request + "-" + shard
}

// answerFrame encodes a frame of letter '5', an answer.
func answerFrame(text string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(text)))
	return append(append(b, '5'), text...)
}
