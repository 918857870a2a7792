package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/fleet/version"
)

// fleet is the table of the talk among mixers.
type fleet struct {
	Name       string            `toml:"name"`
	Listen     string            `toml:"listen"`
	Announce   string            `toml:"announce"`
	KeyFile    string            `toml:"key_file"`
	Zone       string            `toml:"zone"`
	Seeds      []string          `toml:"seeds"`
	Via        map[string]string `toml:"via"`
	Snapshot   string            `toml:"snapshot"`
	PeriodMS   int               `toml:"period_ms"`
	ForgetS    int               `toml:"forget_s"`
	Expected   int               `toml:"expected"`
	ShareLists bool              `toml:"lists"`
	Accord     struct {
		Voters    []string `toml:"voters"`
		Directory string   `toml:"directory"`
		LeaseMS   int      `toml:"lease_ms"`
		TrialMS   int      `toml:"trial_ms"`
		Leave     bool     `toml:"leave_zones"`
	} `toml:"accord"`
}

const (
	defaultPeriod = 500
	leastPeriod   = 50
	mostPeriod    = 10_000
	defaultForget = 600
	leastForget   = 60
	mostFleet     = 4096
	longestName   = 64

	defaultLease = 3000
	leastLease   = 1000
	mostLease    = 60_000
	defaultTrial = 2000
	mostTrial    = 600_000
	mostVoters   = 7
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
	c.ShareLists = f.ShareLists
	return c.readAccord(path, f, bad)
}

// readAccord checks the table of agreed settings.
func (c *Config) readAccord(path string, f *fleet, bad func(key, format string, args ...any) error) error {
	t := &f.Accord
	if len(t.Voters) == 0 {
		if t.Directory != "" || t.LeaseMS != 0 || t.TrialMS != 0 || t.Leave {
			return bad("accord.voters", "missing")
		}
		return nil
	}
	if n := len(t.Voters); n%2 == 0 || n > mostVoters {
		return bad("accord.voters", "%d of them; want 1, 3, 5 or 7", n)
	}
	for i, name := range t.Voters {
		if name == "" || len(name) > longestName || slices.Contains(t.Voters[:i], name) {
			return bad(fmt.Sprintf("accord.voters[%d]", i), "%q is no name, or comes twice", name)
		}
	}
	if t.Directory == "" && slices.Contains(t.Voters, c.Name) {
		return bad("accord.directory", "missing; this mixer is a voter")
	}
	lease, trial := cmp.Or(t.LeaseMS, defaultLease), cmp.Or(t.TrialMS, defaultTrial)
	if lease < leastLease || lease > mostLease {
		return bad("accord.lease_ms", "%d is not between %d and %d", lease, leastLease, mostLease)
	}
	if trial < 0 || trial > mostTrial {
		return bad("accord.trial_ms", "%d is not between 0 and %d", trial, mostTrial)
	}
	set := c.Settings
	c.LeaveZones = t.Leave
	c.Accord = &accord.Config{Name: c.Name, Voters: t.Voters, Directory: t.Directory, LeaseDuration: time.Duration(lease) * time.Millisecond,
		TrialDuration: time.Duration(trial) * time.Millisecond, Seed: c.Seed, ParseRules: func(text string) (version.Rules, error) { return Document(text, set) }}
	return nil
}
