// Package nodelist shares discovery's list of stock nodes among the mixers of a fleet. A few
// mixers in each zone watch discovery, and all others receive its changes from them. The load
// on discovery stays the same as the fleet grows, and a node that leaves does so for all
// mixers at once. Package version merges the reports; this package has the messages and
// decides who watches. It does no I/O of its own; all of it runs on the core's goroutine.
package nodelist

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/internal/broker"
	"kiteloft/internal/discovery"
	"kiteloft/internal/fleet/version"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	watchersPerZone    = 2 // duties in a zone; one mixer may own both
	checkInterval      = time.Second
	syncInterval       = 2 * time.Second // mean time between two comparisons with a watcher
	watcherTimeout     = 5 * time.Second // without a message from a watcher, after which this mixer watches discovery itself
	watchDutyPrefix    = "watch/"
	entryKeyPrefix     = "roll/"
	maxLinesPerMessage = 400 // further lines are left out
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	UpdateNodeList(l broker.List)
}

// Fleet is what this package needs of the communication among mixers; see link.Fleet.
type Fleet interface {
	Send(to string, body []byte)
	Announce(key string, body []byte)
	Owner(zone, key string) string
	MineIn(zone, key string) bool
	Zone() string
}

// Directory is this mixer's own watch of discovery.
type Directory interface {
	broker.Directory
	Publish(l discovery.List)
}

// Sharer shares the node list with the other mixers. It implements broker.Directory.
type Sharer struct {
	core           Core
	fleet          Fleet
	dir            Directory
	name           string
	zones          []string
	log            zerolog.Logger
	rng            *rand.Rand
	nodeView       *version.NodeView
	enabled        bool          // the module wants to follow the list
	watching       bool          // this mixer watches discovery
	watcherHeardAt time.Duration // when the last message of a watcher came; 0: none did
	nextSyncAt     time.Duration
	withheldReason string // why entries missing from discovery's list are not removed yet
	started        bool
}

// message is sent from one mixer to another: a request to compare the lists by digest, or the
// response with the lines that the receiver may lack.
type message struct {
	Ask      bool       `json:"ask,omitempty"`
	Digest   uint64     `json:"digest"`
	Watching bool       `json:"watching,omitempty"`
	Lines    []nodeLine `json:"lines,omitempty"`
}

// nodeLine is a node's entry in a message. It has the age of the report and not its time, as
// mixers share no clock.
type nodeLine struct {
	ID      string       `json:"i"`
	Started int64        `json:"s,omitempty"`
	Life    version.Life `json:"l,omitempty"`
	Data    string       `json:"d,omitempty"`
	AgeMS   int64        `json:"a,omitempty"`
}

// New returns a Sharer between the core and this mixer's own watch of discovery.
func New(core Core, fleet Fleet, dir Directory, name string, zones []string, seed uint64, log zerolog.Logger) *Sharer {
	return &Sharer{core: core, fleet: fleet, dir: dir, name: name, zones: zones, log: log, rng: rand.New(rand.NewPCG(seed, 11)), nodeView: version.NewNodeView()}
}

// Start begins the exchange with other mixers. It runs on the core's goroutine.
func (r *Sharer) Start() {
	r.started = true
	r.check()
}

// Hold sets whether nodes missing from discovery's list are kept for as long as it is set.
func (r *Sharer) Hold(on bool) { r.nodeView.Hold = on }

// Watch implements broker.Directory. It starts this mixer's own watch of discovery only if it
// owns a watch duty or hears from no watcher.
func (r *Sharer) Watch(on bool) {
	r.enabled = on
	if !on {
		r.watching = false
		r.dir.Watch(false)
		return
	}
	if r.watching = r.shouldWatch(); r.watching {
		r.dir.Watch(true)
		return
	}
	r.reportFollowing()
}

// reportFollowing tells the module that it follows the list, through other mixers.
func (r *Sharer) reportFollowing() {
	r.core.After(0, func() { r.core.UpdateNodeList(broker.List{Version: r.nodeView.Revision()}) })
}

// Read implements broker.Directory.
func (r *Sharer) Read() { r.dir.Read() }

// shouldWatch reports whether this mixer is to watch discovery: it owns a watch duty, or it
// hears from no watcher.
func (r *Sharer) shouldWatch() bool {
	return r.ownsWatchDuty() || !r.started || r.watcherHeardAt == 0 || r.core.Now()-r.watcherHeardAt > watcherTimeout
}

