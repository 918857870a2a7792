package link

import (
	"time"

	"kiteloft/internal/fleet/member"
	"kiteloft/internal/transport"
)

const (
	talkIdle   = 30 * time.Second        // a talk in which nothing is said ends
	talkStall  = 1500 * time.Millisecond // nothing heard for so long after we spoke: another connection is tried
	talkWait   = 128                     // words that wait for a connection
	talkRetry  = 300 * time.Millisecond  // after a dial that failed
	mostTalked = 1024                    // members whose talk is remembered
)

// talk is what we say to one member, in order, over one connection: the one that we
// opened, or the one on which it last spoke to us. Words may be lost with a connection.
type talk struct {
	f       *Fleet
	id      string
	conn    *transport.Conn
	dialing bool
	waiting [][]byte
	spoke   time.Duration // when we first spoke without having heard since; 0: we have heard
	retry   time.Duration // not dialed again before
}

// line is a connection that we opened for a talk.
type line struct {
	t    *talk
	conn *transport.Conn
	in   []byte
}

func (f *Fleet) talk(id string) *talk {
	t := f.talks[id]
	if t == nil {
		if len(f.talks) >= mostTalked {
			for old, t := range f.talks { // guards memory: a talk can be begun again
				if t.conn == nil && !t.dialing {
					delete(f.talks, old)
				}
			}
		}
		t = &talk{f: f, id: id}
		f.talks[id] = t
	}
	return t
}

// Send tells one member something, over a connection. It may be lost; what is said to one
// member on one connection comes in order.
func (f *Fleet) Send(to string, body []byte) {
	if f.m == nil || to == f.c.ID {
		return
	}
	t, now := f.talk(to), f.core.Now()
	b := frame(f.pack(member.Message{Kind: kindWord, From: f.c.ID, To: to, Instance: f.m.Self().Instance}, body...))
	// Guards against a connection that is open and carries nothing: one that was cut stays
	// so, and what waits in it would come when it means nothing any more.
	if t.conn != nil && t.spoke > 0 && now-t.spoke > talkStall {
		old := t.conn
		t.conn, t.spoke = nil, 0
		old.Close(transport.PeerStalled)
	}
	if t.conn != nil {
		t.say(b)
		return
	}
	if t.waiting = append(t.waiting, b); len(t.waiting) > talkWait {
		t.waiting = t.waiting[1:]
	}
	t.dial()
}

func (t *talk) say(b []byte) {
	if t.spoke == 0 {
		t.spoke = t.f.core.Now()
	}
	t.conn.Write(b)
}

func (t *talk) dial() {
	now := t.f.core.Now()
	if t.dialing || now < t.retry {
		return
	}
	at, ok := t.f.m.Find(t.id)
	if !ok {
		t.waiting = nil
		return
	}
	t.dialing, t.retry = true, now+talkRetry
	l := &line{t: t}
	t.f.net.Dial(t.f.via(member.Target{ID: t.id, Addr: at.Addr}), exchangeTime, l, l.came)
}

func (l *line) came(conn *transport.Conn, _ transport.End) {
	l.t.dialing, l.conn = false, conn
	switch {
	case conn == nil:
	case l.t.conn != nil:
		conn.Close(transport.LocalDone)
	default:
		l.t.use(conn)
	}
}

func (t *talk) use(conn *transport.Conn) {
	t.conn, t.spoke = conn, 0
	list := t.waiting
	t.waiting = nil
	for _, b := range list {
		t.say(b)
	}
}

// came takes a word that somebody said, on a connection of its own or on ours.
func (f *Fleet) came(p packet, conn *transport.Conn) {
	t := f.talk(p.From)
	t.spoke = 0
	if t.conn == nil && !t.dialing && conn != nil {
		t.use(conn)
	}
	if f.HandleMessage != nil {
		f.HandleMessage(p.From, p.answer)
	}
}

// Data implements transport.Handler.
func (l *line) Data(b []byte) {
	var sound bool
	if l.in, sound = l.t.f.each(append(l.in, b...), l.take); !sound {
		l.t.f.bad["words that can't be used"]++
		l.conn.Close(transport.BadInput)
	}
}

func (l *line) take(p packet) bool {
	if p.Kind != kindWord || p.From != l.t.id {
		return false
	}
	l.t.f.came(p, nil)
	return true
}

// HalfClosed implements transport.Handler.
func (l *line) HalfClosed() { l.conn.Close(transport.LocalDone) }

// Ended implements transport.Handler.
func (l *line) Ended(transport.End) { l.t.f.lost(l.t.id, l.conn) }

// lost forgets a connection that has ended.
func (f *Fleet) lost(id string, conn *transport.Conn) {
	if t := f.talks[id]; t != nil && t.conn == conn {
		t.conn = nil
	}
}
