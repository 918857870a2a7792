// Package config reads the mixer's configuration, checks it and applies defaults. The mixer
// reads it nowhere else. Errors name the faulty key.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strconv"

	"github.com/BurntSushi/toml"
	jsoniter "github.com/json-iterator/go"

	"kiteloft/internal/discovery"
	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/settings"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Config is the mixer's configuration.
type Config struct {
	Name       string  // of this mixer
	Listen     string  // address and port of the platform's front
	Discovery  string  // address and port of the discovery service
	Seed       uint64  // of random numbers
	Cores      float64 // CPU cores that the process may use
	MemoryMB   int64   // memory that the process may use
	Sockets    int     // sockets that the process may open
	KnownNodes discovery.List
	Settings   settings.Settings

	FlightListen   string // "": do not serve Arrow Flight
	IPFIXCollector string // "": do not export flows
	Tracing        Tracing
	Fleet          *link.Config   // nil: this mixer does not communicate with others
	Accord         *accord.Config // nil: the fleet has no agreed settings
	LeaveZones     bool           // the fleet leaves failing zones, and returns, by what all members observe
	ShareLists     bool           // members share the node lists that they got from discovery
}

// Tracing configures the recording of traces. Without a collector and a directory, none are
// recorded.
type Tracing struct {
	Collector   string  // URL of a collector that accepts OTLP over HTTP; "": none
	Directory   string  // for segment files; "": none
	MemoryKB    int     // approximate memory for traces that are held
	Spans       float64 // recorded per second
	SegmentMB   int     // size of a segment file
	MaxSegments int     // segment files that are kept in the directory
}

// On reports whether traces are recorded.
func (t Tracing) On() bool { return t.Collector != "" || t.Directory != "" }

const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
	maxFileBytes    = 64 << 20

	defaultTraceMemoryKB  = 4096
	minTraceMemoryKB      = 64
	traceMemoryDivisor    = 4 // at most this fraction of the memory may hold traces
	defaultSpansPerSecond = 200
	defaultSegmentMB      = 8
	defaultMaxSegments    = 32
)

// RestartOnlyChanges returns the keys that differ in next and take effect only at a restart.
func (c Config) RestartOnlyChanges(next Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.Sockets == next.Sockets},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
		{"flight.listen", c.FlightListen == next.FlightListen}, {"ipfix.collector", c.IPFIXCollector == next.IPFIXCollector},
		{"tracing", c.Tracing == next.Tracing}, {"fleet", reflect.DeepEqual(c.Fleet, next.Fleet) && c.ShareLists == next.ShareLists}, {"fleet.accord", equalAccord(c.Accord, next.Accord) && c.LeaveZones == next.LeaveZones},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// mainFile is the JSON file that LB_CONFIG names.
type mainFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	KnownNodes jsoniter.RawMessage `json:"known"`
	Settings   jsoniter.RawMessage `json:"settings"`
}

// brokerFile is the project's own file, deploy/broker.toml.
type brokerFile struct {
	Flight struct {
		Listen string `toml:"listen"`
	} `toml:"flight"`
	IPFIX struct {
		Collector string `toml:"collector"`
	} `toml:"ipfix"`
	Tracing struct {
		Collector string  `toml:"collector"`
		Directory string  `toml:"directory"`
		MemoryKB  int     `toml:"memory_kb"`
		Spans     float64 `toml:"spans_per_second"`
		SegmentMB int     `toml:"segment_mb"`
		Segments  int     `toml:"segments"`
	} `toml:"tracing"`
	Fleet fleetTable `toml:"fleet"`
}

// Load reads the environment, the file that LB_CONFIG names and the project's own file at
// tomlPath, which may be missing. The environment overrides the file.
func Load(getenv func(string) string, tomlPath string) (Config, error) {
	return load(getenv, tomlPath, false)
}

// Reload reads the configuration again while the program runs. The file overrides the
// environment, because it may be newer.
func Reload(getenv func(string) string, tomlPath string) (Config, error) {
	return load(getenv, tomlPath, true)
}

func load(getenv func(string) string, tomlPath string, reload bool) (Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Config{}, errors.New("LB_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = errors.New("file exceeds the size limit")
	}
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parseMainFile(text, getenv, reload)
	if err != nil {
		return Config{}, err
	}
	return c, c.readTOML(tomlPath)
}

