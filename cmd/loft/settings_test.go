package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/config"
	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/fleet/steer"
	"kiteloft/internal/fleet/survey"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/fleet/zone"
	"kiteloft/internal/settings"
	"kiteloft/internal/transport"
)

const mixerConfig = `{"settings":{"failure_domains":["a","b"],"caps":{"max_attempts":4,"second_copies":true,"max_open":60},
"tenants":[{"name":"retail","allowance_per_s":40}],"rules":{"further_ratio":0.4,"further_spare":10}}}`

// idleModule is a decision module that takes no action.
type idleModule struct{}

func (idleModule) Step(time.Duration, []decide.Event) []decide.Action { return nil }

// discardLogger is a broker.Logger that discards all lines.
type discardLogger struct{}

func (discardLogger) Module(string)                        {}
func (discardLogger) Guard(string, string, string, string) {}
func (discardLogger) Storm(string, string)                 {}

// noopProber is a broker.Prober that never probes.
type noopProber struct{}

func (noopProber) Probe(broker.Node, func(decide.Outcome)) {}

// startSingleMixerFleet starts a fleet of one mixer, which is its only voter, and waits until it
// leads. It returns the arguments that name the fleet and its configuration file.
func startSingleMixerFleet(t *testing.T) (flags []string, conf string) {
	t.Helper()
	dir := t.TempDir()
	conf = filepath.Join(dir, "config.json")
	key := filepath.Join(dir, "key")
	for path, text := range map[string]string{conf: mixerConfig, key: "a key of the test's own\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set, err := mixerSettings(conf)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := link.ReadKeys(key)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	core := broker.New(settings.Settings{}, idleModule{}, func() time.Duration { return time.Hour + time.Since(begun) }, discardLogger{})
	f, err := link.New(core, transport.NewNet(core, transport.Limits{Conns: 64, Backlog: 1 << 20}, nil),
		link.Config{Fleet: "one", ID: "n0", Listen: "127.0.0.1:0", Keys: keys, Period: 100 * time.Millisecond, Forget: time.Minute, Expected: 1}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	a, err := accord.New(core, f, accord.Config{Name: "n0", Instance: 1, Voters: []string{"n0"}, Directory: filepath.Join(dir, "accord"), LeaseDuration: time.Second,
		TrialDuration: 50 * time.Millisecond, ParseRules: func(text string) (version.Rules, error) { return config.Document(text, set) }}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	f.HandleRequest, f.HandleMessage = a.HandleRequest, a.HandleMessage
	s := survey.New(core, f, a, "n0", "a", set.Zones, 0, zerolog.Nop())
	st := steer.New(core, a, f, noopProber{}, s, steer.Config{Zones: set.Zones, Zone: zone.Config{Manual: true}}, zerolog.Nop())
	a.OnChange = func(x accord.ActiveRules) { st.SetAgreedPlan(x.Plan) }
	a.Zones, a.Order = s.Describe, st.Order
	stop := make(chan struct{})
	over := make(chan struct{})
	core.Post(func() { f.Start(); a.Start(); s.Start(); st.Start() })
	go func() { core.Run(stop); close(over) }()
	t.Cleanup(func() { close(stop); <-over })
	flags = []string{f.Listen(), "--fleet", "one", "--key-file", key}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if code, out, _ := runLoft(t, append([]string{"versions"}, flags...)...); code == exitOK && strings.Contains(out, "version 0") {
			return flags, conf
		}
		if time.Now().After(until) {
			t.Fatal("the only voter did not become the leader within 10 s")
		}
	}
}

// writeDocument writes a document to a file and returns its path.
func writeDocument(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "doc.jsonnet")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestSettingsCommands takes documents from a file through check, proposal, rollout, rollback and
// history, against a running fleet.
func TestSettingsCommands(t *testing.T) {
	flags, conf := startSingleMixerFleet(t)
	run := func(want int, args ...string) string {
		t.Helper()
		code, out, errOut := runLoft(t, args...)
		if code != want {
			t.Fatalf("%v: %d, %s%s", args, code, out, errOut)
		}
		return out + errOut
	}
	contains := func(text string, want ...string) {
		t.Helper()
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("%q is not in:\n%s", w, text)
			}
		}
	}
	withFlags := func(args ...string) []string { return append(args, flags...) }

	firstDocument := writeDocument(t, "local whole = 40;\n{\n  attempts: 3,\n  allowances: { retail: whole / 2 },\n  max_open: 30,\n}\n")
	contains(run(exitOK, "settings", "check", firstDocument, "--config", conf), "is sound", `"retail":20`)
	contains(run(exitOK, withFlags("settings", "diff", firstDocument, "--config", conf)...), "attempts", "-> 3", "contradict", "allowances.retail", "against version 0")
	contains(run(exitOK, withFlags("settings", "propose", firstDocument, "--why", "a test")...), "version 1 is proposed", "n0")
	contains(run(exitOK, withFlags("settings", "wait", "1", "--patience", "20s")...), "all 1 mixers act on version 1")
	contains(run(exitOK, withFlags("settings", "diff", firstDocument, "--config", conf)...), "nothing changes")
	contains(run(exitUsage, withFlags("settings", "propose", firstDocument, "--why", "late", "--from", "0")...), "made from version 0, the latest is 1")
	contains(run(exitOK, withFlags("settings", "show")...), "version 1, made from 0", `"attempts": 3`)

	secondDocument := writeDocument(t, "{ attempts: 2 }")
	contains(run(exitOK, withFlags("settings", "propose", secondDocument, "--why", "another")...), "version 2")
	run(exitOK, withFlags("settings", "wait", "2", "--patience", "20s")...)
	contains(run(exitOK, withFlags("settings", "rollback", "--why", "it was wrong")...), "version 3 is proposed")
	run(exitOK, withFlags("settings", "wait", "3", "--patience", "20s")...)
	contains(run(exitOK, withFlags("settings", "history")...), "in force", "replaced", "it was wrong")
	contains(run(exitOK, withFlags("settings", "show", "--number", "3")...), `"retail": 20`)
	contains(run(exitUsage, withFlags("settings", "wait", "2", "--patience", "1s")...), "version 2 was replaced by version 3")
	contains(run(exitOK, withFlags("versions")...), "version 3 in force, steady", "n0", "voters n0")
	contains(run(exitOK, withFlags("versions", "--json", "--local")...), `"leased":true`)
	contains(run(exitUsage, withFlags("voters", "remove", "n0")...), "the only voter")
	contains(run(exitUsage, withFlags("voters", "add", "n7")...), "n7 is not there")
}

