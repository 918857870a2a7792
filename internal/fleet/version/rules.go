// Package version holds the decisions behind settings that a fleet of mixers agrees on:
// which versions conflict, which rules are safe while a mixer can't know the version in
// force, the phases in which a fleet rolls out a version, and the leases under which a
// mixer follows it. It also merges what mixers know of the nodes from discovery.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Times are of
// the caller's monotonic clock and are never compared between processes.
//
// docs/design/settings.md derives the phases and explains why they are safe.
package version

import (
	"maps"
	"math"
	"slices"
)

// Document is the content of a version. Where a field is missing, the mixer's own settings
// apply. Budgets lie between half of the mixer's own value and the whole: the half is what
// a mixer uses while it can't know which version is in force.
type Document struct {
	Attempts         *int               `json:"attempts,omitempty"`      // per part, at least 2
	Copies           *bool              `json:"copies,omitempty"`        // whether a late part may be hedged with a second attempt
	RetryBudgetRatio *float64           `json:"further_ratio,omitempty"` // retry budget: further attempts per accepted query or part
	RetryBudgetBase  *float64           `json:"further_spare,omitempty"` // retry budget: further attempts on top of the ratio
	ColdShare        *float64           `json:"cold_share,omitempty"`    // share of the budget for cold nodes, 0.5 to 1
	MaxOpen          *int               `json:"max_open,omitempty"`      // open queries and parts per mixer
	Allowances       map[string]float64 `json:"allowances,omitempty"`    // queries per second of the whole fleet, by tenant
	Nodes            map[string]bool    `json:"nodes,omitempty"`         // whether a node may be used, by node ID
	ZonesLeft        []string           `json:"zones_left,omitempty"`    // zones that get no traffic
	HoldList         *bool              `json:"hold_list,omitempty"`     // whether nodes that discovery merely omits are kept
	StormRetries     *float64           `json:"storm_retries,omitempty"` // share of retries among queries from which a retry storm is assumed
	StormGood        *float64           `json:"storm_good,omitempty"`    // and only while less than this share of ended queries was in time
}

// Rules are the effective rules of a mixer: its own settings overlaid with a document. The
// fields have the units of those of Document.
type Rules struct {
	Attempts         int
	Copies           bool
	RetryBudgetRatio float64
	RetryBudgetBase  float64
	ColdShare        float64
	MaxOpen          int
	Allowances       map[string]float64
	Barred           map[string]bool // whether a node must not be used, for each node ID that a document names
	Left             map[string]bool // zones that get no traffic
	HoldList         bool
	StormRetries     float64
	StormGood        float64
}

// MinBudgetShare is the share of each budget that a mixer without a lease uses, and the
// smallest share that a document may set.
const MinBudgetShare = 0.5

// MinAttempts is the number of attempts per part that a mixer without a lease uses at most,
// and the smallest number that a document may set.
const MinAttempts = 2

// Unlimited is the value of a field of Rules that the settings do not limit.
const Unlimited = math.MaxInt32

// ApplyTo returns a mixer's own settings overlaid with the document. Allowances of tenants
// that the mixer does not know are ignored.
func (d Document) ApplyTo(base Rules) Rules {
	r := base
	r.Allowances, r.Barred, r.Left = maps.Clone(base.Allowances), map[string]bool{}, map[string]bool{}
	override(&r.Attempts, d.Attempts)
	override(&r.Copies, d.Copies)
	override(&r.RetryBudgetRatio, d.RetryBudgetRatio)
	override(&r.RetryBudgetBase, d.RetryBudgetBase)
	override(&r.ColdShare, d.ColdShare)
	override(&r.MaxOpen, d.MaxOpen)
	override(&r.HoldList, d.HoldList)
	override(&r.StormRetries, d.StormRetries)
	override(&r.StormGood, d.StormGood)
	for tenant, x := range d.Allowances {
		if _, ok := r.Allowances[tenant]; ok {
			r.Allowances[tenant] = x
		}
	}
	for node, used := range d.Nodes {
		r.Barred[node] = !used
	}
	for _, zone := range d.ZonesLeft {
		r.Left[zone] = true
	}
	return r
}

