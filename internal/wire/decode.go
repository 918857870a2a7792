// Package wire is the codec for the line protocol of the simulator, which drives instances of
// the decision module. It translates lines to the events and actions of package decide. A
// malformed line is an error; unknown settings are ignored.
//
// A line holds a message's name and its values, separated by tabs.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/settings"
)

const (
	maxTables     = 16 // tables of servers that can be referred to at a time
	idLength      = 16 // hex digits
	maxTokenBytes = 64
)

// Kind is the kind of an Item.
type Kind int

// The kinds of items.
const (
	KindEvent   Kind = iota // an event for a running instance
	KindSpawn               // a new instance with Seed and Settings
	KindDestroy             // the instance is gone
)

// Item is one line of a batch that concerns an instance.
type Item struct {
	Instance int // number of the instance
	Kind     Kind
	Seed     uint64          // KindSpawn: seed of the instance's random numbers
	Settings decide.Settings // KindSpawn
	Event    decide.Event    // KindEvent
}

// Batch holds the items of one instant of the simulator's clock, in order.
type Batch struct {
	Clock time.Duration
	Items []Item
}

// Decoder reads batches. It keeps the tables of servers, because later batches may refer to
// them.
type Decoder struct {
	r          *bufio.Reader
	line       int
	tables     [maxTables][]decide.Server
	loadFields map[int][]string // names of the values in load reports, by instance
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<20), loadFields: map[int][]string{}}
}

// readLine returns the next line without its line feed. It returns io.EOF only between lines.
func (d *Decoder) readLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && s != "" {
			return "", fmt.Errorf("line %d: input ends within a line", d.line+1)
		}
		return "", err
	}
	d.line++
	return strings.TrimSuffix(s, "\n"), nil
}

// Next reads one batch. It returns io.EOF if the input ends between batches. Errors in the input
// name the line. After an error no further batch can be read.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	s, err := d.readLine()
	if err != nil {
		return b, err
	}
	f := strings.Split(s, "\t")
	if f[0] != "CLOCK" || len(f) != 2 {
		return b, d.malformed(s, errors.New("a batch must start with CLOCK and a time"))
	}
	if b.Clock, err = parseTime(f[1]); err != nil {
		return b, d.malformed(s, err)
	}
	for {
		if s, err = d.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				err = fmt.Errorf("line %d: input ends within a batch", d.line)
			}
			return b, err
		}
		if s == "YOUR_TURN" {
			return b, nil
		}
		if strings.HasPrefix(s, "TABLE\t") {
			if err := d.readTable(s); err != nil {
				return b, err
			}
			continue
		}
		item, err := d.parseItem(s)
		if err != nil {
			return b, d.malformed(s, err)
		}
		b.Items = append(b.Items, item)
	}
}

// malformed returns an error with the line's number and its first 120 bytes.
func (d *Decoder) malformed(s string, err error) error {
	if len(s) > 120 {
		s = s[:120] + "..."
	}
	return fmt.Errorf("line %d: malformed line %q: %w", d.line, s, err)
}

// readTable reads a TABLE line and the ENTRY lines that follow it.
func (d *Decoder) readTable(s string) error {
	f := newValueReader(s)
	table, n := f.index("sheet"), f.index("members_list")
	if err := f.finish(); err != nil {
		return d.malformed(s, err)
	}
	if table >= maxTables {
		return d.malformed(s, fmt.Errorf("sheet %d is not under %d", table, maxTables))
	}
	var list []decide.Server
	for range n {
		s, err := d.readLine()
		if err != nil {
			return fmt.Errorf("line %d: reading a table of %d entries: %w", d.line, n, err)
		}
		srv, err := parseEntry(s)
		if err != nil {
			return d.malformed(s, err)
		}
		list = append(list, srv)
	}
	d.tables[table] = list
	return nil
}

// parseEntry parses one server of a table.
func parseEntry(s string) (decide.Server, error) {
	f := newValueReader(s)
	if f.name != "ENTRY" {
		return decide.Server{}, errors.New("an ENTRY is missing from the table")
	}
	srv := decide.Server{ID: f.word("server"), Zone: f.index("hall")}
	f.index("model")
	srv.Cell = f.index("cell")
	switch c := f.word("condition"); c {
	case "Running":
		srv.State = decide.Running
	case "Stopping":
		srv.State = decide.Stopping
	case "Deleted":
		srv.State = decide.Deleted
	default:
		f.fail("condition", fmt.Errorf("unknown state %q", c))
	}
	srv.CapacityHint = f.optNumber("capacity_hint")
	srv.Started = f.optDuration("started_at")
	return srv, f.finish()
}

