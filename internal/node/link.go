package node

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/counts"
	"kiteloft/internal/transport"
)

// Link is a connection to a node, or one that is being opened.
type Link struct {
	pool              *Pool
	peer              *peer
	addr              string
	conn              *transport.Conn          // nil while it is being opened
	session           Session                  // nil while conn is nil
	ended             bool                     // it is closed, or about to be: it takes no more parts
	queuedCalls       [][]*Ticket              // calls that wait for the connection
	outstanding       map[string]*Ticket       // parts that wait for their answer, by id on the wire
	cancelled         map[string]time.Duration // ids of cancelled parts, and when: their answer may still come
	answered          map[string]time.Duration // ids of answered parts, and when
	unreadCancels     unreadCancels            // cancelled parts whose cancellation the node may not have read
	retired           bool                     // the node sent an answer twice: no more parts are sent here
	stallCheckPending bool                     // a check of an incomplete message is scheduled
	lastReceived      time.Duration            // when bytes last came
	messageStart      time.Duration            // when the first byte of the current message came
	answerDueSince    time.Duration            // since when the node has owed an answer without sending a byte; 0: it owes none
	probes            []*probe                 // in the order in which their answers come
	lastUsed          time.Duration            // when bytes were last sent or received
}

// Ticket is an attempt that was assigned to a link.
type Ticket struct {
	*broker.Attempt
	ID           string // on the wire
	User         any    // state of the Session
	link         *Link
	sent         bool          // it was handed to the session
	seq          int64         // its number in Link.unreadCancels
	sentTimeLeft time.Duration // time left that the node was sent; 0: none
}

// isIdle reports whether no part and no probe waits for an answer on the connection.
func (l *Link) isIdle() bool {
	return len(l.outstanding) == 0 && !l.hasOpenProbe()
}

// isSilent reports whether the node has owed an answer without sending a byte for so long
// that the connection may be dead, though TCP reports no error. Such a connection is passed
// over until a byte comes, as the node's other connections may be alive.
func (l *Link) isSilent() bool {
	return l.answerDueSince > 0 && l.pool.core.Now()-l.answerDueSince > silenceTimeout
}

// expectAnswer records that the node owes an answer.
func (l *Link) expectAnswer() {
	if l.answerDueSince == 0 {
		l.answerDueSince = l.pool.core.Now()
	}
}

// farFromIdleLimit reports whether the connection is not close to the end of its idle time.
func (l *Link) farFromIdleLimit() bool {
	idle := l.pool.limits.ConnIdle
	return idle <= 0 || l.pool.core.Now()-l.lastUsed < idle-time.Duration(idleCloseMargin*float64(idle))-sweepInterval
}

// writeBlocked reports whether bytes that were written have not been sent, as the node does not
// read. What is written behind them may reach the node too late: after the drain grace or the
// repeat window, or after its query was answered.
func (l *Link) writeBlocked() bool { return l.conn != nil && !l.conn.Flushed() }

// hasRoomFor reports whether the connection has room for a call. It does not take a part whose
// id is out there, or was cancelled a moment ago: answers to the two could not be told apart.
func (l *Link) hasRoomFor(call []*broker.Attempt) bool {
	room := math.MaxInt
	if l.pool.limits.StreamsPerConn > 0 {
		// A cancelled part holds its place until the node has read the cancellation. A node
		// leaves parts beyond its limit unread, and would read them once it goes on: after
		// their query's final answer.
		room = l.pool.limits.StreamsPerConn - len(l.outstanding) - l.unreadCancels.len()
	}
	if l.session != nil {
		room = min(room, l.session.Room())
	}
	if l.ended || l.retired || len(call) > room || l.conn != nil && l.conn.Broken() || l.writeBlocked() {
		return false
	}
	for _, a := range call {
		id := WireID(a)
		if _, given := l.cancelled[id]; given || l.outstanding[id] != nil {
			return false
		}
	}
	return true
}

