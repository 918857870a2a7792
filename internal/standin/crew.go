package standin

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/standin/faults"
)

// CrewSetup is how the mixers of a fleet are started.
type CrewSetup struct {
	Program  string
	Others   map[int]string // mixers that run another build of it
	Dir      string         // an empty directory; each mixer gets one in it
	Mixers   int
	Settings string
	Home     bool // mixers are in their zones by the settings too, which name "a", "b" and so on
	Known    []Member
	Rooms    *Rooms             // the nodes, and what each mixer knows of them by its zone; nil: they are Known and Dirs
	Dirs     []string           // discovery's address, by mixer
	Zones    []string           // by mixer
	Period   time.Duration      // of the fleet's probes
	Disk     bool               // mixers keep a snapshot
	Alone    bool               // they don't talk at all
	Seed     uint64             // of what the links do by lot
	More     func(i int) string // more of a mixer's file, behind the fleet's own keys; nil: nothing
}

// Crew is mixers that talk to each other, each over a link of its own to each other one,
// in each direction, that can be spoilt. What is done to it is kept as a timeline.
type Crew struct {
	s     CrewSetup
	keys  link.Keys
	wires map[[2]int]*Wire
	at    []string // where each listens for the others, also after a restart
	began time.Time

	mu     sync.Mutex
	mixers []*Mixer
	alive  []bool
	past   []string // lines of the mixers that have ended
	told   []faults.Change
	time   []faults.Action
}

const crewKey = "a key of the stand-ins' own"

// NewCrew starts the mixers.
func NewCrew(s CrewSetup) (*Crew, error) {
	c := &Crew{s: s, keys: link.Keys{link.NewKey([]byte(crewKey))}, wires: map[[2]int]*Wire{}, at: make([]string, s.Mixers),
		mixers: make([]*Mixer, s.Mixers), alive: make([]bool, s.Mixers), began: time.Now()}
	for i := range s.Mixers {
		var err error
		if c.at[i], err = FixedAddress(); err != nil {
			return c, err
		}
		for j := range s.Mixers {
			if i == j {
				continue
			}
			w, err := NewWire(c.Name(i), c.Name(j), s.Seed+uint64(i*s.Mixers+j))
			if err != nil {
				return c, err
			}
			c.wires[[2]int{i, j}] = w
		}
	}
	for at, w := range c.wires {
		w.back = c.wires[[2]int{at[1], at[0]}]
	}
	return c, c.each(func(i int) error { return c.Start(i) })
}