// parseMainFile parses the file that LB_CONFIG names and applies the environment and defaults.
func parseMainFile(text []byte, getenv func(string) string, reload bool) (c Config, err error) {
	var f mainFile
	if err := json.Unmarshal(text, &f); err != nil {
		return c, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c = Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Cores: f.Limits.Cores,
		MemoryMB: int64(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets)}
	// At the start the environment is expected to agree with the file and overrides it. At a
	// reload it only fills in keys that the file lacks.
	for key, v := range map[string]*string{"LB_NAME": &c.Name, "LB_LISTEN": &c.Listen, "LB_DISCOVERY": &c.Discovery} {
		if s := getenv(key); s != "" && !(reload && *v != "") {
			*v = s
		}
	}
	if c.Name == "" {
		return c, errors.New("LB_NAME (name): missing")
	}
	if err := checkAddress("LB_LISTEN (listen)", c.Listen); err != nil {
		return c, err
	}
	if err := checkAddress("LB_DISCOVERY (discovery)", c.Discovery); err != nil {
		return c, err
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("seed: %w", err)
		}
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.MemoryMB < minMemoryMB {
		return c, fmt.Errorf("limits.memory_mb: %d is under %d", c.MemoryMB, minMemoryMB)
	}
	if c.Sockets < minSockets {
		return c, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, minSockets)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(c.Settings.Module.Classes) == 0 {
		return c, errors.New("settings.classes: missing")
	}
	if len(f.KnownNodes) > 0 && string(f.KnownNodes) != "null" {
		if c.KnownNodes, err = discovery.Parse(f.KnownNodes); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	c.KnownNodes.Complete = true // the list holds all nodes that this mixer knows
	return c, nil
}

// readTOML reads the project's own file, in which unknown keys are errors.
func (c *Config) readTOML(path string) error {
	var b brokerFile
	meta, err := toml.DecodeFile(path, &b)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("%s: %s: unknown key", path, extra[0])
	}
	c.FlightListen, c.IPFIXCollector = b.Flight.Listen, b.IPFIX.Collector
	if c.FlightListen != "" {
		if err := checkAddress(path+": flight.listen", c.FlightListen); err != nil {
			return err
		}
	}
	if c.IPFIXCollector != "" {
		if err := checkAddress(path+": ipfix.collector", c.IPFIXCollector); err != nil {
			return err
		}
	}
	if err := c.readTracing(path, &b); err != nil {
		return err
	}
	return c.readFleet(path, &b.Fleet, meta.IsDefined("fleet"))
}

// readTracing checks the tracing table and applies defaults. The default memory is reduced on
// a mixer with little memory; a value that is too large is an error.
func (c *Config) readTracing(path string, b *brokerFile) error {
	t := &b.Tracing
	c.Tracing = Tracing{Collector: t.Collector, Directory: t.Directory, MemoryKB: cmp.Or(t.MemoryKB, defaultTraceMemoryKB),
		Spans: cmp.Or(t.Spans, defaultSpansPerSecond), SegmentMB: cmp.Or(t.SegmentMB, defaultSegmentMB), MaxSegments: cmp.Or(t.Segments, defaultMaxSegments)}
	if t.Collector != "" {
		u, err := url.Parse(t.Collector)
		if err == nil && (u.Scheme != "http" || u.Path == "" || u.User != nil) {
			err = errors.New("want http://address:port/path")
		}
		if err == nil {
			_, err = netip.ParseAddrPort(u.Host) // no DNS is available
		}
		if err != nil {
			return fmt.Errorf("%s: tracing.collector: %w", path, err)
		}
	}
	maxTraceMemoryKB := int(c.MemoryMB * 1024 / traceMemoryDivisor)
	switch {
	case t.MemoryKB == 0:
		c.Tracing.MemoryKB = min(c.Tracing.MemoryKB, maxTraceMemoryKB)
	case t.MemoryKB < minTraceMemoryKB || t.MemoryKB > maxTraceMemoryKB:
		return fmt.Errorf("%s: tracing.memory_kb: %d is not between %d and %d, a quarter of the memory", path, t.MemoryKB, minTraceMemoryKB, maxTraceMemoryKB)
	}
	for key, x := range map[string]float64{"spans_per_second": t.Spans, "segment_mb": float64(t.SegmentMB), "segments": float64(t.Segments)} {
		if !(x >= 0 && x <= 1e9) {
			return fmt.Errorf("%s: tracing.%s: %g is not between 0 and 1e9", path, key, x)
		}
	}
	return nil
}

// checkAddress checks that s is an IP address and a port. Names are not accepted, because no DNS
// is available.
func checkAddress(key, s string) error {
	if s == "" {
		return fmt.Errorf("%s: missing", key)
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