// scheme splits the address into its scheme, "" if it has none, and the rest.
func (l *Link) scheme() (scheme, hostPort string) {
	if s, rest, ok := strings.Cut(l.addr, "://"); ok {
		return s, rest
	}
	return "", l.addr
}

// onDialed takes the connection that was opened, or nil and the reason. It sends the calls and
// probes that have waited for it.
func (l *Link) onDialed(c *transport.Conn, e transport.End) {
	scheme, _ := l.scheme()
	protocol := l.pool.protocols[scheme]
	if c == nil || protocol == nil {
		if c != nil { // no protocol for the scheme of the node's address
			l.pool.log.Warn().Str("node", l.peer.id).Str("address", l.addr).Msg("no protocol for the scheme of the node's address")
			l.conn = c
			c.Close(transport.BadInput)
			return
		}
		l.Ended(e)
		return
	}
	l.conn, l.lastUsed = c, l.pool.core.Now()
	l.session = protocol(l)
	for _, batch := range l.queuedCalls {
		l.sendCall(batch)
	}
	l.queuedCalls = nil
	for _, p := range l.probes {
		l.sendProbe(p)
	}
}

// sendCall writes the attempts of a call that may still be written now. The others end as NotSent.
func (l *Link) sendCall(batch []*Ticket) {
	batch = slices.DeleteFunc(batch, func(t *Ticket) bool {
		drop := !l.pool.core.MaySend(t.Attempt)
		if drop && !t.HasEnded() {
			// NotSent, as the node is not at fault. Not at once, as the core must not be called
			// back within a step.
			l.pool.core.After(0, func() { l.Finish(t, decide.NotSent, 0, nil) })
		}
		return drop
	})
	if len(batch) == 0 {
		return
	}
	for _, t := range batch {
		t.sent, t.seq = true, l.unreadCancels.nextSeq()
	}
	l.lastUsed = l.pool.core.Now()
	l.expectAnswer()
	l.session.Send(batch)
	for _, t := range batch {
		l.pool.core.CheckWritten(t.Attempt, t.sentTimeLeft)
		if t.Traced() {
			t.Connected(l.lastUsed)
			if at, all := l.session.Sent(t); all && l.conn.Written(at) {
				t.Written(l.lastUsed)
			}
		}
	}
}

// Now returns the core's clock.
func (l *Link) Now() time.Duration { return l.pool.core.Now() }

// Write sends bytes. It returns the offset of the last one in the connection's output.
func (l *Link) Write(b []byte) int64 { return l.conn.Write(b) }

// TimeLeft returns how long a ticket will still be waited for, and records it as sent to the node.
func (l *Link) TimeLeft(t *Ticket) time.Duration {
	t.sentTimeLeft = t.Attempt.TimeLeft(l.pool.core.ReadClock())
	return t.sentTimeLeft
}

// Ticket returns the ticket that waits for an answer, by its id on the wire. It returns nil
// if the answer is to be dropped: the ticket was cancelled, or this is a second copy of its
// answer. The first copy was good, but no more parts are sent on a connection that has
// brought two. Any other id is an error: some attempt will never get its own answer.
func (l *Link) Ticket(id string) (*Ticket, error) {
	if t := l.outstanding[id]; t != nil {
		t.Heard(l.messageStart)
		return t, nil
	}
	if _, ok := l.cancelled[id]; ok {
		delete(l.cancelled, id)
		l.answered[id] = l.pool.core.Now()
		l.unreadCancels.recordAnswer(id)
		return nil, nil
	}
	if l.HasAnswered(id) {
		l.retired = true
		return nil, nil
	}
	return nil, fmt.Errorf("answer for part %.80q, which is not outstanding", id)
}

// HasAnswered reports whether an answer for the id has come before, to an earlier attempt that was
// sent on this connection.
func (l *Link) HasAnswered(id string) bool {
	_, ok := l.answered[id]
	return ok
}

