// Package roll has the mixers of a fleet tell each other what discovery told them. A few
// mixers in each zone watch discovery, and all others hear from them: what it costs
// discovery stays the same as the fleet grows, and a node that leaves, leaves for all at
// once. What is believed is version's to say; here are the words, and who watches. It does
// no I/O of its own; all of it runs on the core's goroutine.
package roll

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
	watchersPerZone    = 2 // duties in a zone; one mixer may have both
	checkInterval      = time.Second
	syncInterval       = 2 * time.Second // between two questions whether we believe what a watcher believes
	watcherTimeout     = 5 * time.Second // no word of a watcher's for so long: we watch ourselves
	watchDutyPrefix    = "watch/"
	entryKeyPrefix     = "roll/"
	maxLinesPerMessage = 400 // lines in one word
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	UpdateNodeList(l broker.List)
}

// Fleet is what it needs of the talk among mixers.
type Fleet interface {
	Send(to string, body []byte)
	Announce(key string, body []byte)
	Owner(zone, key string) string
	MineIn(zone, key string) bool
	Zone() string
}

// Directory is our own watch of discovery.
type Directory interface {
	broker.Directory
	Publish(l discovery.List)
}

// Sharer implements broker.Directory.
type Sharer struct {
	core           Core
	fleet          Fleet
	dir            Directory
	name           string
	zones          []string
	log            zerolog.Logger
	rng            *rand.Rand
	nodeView       *version.NodeView
	enabled        bool // the module wants to follow the list
	watching       bool // we watch discovery ourselves
	watcherHeardAt time.Duration
	nextSyncAt     time.Duration
	withheldReason string
	started        bool
}

// message is what two mixers say to each other alone.
type message struct {
	Ask      bool       `json:"ask,omitempty"`
	Digest   uint64     `json:"digest"`
	Watching bool       `json:"watching,omitempty"`
	Lines    []nodeLine `json:"lines,omitempty"`
}

// nodeLine is a line as it travels: not when it was told, but how long ago.
type nodeLine struct {
	ID      string       `json:"i"`
	Started int64        `json:"s,omitempty"`
	Life    version.Life `json:"l,omitempty"`
	Data    string       `json:"d,omitempty"`
	AgeMS   int64        `json:"a,omitempty"`
}

// New stands between the core and its own watch of discovery.
func New(core Core, fleet Fleet, dir Directory, name string, zones []string, seed uint64, log zerolog.Logger) *Sharer {
	return &Sharer{core: core, fleet: fleet, dir: dir, name: name, zones: zones, log: log, rng: rand.New(rand.NewPCG(seed, 11)), nodeView: version.NewNodeView()}
}

// Start begins, on the core's goroutine.
func (r *Sharer) Start() {
	r.started = true
	r.check()
}

// Hold has what lists merely leave out not believed, or again.
func (r *Sharer) Hold(on bool) { r.nodeView.Hold = on }

// Watch implements broker.Directory.
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

// reportFollowing tells the module that it follows the list, though by others.
func (r *Sharer) reportFollowing() {
	r.core.After(0, func() { r.core.UpdateNodeList(broker.List{Version: r.nodeView.Revision()}) })
}

// Read implements broker.Directory.
func (r *Sharer) Read() { r.dir.Read() }

// shouldWatch reports whether we are to watch discovery: it is our duty, or we hear from nobody
// whose it is.
func (r *Sharer) shouldWatch() bool {
	return r.ownsWatchDuty() || !r.started || r.watcherHeardAt == 0 || r.core.Now()-r.watcherHeardAt > watcherTimeout
}

func (r *Sharer) ownsWatchDuty() bool {
	for k := range watchersPerZone {
		if r.fleet.MineIn(r.fleet.Zone(), watchDutyPrefix+strconv.Itoa(k)) {
			return true
		}
	}
	return false
}

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

// pickWatcher is one of those who watch, of our own zone more often than of another.
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

func (r *Sharer) send(to string, w message) {
	text, err := json.Marshal(w)
	if err != nil {
		r.log.Error().Err(err).Msg("lists: a word could not be encoded") // a defect
		return
	}
	r.fleet.Send(to, text)
}

// Filter is handed each list of our own watch, and returns what is believed.
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
		// What was told before it came, was told to all: the earlier time counts.
		if x.Told == now && l.Told > 0 {
			x.Told, changed[i].Told = l.Told, l.Told
		}
		// What a list merely leaves out is for who reads it. What others can't know yet, we say.
		// Who has just begun finds much in its first list that only it did not know.
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

func isMissing(lines []version.NodeEntry, id string) bool {
	for _, x := range lines {
		if x.ID == id {
			return false
		}
	}
	return true
}

// announce says a line to all.
func (r *Sharer) announce(now time.Duration, x version.NodeEntry) {
	if !r.started {
		return
	}
	body, err := json.Marshal(nodeLineOf(now, x))
	if err != nil {
		r.log.Error().Err(err).Msg("lists: a line could not be encoded") // a defect
		return
	}
	r.fleet.Announce(entryKeyPrefix+x.ID, body)
}

// publish hands on what is believed since somebody else said it.
func (r *Sharer) publish(list []version.NodeEntry) {
	if len(list) > 0 {
		r.dir.Publish(discovery.List{Revision: r.nodeView.Revision(), Members: r.discoveryEntries(list)})
	}
}

// News takes what others announced so long ago.
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

func (r *Sharer) applyLines(list []nodeLine) {
	now := r.core.Now()
	var changed []version.NodeEntry
	for _, x := range list {
		if x.ID == "" || x.Life > version.NodeGone {
			continue // by a newer program
		}
		if nodeEntry, ok := r.nodeView.ApplyReport(now, x.nodeEntry(now)); ok {
			changed = append(changed, nodeEntry)
		}
	}
	r.publish(changed)
}

// HandleMessage takes what another mixer says to us: whether it believes what we believe.
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
	// It may not know what we know.
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

func (r *Sharer) discoveryEntries(list []version.NodeEntry) (out []discovery.Entry) {
	for _, x := range list {
		var e discovery.Entry
		if err := json.Unmarshal([]byte(x.Data), &e); err != nil || e.ID != x.ID {
			continue // by a program that writes entries otherwise
		}
		e.Phase, e.Told = phases[x.Life], x.Told
		out = append(out, e)
	}
	return out
}

var phases = [...]string{"active", "leaving", "left"}

func nodeEntryOf(e discovery.Entry) version.NodeEntry {
	x := version.NodeEntry{ID: e.ID, Started: e.UpSinceMS}
	for i, p := range phases {
		if p == e.Phase {
			x.Life = version.Life(i)
		}
	}
	e.Phase = phases[0]
	text, _ := json.Marshal(e) // of strings and numbers
	x.Data = string(text)
	return x
}

func nodeLineOf(now time.Duration, x version.NodeEntry) nodeLine {
	s := nodeLine{ID: x.ID, Started: x.Started, Life: x.Life, Data: x.Data}
	if x.Told > 0 {
		s.AgeMS = max(0, now-x.Told).Milliseconds()
	}
	return s
}

func (s nodeLine) nodeEntry(now time.Duration) version.NodeEntry {
	x := version.NodeEntry{ID: s.ID, Started: s.Started, Life: s.Life, Data: s.Data}
	if x.Life != version.NodeActive {
		x.Told = max(1, now-time.Duration(max(0, s.AgeMS))*time.Millisecond)
	}
	return x
}
