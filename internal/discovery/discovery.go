// Package discovery follows the list of stock nodes that the discovery service keeps: it
// watches the list over HTTP and passes changes to the core. All of it runs on the core's
// goroutine.
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
	maxHold           = 10 * time.Second        // longest time that discovery holds a watch without news; reached with many mixers
	minHold           = 4 * time.Second         // the shortest: with few mixers, what a silent watch misses is found sooner
	holdPerMixer      = 100 * time.Millisecond  // hold time for each mixer, as discovery serves the calls of all mixers in turn
	answerTimeout     = 2500 * time.Millisecond // for a call without a hold: it queues at discovery, and a change that it misses counts as known after missedChangeDelay
	heldAnswerTimeout = 1500 * time.Millisecond // for a call with a hold, beyond the hold: a change that it misses counts as known 2 s after it, and another call takes time
	connectTimeout    = time.Second
	maxListBytes      = 8 << 20                 // largest list that is accepted
	newAddressTimeout = 1500 * time.Millisecond // for any call within addressChangeDelay of a new address: leaves time for another call
	retryInterval     = 200 * time.Millisecond  // after a failed watch of a new address, within addressChangeDelay, or of an agent
	lateAnswerTimeout = 4 * time.Second         // how long the answer to a replaced call is still accepted
	instancesPath     = "/registry/instances"
)