// Finish ends a ticket with the node's answer. It does nothing if the ticket has ended. A value that
// the query's client can't be given unchanged counts as a failure of the node, which may have run
// the part.
func (l *Link) Finish(t *Ticket, o decide.Outcome, score int64, value []byte) {
	if l.outstanding[t.ID] == t {
		if o == decide.OK && t.TextValues && !utf8.Valid(value) {
			l.LogCallError(t, CallError{Reason: "value is not valid UTF-8"})
			o, score, value = decide.Failed, 0, nil
		}
		delete(l.outstanding, t.ID)
		if t.sent {
			l.answered[t.ID] = l.pool.core.Now()
		}
		l.unreadCancels.recordRead(t.seq)
		l.pool.core.Ended(t.Attempt, o, score, value)
	}
}

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.lastUsed = l.pool.core.Now()
	l.lastReceived, l.answerDueSince = l.lastUsed, 0
	if !l.session.Partial() {
		l.messageStart = l.lastUsed
	}
	if err := l.session.Data(b); err != nil {
		l.closeCorrupt(err)
		return
	}
	if !l.isIdle() {
		l.expectAnswer()
	}
	if l.session.Partial() {
		if l.isIdle() && len(l.cancelled) == 0 {
			l.closeCorrupt(errors.New("unsolicited bytes"))
		} else if !l.stallCheckPending {
			l.stallCheckPending = true
			l.pool.core.After(messageStallTimeout, l.checkMessageStall)
		}
	} else if l.retired && l.isIdle() {
		l.conn.Close(transport.BadInput)
	}
}

// closeCorrupt closes a connection on which the node sent invalid data.
func (l *Link) closeCorrupt(err error) {
	l.ended = true // no send of this step may use it
	l.pool.log.Warn().Str("node", l.peer.id).Err(err).Msg("invalid data from node, closing the connection")
	l.conn.Close(transport.BadInput)
}

// checkMessageStall closes the connection if no more bytes of an incomplete message have come within
// messageStallTimeout. The length of the message may be wrong: its rest would never come, and later
// answers would be taken for it.
func (l *Link) checkMessageStall() {
	l.stallCheckPending = false
	if l.ended || !l.session.Partial() {
		return
	}
	if left := l.lastReceived + messageStallTimeout - l.pool.core.Now(); left > 0 {
		l.stallCheckPending = true
		l.pool.core.After(left, l.checkMessageStall)
		return
	}
	l.closeCorrupt(errors.New("incomplete message: the rest did not come in time"))
}

// HalfClosed implements transport.Handler; connections we dialed end at once.
func (l *Link) HalfClosed() {}

// Ended implements transport.Handler. It ends every attempt on the connection. The outcome
// depends on whether the last byte of its call was written: only then it may have run.
func (l *Link) Ended(e transport.End) {
	l.ended = true
	l.pool.Counts.Add(counts.ConnectionsClosed, 1)
	if l.conn == nil {
		l.pool.Counts.Add(counts.ConnectionsFailed, 1)
	}
	l.peer.links = slices.DeleteFunc(l.peer.links, func(o *Link) bool { return o == l })
	if len(l.outstanding) > 0 {
		l.pool.log.Info().Str("node", l.peer.id).Stringer("end", e).Int("attempts", len(l.outstanding)).
			Msg("node connection closed with attempts outstanding")
	}
	tickets := make([]*Ticket, 0, len(l.outstanding))
	for _, t := range l.outstanding {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b *Ticket) int { return strings.Compare(a.ID, b.ID) })
	clear(l.outstanding)
	for _, t := range tickets {
		written := false
		if t.sent {
			at, all := l.session.Sent(t)
			written = all && l.conn.Written(at)
		}
		l.pool.core.Ended(t.Attempt, transport.Outcome(e, written), 0, nil)
	}
	for _, p := range l.probes {
		p.end(transport.Outcome(e, l.conn != nil))
	}
	l.probes = nil
}
