// Command kiteloft is the mixer: it takes queries from clients, has the decision
// module say where their parts go, and gives each one final answer.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/config"
	"kiteloft/internal/discovery"
	"kiteloft/internal/front"
	"kiteloft/internal/front/flight"
	"kiteloft/internal/front/platform"
	"kiteloft/internal/ipfix"
	"kiteloft/internal/memory"
	"kiteloft/internal/node"
	nodeflight "kiteloft/internal/node/flight"
	"kiteloft/internal/transport"
)

const (
	brokerFile = "deploy/broker.toml"
	// clockStart is what the module's clock shows at our start: servers that
	// started before us have to have a time above zero.
	clockStart   = 24 * time.Hour
	ownFiles     = 40   // descriptors that are not connections
	logLines     = 1000 // lines that may wait to be written
	logPoll      = 50 * time.Millisecond
	backlogShare = 8   // one in so many bytes of memory may hold what was read and not looked at
	memoryShare  = 0.7 // share of the memory limit at which the collector works harder
	processMB    = 20  // megabytes that the process takes when nothing is asked of it
	programMB    = 19  // megabytes of these that the collector does not manage: the program itself
	inputShare   = 10  // one in so many of the other bytes may hold unfinished and waiting requests
	textShare    = 10  // one in so many of them may hold the texts of open queries
)

// flags are the command line's. Without any, the mixer serves as the environment
// and the files say.
type flags struct {
	Config  string           `help:"The configuration file, in place of the one that LB_CONFIG names." placeholder:"FILE"`
	Check   bool             `help:"Read and check the configuration, and end: with 0 if it is sound, else with 2."`
	Version kong.VersionFlag `help:"Print the version and end."`
}

func main() {
	sig := notify() // first of all: a hang-up would end the program until then
	var f flags
	kong.Parse(&f, kong.Name("kiteloft"), kong.Vars{"version": revision()},
		kong.Description("The mixer: a broker between the services that ask for stock and the stock nodes."))
	os.Exit(run(f, sig))
}

// revision is the one that the program was built from.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+"
		}
	}
	return rev + dirty
}

func run(f flags, sig signals) int {
	getenv := os.Getenv
	if f.Config != "" {
		getenv = func(key string) string {
			if key == "LB_CONFIG" {
				return f.Config
			}
			return os.Getenv(key)
		}
	}
	if f.Check {
		if _, err := config.Load(getenv, brokerFile); err != nil {
			fmt.Fprintln(os.Stderr, "configuration is faulty:", err)
			return 2
		}
		fmt.Println("configuration is sound")
		return 0
	}
	out := logTo(os.Stderr)
	defer func() { _ = out.Close() }() // nobody is left to tell
	log := zerolog.New(out).With().Timestamp().Logger()
	var cfg config.Config
	err := persist(func() (err error) {
		cfg, err = config.Load(getenv, brokerFile)
		return err
	})
	if err != nil {
		log.Error().Err(err).Msg("configuration is faulty")
		return 2
	}
	log = log.With().Str("mixer", cfg.Name).Logger()
	// The poller says something of each accept that fails, thousands of times a second: our own
	// lines would be dropped for it.
	transport.SetLogOutput(front.Sampled(log.With().Str("from", "netpoll").Logger()))
	if err := serve(cfg, getenv, sig, log); err != nil {
		log.Error().Err(err).Msg("mixer failed")
		return 1
	}
	return 0
}

// logTo guards the loop against whoever reads our log and stops: lines are dropped,
// and counted, rather than waited for. The lines are polled for: the library's other
// way misses a wake-up now and then, and a line waits for the next one.
func logTo(w io.Writer) diode.Writer {
	return diode.NewWriter(w, logLines, logPoll, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", missed) // nobody reads
	})
}

// coreLog writes the core's log lines.
type coreLog struct{ zerolog.Logger }

func (l coreLog) Module(line string) { l.Info().Str("line", line).Msg("module") }

func (l coreLog) Guard(rule, id, trace, about string) {
	line := l.Warn().Str("rule", rule).Str("id", id)
	if trace != "" {
		line = line.Str("trace", trace)
	}
	line.Str("about", about).Msg("a guard of the core stepped in")
}

func (l coreLog) Storm(state, about string) {
	l.Warn().Str("state", state).Str("about", about).Msg("clients' retries")
}

// signals are what the platform may send. A hang-up must not wait behind an end,
// nor the other way round; one that waits stands for all that come meanwhile.
type signals struct{ end, again chan os.Signal }

func notify() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.again, syscall.SIGHUP)
	// Guards against the end of whoever reads our log: a write to it then fails, and would
	// end the program as well.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

const (
	settleTime = time.Second // by when what is half done at a start or a hang-up is whole
	settlePace = 50 * time.Millisecond
)

// persist tries something again for a moment: a file may be in the middle of being written, an
// address about to be left by its last owner.
func persist(try func() error) error {
	for until := time.Now().Add(settleTime); ; time.Sleep(settlePace) {
		if err := try(); err == nil || time.Now().After(until) {
			return err
		}
	}
}

// reloads reads the configuration again when it is told to. A file that is faulty may be in the
// middle of being written: it is looked at again for a while.
type reloads struct {
	held   config.Config
	getenv func(string) string
	move   func(addr string)
	log    zerolog.Logger
	until  time.Time // of the present one
	again  <-chan time.Time
}

// begin reads the configuration.
func (r *reloads) begin() {
	r.until = time.Now().Add(settleTime)
	r.try()
}

// try reads the configuration, and has it read again soon if it is faulty.
func (r *reloads) try() {
	r.again = nil
	cfg, err := config.Reload(r.getenv, brokerFile)
	switch {
	case err == nil:
		r.held = reload(r.held, cfg, r.move, r.log)
	case time.Now().Before(r.until):
		r.again = time.After(settlePace)
	default:
		// Guards the service against a file that is wrong.
		r.log.Error().Err(err).Msg("new configuration is faulty, the old one stays")
	}
}

