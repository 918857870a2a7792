package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// heardNews is a word that has come.
type receivedNews struct {
	News
	receivedAt time.Duration
}

func recordKey(id string) string                { return "r/" + id }
func doubtKey(subject, observer string) string  { return "d/" + subject + "\x00" + observer }
func (n News) id() string                       { return n.Key + "\x00" + n.Origin }
func newsKey(key string) string                 { return "n/" + key }
func splitDoubtKey(key string) (string, string) { s, o, _ := strings.Cut(key[2:], "\x00"); return s, o }

// enqueue has others told of something, from the beginning if they are being told.
func (m *Machine) enqueue(key string) {
	if _, queued := m.sendCounts[key]; !queued {
		m.unsentUpdates = append(m.unsentUpdates, key)
	}
	m.sendCounts[key] = 0
}

// fill adds updates to a message: those not sent yet first, then the others in turn.
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

// put adds one update to a message, as it is now.
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

// spread pushes what others have not been told to a few of them.
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

// Announce tells all members something, once. Of one key, the latest word counts.
func (m *Machine) Announce(now time.Duration, key string, body []byte) {
	m.advanceClock(now)
	m.newsCount++
	// Another start under our name counts on from the one before.
	m.storeNews(News{Key: key, Origin: m.c.ID, Version: uint64(m.self.Incarnation.Generation)<<32 + m.newsCount, Body: body})
}

func (m *Machine) mergeNews(n News) {
	if n.Origin == m.c.ID || m.peers[n.Origin] == nil {
		return
	}
	// By key and origin: two who announce one key would replace each other's word for good.
	if old := m.news[n.id()]; old != nil && old.Version >= n.Version {
		return
	}
	m.storeNews(n)
	m.output.News = append(m.output.News, n)
}

func (m *Machine) storeNews(n News) {
	m.news[n.id()] = &receivedNews{n, m.now}
	m.enqueue(newsKey(n.id()))
	if len(m.news) > maxNews { // guards memory: the oldest has long been told
		oldest := slices.MinFunc(sortedKeys(m.news), func(a, b string) int { return cmp.Compare(m.news[a].receivedAt, m.news[b].receivedAt) })
		delete(m.news, oldest)
	}
}