// ownsWatchDuty reports whether this mixer owns a watch duty of its zone.
func (r *Sharer) ownsWatchDuty() bool {
	for k := range watchersPerZone {
		if r.fleet.MineIn(r.fleet.Zone(), watchDutyPrefix+strconv.Itoa(k)) {
			return true
		}
	}
	return false
}

// check runs at each checkInterval: it removes nodes whose removal is due, starts or stops the
// watch, and compares the list with a watcher's.
func (r *Sharer) check() {
	now := r.core.Now()
	r.publish(r.nodeView.DropOverdue(now))
	if shouldWatch := r.shouldWatch(); r.enabled && shouldWatch != r.watching {
		r.watching = shouldWatch
		r.log.Info().Bool("watching", shouldWatch).Msg("lists: discovery is watched by this mixer")
		r.dir.Watch(shouldWatch)
		if !shouldWatch {
			r.reportFollowing()
		}
	}
	if now >= r.nextSyncAt {
		r.nextSyncAt = now + syncInterval/2 + time.Duration(r.rng.Int64N(int64(syncInterval)))
		if to := r.pickWatcher(); to != "" {
			r.send(to, message{Ask: true, Digest: r.nodeView.Digest()})
		}
	}
	r.core.After(checkInterval, r.check)
}

// pickWatcher returns a random watcher, in three of four cases one of this mixer's own zone
// and else one of a random zone. "": the choice is this mixer itself, or none is known.
func (r *Sharer) pickWatcher() string {
	zone := r.fleet.Zone()
	if len(r.zones) > 0 && r.rng.IntN(4) == 0 {
		zone = r.zones[r.rng.IntN(len(r.zones))]
	}
	if to := r.fleet.Owner(zone, watchDutyPrefix+strconv.Itoa(r.rng.IntN(watchersPerZone))); to != r.name {
		return to
	}
	return ""
}

// send sends a message to one mixer.
func (r *Sharer) send(to string, w message) {
	text, err := json.Marshal(w)
	if err != nil {
		r.log.Error().Err(err).Msg("lists: a message could not be encoded") // only by a programming error
		return
	}
	r.fleet.Send(to, text)
}

// Filter takes a list from this mixer's own watch, announces the changes that others can't
// know yet, and returns what the module is to use.
func (r *Sharer) Filter(l discovery.List) discovery.List {
	now := r.core.Now()
	lines := make([]version.NodeEntry, 0, len(l.Members))
	for _, e := range l.Members {
		lines = append(lines, nodeEntryOf(e))
	}
	changed, withheldReason := r.nodeView.ApplyList(now, l.Complete && r.started, l.Revision, lines)
	if withheldReason != r.withheldReason {
		if r.withheldReason = withheldReason; withheldReason != "" {
			r.log.Warn().Str("why", withheldReason).Msg("lists: what discovery leaves out is not believed yet")
		}
	}
	for i, x := range changed {
		// Discovery told all mixers of the change before it arrived here: the earlier time
		// counts.
		if x.Told == now && l.Told > 0 {
			x.Told, changed[i].Told = l.Told, l.Told
		}
		// A node only missing from the list is not announced, as each reader judges that
		// itself. Other changes are, except by a mixer that has just started: its first list
		// has many changes that are new only to itself.
		if (x.Life != version.NodeGone || !isMissing(lines, x.ID)) && (!l.Complete || r.watcherHeardAt > 0 || r.ownsWatchDuty()) {
			r.announce(now, x)
		}
	}
	out := discovery.List{Revision: l.Revision, Complete: l.Complete}
	if l.Complete {
		out.Members = r.discoveryEntries(r.nodeView.Listed())
	} else {
		out.Members = r.discoveryEntries(changed)
	}
	return out
}

// isMissing reports whether no entry has the id.
func isMissing(lines []version.NodeEntry, id string) bool {
	for _, x := range lines {
		if x.ID == id {
			return false
		}
	}
	return true
}

// announce spreads an entry to all mixers.
func (r *Sharer) announce(now time.Duration, x version.NodeEntry) {
	if !r.started {
		return
	}
	body, err := json.Marshal(nodeLineOf(now, x))
	if err != nil {
		r.log.Error().Err(err).Msg("lists: a line could not be encoded") // only by a programming error
		return
	}
	r.fleet.Announce(entryKeyPrefix+x.ID, body)
}

// publish passes entries that changed by other mixers' reports to the module.
func (r *Sharer) publish(list []version.NodeEntry) {
	if len(list) > 0 {
		r.dir.Publish(discovery.List{Revision: r.nodeView.Revision(), Members: r.discoveryEntries(list)})
	}
}

