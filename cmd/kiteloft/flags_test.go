package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestFlags runs the program with each of its flags.
func TestFlags(t *testing.T) {
	dir := t.TempDir()
	sound := filepath.Join(dir, "sound.json")
	faulty := filepath.Join(dir, "faulty.json")
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settings + `}`
	for path, s := range map[string]string{sound: text, faulty: strings.Replace(text, "127.0.0.1:0", "nowhere", 1)} {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name string
		args []string
		env  string // LB_CONFIG
		code int
		want string
	}{
		{"sound", []string{"--check"}, sound, 0, "configuration is sound"},
		{"faulty", []string{"--check"}, faulty, 2, "LB_LISTEN"},
		{"the flag wins", []string{"--check", "--config", faulty}, sound, 2, "LB_LISTEN"},
		{"the flag alone", []string{"--check", "--config=" + sound}, "", 0, "configuration is sound"},
		{"none", []string{"--check"}, "", 2, "LB_CONFIG is not set"},
		{"help", []string{"--help"}, "", 0, "--config=FILE"},
		{"version", []string{"--version"}, "", 0, ""},
		{"unknown", []string{"--chekc"}, sound, 80, "unknown flag"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := exec.Command(program, tt.args...)
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "LB_CONFIG="+tt.env)
			var out bytes.Buffer
			cmd.Stdout, cmd.Stderr = &out, &out
			_ = cmd.Run() // its code is looked at
			if code := cmd.ProcessState.ExitCode(); code != tt.code || !strings.Contains(out.String(), tt.want) || out.Len() == 0 {
				t.Errorf("exit code %d, want %d; %q, want %q", code, tt.code, out.String(), tt.want)
			}
		})
	}
}
