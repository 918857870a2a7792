// Package discovery follows the list of stock nodes that discovery keeps. All of
// it runs on the core's goroutine.
package discovery

import (
	"fmt"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/counts"
	"kiteloft/internal/http1"
	"kiteloft/internal/transport"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	maxHold           = 10 * time.Second        // how long a watch may wait for news, where mixers are many
	minHold           = 4 * time.Second         // and where they are few: what a silent watch misses is found the sooner
	holdPerMixer      = 100 * time.Millisecond  // of it for each mixer: discovery works through the calls of all in turn
	answerTimeout     = 2500 * time.Millisecond // for an answer to a call that may not wait: it waits its turn, and what it misses counts as told after missedTime
	heldAnswerTimeout = 1500 * time.Millisecond // beyond its wait, of one that may: what it misses counts as told 2 s after the wait, and asking anew takes time
	connectTimeout    = time.Second
	maxListBytes      = 8 << 20                 // bytes of a list that we take
	newAddressTimeout = 1500 * time.Millisecond // the same of a new address, within moveTime: there has to be time to ask again
	retryInterval     = 200 * time.Millisecond  // between calls that fail to a new address, within it, or to an agent
	lateAnswerTimeout = 4 * time.Second         // for which the answer to a call that was made anew is still taken
	instancesPath     = "/registry/instances"
)

// List is a list of nodes, in the form of discovery.
type List struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`

	Told time.Duration `json:"-"` // since when what it says counts as told, by the module's clock; 0: since now
}

// Entry is a node in a list.
type Entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`

	Told time.Duration `json:"-"` // when it was told that it leaves or is gone, by the module's clock; 0: with this list
}

// Parse reads a list.
func Parse(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return l, fmt.Errorf("reading a list of nodes: %w", err)
	}
	for _, e := range l.Members {
		if e.ID == "" {
			return l, fmt.Errorf("reading a list of nodes: a member without an id")
		}
		if _, ok := statesByPhase[e.Phase]; !ok {
			return l, fmt.Errorf("reading a list of nodes: member %s: unknown phase %q", e.ID, e.Phase)
		}
	}
	return l, nil
}

var statesByPhase = map[string]decide.ServerState{"active": decide.Running, "leaving": decide.Stopping, "left": decide.Deleted}

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	UpdateNodeList(l broker.List)
	ListLost()
}

// Client asks discovery. It implements broker.Directory.
type Client struct {
	core       Core
	net        transport.Dialer
	addr       string
	zones      map[string]int
	startTimes startTimes
	log        zerolog.Logger
	Counts     *counts.Set // nil: nothing is counted
	// Filter is handed each list of our own watch and returns the one that is believed; nil:
	// the list is.
	Filter func(List) List
	// MixerCount is how many ask the same discovery; 0: one.
	MixerCount int
	// PushedToAgent says that lists are pushed to an agent beside us, which is watched from the
	// start: the module does not ask for it.
	PushedToAgent    bool
	notified         notificationTimes
	revision         int64
	watch            *call // nil: no watch is under way
	unreachable      bool
	watchTimedOut    bool          // the watch before this one fell silent
	addressChanges   int           // changes of addr
	retryAtOnceUntil time.Duration // until when a failed watch is begun again at once
}

// call is a connection with at most one request out.
type call struct {
	c             *Client
	conn          *transport.Conn
	parser        *http1.Parser
	request       string
	watch         bool
	closed        bool
	superseded    bool          // it was made anew for want of an answer, which may still come
	fullList      bool          // the watch begins with the whole list
	addressChange int           // the client's moves when it began
	seq           int           // of the request that is out
	subscribed    bool          // the watch has had its first answer, which comes at once
	firstByteAt   time.Duration // when the first byte of the answer came; 0: none has
}

// New returns a Client.
func New(core Core, net transport.Dialer, addr string, zones []string, log zerolog.Logger) *Client {
	c := &Client{core: core, net: net, addr: addr, zones: map[string]int{}, log: log}
	for i, z := range zones {
		c.zones[z] = i
	}
	return c
}

// Start hands the core the list that the mixer was started with: it may be out of date,
// and what it lacks counts as told soon, whether or not a call succeeds.
func (c *Client) Start(known List) {
	c.notified.upToDateAt, c.notified.pushedToAgent = c.core.Now(), c.PushedToAgent
	c.FilterAndPublish(known)
	if c.PushedToAgent {
		c.startWatch(false)
	}
}

// FilterAndPublish hands a list to the core.
func (c *Client) FilterAndPublish(l List) {
	c.revision = l.Revision
	if c.Filter != nil {
		told := l.Told
		l = c.Filter(l)
		l.Told = told
	}
	c.Publish(l)
}

