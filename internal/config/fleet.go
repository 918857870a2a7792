package config

import (
	"cmp"
	"fmt"
	"time"

	"kiteloft/internal/fleet/link"
)

// fleet is the table of the talk among mixers.
type fleet struct {
	Name     string            `toml:"name"`
	Listen   string            `toml:"listen"`
	Announce string            `toml:"announce"`
	KeyFile  string            `toml:"key_file"`
	Zone     string            `toml:"zone"`
	Seeds    []string          `toml:"seeds"`
	Via      map[string]string `toml:"via"`
	Snapshot string            `toml:"snapshot"`
	PeriodMS int               `toml:"period_ms"`
	ForgetS  int               `toml:"forget_s"`
	Expected int               `toml:"expected"`
}

const (
	defaultPeriod = 500
	leastPeriod   = 50
	mostPeriod    = 10_000
	defaultForget = 600
	leastForget   = 60
	mostFleet     = 4096
	longestName   = 64
)

// readFleet checks the fleet's table. Its key file is read here, so that one that is
// missing ends the start before anything listens.
func (c *Config) readFleet(path string, f *fleet, there bool) (err error) {
	if !there {
		return nil
	}
	bad := func(key, format string, args ...any) error {
		return fmt.Errorf("%s: fleet.%s: %w", path, key, fmt.Errorf(format, args...))
	}
	if f.Name == "" || len(f.Name) > longestName {
		return bad("name", "want 1 to %d bytes", longestName)
	}
	if len(c.Name) > longestName {
		return fmt.Errorf("LB_NAME (name): over %d bytes, which a fleet does not carry", longestName)
	}
	if err := address(path+": fleet.listen", f.Listen); err != nil {
		return err
	}
	if f.Announce != "" {
		if err := address(path+": fleet.announce", f.Announce); err != nil {
			return err
		}
	}
	for i, s := range f.Seeds {
		if err := address(fmt.Sprintf("%s: fleet.seeds[%d]", path, i), s); err != nil {
			return err
		}
	}
	for id, s := range f.Via {
		if err := address(path+": fleet.via."+id, s); err != nil {
			return err
		}
	}
	if f.KeyFile == "" {
		return bad("key_file", "missing")
	}
	keys, err := link.ReadKeys(f.KeyFile)
	if err != nil {
		return bad("key_file", "%w", err)
	}
	period, forget := cmp.Or(f.PeriodMS, defaultPeriod), cmp.Or(f.ForgetS, defaultForget)
	if period < leastPeriod || period > mostPeriod {
		return bad("period_ms", "%d is not between %d and %d", period, leastPeriod, mostPeriod)
	}
	if forget < leastForget {
		return bad("forget_s", "%d is under %d", forget, leastForget)
	}
	expected := cmp.Or(f.Expected, c.Settings.Module.Aggregators, 1)
	if expected < 1 || expected > mostFleet {
		return bad("expected", "%d is not between 1 and %d", expected, mostFleet)
	}
	zone := f.Zone
	if at := c.Settings.Module.Zone; zone == "" && at >= 0 && at < len(c.Settings.Zones) {
		zone = c.Settings.Zones[at]
	}
	c.Fleet = &link.Config{Fleet: f.Name, ID: c.Name, Zone: zone, Listen: f.Listen, Announce: f.Announce, Keys: keys, Seeds: f.Seeds, Via: f.Via,
		Snapshot: f.Snapshot, Period: time.Duration(period) * time.Millisecond, Forget: time.Duration(forget) * time.Second,
		Expected: expected, Seed: c.Seed}
	return nil
}
