package settings

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/decide"
)

func TestParse(t *testing.T) {
	got, err := Parse([]byte(`{"tick":0.005,"unknown":[1],"failure_domains":["a","b"],"discovery":"ask",
"classes":[{"name":"x","semantics":"by_key","aim":1.5,"memory_span":4}],
"caps":{"conn_idle":30.0,"connect_timeout":0.25,"streams_per_conn":32,"max_open":210},
"family_info":{"ranges":24,"positions":12,"span":2,"class_floor":[0.8]},"feedback":{"fields":["backlog"]},
"rules":{"drain_grace":2.0}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{LoadFields: []string{"backlog"}, Zones: []string{"a", "b"}, Shards: 24, ConnIdle: 30 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, StreamsPerConn: 32,
		Module: decide.Settings{Tick: 5 * time.Millisecond, WatchDiscovery: true, MaxOpen: 210, Cells: 12, CellsPerShard: 2,
			DrainGrace: 2 * time.Second, Classes: []decide.Class{{Name: "x", Idempotency: decide.Deduplicated, LatencyTarget: 1500 * time.Millisecond,
				DedupWindow: 4 * time.Second, MinWeight: 0.8}}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	for _, text := range []string{"", "[1]", `{"tick":"soon"}`, `{"classes":[{"semantics":"sometimes"}]}`} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