// TestZoneOrders sends orders one after another; each must be agreed or refused, and the zones be
// shown accordingly.
func TestZoneOrders(t *testing.T) {
	flags, _ := startSingleMixerFleet(t)
	zones := func(want int, args ...string) string {
		t.Helper()
		code, out, errOut := runLoft(t, append(append([]string{"zones"}, args...), flags...)...)
		if code != want {
			t.Fatalf("%v: %d, %s%s", args, code, out, errOut)
		}
		return out + errOut
	}
	for until := time.Now().Add(10 * time.Second); !strings.Contains(zones(exitOK), "as it leads"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the mixer gave no verdicts for the whole fleet within 10 s")
		}
	}
	for _, s := range []struct {
		args  string
		want  int
		text  string
		shown string // what zones show must then contain; "": not checked
	}{
		{"leave b --why fire", exitUsage, "a, which would have to carry its work, is unknown", ""},
		{"leave b --anyway --why fire", exitOK, "b: plan 1 is agreed", "0.00   leaving, held (an operator: fire)"},
		{"leave a --anyway --why all", exitUsage, "no zone would be left", ""},
		{"leave z --anyway --why which", exitUsage, "z is no zone", ""},
		{"return a --why nothing", exitUsage, "a is not left", ""},
		{"return b --why out", exitOK, "b: plan 2 is agreed", "0.00   returning (an operator: out)"},
		{"hold a --why exercise", exitOK, "a: plan", "1.00   in, held (an operator: exercise)"},
		{"free a --why over", exitOK, "a: plan", ""},
	} {
		if out := zones(s.want, strings.Fields(s.args)...); !strings.Contains(out, s.text) {
			t.Errorf("%s: %s; want %q", s.args, out, s.text)
		}
		if s.shown == "" {
			continue
		}
		for until := time.Now().Add(10 * time.Second); !strings.Contains(zones(exitOK), s.shown); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s: %s; want %q", s.args, zones(exitOK), s.shown)
			}
		}
	}
	for until := time.Now().Add(20 * time.Second); strings.Contains(zones(exitOK), "returning"); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("b has not been returned to within 20 s: %s", zones(exitOK))
		}
	}
	if out := zones(exitOK, "--json"); !strings.Contains(out, `"phase":"in"`) || strings.Contains(out, "leaving") {
		t.Error(out)
	}
}

func TestDocumentErrorsNameKeyAndLine(t *testing.T) {
	conf := writeDocument(t, mixerConfig)
	for _, c := range []struct{ text, want string }{
		{"{\n  sheep: 1,\n}", "doc.jsonnet:2: sheep: unknown key"},
		{"{\n  nodes: {\n    's-1': 'no',\n  },\n}", "doc.jsonnet:2: nodes:"},
		{"{\n  copies: true,\n  allowances: {\n    retail: 1,\n  },\n}", "doc.jsonnet:4: allowances.retail: 1 is not between 20 and 40"},
		{"{\n  allowances: { wholesale: 1 },\n}", "doc.jsonnet:2: allowances.wholesale: no such tenant"},
		{"{\n\n  attempts: 9 }", "doc.jsonnet:3: attempts: 9 is not between 2 and 4"},
		{"{ cold_share: 0.2 }", "doc.jsonnet:1: cold_share: 0.2 is not between 0.5 and 1"},
		{"{ zones_left: ['a', 'b'] }", "no zone would be left"},
		{"{ zones_left: ['z'] }", `zones_left[0]: "z" is no zone`},
		{"{\n  attempts: nothing,\n}", "doc.jsonnet:2:13"},
		{"[1]", "want an object"},
	} {
		path := writeDocument(t, c.text)
		code, out, errOut := runLoft(t, "settings", "check", path, "--config", conf)
		if code != exitUsage || !strings.Contains(errOut, c.want) {
			t.Errorf("%s: %d, %s%s; want %s", c.text, code, out, errOut, c.want)
		}
	}
	code, _, errOut := runLoft(t, "versions", "127.0.0.1:1", "--fleet", "one", "--key-file", conf)
	if code != exitUsage || errOut == "" {
		t.Error(fmt.Sprint(code, errOut))
	}
}
