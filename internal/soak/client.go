package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kiteloft/internal/standin"
)

// client asks one mixer, as the clients of a zone's front would.
type client struct {
	w    *world
	slot *slot
	rng  *rand.Rand
	rest chan *line // connections that rest
}

// line is a client's connection.
type line struct {
	net.Conn
	r       *bufio.Reader
	process *process
	used    bool // an answer has come on it
}

const (
	mostResting = 20
	dialTime    = 2 * time.Second
)

// run asks until the world is over, whatever becomes of the requests before.
func (c *client) run() {
	for !c.w.ending() {
		time.Sleep(time.Duration(c.rng.ExpFloat64() / c.w.o.Rate * float64(time.Second)))
		t := c.w.active()
		switch draw := c.rng.Float64(); {
		case t[ClientsStall] && draw < 0.1:
			c.w.spawn(func() { c.stall() })
		case t[ClientsFlood] && draw < 0.05:
			c.w.spawn(func() { c.flood() })
		case t[ClientsCrowd] && draw < 0.3:
			c.w.spawn(func() { c.crowd() })
		}
		n := 1
		if t[ClientsPipeline] && c.rng.IntN(3) == 0 {
			n = 2 + c.rng.IntN(6)
		}
		list := make([]*request, n)
		for i := range list {
			list[i] = c.draw(t)
		}
		leave := time.Duration(0)
		if t[ClientsLeave] && c.rng.Float64() < 0.6 {
			leave = time.Millisecond + time.Duration(c.rng.Float64()*float64(150*time.Millisecond))
		}
		pieces := c.rng.IntN(8) == 0
		c.w.spawn(func() { c.ask(list, leave, pieces) })
	}
}

// draw draws a request.
func (c *client) draw(t [kinds]bool) *request {
	r := &request{id: c.w.nextID(), class: classes[c.rng.IntN(len(classes))], deadline: 300*time.Millisecond + time.Duration(c.rng.IntN(2700))*time.Millisecond}
	if t[ShortDeadlines] && c.rng.IntN(2) == 0 {
		r.deadline = time.Duration(1+c.rng.IntN(60)) * time.Millisecond
	}
	first := c.rng.IntN(cells)
	for i := range 1 + c.rng.IntN(4) {
		r.shards = append(r.shards, (first+i)%cells)
	}
	return r
}

func (r *request) text() string {
	body := standin.Query{Shards: r.shards}.Body()
	key := ""
	if r.class.effect == keyed {
		key = "Idempotency-Key: k" + r.id + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.class.name, r.id, r.deadline.Milliseconds(), key, len(body), body)
}

// connect returns a connection that rests, or a new one; nil where the mixer takes none.
func (c *client) connect() *line {
	select {
	case l := <-c.rest:
		return l
	default:
		return c.dial()
	}
}

// dial returns a new connection; nil where the mixer takes none.
func (c *client) dial() *line {
	p := c.slot.takes()
	if p == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", p.Listen(), dialTime)
	if err != nil {
		if !p.mayRefuse() {
			c.w.broken("refuses", "", "%s takes no connection: %v", p.name, err)
		}
		return nil
	}
	return &line{Conn: conn, r: bufio.NewReader(conn), process: p}
}

// ask sends requests at once and waits for their answers.
func (c *client) ask(list []*request, leave time.Duration, pieces bool) {
	l := c.connect()
	if l == nil {
		return
	}
	c.send(l, list, pieces)
	if leave > 0 {
		c.leave(l, list, leave)
		return
	}
	rest := c.answers(l, list)
	if len(rest) == 0 {
		return
	}
	// A close may have crossed the requests on a connection that had rested: they are sent once
	// more. So are those that were sent behind the answer with which the mixer closed.
	if l.used && !l.process.shotDown() {
		c.w.note(rest[0].id, "closed without an answer on a connection that had been used: sent once more")
		if l = c.dial(); l == nil {
			return // the front would send it to another mixer
		}
		c.send(l, rest, false)
		rest = c.answers(l, rest)
	}
	for _, r := range rest {
		c.lost(l, r)
	}
}

// lost notes a request without an answer.
func (c *client) lost(l *line, r *request) {
	if l == nil || l.process.excuses(r) {
		c.w.ended("went down with its mixer")
		return
	}
	c.w.broken("lost", r.id, "no answer from %s within %v, sent %v ago", l.process.name, r.deadline, time.Since(r.sent))
}

