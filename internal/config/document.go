package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/settings"
	"kiteloft/internal/storm"
)

const maxNodes = 512 // named in a document

// equalAccord compares configurations except for ParseRules, a function that follows from the
// settings.
func equalAccord(a, b *accord.Config) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.Equal(a.Voters, b.Voters) && a.Directory == b.Directory && a.LeaseDuration == b.LeaseDuration && a.TrialDuration == b.TrialDuration
}

// BaseRules returns the rules of a mixer's own settings, which a document of agreed settings may
// change.
func BaseRules(set settings.Settings) version.Rules {
	m := set.Module
	r := version.Rules{Attempts: m.MaxAttempts, Copies: m.CopiesAllowed, RetryBudgetRatio: m.RetryBudgetRatio, RetryBudgetBase: m.RetryBudgetBase, ColdShare: 1,
		MaxOpen: m.MaxOpen, Allowances: map[string]float64{}, StormRetries: storm.DefaultThresholds.Retries, StormGood: storm.DefaultThresholds.InTimeShare}
	if r.Attempts <= 0 {
		r.Attempts = version.Unlimited
	}
	if r.MaxOpen <= 0 {
		r.MaxOpen = version.Unlimited
	}
	for _, t := range m.Tenants {
		r.Allowances[t.Name] = t.Allowance
	}
	return r
}

// Document parses a document of agreed settings and returns the rules that a mixer with these
// settings follows under it. An empty text stands for no document, and gives the mixer's own
// rules. Errors name the key.
func Document(text string, set settings.Settings) (version.Rules, error) {
	base := BaseRules(set)
	if text == "" {
		return version.Document{}.ApplyTo(base), nil
	}
	d, err := parseDocument(text, base, set.Zones)
	return d.ApplyTo(base), err
}

// parseDocument parses a document and checks it against the rules of the mixer's own settings.
func parseDocument(text string, base version.Rules, zones []string) (d version.Document, err error) {
	if len(text) > version.MaxDocumentBytes {
		return d, fmt.Errorf("%d bytes, %d at most", len(text), version.MaxDocumentBytes)
	}
	var keys map[string]jsoniter.RawMessage
	if err := json.Unmarshal([]byte(text), &keys); err != nil {
		return d, fmt.Errorf("the document is no object: %w", err)
	}
	targets := map[string]any{"attempts": &d.Attempts, "copies": &d.Copies, "further_ratio": &d.RetryBudgetRatio, "further_spare": &d.RetryBudgetBase,
		"cold_share": &d.ColdShare, "max_open": &d.MaxOpen, "allowances": &d.Allowances, "nodes": &d.Nodes, "zones_left": &d.ZonesLeft, "hold_list": &d.HoldList,
		"storm_retries": &d.StormRetries, "storm_good": &d.StormGood}
	for _, key := range unsupportedKeys {
		delete(targets, key)
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		target, ok := targets[key]
		if !ok {
			return d, fmt.Errorf("%s: unknown key", key)
		}
		if err := json.Unmarshal(keys[key], target); err != nil {
			return d, fmt.Errorf("%s: %s", key, decodeErrorText(err))
		}
	}
	checkRange := func(key string, x *float64, least, most float64) error {
		if x != nil && !(*x >= least && *x <= most) {
			return fmt.Errorf("%s: %g is not between %g and %g", key, *x, least, most)
		}
		return nil
	}
	// A mixer that can't know which version is in force uses half of each budget, so no version
	// may allow less.
	checkBudgetShare := func(key string, x *float64, whole float64) error {
		return checkRange(key, x, whole*version.MinBudgetShare, whole)
	}
	// whole checks an integer.
	whole := func(key string, x *int, least, most int) error {
		if x != nil && (*x < least || *x > most) {
			return fmt.Errorf("%s: %d is not between %d and %d", key, *x, least, most)
		}
		return nil
	}
	if d.Copies != nil && *d.Copies && !base.Copies {
		return d, errors.New("copies: the settings do not allow any")
	}
	problems := []error{whole("attempts", d.Attempts, version.MinAttempts, base.Attempts), whole("max_open", d.MaxOpen, 1, base.MaxOpen),
		checkBudgetShare("further_ratio", d.RetryBudgetRatio, base.RetryBudgetRatio), checkBudgetShare("further_spare", d.RetryBudgetBase, base.RetryBudgetBase),
		checkBudgetShare("cold_share", d.ColdShare, base.ColdShare), checkRange("storm_retries", d.StormRetries, storm.MinRetryShare, storm.MaxRetryShare),
		checkRange("storm_good", d.StormGood, storm.MinInTimeShare, storm.MaxInTimeShare)}
	for _, tenant := range slices.Sorted(maps.Keys(d.Allowances)) {
		x, known := base.Allowances[tenant]
		if !known {
			problems = append(problems, fmt.Errorf("allowances.%s: no such tenant", tenant))
			continue
		}
		y := d.Allowances[tenant]
		problems = append(problems, checkBudgetShare("allowances."+tenant, &y, x))
	}
	if len(d.Nodes) > maxNodes {
		problems = append(problems, fmt.Errorf("nodes: %d of them, %d at most", len(d.Nodes), maxNodes))
	}
	for id := range d.Nodes {
		if id == "" || len(id) > maxNameBytes {
			problems = append(problems, fmt.Errorf("nodes.%s: no node's name", id))
		}
	}
	for i, zone := range d.ZonesLeft {
		if !slices.Contains(zones, zone) || slices.Contains(d.ZonesLeft[:i], zone) {
			problems = append(problems, fmt.Errorf("zones_left[%d]: %q is no zone, or comes twice", i, zone))
		}
	}
	if len(d.ZonesLeft) > 0 && len(d.ZonesLeft) >= len(zones) {
		problems = append(problems, errors.New("zones_left: no zone would be left to serve from"))
	}
	return d, errors.Join(problems...)
}

// decodeErrorText returns the text of a decoder's error without the position, which counts from
// the start of a key's value and not of the document.
func decodeErrorText(err error) string {
	text, _, _ := strings.Cut(err.Error(), ", error found in")
	return text
}
