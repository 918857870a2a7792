package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// heardNews is a word that has come.
type heardNews struct {
	News
	at time.Duration
}

func recordKey(id string) string                { return "r/" + id }
func doubtKey(subject, observer string) string  { return "d/" + subject + "\x00" + observer }
func (n News) id() string                       { return n.Key + "\x00" + n.Origin }
func newsKey(key string) string                 { return "n/" + key }
func splitDoubtKey(key string) (string, string) { s, o, _ := strings.Cut(key[2:], "\x00"); return s, o }

// enqueue has others told of something, from the beginning if they are being told.
func (m *Machine) enqueue(key string) {
	if _, told := m.queue[key]; !told {
		m.fresh = append(m.fresh, key)
	}
	m.queue[key] = 0
}

// fill adds updates to a message: those not sent yet first, then the others in turn.
func (m *Machine) fill(msg *Message) {
	most := resend * (1 + bits.Len(uint(m.Alive())))
	for range min(perMessage, len(m.fresh)+len(m.line)) {
		var key string
		if len(m.fresh) > 0 {
			key, m.fresh = m.fresh[0], m.fresh[1:]
		} else {
			key, m.line = m.line[0], m.line[1:]
		}
		if m.queue[key]++; !m.put(msg, key) || m.queue[key] >= most {
			delete(m.queue, key)
			continue
		}
		m.line = append(m.line, key)
	}
}

// put adds one update to a message, as it is now.
func (m *Machine) put(msg *Message, key string) bool {
	switch key[0] {
	case 'r':
		if key[2:] == m.c.ID {
			if m.seated() {
				msg.Records = append(msg.Records, m.self)
			}
			return m.seated()
		}
		p := m.peers[key[2:]]
		if p == nil {
			return false
		}
		msg.Records = append(msg.Records, p.told(m.now))
	case 'd':
		subject, observer := splitDoubtKey(key)
		held, _ := m.doubtsOf(subject)
		d := held[observer]
		if d == nil {
			return false
		}
		msg.Doubts = append(msg.Doubts, d.told(m.now))
	case 'n':
		n := m.news[key[2:]]
		if n == nil {
			return false
		}
		told := n.News
		told.Age += m.now - n.at
		msg.News = append(msg.News, told)
	}
	return true
}

// spread pushes what others have not been told to a few of them.
func (m *Machine) spread() {
	if len(m.queue) == 0 || m.now < m.gossipAt {
		return
	}
	m.gossipAt = m.now + m.periods(gossipPace)
	for _, p := range m.pick(gossipFan, func(p *peer) bool { return p.State == Alive }) {
		if len(m.queue) > 0 {
			m.send(p, Message{Kind: Gossip})
		}
	}
}

// Announce tells all members something, once. Of one key, the latest word counts.
func (m *Machine) Announce(now time.Duration, key string, body []byte) {
	m.step(now)
	m.newsStamp++
	// Another start under our name counts on from the one before.
	m.keepNews(News{Key: key, Origin: m.c.ID, Version: uint64(m.self.Incarnation.Generation)<<32 + m.newsStamp, Body: body})
}

func (m *Machine) mergeNews(n News) {
	if n.Origin == m.c.ID || m.peers[n.Origin] == nil {
		return
	}
	// By key and origin: two who announce one key would replace each other's word for good.
	if old := m.news[n.id()]; old != nil && old.Version >= n.Version {
		return
	}
	m.keepNews(n)
	m.out.News = append(m.out.News, n)
}

func (m *Machine) keepNews(n News) {
	m.news[n.id()] = &heardNews{n, m.now}
	m.enqueue(newsKey(n.id()))
	if len(m.news) > mostNews { // guards memory: the oldest has long been told
		oldest := slices.MinFunc(sortedKeys(m.news), func(a, b string) int { return cmp.Compare(m.news[a].at, m.news[b].at) })
		delete(m.news, oldest)
	}
}