// Publish hands on a list that is not of our own watch.
func (c *Client) Publish(l List) {
	c.startTimes.addList(c.core.Now(), l)
	members := make([]broker.ListedNode, 0, len(l.Members))
	for _, e := range l.Members {
		m := broker.ListedNode{Addr: e.HostPort, Server: decide.Server{ID: e.ID, Zone: c.zoneIndex(e.Locality), Cell: e.Cell,
			State: statesByPhase[e.Phase], Hint: e.Size, Started: c.startTimes.startedAt(e)}, Told: e.Told}
		members = append(members, m)
	}
	c.core.UpdateNodeList(broker.List{Full: l.Complete, Version: l.Revision, Told: l.Told, Members: members})
}

func (c *Client) zoneIndex(name string) int {
	i, ok := c.zones[name]
	if !ok {
		i = len(c.zones) // a zone that the settings don't know
		c.zones[name] = i
	}
	return i
}

// Watch implements broker.Directory.
func (c *Client) Watch(on bool) {
	if old := c.watch; old != nil {
		c.watch = nil
		old.drop()
	}
	if on {
		c.startWatch(false)
	}
}

func (c *Client) startWatch(fullList bool) {
	c.watch = &call{c: c, watch: true, fullList: fullList, addressChange: c.addressChanges}
	c.watch.send()
}

// ChangeAddress follows the list at another address from now on. What the old one told
// stands until the new one tells otherwise. A new address may count revisions its
// own way, so it is asked for the whole list first.
func (c *Client) ChangeAddress(addr string) {
	if addr == c.addr {
		return
	}
	if c.watch != nil {
		c.watch.drop()
	}
	c.addr, c.retryAtOnceUntil = addr, c.core.Now()+addressChangeDelay
	c.notified.addressChanged(c.core.Now())
	c.addressChanges++
	c.startWatch(true)
}

// Read implements broker.Directory.
func (c *Client) Read() { (&call{c: c, addressChange: c.addressChanges}).send() }