// each does something with all mixers at once.
func (c *Crew) each(do func(i int) error) error {
	errs := make([]error, c.s.Mixers)
	var all sync.WaitGroup
	for i := range c.s.Mixers {
		all.Go(func() { errs[i] = do(i) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Name is a mixer's.
func (c *Crew) Name(i int) string { return fmt.Sprintf("n%d", i) }

// note keeps what was done.
func (c *Crew) note(m faults.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.At = time.Since(c.began)
	c.time = append(c.time, m)
}

// Run is all that was done so far, and what the mixers said of each other.
func (c *Crew) Run() faults.Run {
	r := faults.Run{Length: time.Since(c.began)}
	for i := range c.s.Mixers {
		r.Mixers = append(r.Mixers, c.Name(i))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Actions, r.Changes = slices.Clone(c.time), slices.Clone(c.told)
	return r
}

// Play does again what was done in another run, each at its time from now on.
func (c *Crew) Play(list []faults.Action) error {
	begun := time.Now()
	for _, m := range list {
		time.Sleep(time.Until(begun.Add(m.At)))
		var err error
		switch m.Do {
		case faults.Start:
			err = c.Start(m.Mixer)
		case faults.Kill:
			err = c.Kill(m.Mixer)
		case faults.End:
			err = c.End(m.Mixer)
		case faults.Pause:
			err = c.Pause(m.Mixer, m.For)
		case faults.Links:
			c.Spoil(m.From, m.To, m.Fault)
		default:
			err = fmt.Errorf("stand-in: %q can't be done to mixers", m.Do)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// heard keeps a log line that tells of a member's state.
func (c *Crew) heard(by string, line []byte) {
	var l struct{ Message, Member, From, To, Cause string }
	if json.Unmarshal(line, &l) != nil || l.Message != "fleet: a member's state" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, faults.Change{At: time.Since(c.began), By: by, Member: l.Member, From: l.From, To: l.To, Cause: l.Cause})
}

// Broker is a mixer's file, with more of the fleet's table.
func (c *Crew) Broker(i int, more string) string {
	zone := ""
	if i < len(c.s.Zones) {
		zone = c.s.Zones[i]
	}
	listen := c.at[i]
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	if c.s.Alone {
		return ""
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "[fleet]\nname = \"stand-in\"\nlisten = %q\nkey_file = %q\nzone = %q\nperiod_ms = %d\nexpected = %d\n", listen,
		filepath.Join(c.dir(i), "key"), zone, c.s.Period.Milliseconds(), c.s.Mixers)
	if c.s.Disk {
		fmt.Fprintf(b, "snapshot = %q\n", c.Snapshot(i))
	}
	var seeds []string
	for j := range min(3, c.s.Mixers) {
		if j != i {
			seeds = append(seeds, fmt.Sprintf("%q", c.wires[[2]int{i, j}].Addr()))
		}
	}
	fmt.Fprintf(b, "seeds = [%s]\n%s[fleet.via]\n", strings.Join(seeds, ", "), more)
	for j := range c.s.Mixers {
		if j != i {
			fmt.Fprintf(b, "%s = %q\n", c.Name(j), c.wires[[2]int{i, j}].Addr())
		}
	}
	return b.String()
}

// settings are a mixer's.
func (c *Crew) settings(i int) string {
	if !c.s.Home || c.s.Zones[i] == "" {
		return c.s.Settings
	}
	return strings.Replace(c.s.Settings, "{", fmt.Sprintf(`{"zone":%d,`, c.s.Zones[i][0]-'a'), 1)
}

func (c *Crew) more(i int) string {
	if c.s.More == nil {
		return ""
	}
	return c.s.More(i)
}

// Dir is a mixer's directory.
func (c *Crew) Dir(i int) string { return c.dir(i) }

// Ask asks a mixer about the settings that the fleet agrees on. An error of the answer's
// is one.
func (c *Crew) Ask(i int, q accord.Request) (x accord.Response, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return x, err
	}
	text, err := link.Ask(c.Mixer(i).Fleet(), "stand-in", c.keys, body, 8*time.Second)
	if err != nil {
		return x, err
	}
	if err := json.Unmarshal(text, &x); err != nil {
		return x, err
	}
	if x.Error != "" {
		err = errors.New(x.Error)
	}
	return x, err
}

func (c *Crew) dir(i int) string { return filepath.Join(c.s.Dir, c.Name(i)) }

// Snapshot is a mixer's file of the fleet.
func (c *Crew) Snapshot(i int) string { return filepath.Join(c.dir(i), "fleet.json") }

// Start starts a mixer, again if it has ended, under the same name and address.
func (c *Crew) Start(i int) error {
	if err := os.MkdirAll(c.dir(i), 0o755); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	if err := os.WriteFile(filepath.Join(c.dir(i), "key"), []byte(crewKey+"\n"), 0o600); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	for j := range c.s.Mixers {
		if j != i {
			if err := c.wires[[2]int{j, i}].Refuse(false); err != nil {
				return err
			}
		}
	}
	c.note(faults.Action{Do: faults.Start, Mixer: i})
	with := c.setup(i, c.dir(i))
	with.Heard = func(line []byte) { c.heard(c.Name(i), line) }
	m, err := Start(with)
	if err != nil {
		return err
	}
	for until := time.Now().Add(startTime); m.Fleet() == "" && !c.s.Alone; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return errors.New("the mixer did not begin its fleet")
		}
	}
	c.mu.Lock()
	c.mixers[i], c.alive[i], c.at[i] = m, true, m.Fleet()
	c.mu.Unlock()
	for j := range c.s.Mixers {
		if j != i {
			if err := c.wires[[2]int{j, i}].Lead(m.Fleet()); err != nil {
				return err
			}
		}
	}
	return nil
}

// setup is how a mixer is started in a directory.
func (c *Crew) setup(i int, dir string) Setup {
	known := c.s.Known
	if c.s.Rooms != nil {
		known = c.s.Rooms.Dirs[c.s.Zones[i][0]-'a'].Members()
	}
	return Setup{Program: cmp.Or(c.s.Others[i], c.s.Program), Dir: dir, Name: c.Name(i), Settings: c.settings(i), Discovery: c.s.Dirs[i], Known: known,
		Broker: c.Broker(i, c.more(i))}
}

// Twin is how another process of a mixer's name is started, at an address of its own.
func (c *Crew) Twin(i int, dir string) Setup {
	at := c.at[i]
	c.at[i] = ""
	with := c.setup(i, dir)
	c.at[i] = at
	if c.s.Disk {
		with.Broker = strings.ReplaceAll(with.Broker, c.Snapshot(i), filepath.Join(dir, "fleet.json"))
	}
	return with
}

// Mixer is one of them.
func (c *Crew) Mixer(i int) *Mixer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mixers[i]
}

// Alive reports whether a mixer runs.
func (c *Crew) Alive(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive[i]
}

// ended notes that a mixer's process is there no more: its machine refuses connections.
func (c *Crew) ended(i int) error {
	c.mu.Lock()
	c.alive[i] = false
	c.past = append(c.past, c.mixers[i].Logs()...)
	c.mu.Unlock()
	var errs []error
	for j := range c.s.Mixers {
		if j != i {
			errs = append(errs, c.wires[[2]int{j, i}].Refuse(true))
		}
	}
	return errors.Join(errs...)
}

// Kill ends a mixer at once.
func (c *Crew) Kill(i int) error {
	c.note(faults.Action{Do: faults.Kill, Mixer: i})
	m := c.Mixer(i)
	m.Kill()
	err := <-m.Exit
	m.Exit <- err
	return c.ended(i)
}

// End ends a mixer as a planned restart does.
func (c *Crew) End(i int) error {
	c.note(faults.Action{Do: faults.End, Mixer: i})
	return errors.Join(c.Mixer(i).Stop(), c.ended(i))
}

// Pause stops a mixer's process for a while.
func (c *Crew) Pause(i int, d time.Duration) error {
	c.note(faults.Action{Do: faults.Pause, Mixer: i, For: d})
	p := c.Mixer(i).Cmd.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	time.AfterFunc(d, func() { _ = p.Signal(syscall.SIGCONT) }) // it may have been killed
	return nil
}

// Wire is the link from one mixer to another.
func (c *Crew) Wire(from, to int) *Wire { return c.wires[[2]int{from, to}] }

// Spoil spoils all links from some mixers to others; an empty list means all.
func (c *Crew) Spoil(from, to []int, f faults.Fault) {
	c.note(faults.Action{Do: faults.Links, From: from, To: to, Fault: f})
	for at, w := range c.wires {
		if (len(from) == 0 || slices.Contains(from, at[0])) && (len(to) == 0 || slices.Contains(to, at[1])) {
			w.Spoil(f)
		}
	}
}

// View is a mixer's view of the fleet.
func (c *Crew) View(i int) (link.View, error) {
	return link.AskView(c.Mixer(i).Fleet(), "stand-in", c.keys, time.Second)
}

// Agree reports whether all mixers that run hold just these as alive, and none of them
// deems itself cut off; else it says what differs.
func (c *Crew) Agree() (bool, string) {
	var live []string
	for i := range c.s.Mixers {
		if c.Alive(i) {
			live = append(live, c.Name(i))
		}
	}
	for i := range c.s.Mixers {
		if !c.Alive(i) {
			continue
		}
		v, err := c.View(i)
		if err != nil {
			return false, fmt.Sprintf("%s: %v", c.Name(i), err)
		}
		var held []string
		for _, l := range v.Members {
			if l.State == "alive" {
				held = append(held, l.ID)
			}
		}
		if !slices.Equal(held, live) || v.Isolated {
			return false, fmt.Sprintf("%s holds %v, isolated %v; %v live", c.Name(i), held, v.Isolated, live)
		}
	}
	return true, ""
}

// Lines are all log lines so far that tell of members' states, of all mixers, those that
// have ended among them.
func (c *Crew) Lines() (list []string) {
	c.mu.Lock()
	list = slices.Clone(c.past)
	c.mu.Unlock()
	for i := range c.s.Mixers {
		if c.Alive(i) {
			list = append(list, c.Mixer(i).Logs()...)
		}
	}
	return slices.DeleteFunc(list, func(l string) bool { return !strings.Contains(l, `"message":"fleet: a member's state"`) })
}

// Close ends all.
func (c *Crew) Close() {
	for _, w := range c.wires {
		if w != nil {
			w.Close()
		}
	}
	for i := range c.s.Mixers {
		if m := c.Mixer(i); m != nil {
			_ = m.Cmd.Process.Signal(syscall.SIGCONT) // it may have ended
			m.Kill()
		}
	}
}
