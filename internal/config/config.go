// Package config is the one place where the mixer's configuration is read,
// checked and given defaults. Its errors name the faulty key.
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

// Config is all that the mixer is told.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	Cores      float64
	MemoryMB   int64
	Sockets    int
	KnownNodes discovery.List
	Settings   settings.Settings

	FlightListen   string // "": no Arrow Flight front
	IPFIXCollector string // "": no export of flows
	Tracing        Tracing
	Fleet          *link.Config   // nil: this mixer knows of no others
	Accord         *accord.Config // nil: they agree on no settings
	LeaveZones     bool           // they leave zones that fail, and return, by what all see
	ShareLists     bool           // they tell each other what discovery told them
}

// Tracing says what becomes of traces. Without a collector and a directory, none are
// recorded.
type Tracing struct {
	Collector   string // URL of a collector that takes OTLP over HTTP; "": none
	Directory   string // of segment files; "": none
	MemoryKB    int    // that traces held may take, about
	Spans       float64
	SegmentMB   int // size of a segment file
	MaxSegments int // segment files that are left in the directory
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
	traceMemoryDivisor    = 4 // one in so many bytes of the memory may hold traces
	defaultSpansPerSecond = 200
	defaultSegmentMB      = 8
	defaultMaxSegments    = 32
)

// RestartOnlyChanges names the keys in which the new configuration differs though they hold
// from one start to the next.
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

// mainFile is LB_CONFIG's.
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

// brokerFile is deploy/brokerFile.toml's.
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

// Load reads the environment, the file that LB_CONFIG names, and the project's
// own file at tomlPath, which may be missing.
func Load(getenv func(string) string, tomlPath string) (Config, error) {
	return load(getenv, tomlPath, false)
}

// Reload reads the same again while the program runs. The file is newer than the
// environment, so it wins where it names a key.
func Reload(getenv func(string) string, tomlPath string) (Config, error) {
	return load(getenv, tomlPath, true)
}

func load(getenv func(string) string, tomlPath string, again bool) (Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Config{}, errors.New("LB_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = errors.New("larger than any configuration")
	}
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parseMainFile(text, getenv, again)
	if err != nil {
		return Config{}, err
	}
	return c, c.readTOML(tomlPath)
}

func parseMainFile(text []byte, getenv func(string) string, again bool) (c Config, err error) {
	var f mainFile
	if err := json.Unmarshal(text, &f); err != nil {
		return c, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c = Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Cores: f.Limits.Cores,
		MemoryMB: int64(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets)}
	// At the start the environment says the same as the file; where they differ, it
	// wins.
	for key, v := range map[string]*string{"LB_NAME": &c.Name, "LB_LISTEN": &c.Listen, "LB_DISCOVERY": &c.Discovery} {
		if s := getenv(key); s != "" && !(again && *v != "") {
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
	c.KnownNodes.Complete = true // all that this mixer knows
	return c, nil
}

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
			_, err = netip.ParseAddrPort(u.Host) // there is no DNS
		}
		if err != nil {
			return fmt.Errorf("%s: tracing.collector: %w", path, err)
		}
	}
	most := int(c.MemoryMB * 1024 / traceMemoryDivisor)
	switch {
	case t.MemoryKB == 0:
		c.Tracing.MemoryKB = min(c.Tracing.MemoryKB, most)
	case t.MemoryKB < minTraceMemoryKB || t.MemoryKB > most:
		return fmt.Errorf("%s: tracing.memory_kb: %d is not between %d and %d, a quarter of the memory", path, t.MemoryKB, minTraceMemoryKB, most)
	}
	for key, x := range map[string]float64{"spans_per_second": t.Spans, "segment_mb": float64(t.SegmentMB), "segments": float64(t.Segments)} {
		if !(x >= 0 && x <= 1e9) {
			return fmt.Errorf("%s: tracing.%s: %g can't be", path, key, x)
		}
	}
	return nil
}

// checkAddress checks for an IP checkAddress and a port: there is no DNS.
func checkAddress(key, s string) error {
	if s == "" {
		return fmt.Errorf("%s: missing", key)
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
