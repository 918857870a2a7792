package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// receivedNews is a piece of news with the time at which it arrived.
type receivedNews struct {
	News
	receivedAt time.Duration
}

// Keys of scheduled updates: r/ for a record, d/ for a doubt, n/ for news.

func recordKey(id string) string                { return "r/" + id }
func doubtKey(subject, observer string) string  { return "d/" + subject + "\x00" + observer }
func (n News) id() string                       { return n.Key + "\x00" + n.Origin }
func newsKey(key string) string                 { return "n/" + key }
func splitDoubtKey(key string) (string, string) { s, o, _ := strings.Cut(key[2:], "\x00"); return s, o }

// enqueue schedules an update for gossip. If the update is already scheduled, its count of
// transmissions starts again.
func (m *Machine) enqueue(key string) {
	if _, queued := m.sendCounts[key]; !queued {
		m.unsentUpdates = append(m.unsentUpdates, key)
	}
	m.sendCounts[key] = 0
}

// appendUpdates adds scheduled updates to a message: first those that were never sent, then the
// others in turn. After resendFactor times log2 of the fleet's size transmissions, an update is no
// longer scheduled.
func (m *Machine) appendUpdates(msg *Message) {
	maxSends := resendFactor * (1 + bits.Len(uint(m.Alive())))
	for range min(maxUpdatesPerDatagram, len(m.unsentUpdates)+len(m.resendQueue)) {
		var key string
		if len(m.unsentUpdates) > 0 {
			key, m.unsentUpdates = m.unsentUpdates[0], m.unsentUpdates[1:]
		} else {
			key, m.resendQueue = m.resendQueue[0], m.resendQueue[1:]
		}
		if m.sendCounts[key]++; !m.appendUpdate(msg, key) || m.sendCounts[key] >= maxSends {
			delete(m.sendCounts, key)
			continue
		}
		m.resendQueue = append(m.resendQueue, key)
	}
}

// appendUpdate adds the current content of one update to a message. It returns false if there is
// nothing to send under that key any more.
func (m *Machine) appendUpdate(msg *Message, key string) bool {
	switch key[0] {
	case 'r':
		if key[2:] == m.c.ID {
			if m.isAdmitted() {
				msg.Records = append(msg.Records, m.self)
			}
			return m.isAdmitted()
		}
		p := m.peers[key[2:]]
		if p == nil {
			return false
		}
		msg.Records = append(msg.Records, p.current(m.now))
	case 'd':
		subject, observer := splitDoubtKey(key)
		held, _ := m.doubtsOf(subject)
		d := held[observer]
		if d == nil {
			return false
		}
		msg.Doubts = append(msg.Doubts, d.current(m.now))
	case 'n':
		n := m.news[key[2:]]
		if n == nil {
			return false
		}
		current := n.News
		current.Age += m.now - n.receivedAt
		msg.News = append(msg.News, current)
	}
	return true
}

// gossip pushes the scheduled updates to a few random members.
func (m *Machine) gossip() {
	if len(m.sendCounts) == 0 || m.now < m.nextGossipAt {
		return
	}
	m.nextGossipAt = m.now + m.periods(gossipInterval)
	for _, p := range m.pickRandom(gossipFanout, func(p *peer) bool { return p.State == Alive }) {
		if len(m.sendCounts) > 0 {
			m.send(p, Message{Kind: Gossip})
		}
	}
}

// Announce sends a piece of news to all members once. Of this member's news under one key, the
// latest replaces the earlier ones.
func (m *Machine) Announce(now time.Duration, key string, body []byte) {
	m.advanceClock(now)
	m.newsCount++
	// The generation in the upper half keeps versions increasing across restarts under this name.
	m.storeNews(News{Key: key, Origin: m.c.ID, Version: uint64(m.self.Incarnation.Generation)<<32 + m.newsCount, Body: body})
}

// mergeNews stores news of another member unless the same or newer news is known.
func (m *Machine) mergeNews(n News) {
	if n.Origin == m.c.ID || m.peers[n.Origin] == nil {
		return
	}
	// News are stored by key and origin: with the key alone, two members that announce the same key
	// would replace each other's news again and again.
	if old := m.news[n.id()]; old != nil && old.Version >= n.Version {
		return
	}
	m.storeNews(n)
	m.output.News = append(m.output.News, n)
}

// storeNews stores a piece of news and schedules it for gossip.
func (m *Machine) storeNews(n News) {
	m.news[n.id()] = &receivedNews{n, m.now}
	m.enqueue(newsKey(n.id()))
	if len(m.news) > maxNews { // bounds memory: the oldest has been passed on long ago
		oldest := slices.MinFunc(sortedKeys(m.news), func(a, b string) int { return cmp.Compare(m.news[a].receivedAt, m.news[b].receivedAt) })
		delete(m.news, oldest)
	}
}