// List is a list of nodes, in the JSON form of discovery.
type List struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`

	Told time.Duration `json:"-"` // when the mixer counts as notified of the changes, on the core's clock; 0: now
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

	Told time.Duration `json:"-"` // when the mixer counts as notified that the node leaves or has left, on the core's clock; 0: with this list
}

// Parse decodes a list. It rejects a member without an id and a phase that is not known.
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

// statesByPhase maps the phases of discovery to the states of the decision module.
var statesByPhase = map[string]decide.ServerState{"active": decide.Running, "leaving": decide.Stopping, "left": decide.Deleted}

// Core is the part of broker.Core that this package uses.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	UpdateNodeList(l broker.List)
	WatchFailed()
}

// Client calls discovery. It implements broker.Directory.
type Client struct {
	core       Core
	net        transport.Dialer
	addr       string
	zones      map[string]int
	startTimes startTimes
	log        zerolog.Logger
	Counts     *counts.Set // nil: nothing is counted
	// Filter takes each list that this client's own calls return and gives the list to publish.
	// If it is nil, every list is published unchanged.
	Filter func(List) List
	// MixerCount is the number of mixers that call the same discovery; 0 counts as 1.
	MixerCount int
	// PushedToAgent says that lists are pushed to an agent beside this mixer. Start then begins
	// the watch, as the decision module does not ask for one.
	PushedToAgent    bool
	notified         notificationTimes
	revision         int64
	watch            *call         // nil: no watch is open
	unreachable      bool          // the latest call failed, and no answer has arrived since
	watchTimedOut    bool          // the previous watch timed out
	addressChanges   int           // number of changes of addr
	retryAtOnceUntil time.Duration // until then, after a new address, this package itself restarts a failed watch
}

// call is a connection to discovery with at most one outstanding request.
type call struct {
	c             *Client
	conn          *transport.Conn
	parser        *http1.Parser
	request       string
	watch         bool
	closed        bool
	superseded    bool          // another call has replaced it, as it was not answered in time; the answer may still come
	fullList      bool          // the watch's first request asks for the whole list
	addressChange int           // the client's addressChanges when the call began
	seq           int           // of the outstanding request
	subscribed    bool          // the watch has had its first answer, which discovery does not hold
	firstByteAt   time.Duration // when the first byte of the answer arrived; 0: none has
}

// New returns a Client that calls discovery at addr. A node's zone is the index of its locality in
// zones; localities that are not in zones get further indices.
func New(core Core, net transport.Dialer, addr string, zones []string, log zerolog.Logger) *Client {
	c := &Client{core: core, net: net, addr: addr, zones: map[string]int{}, log: log}
	for i, z := range zones {
		c.zones[z] = i
	}
	return c
}

// Start publishes the list that the mixer was started with. That list may be out of date, and
// the mixer soon counts as notified of what it lacks, whether or not a call succeeds.
func (c *Client) Start(known List) {
	c.notified.upToDateAt, c.notified.pushedToAgent = c.core.Now(), c.PushedToAgent
	c.FilterAndPublish(known)
	if c.PushedToAgent {
		c.startWatch(false)
	}
}

// FilterAndPublish passes a list that this client's own call returned through Filter and publishes
// the result.
func (c *Client) FilterAndPublish(l List) {
	c.revision = l.Revision
	if c.Filter != nil {
		notifiedAt := l.Told
		l = c.Filter(l)
		l.Told = notifiedAt
	}
	c.Publish(l)
}

// Publish passes a list to the core. It is for lists from other sources than this client's own
// calls, which do not pass through Filter.
func (c *Client) Publish(l List) {
	c.startTimes.addList(c.core.Now(), l)
	members := make([]broker.ListedNode, 0, len(l.Members))
	for _, e := range l.Members {
		m := broker.ListedNode{Addr: e.HostPort, Server: decide.Server{ID: e.ID, Zone: c.zoneIndex(e.Locality), Cell: e.Cell,
			State: statesByPhase[e.Phase], CapacityHint: e.Size, Started: c.startTimes.startedAt(e)}, Told: e.Told}
		members = append(members, m)
	}
	c.core.UpdateNodeList(broker.List{Full: l.Complete, Version: l.Revision, Told: l.Told, Members: members})
}

func (c *Client) zoneIndex(name string) int {
	i, ok := c.zones[name]
	if !ok {
		i = len(c.zones) // a zone that is not in the settings
		c.zones[name] = i
	}
	return i
}

// Watch implements broker.Directory: it starts the watch anew, or ends it.
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

// ChangeAddress follows the list at another address from now on. The list from the old address
// holds until the new one says otherwise. The new address may number revisions differently, so
// it is asked for the whole list first.
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

// Read implements broker.Directory: it requests the whole list once, beside the watch.
func (c *Client) Read() { (&call{c: c, addressChange: c.addressChanges}).send() }

// send sends the next request, on a new connection if none is open.
func (k *call) send() {
	target, hold := instancesPath, time.Duration(0)
	if k.watch && !k.fullList {
		if k.subscribed {
			hold = min(max(minHold, time.Duration(k.c.MixerCount)*holdPerMixer), maxHold)
			if k.c.PushedToAgent {
				hold = minHold // no other mixer calls the agent
			}
		}
		target += "?from=" + strconv.FormatInt(k.c.revision, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	k.request = "GET " + target + " HTTP/1.1\r\nHost: " + k.c.addr + "\r\n\r\n"
	k.seq, k.firstByteAt = k.seq+1, 0
	k.c.Counts.Add(counts.DirectoryCalls, 1)
	seq, timeout := k.seq, answerTimeout
	switch {
	case k.c.core.Now() < k.c.retryAtOnceUntil:
		timeout = newAddressTimeout
	case hold > 0:
		timeout = heldAnswerTimeout
	}
	// Guards against a discovery that is cut off and would never answer.
	k.c.core.After(hold+timeout, func() {
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

// drop closes the connection without reporting a failure. An answer that is still to come is ignored.
func (k *call) drop() {
	k.closed = true
	k.seq++
	if k.conn != nil {
		k.conn.Close(transport.LocalDone)
	}
}

// timedOut restarts a watch that was not answered in time, at once: the mixer soon counts as
// notified of what the watch missed, and the decision module pauses for longer before it asks
// again. After two time-outs in a row it reports a failure instead, as then discovery itself,
// not one watch, is silent.
func (k *call) timedOut() {
	c := k.c
	if c.watch != k || c.watchTimedOut || c.core.Now() < c.retryAtOnceUntil {
		k.keepForLateAnswer()
		k.handleFailure("no answer in time")
		return
	}
	c.log.Info().Str("discovery", c.addr).Msg("discovery watch timed out, starting another")
	c.Counts.Add(counts.DirectoryFailed, 1)
	c.notified.watchTimedOut()
	c.watchTimedOut = true
	k.keepForLateAnswer()
	c.startWatch(k.fullList)
}

// keepForLateAnswer leaves a call open beside the one that replaces it, for lateAnswerTimeout.
// While discovery stays slow, every call would otherwise be dropped before its answer.
func (k *call) keepForLateAnswer() {
	k.superseded = true
	k.seq++
	k.c.core.After(lateAnswerTimeout, func() {
		if !k.closed {
			k.drop()
		}
	})
}

// fail drops the call and handles its failure, unless another call has replaced it.
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

// handleFailure counts and logs a call that brought no answer, and has another one made: by this
// package, or by the core after WatchFailed.
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
	case k.addressChange != k.c.addressChanges: // a call that went to the old address
		k.c.Read()
	case k.watch && (k.c.PushedToAgent || k.c.core.Now() < k.c.retryAtOnceUntil):
		// After an address change, and with an agent, the mixer counts as notified sooner than
		// the decision module would ask again.
		fullList := k.fullList || k.c.core.Now() < k.c.retryAtOnceUntil
		k.c.core.After(retryInterval, func() {
			if k.c.watch == nil && k.addressChange == k.c.addressChanges {
				k.c.startWatch(fullList)
			}
		})
	default:
		k.c.core.WatchFailed()
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
			k.c.Read() // the list came from the old address, not from the new one
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

// handleLateList accepts the answer to a call that has been replaced, unless a later revision has
// arrived or the address has changed since.
func (k *call) handleLateList(l List) {
	k.drop()
	if k.addressChange == k.c.addressChanges && l.Revision >= k.c.revision && (l.Complete || len(l.Members) > 0) {
		l.Told = k.c.notified.answerReceived(k.c.core.Now(), k.firstByteAt)
		k.c.FilterAndPublish(l)
	}
}

// continueWatch publishes the list that a watch returned and sends the watch's next request at
// once: discovery keeps a watch open only if its next call arrives within 200 ms.
func (c *Client) continueWatch(l List, k *call) {
	if l.Complete || len(l.Members) > 0 || !k.subscribed {
		c.FilterAndPublish(l) // the first answer tells the decision module that the watch is open, even without changes
	}
	c.revision = max(c.revision, l.Revision)
	k.subscribed = true
	k.send()
}

// HalfClosed implements transport.Handler. It is never called here: a dialed connection ends as
// soon as its peer closes.
func (k *call) HalfClosed() {}

// Ended implements transport.Handler.
func (k *call) Ended(e transport.End) {
	if k.closed {
		return
	}
	// An answer without a length ends when its connection is closed in order. After a reset,
	// what has arrived may be only the beginning of the answer.
	if e == transport.PeerClosed {
		k.parser.EOF()
		k.parseNext()
	}
	if !k.closed {
		k.fail(e.String())
	}
}