func (c *client) send(l *line, list []*request, pieces bool) {
	var text strings.Builder
	for _, r := range list {
		text.WriteString(r.text())
		r.process = l.process
		// Until it is whole, what it is told of counts from now.
		r.sent = time.Now()
		c.w.register(r)
		c.w.note(r.id, "%s to %s, deadline %v", r.class.name, l.process.name, r.deadline)
	}
	b := text.String()
	for pieces && len(b) > 0 {
		n := min(len(b), 1+c.w.draw(60))
		if n == len(b) {
			break
		}
		_, _ = io.WriteString(l, b[:n])
		b = b[n:]
		time.Sleep(time.Duration(c.w.draw(4)) * time.Millisecond)
	}
	for _, r := range list {
		r.mu.Lock()
		r.sent = time.Now()
		r.mu.Unlock()
	}
	_, _ = io.WriteString(l, b) // an error shows when the answer is read
}

// leave closes the connection with requests open.
func (c *client) leave(l *line, list []*request, after time.Duration) {
	time.Sleep(after)
	if tcp, ok := l.Conn.(*net.TCPConn); ok && c.w.draw(2) == 0 {
		_ = tcp.SetLinger(0)
	}
	_ = l.Close()
	for _, r := range list {
		r.mu.Lock()
		r.left = time.Now()
		r.mu.Unlock()
		c.w.note(r.id, "its client leaves")
		c.w.ended("left")
	}
}

// answers reads the answers to the requests and returns those that got none.
func (c *client) answers(l *line, list []*request) (rest []*request) {
	for i, r := range list {
		longest := r.deadline
		for _, o := range list {
			longest = max(longest, o.deadline)
		}
		_ = l.SetReadDeadline(time.Now().Add(longest + 3*time.Second))
		resp, err := http.ReadResponse(l.r, nil)
		if err != nil {
			c.w.note(r.id, "reading the answer: %v", err)
			_ = l.Close()
			return list[i:]
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			c.w.broken("lost", r.id, "the answer is not whole: %v", err)
			_ = l.Close()
			return nil
		}
		c.w.answered(r, resp.StatusCode, string(body))
		l.used = true
		if resp.Close {
			_ = l.Close()
			return list[i+1:]
		}
	}
	select {
	case c.rest <- l:
	default:
		_ = l.Close()
	}
	return nil
}

// checkAnswer checks what a client was served.
func (w *world) checkAnswer(r *request, body string) {
	var answer struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		w.broken("honest", r.id, "an answer that can't be read: %v", err)
		return
	}
	if answer.Entire && len(answer.Items) != len(r.shards) {
		w.broken("honest", r.id, "%d of %d parts, marked whole", len(answer.Items), len(r.shards))
	}
	for _, item := range answer.Items {
		if item.Body != value(r.id, strconv.Itoa(item.Slice)) {
			w.broken("honest", r.id, "part %d has the value %q", item.Slice, item.Body)
		}
	}
}

// stall stops in the middle of a request and stays: it is owed an error or a close.
func (c *client) stall() {
	l := c.connect()
	if l == nil {
		return
	}
	defer func() { _ = l.Close() }()
	text := c.draw([kinds]bool{}).text()
	_, _ = io.WriteString(l, text[:len(text)/2])
	begun := time.Now()
	_ = l.SetReadDeadline(begun.Add(badClientTime + 5*tolerance))
	_, err := l.r.ReadByte()
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() && !l.process.mayRefuse() {
		c.w.broken("bad-client", "", "%s left a client that stopped in the middle for %v", l.process.name, time.Since(begun))
	}
}

// flood sends without end, and then goes without a word.
func (c *client) flood() {
	l := c.connect()
	if l == nil {
		return
	}
	defer func() { _ = l.Close() }()
	_ = l.SetDeadline(time.Now().Add(2 * time.Second))
	junk := strings.Repeat("POST /lookup HTTP/1.1\r\nContent-Length: 5\r\n\r\n{\"a\":", 200)
	for range 40 {
		if _, err := io.WriteString(l, junk); err != nil {
			return
		}
	}
}

// crowd connects and says nothing.
func (c *client) crowd() {
	p := c.slot.takes()
	if p == nil {
		return
	}
	conn, err := net.DialTimeout("tcp", p.Listen(), dialTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Read(make([]byte, 1)) // until the mixer closes
}
