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

// client sends requests to the mixer in one slot, as the clients of a zone's front do.
type client struct {
	env  *environment
	slot *slot
	rng  *rand.Rand
	rest chan *connection // idle connections, for reuse
}

// connection is a client's connection to a process.
type connection struct {
	net.Conn
	r       *bufio.Reader
	process *process
	used    bool // an answer was read from it
}

const (
	maxIdleConnections = 20
	dialTimeout        = 2 * time.Second
)

// run sends requests at random intervals with a mean of 1/Rate until clients have to stop. It doesn't wait for
// earlier requests to be answered.
func (c *client) run() {
	for !c.env.clientsStopping() {
		time.Sleep(time.Duration(c.rng.ExpFloat64() / c.env.o.Rate * float64(time.Second)))
		t := c.env.activeKinds()
		switch draw := c.rng.Float64(); {
		case t[ClientsStall] && draw < 0.1:
			c.env.spawn(func() { c.stallMidRequest() })
		case t[ClientsFlood] && draw < 0.05:
			c.env.spawn(func() { c.flood() })
		case t[ClientsCrowd] && draw < 0.3:
			c.env.spawn(func() { c.connectSilently() })
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
		c.env.spawn(func() { c.sendAndAwait(list, leave, pieces) })
	}
}

// draw returns a random request; active kinds of trouble may shorten its deadline.
func (c *client) draw(t [kindCount]bool) *request {
	r := &request{id: c.env.nextRequestID(), class: classes[c.rng.IntN(len(classes))], deadline: c.drawDeadline()}
	if t[ShortDeadlines] && c.rng.IntN(2) == 0 {
		r.deadline = time.Duration(1+c.rng.IntN(60)) * time.Millisecond
	}
	first := c.rng.IntN(cells)
	for i := range 1 + c.rng.IntN(4) {
		r.shards = append(r.shards, (first+i)%cells)
	}
	return r
}

// drawDeadline returns a random deadline between a tenth of the longest one and that.
func (c *client) drawDeadline() time.Duration {
	longest := c.env.longestDeadline
	return (longest/10 + time.Duration(c.rng.Int64N(int64(longest*9/10)))).Truncate(time.Millisecond)
}

// text returns the request in HTTP/1.1.
func (r *request) text() string {
	body := standin.Query{Shards: r.shards}.Body()
	key := ""
	if r.class.repeatPolicy == keyed {
		key = "Idempotency-Key: k" + r.id + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.class.name, r.id, r.deadline.Milliseconds(), key, len(body), body)
}

// connect returns an idle connection or a new one, or nil if the mixer accepts none.
func (c *client) connect() *connection {
	select {
	case conn := <-c.rest:
		return conn
	default:
		return c.dial()
	}
}

// dial returns a new connection, or nil if the mixer accepts none. It records a violation if the mixer may not
// refuse.
func (c *client) dial() *connection {
	p := c.slot.acceptingProcess()
	if p == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", p.Listen(), dialTimeout)
	if err != nil {
		if !p.mayRefuseConnections() {
			c.env.recordViolation("refuses", "", "%s takes no connection: %v", p.name, err)
		}
		return nil
	}
	return &connection{Conn: conn, r: bufio.NewReader(conn), process: p}
}

// sendAndAwait pipelines requests on one connection and waits for their answers, or closes the connection after
// leave if that is positive.
func (c *client) sendAndAwait(list []*request, leave time.Duration, pieces bool) {
	conn := c.connect()
	if conn == nil {
		return
	}
	c.sendRequests(conn, list, pieces)
	if leave > 0 {
		c.leave(conn, list, leave)
		return
	}
	rest := c.readAnswers(conn, list)
	if len(rest) == 0 {
		return
	}
	// The mixer may have closed an idle connection while the requests were under way to it. They are sent once
	// more, as are pipelined requests behind the answer with which the mixer closed the connection.
	if conn.used && !conn.process.wasKilled() {
		c.env.record(rest[0].id, "closed without an answer on a connection that had been used: sent once more")
		if conn = c.dial(); conn == nil {
			return // the front would send the requests to another mixer
		}
		c.sendRequests(conn, rest, false)
		rest = c.readAnswers(conn, rest)
	}
	for _, r := range rest {
		c.reportLost(conn, r)
	}
}

// reportLost counts a request without an answer, as a violation unless the mixer may lose it.
func (c *client) reportLost(conn *connection, r *request) {
	if conn == nil || conn.process.mayLose(r) {
		c.env.countOutcome("went down with its mixer")
		return
	}
	c.env.recordViolation("lost", r.id, "no answer from %s within %v, sent %v ago", conn.process.name, r.deadline, time.Since(r.sentAt))
}

// sendRequests registers the requests and writes them, in small pieces with pauses if pieces is set.
func (c *client) sendRequests(conn *connection, list []*request, pieces bool) {
	var text strings.Builder
	for _, r := range list {
		text.WriteString(r.text())
		r.process = conn.process
		// A first value, for attempts that start before the whole request is written.
		r.sentAt = time.Now()
		c.env.registerRequest(r)
		c.env.record(r.id, "%s to %s, deadline %v", r.class.name, conn.process.name, r.deadline)
	}
	b := text.String()
	for pieces && len(b) > 0 {
		n := min(len(b), 1+c.env.randomBelow(60))
		if n == len(b) {
			break
		}
		_, _ = io.WriteString(conn, b[:n])
		b = b[n:]
		time.Sleep(time.Duration(c.env.randomBelow(4)) * time.Millisecond)
	}
	for _, r := range list {
		r.mu.Lock()
		r.sentAt = time.Now()
		r.mu.Unlock()
	}
	_, _ = io.WriteString(conn, b) // reading the answer reports the error
}

// leave closes or resets the connection, with requests still open, after a delay.
func (c *client) leave(conn *connection, list []*request, after time.Duration) {
	time.Sleep(after)
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && c.env.randomBelow(2) == 0 {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	for _, r := range list {
		r.mu.Lock()
		r.left = time.Now()
		r.mu.Unlock()
		c.env.record(r.id, "its client leaves")
		c.env.countOutcome("left")
	}
}

// readAnswers reads the answers to the requests in order, and returns the requests that got none and may be sent
// again. It keeps a connection that stays open for reuse.
func (c *client) readAnswers(conn *connection, list []*request) (rest []*request) {
	for i, r := range list {
		longest := r.deadline
		for _, o := range list {
			longest = max(longest, o.deadline)
		}
		_ = conn.SetReadDeadline(time.Now().Add(longest + 3*time.Second))
		resp, err := http.ReadResponse(conn.r, nil)
		if err != nil {
			c.env.record(r.id, "reading the answer: %v", err)
			_ = conn.Close()
			return list[i:]
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			c.env.recordViolation("lost", r.id, "the answer is not whole: %v", err)
			_ = conn.Close()
			return nil
		}
		c.env.recordAnswer(r, resp.StatusCode, string(body))
		conn.used = true
		if resp.Close {
			_ = conn.Close()
			return list[i+1:]
		}
	}
	select {
	case c.rest <- conn:
	default:
		_ = conn.Close()
	}
	return nil
}

// checkAnswerBody checks that an answer is complete if it says so, and that each part has the value of this request.
func (env *environment) checkAnswerBody(r *request, body string) {
	var answer struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		env.recordViolation("honest", r.id, "an answer that can't be read: %v", err)
		return
	}
	if answer.Entire && len(answer.Items) != len(r.shards) {
		env.recordViolation("honest", r.id, "%d of %d parts, marked whole", len(answer.Items), len(r.shards))
	}
	for _, item := range answer.Items {
		if item.Body != partValue(r.id, strconv.Itoa(item.Slice)) {
			env.recordViolation("honest", r.id, "part %d has the value %q", item.Slice, item.Body)
		}
	}
}

// stallMidRequest sends half of a request and stays connected. The mixer has to send an error or close the
// connection within badClientLimit.
func (c *client) stallMidRequest() {
	conn := c.connect()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := c.draw([kindCount]bool{}).text()
	_, _ = io.WriteString(conn, text[:len(text)/2])
	begun := time.Now()
	_ = conn.SetReadDeadline(begun.Add(badClientLimit + 5*tolerance))
	_, err := conn.r.ReadByte()
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() && !conn.process.mayRefuseConnections() {
		c.env.recordViolation("bad-client", "", "%s left a client that stopped in the middle for %v", conn.process.name, time.Since(begun))
	}
}

// flood writes malformed requests without reading answers, up to a limit or an error, and closes the connection.
func (c *client) flood() {
	conn := c.connect()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	junk := strings.Repeat("POST /lookup HTTP/1.1\r\nContent-Length: 5\r\n\r\n{\"a\":", 200)
	for range 40 {
		if _, err := io.WriteString(conn, junk); err != nil {
			return
		}
	}
}

// sendAtFullSpeed writes a text again and again until end, and drops the answers.
func (s *slot) sendAtFullSpeed(text string, end time.Time) {
	for time.Now().Before(end) {
		p := s.acceptingProcess()
		if p == nil {
			return
		}
		conn, err := net.DialTimeout("tcp", p.Listen(), dialTimeout)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for err == nil {
			_, err = io.WriteString(conn, text)
		}
		_ = conn.Close()
	}
}

// connectSilently connects and sends nothing, until the mixer closes the connection or 5 s have passed.
func (c *client) connectSilently() {
	p := c.slot.acceptingProcess()
	if p == nil {
		return
	}
	conn, err := net.DialTimeout("tcp", p.Listen(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Read(make([]byte, 1)) // until the mixer closes
}
