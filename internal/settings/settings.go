// Package settings parses the settings object that an instance of the decision module is given
// at its start. The simulator's adapter gets the object in its first message, the mixer in its
// configuration.
package settings

import (
	"fmt"
	"math"
	"time"

	jsoniter "github.com/json-iterator/go"

	"kiteloft/decide"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Settings holds the settings of an instance and of the process around it.
type Settings struct {
	Module     decide.Settings // of the decision module
	LoadFields []string        // names of the values in a load report, in order

	Zones          []string      // names of zones, by index
	Shards         int           // number of shards; 0: unknown
	ConnIdle       time.Duration // idle time after which a node closes a connection; 0: never
	ConnectTimeout time.Duration // for connecting to a node
	StreamsPerConn int           // parts in flight on a connection to a node; 0: no limit
}

// seconds is a duration that JSON holds as a number of seconds.
type seconds time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *seconds) UnmarshalJSON(b []byte) error {
	var x float64
	if err := json.Unmarshal(b, &x); err != nil {
		return err
	}
	*s = seconds(DurationFromSeconds(x))
	return nil
}

// DurationFromSeconds converts seconds to a duration, rounded to microseconds, which is the
// resolution of the simulator. Values out of range become the longest duration of that sign.
func DurationFromSeconds(x float64) time.Duration {
	us := math.Round(x * 1e6)
	const most = float64(math.MaxInt64 / int64(time.Microsecond))
	return time.Duration(max(-most, min(most, us))) * time.Microsecond
}

// settingsObject is the JSON form of the settings.
type settingsObject struct {
	Balancers int     `json:"balancers"`
	Zone      int     `json:"zone"`
	Tick      seconds `json:"tick"`
	Classes   []struct {
		Name                 string  `json:"name"`
		Idempotency          string  `json:"semantics"`
		LatencyTarget        seconds `json:"aim"`
		LatencyTargetPerWork float64 `json:"aim_stretch"`
		Deadline             seconds `json:"deadline"`
		DedupWindow          seconds `json:"memory_span"`
		Value                float64 `json:"worth"`
		LateValue            float64 `json:"late_value"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Discovery string   `json:"discovery"`
	Zones     []string `json:"failure_domains"`
	Info      struct {
		PerCall        int       `json:"per_call"`
		Positions      int       `json:"positions"`
		Ranges         int       `json:"ranges"`
		CellsPerShard  int       `json:"span"`
		MinWeight      []float64 `json:"class_floor"`
		RequiredWeight []float64 `json:"need_by_class"`
		PartialValue   []float64 `json:"short_worth"`
		FollowUp       []int     `json:"follow_up"`
	} `json:"family_info"`
	Feedback struct {
		Fields []string `json:"fields"`
	} `json:"feedback"`
	Caps struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       seconds `json:"conn_idle"`
		ConnectTimeout seconds `json:"connect_timeout"`
		StreamsPerConn int     `json:"streams_per_conn"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxOpen        int     `json:"max_open"`
		MaxRetryAfter  seconds `json:"max_retry_after"`
		Probes         bool    `json:"probes"`
		SendRetryAfter bool    `json:"retry_after"`
		SecondCopies   bool    `json:"second_copies"`
	} `json:"caps"`
	Rules struct {
		ListRefreshInterval seconds `json:"ask_within"`
		WarmupTime          seconds `json:"cold"`
		WarmupStartShare    float64 `json:"cold_from"`
		DrainGrace          seconds `json:"drain_grace"`
		ColdBudgetWindow    seconds `json:"fall"`
		ColdBudgetMultiple  float64 `json:"fall_multiple"`
		RetryRatio          float64 `json:"further_ratio"`
		RetryWindow         seconds `json:"resend_span"`
		RetryBase           float64 `json:"spare_attempts"`
	} `json:"rules"`
	ValueBy            string  `json:"worth_by"`
	OverAllowanceValue float64 `json:"over_share_worth"`
}

// Parse parses the settings object. Unknown keys are ignored, and absent ones leave zero values.
func Parse(text []byte) (Settings, error) {
	var b settingsObject
	if err := json.Unmarshal(text, &b); err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	out := Settings{
		LoadFields: b.Feedback.Fields, Zones: b.Zones, Shards: b.Info.Ranges,
		ConnIdle: time.Duration(b.Caps.ConnIdle), ConnectTimeout: time.Duration(b.Caps.ConnectTimeout),
		StreamsPerConn: b.Caps.StreamsPerConn,
	}
	s := &out.Module
	*s = decide.Settings{
		Aggregators: b.Balancers, Zone: b.Zone, Tick: time.Duration(b.Tick),
		Cells: b.Info.Positions, CellsPerShard: b.Info.CellsPerShard, PartsPerCall: b.Info.PerCall,
		WatchDiscovery: b.Discovery == "ask",
		MaxOpen:        b.Caps.MaxOpen, MaxAttempts: b.Caps.MaxAttempts,
		CancelAllowed: b.Caps.Cancel, CopiesAllowed: b.Caps.SecondCopies, ProbesAllowed: b.Caps.Probes,
		SendRetryAfter: b.Caps.SendRetryAfter, MaxRetryAfter: time.Duration(b.Caps.MaxRetryAfter),
		ListRefreshInterval: time.Duration(b.Rules.ListRefreshInterval), DrainGrace: time.Duration(b.Rules.DrainGrace),
		WarmupStartShare: b.Rules.WarmupStartShare, WarmupTime: time.Duration(b.Rules.WarmupTime),
		ColdBudgetWindow: time.Duration(b.Rules.ColdBudgetWindow), ColdBudgetFactor: b.Rules.ColdBudgetMultiple,
		RetryBudgetWindow: time.Duration(b.Rules.RetryWindow), RetryBudgetBase: b.Rules.RetryBase, RetryBudgetRatio: b.Rules.RetryRatio,
		ValueByWork: b.ValueBy == "work", OverAllowanceValue: b.OverAllowanceValue,
	}
	for i, c := range b.Classes {
		sem, err := parseIdempotency(c.Idempotency)
		if err != nil {
			return out, fmt.Errorf("class %d: %w", i, err)
		}
		s.Classes = append(s.Classes, decide.Class{
			Name: c.Name, Idempotency: sem, LatencyTarget: time.Duration(c.LatencyTarget), LatencyTargetPerWork: c.LatencyTargetPerWork,
			Deadline: time.Duration(c.Deadline), DedupWindow: time.Duration(c.DedupWindow),
			Value: c.Value, LateValue: c.LateValue,
			RequiredWeight: valueAt(b.Info.RequiredWeight, i), MinWeight: valueAt(b.Info.MinWeight, i),
			PartialValue: valueAt(b.Info.PartialValue, i), SecondStepParts: valueAt(b.Info.FollowUp, i),
		})
	}
	for _, t := range b.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{Name: t.Name, Allowance: t.Allowance})
	}
	return out, nil
}

// valueAt returns list[i], or the zero value if the list is too short.
func valueAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// parseIdempotency parses the key "semantics" of a class.
func parseIdempotency(s string) (decide.Idempotency, error) {
	switch s {
	case "repeatable":
		return decide.Idempotent, nil
	case "by_key":
		return decide.Deduplicated, nil
	case "once":
		return decide.NonIdempotent, nil
	}
	return 0, fmt.Errorf("unknown semantics %q", s)
}