// send sends the request, on a new connection if none is open.
func (k *call) send() {
	target, wait := instancesPath, time.Duration(0)
	if k.watch && !k.fullList {
		if k.subscribed {
			wait = min(max(minHold, time.Duration(k.c.MixerCount)*holdPerMixer), maxHold)
			if k.c.PushedToAgent {
				wait = minHold // nobody else asks the agent
			}
		}
		target += "?from=" + strconv.FormatInt(k.c.revision, 10) + "&hold_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	k.request = "GET " + target + " HTTP/1.1\r\nHost: " + k.c.addr + "\r\n\r\n"
	k.seq, k.firstByteAt = k.seq+1, 0
	k.c.Counts.Add(counts.DirectoryCalls, 1)
	seq, most := k.seq, answerTimeout
	switch {
	case k.c.core.Now() < k.c.retryAtOnceUntil:
		most = newAddressTimeout
	case wait > 0:
		most = heldAnswerTimeout
	}
	// Guards against a discovery that is cut off: it says nothing, ever.
	k.c.core.After(wait+most, func() {
		if k.seq == seq {
			k.timedOut()
		}
	})
	if k.conn != nil {
		k.conn.Write([]byte(k.request))
		return
	}
	k.parser = http1.NewResponseParser(maxListBytes)
	k.c.net.Dial(k.c.addr, connectTimeout, k, k.dialed)
}

func (k *call) dialed(conn *transport.Conn, e transport.End) {
	if conn == nil {
		k.fail(e.String())
		return
	}
	if k.closed {
		conn.Close(transport.LocalDone)
		return
	}
	k.conn = conn
	conn.Write([]byte(k.request))
}

// drop drops the call without a word.
func (k *call) drop() {
	k.closed = true
	k.seq++
	if k.conn != nil {
		k.conn.Close(transport.LocalDone)
	}
}

// timedOut has a watch that has fallen silent begun anew at once. Guards the told-times: what
// it missed soon counts as told, and the module's own pauses are longer than what is left. Two in
// a row are no broken watch; discovery itself says nothing.
func (k *call) timedOut() {
	c := k.c
	if c.watch != k || c.watchTimedOut || c.core.Now() < c.retryAtOnceUntil {
		k.keepForLateAnswer()
		k.handleFailure("no answer in time")
		return
	}
	c.log.Info().Str("discovery", c.addr).Msg("a watch fell silent and is begun anew")
	c.Counts.Add(counts.DirectoryFailed, 1)
	c.notified.watchTimedOut()
	c.watchTimedOut = true
	k.keepForLateAnswer()
	c.startWatch(k.fullList)
}

// keepForLateAnswer leaves a call open for an answer that comes late, beside the one that takes its place.
// Guards against a discovery that is slow for long: no call would ever be heard.
func (k *call) keepForLateAnswer() {
	k.superseded = true
	k.seq++
	k.c.core.After(lateAnswerTimeout, func() {
		if !k.closed {
			k.drop()
		}
	})
}

func (k *call) fail(why string) {
	if k.closed {
		return
	}
	superseded := k.superseded
	k.drop()
	if !superseded {
		k.handleFailure(why)
	}
}

// handleFailure tells of a call without an answer, and has another made.
func (k *call) handleFailure(why string) {
	k.c.Counts.Add(counts.DirectoryFailed, 1)
	k.c.notified.handleFailure()
	if k.c.watch == k {
		k.c.watch = nil
	}
	if !k.c.unreachable {
		k.c.unreachable = true
		k.c.log.Warn().Str("why", why).Str("discovery", k.c.addr).Msg("discovery does not answer")
	}
	switch {
	case k.addressChange != k.c.addressChanges: // a single call that went to the old address
		k.c.Read()
	case k.watch && (k.c.PushedToAgent || k.c.core.Now() < k.c.retryAtOnceUntil):
		// Guards the told-times after a move, and those of an agent: the module's own
		// pauses are longer than what is allowed then.
		fullList := k.fullList || k.c.core.Now() < k.c.retryAtOnceUntil
		k.c.core.After(retryInterval, func() {
			if k.c.watch == nil && k.addressChange == k.c.addressChanges {
				k.c.startWatch(fullList)
			}
		})
	default:
		k.c.core.ListLost()
	}
}

// Data implements transport.Handler.
func (k *call) Data(b []byte) {
	if k.firstByteAt == 0 {
		k.firstByteAt = k.c.core.Now()
	}
	k.parser.Write(b)
	k.parseNext()
}

func (k *call) parseNext() {
	m, err := k.parser.Next()
	switch {
	case err != nil:
		k.fail(err.Error())
	case m != nil && m.Status >= 100 && m.Status < 200:
		k.parseNext()
	case m != nil:
		k.handleResponse(m)
	}
}

func (k *call) handleResponse(m *http1.Message) {
	k.c.Counts.Add(counts.ListBytes, int64(len(m.Body)))
	if m.Status != 200 {
		k.fail("status " + strconv.Itoa(m.Status))
		return
	}
	l, err := Parse(m.Body)
	if err != nil {
		k.fail(err.Error())
		return
	}
	k.c.watchTimedOut = false
	if k.c.unreachable {
		k.c.unreachable = false
		k.c.log.Info().Msg("discovery answers again")
	}
	k.seq++
	if k.superseded {
		k.handleLateList(l)
		return
	}
	if !k.watch {
		k.drop()
		if k.addressChange != k.c.addressChanges {
			k.c.Read() // guards against the old address's list in place of the new one's
			return
		}
		l.Told = k.c.notified.answerReceived(k.c.core.Now(), k.firstByteAt)
		k.c.FilterAndPublish(l)
		return
	}
	l.Told = k.c.notified.answerReceived(k.c.core.Now(), k.firstByteAt)
	if k.fullList {
		k.fullList, k.c.revision = false, l.Revision
	}
	if m.Close {
		conn := k.conn
		k.conn = nil
		k.closed = true
		conn.Close(transport.LocalDone)
		k.c.watch = &call{c: k.c, watch: true, addressChange: k.addressChange}
		k = k.c.watch
	}
	k.c.continueWatch(l, k)
}

// handleLateList takes the answer to a call in whose place another was made, unless more was heard
// since.
func (k *call) handleLateList(l List) {
	k.drop()
	if k.addressChange == k.c.addressChanges && l.Revision >= k.c.revision && (l.Complete || len(l.Members) > 0) {
		l.Told = k.c.notified.answerReceived(k.c.core.Now(), k.firstByteAt)
		k.c.FilterAndPublish(l)
	}
}

// continueWatch hands on a watch's news and goes on watching at once: a watch goes on
// only if the next call comes within 200 ms.
func (c *Client) continueWatch(l List, k *call) {
	if l.Complete || len(l.Members) > 0 || !k.subscribed {
		c.FilterAndPublish(l) // the first answer tells the module that it is subscribed, even without news
	}
	c.revision = max(c.revision, l.Revision)
	k.subscribed = true
	k.send()
}

// HalfClosed implements transport.Handler; connections we dialed end at once.
func (k *call) HalfClosed() {}

// Ended implements transport.Handler.
func (k *call) Ended(e transport.End) {
	if k.closed {
		return
	}
	// An answer without a length ends with its connection, but a reset is no end: what
	// has come by then may be the beginning of more.
	if e == transport.PeerClosed {
		k.parser.EOF()
		k.parseNext()
	}
	if !k.closed {
		k.fail(e.String())
	}
}
