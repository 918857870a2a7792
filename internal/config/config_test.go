package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:9","phase":"active"}]},
"settings":{"classes":[{"name":"a","semantics":"once"}]}}`

// loadFiles calls Load with text as the main file and toml, unless empty, as the project's own.
func loadFiles(t *testing.T, text, toml string, env map[string]string) (Config, error) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tomlPath := filepath.Join(dir, "broker.toml")
	if toml != "" {
		if err := os.WriteFile(tomlPath, []byte(toml), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return Load(func(key string) string {
		if key == "LB_CONFIG" {
			return path
		}
		return env[key]
	}, tomlPath)
}

func TestLoadValidConfiguration(t *testing.T) {
	c, err := loadFiles(t, validConfig, "[flight]\nlisten = \"127.0.0.1:8815\"\n", map[string]string{"LB_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.Listen != "127.0.0.1:8000" || c.Seed != 0x8c1f30d27a5be964 || c.MemoryMB != 192 || c.Sockets != 1024 ||
		c.KnownNodes.Revision != 41 || len(c.KnownNodes.Members) != 1 || c.FlightListen != "127.0.0.1:8815" || c.IPFIXCollector != "" {
		t.Errorf("%+v", c)
	}
	c, err = loadFiles(t, strings.Replace(validConfig, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1), "", nil)
	if err != nil || c.MemoryMB != defaultMemoryMB || c.Sockets != defaultSockets || c.FlightListen != "" {
		t.Errorf("defaults %+v, error %v", c, err)
	}
}

func TestErrorsNameFaultyKey(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(validConfig, old, new, 1) }
	tests := []struct {
		key, text, toml string
		env             map[string]string
	}{
		{"LB_CONFIG", "{", "", nil},
		{"LB_NAME", replace(`"n3"`, `""`), "", nil},
		{"LB_LISTEN", replace("127.0.0.1:8000", "localhost:8000"), "", nil},
		{"LB_LISTEN", validConfig, "", map[string]string{"LB_LISTEN": "127.0.0.1"}},
		{"LB_DISCOVERY", replace("127.0.0.1:8500", ""), "", nil},
		{"seed", replace("8c1f30d27a5be964", "xyz"), "", nil},
		{"limits.memory_mb", replace("192", "2"), "", nil},
		{"limits.sockets", replace("1024", "-5"), "", nil},
		{"settings", replace(`"settings"`, `"other"`), "", nil},
		{"settings.classes", replace(`{"name":"a","semantics":"once"}`, ""), "", nil},
		{"settings: class 0", replace("once", "sometimes"), "", nil},
		{"known", replace("active", "asleep"), "", nil},
		{"flight.listen", validConfig, "[flight]\nlisten = \"here\"\n", nil},
		{"ipfix.collector", validConfig, "[ipfix]\ncollector = \"here\"\n", nil},
		{"tracing.collector", validConfig, "[tracing]\ncollector = \"http://collector:4318/v1/traces\"\n", nil},
		{"tracing.collector", validConfig, "[tracing]\ncollector = \"https://127.0.0.1:4318/v1/traces\"\n", nil},
		{"tracing.collector", validConfig, "[tracing]\ncollector = \"http://127.0.0.1:4318\"\n", nil},
		{"tracing.memory_kb", validConfig, "[tracing]\nmemory_kb = 3\n", nil},
		{"tracing.memory_kb", validConfig, "[tracing]\nmemory_kb = 100000\n", nil},
		{"tracing.spans_per_second", validConfig, "[tracing]\nspans_per_second = -1.0\n", nil},
		{"tracing.segments", validConfig, "[tracing]\nsegments = -1\n", nil},
		{"flight.lisen", validConfig, "[flight]\nlisen = \"127.0.0.1:1\"\n", nil},
	}
	for _, tt := range tests {
		if _, err := loadFiles(t, tt.text, tt.toml, tt.env); err == nil || !strings.Contains(err.Error(), tt.key) {
			t.Errorf("%s: error %v", tt.key, err)
		}
	}
	if _, err := Load(func(string) string { return "" }, ""); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("LB_CONFIG not set: error %v", err)
	}
}

func TestTracingDefaults(t *testing.T) {
	c, err := loadFiles(t, validConfig, "", nil)
	if err != nil || c.Tracing.On() {
		t.Errorf("%+v, %v; want traces off", c.Tracing, err)
	}
	c, err = loadFiles(t, validConfig, "[tracing]\ndirectory = \"/tmp/x\"\nspans_per_second = 50.0\n", nil)
	want := Tracing{Directory: "/tmp/x", MemoryKB: defaultTraceMemoryKB, Spans: 50, SegmentMB: defaultSegmentMB, MaxSegments: defaultMaxSegments}
	if err != nil || c.Tracing != want || !c.Tracing.On() {
		t.Errorf("%+v, %v; want %+v", c.Tracing, err, want)
	}
	// At most a quarter of the memory may hold traces.
	if c, err = loadFiles(t, strings.Replace(validConfig, "192", "32", 1), "", nil); err != nil || c.Tracing.MemoryKB > 8192 {
		t.Errorf("%+v, %v", c.Tracing, err)
	}
}