// parseItem parses a line that concerns an instance.
func (d *Decoder) parseItem(s string) (Item, error) {
	f := newValueReader(s)
	it := Item{Instance: f.index("gatherer")}
	switch f.name {
	case "SPAWN":
		it.Kind = KindSpawn
		it.Seed = f.unsigned("rng_seed")
		set, err := settings.Parse([]byte(f.rest("boot_info")))
		if err != nil {
			f.fail("boot_info", err)
		}
		it.Settings = set.Module
		d.loadFields[it.Instance] = set.LoadFields
	case "DESTROY":
		it.Kind = KindDestroy
		delete(d.loadFields, it.Instance)
	case "SYNC":
		it.Event = d.parseSync(f)
	case "NEW_REQUEST":
		it.Event = parseRequest(f)
	case "STREAMING":
		it.Event = decide.StreamStarted{Part: f.id("job"), Latency: f.duration("lag"), Attempt: f.index("send_no"),
			Server: f.word("server")}
	case "COMPLETED":
		it.Event = d.parseCompleted(f, it.Instance)
	case "WITHDRAWN":
		it.Event = decide.ClientGone{Query: f.id("job")}
	case "WAKEUP":
		it.Event = decide.TimerFired{Token: f.token("mark")}
	case "PROBE_DONE":
		it.Event = decide.ProbeDone{Server: f.word("server"), Outcome: f.outcome("result"), Latency: f.duration("lag"),
			Load: f.loadReport("load", d.loadFields[it.Instance])}
	case "MEMO":
		it.Event = decide.PeerMessage{Sender: f.index("sender"), Body: f.bytes("body")}
	default:
		return it, fmt.Errorf("unknown message %q", f.name)
	}
	return it, f.finish()
}

// parseSync parses a change of the server list, or its failure.
func (d *Decoder) parseSync(f *valueReader) decide.Event {
	form := f.word("form")
	if form == "lost" {
		f.word("serial")
		f.word("sheet")
		return decide.WatchFailed{}
	}
	if form != "incr" && form != "total" && form != "warm_copy" {
		f.fail("form", fmt.Errorf("unknown form %q", form))
	}
	ev := decide.ServerListUpdate{Full: form != "incr", Version: f.integer("serial")}
	table := f.index("sheet")
	if table >= maxTables {
		f.fail("sheet", fmt.Errorf("%d is not under %d", table, maxTables))
		return ev
	}
	// A table whose number is reused gets a new slice, so this one may be shared.
	ev.Servers = d.tables[table]
	return ev
}

// parseRequest parses a query, or a part if the shard is not negative. Bit 0 of marks says that
// the work is known, bit 1 that the query is a retry.
func parseRequest(f *valueReader) decide.Event {
	id, class, tenant := f.id("job"), f.index("service"), f.optIndex("client_group")
	key, left, work := f.optWord("partition_key"), f.duration("left"), f.optDuration("effort")
	number, shard, weight := f.integer("job_no"), f.integer("shard"), f.number("heft")
	marks := f.index("marks")
	if marks&1 == 0 {
		work = 0
	}
	if shard >= 0 {
		return decide.PartArrived{ID: id, Number: number, Shard: int(shard), Weight: weight, Work: work}
	}
	return decide.QueryArrived{ID: id, Number: number, Class: class, Tenant: tenant, Key: key, Left: left,
		Work: work, Repeat: marks&2 != 0}
}

// parseCompleted parses the end of an attempt.
func (d *Decoder) parseCompleted(f *valueReader, instance int) decide.Event {
	ev := decide.AttemptDone{Part: f.id("job"), Attempt: f.index("send_no"), Server: f.word("server"),
		Outcome: f.outcome("result"), Latency: f.duration("lag")}
	f.boolean("last")
	ev.Load = f.loadReport("load", d.loadFields[instance])
	return ev
}

// valueReader reads the values of one line in order and keeps the first error, which finish
// returns. Its methods take the value's name for the error text. Those that begin with opt return
// zero for an absent value, which is written as "-".
type valueReader struct {
	name      string
	remaining string
	hasMore   bool
	err       error
}

func newValueReader(s string) *valueReader {
	name, remaining, hasMore := strings.Cut(s, "\t")
	return &valueReader{name: name, remaining: remaining, hasMore: hasMore}
}

func (f *valueReader) fail(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %w", name, err)
	}
}

// next returns the next value as it stands.
func (f *valueReader) next(name string) string {
	if !f.hasMore {
		f.fail(name, errors.New("value missing"))
		return ""
	}
	var v string
	v, f.remaining, f.hasMore = strings.Cut(f.remaining, "\t")
	return v
}

// rest returns all that is left of the line as one value.
func (f *valueReader) rest(name string) string {
	if !f.hasMore {
		f.fail(name, errors.New("value missing"))
		return ""
	}
	v := f.remaining
	f.remaining, f.hasMore = "", false
	return v
}

// finish returns the first error, or an error if values are left.
func (f *valueReader) finish() error {
	if f.err == nil && f.hasMore {
		f.err = errors.New("too many values for this message")
	}
	return f.err
}

// word reads a value that is not empty and holds no space.
func (f *valueReader) word(name string) string {
	v := f.next(name)
	if f.err == nil && (v == "" || strings.ContainsRune(v, ' ')) {
		f.fail(name, fmt.Errorf("%q is not a word", v))
	}
	return v
}

