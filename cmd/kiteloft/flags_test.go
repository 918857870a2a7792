package main

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
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

// TestNoLogLineWaitsForTheNext writes lines with nothing after them, to many logs at
// once: those on call must not wait for a second one to see the first.
func TestNoLogLineWaitsForTheNext(t *testing.T) {
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			r, w := io.Pipe()
			out := logTo(w)
			came := make(chan struct{})
			go func() {
				for b := make([]byte, 100); ; {
					if _, err := r.Read(b); err != nil {
						return
					}
					came <- struct{}{}
				}
			}()
			for i := range 40 {
				if _, err := out.Write([]byte("line\n")); err != nil {
					t.Error(err)
				}
				select {
				case <-came:
				case <-time.After(5 * time.Second):
					t.Errorf("line %d waits for the next", i)
					return
				}
			}
			_ = r.Close()
			_ = out.Close()
		})
	}
	wg.Wait()
}
