//go:build review

// Command stand runs the cases of the review: it starts the real mixer with the command of the
// deploy file, and stands in for its clients, stock nodes and discovery on loopback addresses.
// It exits with 1 if the case's rule was broken, with 0 if it held and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"kiteloft/internal/standin"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2

	timeLimit = 100 * time.Second // after which a case that hangs is ended
)

// settings are those of a small deployment: twelve nodes in a ring, each slice on two of them. The
// class bay-booking has the effect that the case needs.
const settings = `{"balancers":3,"ordinal":0,"zone":0,"tick":0.005,"discovery":"ask","failure_domains":["zona-12","mixco","villa-nueva"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":400,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[
 {"name":"stock-report","semantics":"repeatable","aim":2.5,"deadline":7.5,"worth":3,"late_value":0.1},
 {"name":"pallet-lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1},
 {"name":"bay-booking","semantics":"%s","aim":1.5,"deadline":4,"memory_span":4,"worth":1,"late_value":0}],
"family":"fanout",
"family_info":{"per_call":8,"positions":12,"span":2,"ranges":24,"class_floor":[0.8,1,1],"need_by_class":[1,1,1],
 "short_worth":[0.8,0.9,0.9],"follow_up":[5,0,0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02},
"over_share_worth":0.1,"worth_by":"request"}`

const (
	shardCount = 24
	nodeCount  = 12
)

var zones = []string{"zona-12", "mixco", "villa-nueva"}

// world is a running mixer, what stands round it, and the record of what was sent, answered and run.
type world struct {
	root, run string // of the repository; the command of the deploy file
	trouble   bool
	dir       string // temporary
	begun     time.Time
	directory *standin.Directory
	discovery string
	members   []standin.Member
	mixer     *standin.Mixer
	closers   []func()

	mu     sync.Mutex
	record *os.File
	faults []string
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.begun).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// fault notes that the rule was broken.
func (w *world) fault(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// faultCount is how often the rule was broken.
func (w *world) faultCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.faults)
}

// addNodes adds the nodes of the ring. Serve has a node listen and returns its address.
func (w *world) addNodes(serve func(id string) (string, error)) error {
	for i := range nodeCount {
		id := fmt.Sprintf("s-%02d", i)
		addr, err := serve(id)
		if err != nil {
			return err
		}
		w.members = append(w.members, standin.Member{ID: id, HostPort: addr, Locality: zones[i%len(zones)], Cell: i, Phase: "active", Size: 1})
	}
	return nil
}

// startMixer starts discovery and the mixer, and waits until that is ready. Effect is that of the class
// bay-booking, broker the text of the mixer's deploy/broker.toml.
func (w *world) startMixer(effect, broker string) error {
	w.directory = standin.NewDirectory(w.members...)
	w.discovery = w.directory.Serve()
	w.closers = append(w.closers, w.directory.Close)
	if err := os.Symlink(filepath.Join(w.root, "bin"), filepath.Join(w.dir, "bin")); err != nil {
		return err
	}
	var err error
	w.mixer, err = standin.Start(standin.Setup{Program: "/bin/sh", Args: []string{"-c", w.run}, Dir: w.dir, Name: "n0",
		Settings: fmt.Sprintf(settings, effect), Discovery: w.discovery, Known: w.members, Broker: broker})
	if w.mixer != nil {
		w.closers = append(w.closers, w.mixer.Kill)
	}
	if err != nil {
		return err
	}
	w.note("the mixer serves at %s, pid %d", w.mixer.Listen(), w.mixer.Cmd.Process.Pid)
	time.Sleep(time.Second) // its watch is open by then
	return nil
}

// alive notes a fault if the mixer has ended.
func (w *world) alive() {
	if w.mixer == nil {
		return
	}
	select {
	case err := <-w.mixer.Exit:
		w.mixer.Exit <- err
		w.fault("the mixer ended by itself: %v", err)
	default:
	}
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	if w.mixer != nil {
		select {
		case <-w.mixer.Exit:
		case <-time.After(5 * time.Second):
		}
	}
	_ = os.RemoveAll(w.dir)
}

var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RUN RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4]))
}

func play(name, root, run, record string) int {
	act := cases[name]
	if act == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	w := &world{root: root, run: run, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now()}
	var err error
	if w.record, err = os.Create(record); err == nil {
		w.dir, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	done := make(chan error, 1)
	go func() { done <- act(w) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-stop:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(timeLimit):
		err = fmt.Errorf("no end within %v", timeLimit)
	}
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	}
	w.alive()
	n := w.faultCount()
	w.note("disruption: %v; the rule was broken %d times", w.trouble, n)
	fmt.Printf("case %s, disruption %v: broken %d times\n", name, w.trouble, n)
	if n > 0 {
		fmt.Println("first:", w.faults[0])
		return broken
	}
	return held
}
