package link

import (
	"time"

	"kiteloft/internal/fleet/member"
	"kiteloft/internal/transport"
)

const (
	peerIdleTimeout    = 30 * time.Second        // for a connection that carries messages
	peerStallTimeout   = 1500 * time.Millisecond // without a message from the member after we sent one: another connection is tried
	maxWaitingMessages = 128                     // messages that wait for a connection to one member
	dialRetryInterval  = 300 * time.Millisecond  // between two dials of one member
	maxPeers           = 1024                    // members whose peer is kept
)

// peer sends messages to one member, in order, over one connection: the one that this mixer
// opened, or the one on which the member last sent to it. Messages can be lost with a
// connection.
type peer struct {
	f               *Fleet
	id              string
	conn            *transport.Conn
	dialing         bool
	waiting         [][]byte
	unansweredSince time.Duration // time of the first message sent since the member was last heard; 0: none
	nextDialAt      time.Duration
}

// outbound is a connection that this mixer opened for messages to a peer.
type outbound struct {
	t    *peer
	conn *transport.Conn
	in   []byte
}

// peer returns the peer for a member, created on first use.
func (f *Fleet) peer(id string) *peer {
	t := f.peers[id]
	if t == nil {
		if len(f.peers) >= maxPeers {
			for old, t := range f.peers { // bounds memory; a peer without a connection can be created again
				if t.conn == nil && !t.dialing {
					delete(f.peers, old)
				}
			}
		}
		t = &peer{f: f, id: id}
		f.peers[id] = t
	}
	return t
}

// Send sends a message to one member over a connection. The message can be lost; messages on
// one connection arrive in order.
func (f *Fleet) Send(to string, body []byte) {
	if f.machine == nil || to == f.c.ID {
		return
	}
	t, now := f.peer(to), f.core.Now()
	b := frame(f.sealMessage(member.Message{Kind: kindMessage, From: f.c.ID, To: to, Instance: f.machine.Self().Instance}, body...))
	// Guards against a connection that is open but delivers nothing. A broken path would stay
	// broken, and what is buffered on it would arrive when it is obsolete.
	if t.conn != nil && t.unansweredSince > 0 && now-t.unansweredSince > peerStallTimeout {
		old := t.conn
		t.conn, t.unansweredSince = nil, 0
		old.Close(transport.PeerStalled)
	}
	if t.conn != nil {
		t.write(b)
		return
	}
	if t.waiting = append(t.waiting, b); len(t.waiting) > maxWaitingMessages {
		t.waiting = t.waiting[1:]
	}
	t.dial()
}

// write sends a framed packet on the present connection.
func (t *peer) write(b []byte) {
	if t.unansweredSince == 0 {
		t.unansweredSince = t.f.core.Now()
	}
	t.conn.Write(b)
}

// dial opens a connection, unless a dial is under way or the last one was too recent.
func (t *peer) dial() {
	now := t.f.core.Now()
	if t.dialing || now < t.nextDialAt {
		return
	}
	at, ok := t.f.machine.Find(t.id)
	if !ok {
		t.waiting = nil
		return
	}
	t.dialing, t.nextDialAt = true, now+dialRetryInterval
	l := &outbound{t: t}
	t.f.net.Dial(t.f.dialAddress(member.Target{ID: t.id, Addr: at.Addr}), exchangeTimeout, l, l.connected)
}

// connected is called with the connection, or with nil if the dial failed. If the member has
// connected to this mixer meanwhile, that connection is kept and the new one closed.
func (l *outbound) connected(conn *transport.Conn, _ transport.End) {
	l.t.dialing, l.conn = false, conn
	switch {
	case conn == nil:
	case l.t.conn != nil:
		conn.Close(transport.LocalDone)
	default:
		l.t.setConn(conn)
	}
}

// setConn uses a connection and sends the waiting messages on it.
func (t *peer) setConn(conn *transport.Conn) {
	t.conn, t.unansweredSince = conn, 0
	list := t.waiting
	t.waiting = nil
	for _, b := range list {
		t.write(b)
	}
}

// handleMessage handles a received message. conn is the inbound connection that it came on, or
// nil if it came on the peer's own.
func (f *Fleet) handleMessage(p packet, conn *transport.Conn) {
	t := f.peer(p.From)
	t.unansweredSince = 0
	if t.conn == nil && !t.dialing && conn != nil {
		t.setConn(conn)
	}
	if f.HandleMessage != nil {
		f.HandleMessage(p.From, p.answer)
	}
}

// Data implements transport.Handler.
func (l *outbound) Data(b []byte) {
	var sound bool
	if l.in, sound = l.t.f.eachPacket(append(l.in, b...), l.handlePacket); !sound {
		l.t.f.dropCounts["words that can't be used"]++
		l.conn.Close(transport.BadInput)
	}
}

// handlePacket handles one packet; only messages of the peer are acceptable.
func (l *outbound) handlePacket(p packet) bool {
	if p.Kind != kindMessage || p.From != l.t.id {
		return false
	}
	l.t.f.handleMessage(p, nil)
	return true
}

// HalfClosed implements transport.Handler.
func (l *outbound) HalfClosed() { l.conn.Close(transport.LocalDone) }

// Ended implements transport.Handler.
func (l *outbound) Ended(transport.End) { l.t.f.connectionEnded(l.t.id, l.conn) }

// connectionEnded forgets a connection that has ended.
func (f *Fleet) connectionEnded(id string, conn *transport.Conn) {
	if t := f.peers[id]; t != nil && t.conn == conn {
		t.conn = nil
	}
}