// News handles an announcement of another mixer of the given age.
func (r *Sharer) News(key string, body []byte, age time.Duration) {
	if !strings.HasPrefix(key, entryKeyPrefix) {
		return
	}
	var x nodeLine
	if err := json.Unmarshal(body, &x); err != nil {
		return
	}
	x.AgeMS += age.Milliseconds()
	r.applyLines([]nodeLine{x})
}

// applyLines merges reports of other mixers and publishes the changes.
func (r *Sharer) applyLines(list []nodeLine) {
	now := r.core.Now()
	var changed []version.NodeEntry
	for _, x := range list {
		if x.ID == "" || x.Life > version.NodeGone {
			continue // sent by a newer program
		}
		if nodeEntry, ok := r.nodeView.ApplyReport(now, x.nodeEntry(now)); ok {
			changed = append(changed, nodeEntry)
		}
	}
	r.publish(changed)
}

// HandleMessage handles a message of another mixer: a request to compare lists, or the
// response to one. Messages that can't be decoded are ignored.
func (r *Sharer) HandleMessage(from string, body []byte) {
	var w message
	if err := json.Unmarshal(body, &w); err != nil {
		return
	}
	now := r.core.Now()
	if w.Ask {
		back := message{Digest: r.nodeView.Digest(), Watching: r.watching}
		if w.Digest != back.Digest {
			for _, x := range r.nodeView.Entries() {
				back.Lines = append(back.Lines, nodeLineOf(now, x))
			}
			back.Lines = back.Lines[:min(len(back.Lines), maxLinesPerMessage)]
		}
		r.send(from, back)
		return
	}
	if w.Watching {
		r.watcherHeardAt = now
	}
	r.applyLines(w.Lines)
	// The lists still differ: send what the other mixer lacks.
	if len(w.Lines) > 0 && r.nodeView.Digest() != w.Digest {
		theirs := map[string]nodeLine{}
		for _, x := range w.Lines {
			theirs[x.ID] = x
		}
		back := message{Digest: r.nodeView.Digest(), Watching: r.watching}
		for _, x := range r.nodeView.Entries() {
			if y := theirs[x.ID]; y.Started != x.Started || y.Life != x.Life || y.ID == "" {
				back.Lines = append(back.Lines, nodeLineOf(now, x))
			}
		}
		if back.Lines = back.Lines[:min(len(back.Lines), maxLinesPerMessage)]; len(back.Lines) > 0 {
			r.send(from, back)
		}
	}
}

// discoveryEntries converts entries of the node view to those of discovery.
func (r *Sharer) discoveryEntries(list []version.NodeEntry) (out []discovery.Entry) {
	for _, x := range list {
		var e discovery.Entry
		if err := json.Unmarshal([]byte(x.Data), &e); err != nil || e.ID != x.ID {
			continue // written by a program with another format
		}
		e.Phase, e.Told = phases[x.Life], x.Told
		out = append(out, e)
	}
	return out
}

// phases are discovery's names of version.Life, in its order.
var phases = [...]string{"active", "leaving", "left"}

// nodeEntryOf converts an entry of discovery to one of the node view.
func nodeEntryOf(e discovery.Entry) version.NodeEntry {
	x := version.NodeEntry{ID: e.ID, Started: e.UpSinceMS}
	for i, p := range phases {
		if p == e.Phase {
			x.Life = version.Life(i)
		}
	}
	e.Phase = phases[0]
	text, _ := json.Marshal(e) // has strings and numbers only, so that it can't fail
	x.Data = string(text)
	return x
}

// nodeLineOf converts an entry for a message.
func nodeLineOf(now time.Duration, x version.NodeEntry) nodeLine {
	s := nodeLine{ID: x.ID, Started: x.Started, Life: x.Life, Data: x.Data}
	if x.Told > 0 {
		s.AgeMS = max(0, now-x.Told).Milliseconds()
	}
	return s
}

// nodeEntry converts a received line; its age gives the time on this mixer's clock.
func (s nodeLine) nodeEntry(now time.Duration) version.NodeEntry {
	x := version.NodeEntry{ID: s.ID, Started: s.Started, Life: s.Life, Data: s.Data}
	if x.Life != version.NodeActive {
		x.Told = max(1, now-time.Duration(max(0, s.AgeMS))*time.Millisecond)
	}
	return x
}
