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

// fleetTable is the table [fleet], about the communication among mixers.
type fleetTable struct {
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
	defaultPeriodMS      = 500
	minPeriodMS          = 50
	maxPeriodMS          = 10_000
	defaultForgetSeconds = 600
	minForgetSeconds     = 60
	maxExpectedMembers   = 4096
	maxNameBytes         = 64

	defaultLeaseMS = 3000
	minLeaseMS     = 1000
	maxLeaseMS     = 60_000
	defaultTrialMS = 2000
	maxTrialMS     = 600_000
	maxVoters      = 7
)

// readFleet checks the table [fleet] if it is present, and applies defaults. It reads the key
// file, so that a missing one fails the start before anything listens.
func (c *Config) readFleet(path string, f *fleetTable, present bool) (err error) {
	if !present {
		return nil
	}
	bad := func(key, format string, args ...any) error {
		return fmt.Errorf("%s: fleet.%s: %w", path, key, fmt.Errorf(format, args...))
	}
	if f.Name == "" || len(f.Name) > maxNameBytes {
		return bad("name", "want 1 to %d bytes", maxNameBytes)
	}
	if len(c.Name) > maxNameBytes {
		return fmt.Errorf("LB_NAME (name): longer than %d bytes, the limit for a member of a fleet", maxNameBytes)
	}
	if err := checkAddress(path+": fleet.listen", f.Listen); err != nil {
		return err
	}
	if f.Announce != "" {
		if err := checkAddress(path+": fleet.announce", f.Announce); err != nil {
			return err
		}
	}
	for i, s := range f.Seeds {
		if err := checkAddress(fmt.Sprintf("%s: fleet.seeds[%d]", path, i), s); err != nil {
			return err
		}
	}
	for id, s := range f.Via {
		if err := checkAddress(path+": fleet.via."+id, s); err != nil {
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
	period, forget := cmp.Or(f.PeriodMS, defaultPeriodMS), cmp.Or(f.ForgetS, defaultForgetSeconds)
	if period < minPeriodMS || period > maxPeriodMS {
		return bad("period_ms", "%d is not between %d and %d", period, minPeriodMS, maxPeriodMS)
	}
	if forget < minForgetSeconds {
		return bad("forget_s", "%d is under %d", forget, minForgetSeconds)
	}
	expected := cmp.Or(f.Expected, c.Settings.Module.Aggregators, 1)
	if expected < 1 || expected > maxExpectedMembers {
		return bad("expected", "%d is not between 1 and %d", expected, maxExpectedMembers)
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

// readAccord checks the table [fleet.accord], about agreed settings, and applies defaults.
func (c *Config) readAccord(path string, f *fleetTable, bad func(key, format string, args ...any) error) error {
	t := &f.Accord
	if len(t.Voters) == 0 {
		if t.Directory != "" || t.LeaseMS != 0 || t.TrialMS != 0 || t.Leave {
			return bad("accord.voters", "missing")
		}
		return nil
	}
	if n := len(t.Voters); n%2 == 0 || n > maxVoters {
		return bad("accord.voters", "%d voters; want 1, 3, 5 or 7", n)
	}
	for i, name := range t.Voters {
		if name == "" || len(name) > maxNameBytes || slices.Contains(t.Voters[:i], name) {
			return bad(fmt.Sprintf("accord.voters[%d]", i), "%q is not a valid name, or is listed twice", name)
		}
	}
	if t.Directory == "" && slices.Contains(t.Voters, c.Name) {
		return bad("accord.directory", "missing; this mixer is a voter")
	}
	lease, trial := cmp.Or(t.LeaseMS, defaultLeaseMS), cmp.Or(t.TrialMS, defaultTrialMS)
	if lease < minLeaseMS || lease > maxLeaseMS {
		return bad("accord.lease_ms", "%d is not between %d and %d", lease, minLeaseMS, maxLeaseMS)
	}
	if trial < 0 || trial > maxTrialMS {
		return bad("accord.trial_ms", "%d is not between 0 and %d", trial, maxTrialMS)
	}
	set := c.Settings
	c.LeaveZones = t.Leave
	c.Accord = &accord.Config{Name: c.Name, Voters: t.Voters, Directory: t.Directory, LeaseDuration: time.Duration(lease) * time.Millisecond,
		TrialDuration: time.Duration(trial) * time.Millisecond, Seed: c.Seed, ParseRules: func(text string) (version.Rules, error) { return Document(text, set) }}
	return nil
}