func override[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// MostRestrictive combines two sets of rules into the loosest one that exceeds neither.
func MostRestrictive(a, b Rules) Rules {
	return Rules{Attempts: min(a.Attempts, b.Attempts), Copies: a.Copies && b.Copies, RetryBudgetRatio: min(a.RetryBudgetRatio, b.RetryBudgetRatio),
		RetryBudgetBase: min(a.RetryBudgetBase, b.RetryBudgetBase), ColdShare: min(a.ColdShare, b.ColdShare), MaxOpen: min(a.MaxOpen, b.MaxOpen),
		Allowances: mergeMaps(a.Allowances, b.Allowances, func(x, y float64) float64 { return min(x, y) }),
		Barred:     mergeMaps(a.Barred, b.Barred, or), Left: mergeMaps(a.Left, b.Left, or), HoldList: a.HoldList || b.HoldList,
		StormRetries: min(a.StormRetries, b.StormRetries), StormGood: max(a.StormGood, b.StormGood)}
}

func or(x, y bool) bool { return x || y }

func mergeMaps[T any](a, b map[string]T, both func(x, y T) T) map[string]T {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]T{}
	}
	for key, y := range b {
		if x, ok := out[key]; ok {
			y = both(x, y)
		}
		out[key] = y
	}
	return out
}

// FallbackRules returns the rules of a mixer without a lease: the most restrictive of the
// rules that it knows and of all that a document may set. Nodes that documents name are not
// used, and zones that were left stay left.
func FallbackRules(base, known Rules) Rules {
	r := Rules{Attempts: min(base.Attempts, known.Attempts, MinAttempts), RetryBudgetRatio: min(known.RetryBudgetRatio, base.RetryBudgetRatio*MinBudgetShare),
		RetryBudgetBase: min(known.RetryBudgetBase, base.RetryBudgetBase*MinBudgetShare), ColdShare: min(known.ColdShare, base.ColdShare*MinBudgetShare),
		MaxOpen: known.MaxOpen, Allowances: maps.Clone(known.Allowances), Barred: map[string]bool{}, Left: maps.Clone(known.Left), HoldList: known.HoldList,
		StormRetries: known.StormRetries, StormGood: known.StormGood}
	for tenant, x := range base.Allowances {
		r.Allowances[tenant] = min(known.Allowances[tenant], x*MinBudgetShare)
	}
	for node := range known.Barred {
		r.Barred[node] = true
	}
	return r
}

// ExceededKeys returns the keys in which a exceeds b: a mixer that follows a does something
// that b does not allow. Limits that concern a single mixer, as max_open and the storm
// thresholds, are not compared. A zone that only one of them leaves is exceeded by the
// rules that still send there.
func ExceededKeys(a, b Rules) (keys []string) {
	for _, k := range []struct {
		key    string
		beyond bool
	}{{"attempts", a.Attempts > b.Attempts}, {"copies", a.Copies && !b.Copies}, {"further_ratio", a.RetryBudgetRatio > b.RetryBudgetRatio},
		{"further_spare", a.RetryBudgetBase > b.RetryBudgetBase}, {"cold_share", a.ColdShare > b.ColdShare}} {
		if k.beyond {
			keys = append(keys, k.key)
		}
	}
	for _, tenant := range sortedKeys(b.Allowances) {
		if x, ok := a.Allowances[tenant]; ok && x > b.Allowances[tenant] {
			keys = append(keys, "allowances."+tenant)
		}
	}
	for _, node := range sortedKeys(b.Barred) {
		if b.Barred[node] && !a.Barred[node] {
			keys = append(keys, "nodes."+node)
		}
	}
	for _, zone := range sortedKeys(b.Left) {
		if b.Left[zone] && !a.Left[zone] {
			keys = append(keys, "zones_left."+zone)
		}
	}
	return keys
}

// ConflictingKeys returns the sorted keys in which two sets of rules must not be followed
// by two mixers at the same time.
func ConflictingKeys(a, b Rules) []string {
	keys := append(ExceededKeys(a, b), ExceededKeys(b, a)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
