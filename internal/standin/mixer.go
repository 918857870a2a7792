package standin

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Setup is how a mixer is started.
type Setup struct {
	Program   string // path of the mixer's program
	Dir       string // an empty directory for its files
	Name      string
	Settings  string // the platform's settings object
	Discovery string // address
	Known     []Member
	Sockets   int               // 0: 1024
	MemoryMB  int               // 0: 192
	Broker    string            // deploy/broker.toml; "": none
	Args      []string          // of the command line
	Heard     func(line []byte) // is told each line of the log; nil: nobody is
	Listen    string            // address to serve at; "": any that is free
	Torn      time.Duration     // for so long only half of the configuration is there
}

// Mixer is a running mixer.
type Mixer struct {
	Cmd  *exec.Cmd
	Exit chan error // how it ended, once

	setup  Setup
	mu     sync.Mutex
	listen string
	flight string
	fleet  string
	logs   []string
	deaf   chan struct{}
	stderr io.Closer
}

// startTime is how long a mixer may take until it is ready.
const startTime = 15 * time.Second

// Start runs a mixer and waits until it is ready.
func Start(s Setup) (*Mixer, error) {
	m := &Mixer{setup: s, Exit: make(chan error, 1)}
	if err := m.Configure(s.Discovery); err != nil {
		return nil, err
	}
	if s.Torn > 0 {
		if err := m.tear(s.Torn); err != nil {
			return nil, err
		}
	}
	if err := m.write("deploy/broker.toml", s.Broker); err != nil {
		return nil, err
	}
	m.Cmd = exec.Command(s.Program, s.Args...)
	m.Cmd.Dir = s.Dir
	m.Cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(s.Dir, "config.json"), "LB_DISCOVERY="+s.Discovery)
	stderr, err := m.Cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	m.stderr = stderr
	if err := m.Cmd.Start(); err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for s := bufio.NewScanner(stderr); s.Scan(); {
			m.logged(s.Bytes())
		}
	}()
	go func() { <-read; m.Exit <- m.Cmd.Wait() }()
	wantFlight := strings.Contains(s.Broker, "[flight]\nlisten")
	for until := time.Now().Add(startTime); ; time.Sleep(5 * time.Millisecond) {
		if m.Listen() != "" && (m.Flight() != "" || !wantFlight) && ready(m.Listen()) {
			return m, nil
		}
		select {
		case err := <-m.Exit:
			m.Exit <- err
			return m, fmt.Errorf("the mixer ended before it was ready: %w; its log:\n%s", cmp.Or(err, errors.New("by itself")), strings.Join(m.Logs(), "\n"))
		default:
		}
		if time.Now().After(until) {
			_ = m.Cmd.Process.Signal(syscall.SIGQUIT) // it says where it stands
			time.Sleep(time.Second)
			m.Kill()
			return m, fmt.Errorf("the mixer was not ready in time; its log:\n%s", strings.Join(m.Logs(), "\n"))
		}
	}
}

func ready(addr string) bool {
	resp, err := http.Get("http://" + addr + "/health/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // nothing of interest
	return resp.StatusCode == http.StatusOK
}

func (m *Mixer) logged(b []byte) {
	var line struct{ Message, Listen string }
	_ = json.Unmarshal(b, &line) // a line that is no JSON has no address
	if m.setup.Heard != nil {
		m.setup.Heard(b)
	}
	m.mu.Lock()
	m.logs = append(m.logs, string(b))
	switch line.Message {
	case "mixer serves":
		m.listen = line.Listen
	case "Flight front serves":
		m.flight = line.Listen
	case "fleet begins":
		m.fleet = line.Listen
	}
	deaf := m.deaf
	m.mu.Unlock()
	if deaf != nil {
		<-deaf
	}
}

// tear leaves half of the configuration, and brings the rest after a while.
func (m *Mixer) tear(length time.Duration) error {
	path := filepath.Join(m.setup.Dir, "config.json")
	whole, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	time.AfterFunc(length, func() { _ = m.write("config.json", string(whole)) }) // a failure shows at the start
	return m.write("config.json", string(whole[:len(whole)/2]))
}

// Tear has only half of the present configuration be there for a while.
func (m *Mixer) Tear(length time.Duration) error { return m.tear(length) }

// Configure writes the mixer's configuration anew, with another discovery.
func (m *Mixer) Configure(discovery string) error {
	known, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": m.setup.Known})
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	return m.write("config.json", fmt.Sprintf(`{"name":"%s","listen":"%s","discovery":"%s","seed":"%s",
"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, cmp.Or(m.setup.Name, "n0"), cmp.Or(m.setup.Listen, "127.0.0.1:0"), discovery, m.seed(),
		cmp.Or(m.setup.MemoryMB, 192), cmp.Or(m.setup.Sockets, 1024), known, m.setup.Settings))
}

func (m *Mixer) write(name, text string) error {
	path := filepath.Join(m.setup.Dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	return nil
}

// seed is the mixer's own, as the platform gives each start another: mixers of one seed choose
// alike, all at once.
func (m *Mixer) seed() string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, m.setup.Name+"\x00"+filepath.Base(m.setup.Dir)) // never fails
	return fmt.Sprintf("%016x", h.Sum64())
}

// Listen is the address at which platform clients are served.
func (m *Mixer) Listen() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listen
}

// Flight is the address at which Flight clients are served; "": none.
func (m *Mixer) Flight() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.flight
}

// Fleet is the address at which other mixers are heard; "": there is none.
func (m *Mixer) Fleet() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet
}

// Logs are the lines logged so far.
func (m *Mixer) Logs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.logs)
}

// Logged counts the log lines whose message begins so.
func (m *Mixer) Logged(message string) (n int) {
	for _, line := range m.Logs() {
		if strings.Contains(line, `"message":"`+message) {
			n++
		}
	}
	return n
}

// Deafen has nobody read the log until the channel is closed.
func (m *Mixer) Deafen(until chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf = until
}

// CloseLog closes the reading end of the mixer's log: a write to it fails from then on.
func (m *Mixer) CloseLog() { _ = m.stderr.Close() } // it may be closed already

// Stop ends the mixer as a planned restart does; it has to end by itself.
func (m *Mixer) Stop() error {
	if m.Cmd.ProcessState != nil {
		return nil
	}
	_ = m.Cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case err := <-m.Exit:
		if err != nil {
			return fmt.Errorf("the mixer ended with %w", err)
		}
		return nil
	case <-time.After(20 * time.Second):
		m.Kill()
		return errors.New("the mixer did not end after SIGTERM")
	}
}

// Kill ends the mixer at once.
func (m *Mixer) Kill() { _ = m.Cmd.Process.Kill() } // it may have ended