// reload follows a new configuration and returns what holds from now.
func reload(old, cfg config.Config, move func(addr string), log zerolog.Logger) config.Config {
	for _, key := range old.RestartOnlyChanges(cfg) {
		log.Warn().Str("key", key).Msg("changed key takes effect at the next start")
	}
	log.Info().Str("discovery", cfg.Discovery).Msg("configuration read again")
	old.Discovery = cfg.Discovery
	move(cfg.Discovery)
	return old
}

func serve(cfg config.Config, getenv func(string) string, sig signals, log zerolog.Logger) error {
	runtime.GOMAXPROCS(1) // we are given one core
	debug.SetMemoryLimit(min(int64(memoryShare*float64(cfg.MemoryMB)*(1<<20)), (cfg.MemoryMB-programMB)<<20))
	spareBytes := (cfg.MemoryMB - processMB) << 20
	input := memory.NewBudget(spareBytes / inputShare)

	started := time.Now()
	clock := func() time.Duration { return clockStart + time.Since(started) }
	set := cfg.Settings
	set.Module.ReportShortages = cfg.Tracing.On()
	core := broker.New(set, decide.New(set.Module, cfg.Seed), clock, coreLog{log})
	traced, err := newTraces(core, cfg, started.Add(-clockStart), log)
	if err != nil {
		return err
	}
	var flows *ipfix.Exporter
	count := &counter{core: core, log: log, ends: map[transport.End]int{}}
	ended := count.ended
	if cfg.IPFIXCollector != "" {
		flows = ipfix.NewExporter(core, transport.NewNet(core, transport.Limits{Conns: 1}, nil), cfg.IPFIXCollector, cfg.Name, log)
		ended = func(s transport.Stats) { count.ended(s); flows.Add(s) }
	}
	net := transport.NewNet(core, transport.Limits{Conns: cfg.Sockets - ownFiles, Backlog: cfg.MemoryMB << 20 / backlogShare}, ended)
	count.net = net
	links := node.New(core, net, node.Limits{ConnectTimeout: set.ConnectTimeout, ConnIdle: set.ConnIdle,
		StreamsPerConn: set.StreamsPerConn}, map[string]node.Protocol{"": node.NewFrameSession, nodeflight.Scheme: nodeflight.Protocol}, log)
	dir := discovery.New(core, net.Direct(), cfg.Discovery, set.Zones, log)
	dir.MixerCount, dir.PushedToAgent = set.Module.Aggregators, !set.Module.WatchDiscovery
	core.Attach(links, dir)
	core.SetCounts(&count.set)
	links.Counts, dir.Counts = &count.set, &count.set
	core.LimitOpenBytes(spareBytes / textShare)
	front := platform.New(core, set.Module.Classes, set.Module.Tenants, net, log)
	front.LimitInput(input)
	var ln *transport.Listener
	err = persist(func() (err error) {
		ln, err = net.Listen(cfg.Listen, func(c *transport.Conn) transport.Handler { return front.Accept(c) })
		return err
	})
	if err != nil {
		return fmt.Errorf("LB_LISTEN: %w", err)
	}
	e := &ending{core: core, longest: longest(set.Module.Classes), front: front, listeners: []*transport.Listener{ln}, flows: flows,
		traces: traced, log: log, stop: make(chan struct{})}
	var columns *flight.Front
	if cfg.FlightListen != "" {
		if columns, err = flight.New(core, set.Module.Classes, net, cfg.Seed, log); err != nil {
			return fmt.Errorf("flight: %w", err)
		}
		columns.LimitInput(input)
		ln, err := net.Listen(cfg.FlightListen, func(c *transport.Conn) transport.Handler { return columns.Accept(c) })
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		e.listeners, e.columns = append(e.listeners, ln), columns
		log.Info().Str("listen", ln.Addr().String()).Msg("Flight front serves")
	}
	var failed error
	fleet, err := newFleet(core, cfg, links, dir, func(err error) {
		failed = err
		e.halt()
	}, log)
	if err != nil {
		return err
	}
	e.fleet = fleet
	core.Post(func() {
		if fleet != nil {
			fleet.Start(core)
		}
		if columns != nil {
			columns.Start()
		}
		if flows != nil {
			flows.Start()
		}
		if traced != nil {
			traced.ship()
		}
		links.Start()
		count.start()
		dir.Start(cfg.KnownNodes)
		if fleet != nil {
			fleet.Listed()
		}
		if fleet != nil && fleet.accord != nil {
			fleet.accord.Ready(front.Ready)
		} else {
			front.Ready()
		}
	})
	log.Info().Str("listen", ln.Addr().String()).Int("nodes", len(cfg.KnownNodes.Members)).Msg("mixer serves")

	go func() {
		r := reloads{held: cfg, getenv: getenv, log: log, move: func(addr string) { core.Post(func() { dir.ChangeAddress(addr) }) }}
		for ending := false; !ending; {
			select {
			case <-sig.again:
				r.begin()
			case <-r.again:
				r.try()
			case <-sig.end:
				ending = true // from here on, a hang-up means nothing
			}
		}
		log.Info().Msg("mixer ends: told to")
		core.Post(e.begin)
	}()
	core.Run(e.stop)
	if failed != nil {
		return failed
	}
	all, asked := core.Audit(), front.Audit()
	log.Info().Int64("taken", all.Taken).Int64("ended", all.Ended).Int64("violations", all.Violations).Int64("asked", asked.Received).Int64("answered", asked.Answered).
		Int64("deserted", asked.Abandoned).Msg("mixer has ended")
	return nil
}