func (f *valueReader) optWord(name string) string {
	if v := f.word(name); v != "-" {
		return v
	}
	return ""
}

// token reads the token of a timer.
func (f *valueReader) token(name string) string {
	v := f.word(name)
	if len(v) > maxTokenBytes {
		f.fail(name, fmt.Errorf("longer than %d bytes", maxTokenBytes))
	}
	return v
}

// id reads the id of a query or part: idLength hex digits.
func (f *valueReader) id(name string) string {
	v := f.next(name)
	if f.err != nil {
		return v
	}
	if len(v) != idLength || strings.Trim(v, "0123456789abcdefABCDEF") != "" {
		f.fail(name, fmt.Errorf("%q is not %d hex digits", v, idLength))
	}
	return v
}

// integer reads a whole number, which may be written as 3.0.
func (f *valueReader) integer(name string) int64 {
	v := f.next(name)
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		// Only up to 2^53 does a float64 hold each whole number exactly.
		x, ferr := strconv.ParseFloat(v, 64)
		if ferr != nil || x != math.Trunc(x) || math.Abs(x) > 1<<53 {
			f.fail(name, fmt.Errorf("%q is not a whole number", v))
			return 0
		}
		n = int64(x)
	}
	return n
}

// unsigned reads 64 bits, which may be written as a signed number.
func (f *valueReader) unsigned(name string) uint64 {
	v := f.next(name)
	if n, err := strconv.ParseUint(v, 10, 64); err == nil {
		return n
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(name, fmt.Errorf("%q is not a whole number", v))
	}
	return uint64(n)
}

// index reads a whole number from 0 to math.MaxInt32.
func (f *valueReader) index(name string) int {
	n := f.integer(name)
	if n < 0 || n > math.MaxInt32 {
		f.fail(name, fmt.Errorf("%d is out of range", n))
	}
	return int(n)
}

func (f *valueReader) optIndex(name string) int {
	if f.skipAbsent() {
		return 0
	}
	return f.index(name)
}

// skipAbsent consumes the next value if it is absent, and reports whether it was.
func (f *valueReader) skipAbsent() bool {
	if f.hasMore && (f.remaining == "-" || strings.HasPrefix(f.remaining, "-\t")) {
		_, f.remaining, f.hasMore = strings.Cut(f.remaining, "\t")
		return true
	}
	return false
}

func (f *valueReader) number(name string) float64 {
	v := f.next(name)
	x, err := parseNumber(v)
	if err != nil {
		f.fail(name, err)
	}
	return x
}

func (f *valueReader) optNumber(name string) float64 {
	if f.skipAbsent() {
		return 0
	}
	return f.number(name)
}

// duration reads seconds.
func (f *valueReader) duration(name string) time.Duration {
	v := f.next(name)
	t, err := parseTime(v)
	if err != nil {
		f.fail(name, err)
	}
	return t
}

func (f *valueReader) optDuration(name string) time.Duration {
	if f.skipAbsent() {
		return 0
	}
	return f.duration(name)
}

func (f *valueReader) boolean(name string) bool {
	v := f.next(name)
	if v != "0" && v != "1" {
		f.fail(name, fmt.Errorf("%q is neither 0 nor 1", v))
	}
	return v == "1"
}

// bytes reads base64 text; it returns nil for an absent value.
func (f *valueReader) bytes(name string) []byte {
	if f.skipAbsent() {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(f.next(name))
	if err != nil {
		f.fail(name, err)
	}
	return b
}

// outcome reads the number of a decide.Outcome.
func (f *valueReader) outcome(name string) decide.Outcome {
	n := f.index(name)
	if n > int(decide.NotSent) {
		f.fail(name, fmt.Errorf("unknown outcome %d", n))
	}
	return decide.Outcome(n)
}

// loadReport reads a load report, whose values are in the order of names. Values with other names
// are ignored, and a Load field without a value is -1. It returns nil for an absent report.
func (f *valueReader) loadReport(name string, names []string) *decide.Load {
	if f.skipAbsent() {
		return nil
	}
	values := strings.Split(f.next(name), ",")
	if f.err != nil {
		return nil
	}
	if len(values) != len(names) {
		f.fail(name, fmt.Errorf("%d values for %d fields", len(values), len(names)))
		return nil
	}
	l := &decide.Load{Latency: -1, Queue: -1}
	for i, v := range values {
		if v == "-" {
			continue
		}
		x, err := parseNumber(v)
		if err != nil {
			f.fail(name, err)
			return nil
		}
		switch names[i] {
		case "recent_ms":
			l.Latency = time.Duration(x * float64(time.Millisecond))
		case "backlog":
			l.Queue = x
		}
	}
	return l
}

// parseNumber parses a finite number.
func parseNumber(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	return x, nil
}

// parseTime parses seconds and rounds them to microseconds, the resolution of the simulator.
func parseTime(s string) (time.Duration, error) {
	x, err := parseNumber(s)
	if err != nil {
		return 0, err
	}
	return settings.DurationFromSeconds(x), nil
}
