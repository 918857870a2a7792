// Package faults records a run of several mixers under injected faults: what was done to them,
// and how each then judged the state of the others. Stand-ins write the record and can replay it;
// loft draws it.
package faults

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Fault describes the faults injected into one directed link between two mixers.
type Fault struct {
	Drop      float64       `json:"drop,omitempty"`      // share of datagrams lost; 1: the link is cut, for connections too
	Double    float64       `json:"double,omitempty"`    // share of datagrams delivered twice
	Corrupt   float64       `json:"corrupt,omitempty"`   // share of datagrams in which one byte is changed
	Delay     time.Duration `json:"delay,omitempty"`     // upper bound, drawn per datagram, so that datagrams are reordered
	Least     time.Duration `json:"least,omitempty"`     // lower bound of each delay; also applies to each chunk of a connection
	Oversized bool          `json:"oversized,omitempty"` // each datagram is followed by an oversized one
}

// Values of Action.Do.
const (
	Start = "start"
	Kill  = "kill"
	End   = "end" // graceful stop, as in a planned restart
	Pause = "pause"
	Links = "links"
)

// Action is one action on the mixers or their links.
type Action struct {
	At    time.Duration `json:"at"` // since the start of the run
	Do    string        `json:"do"`
	Mixer int           `json:"mixer,omitempty"`
	For   time.Duration `json:"for,omitempty"`  // length of a pause
	From  []int         `json:"from,omitempty"` // links: the sending mixers; empty means all
	To    []int         `json:"to,omitempty"`   // links: the receiving mixers
	Fault Fault         `json:"fault,omitzero"` // links: the zero value removes the fault
}

func (a Action) String() string {
	at := a.At.Round(time.Millisecond)
	switch a.Do {
	case Links:
		return fmt.Sprintf("%v links from %v to %v: %+v", at, a.From, a.To, a.Fault)
	case Pause:
		return fmt.Sprintf("%v pause n%d for %v", at, a.Mixer, a.For)
	}
	return fmt.Sprintf("%v %s n%d", at, a.Do, a.Mixer)
}

// Change is a mixer's log line on a change of a member's state.
type Change struct {
	At     time.Duration `json:"at"`
	By     string        `json:"by"`
	Member string        `json:"member"` // equal to By where the mixer reports its own state
	From   string        `json:"from"`
	To     string        `json:"to"`
	Cause  string        `json:"cause,omitempty"`
}

// Run is the record of a whole run.
type Run struct {
	Mixers  []string      `json:"mixers"`
	Length  time.Duration `json:"length"`
	Actions []Action      `json:"moments"`
	Changes []Change      `json:"changes"`
}

// Write writes the run to a file as indented JSON.
func (r Run) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("writing a run: %w", err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads a run from a file. It fails for a run without mixers or with a length of zero or less.
func Read(path string) (r Run, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	if len(r.Mixers) == 0 || r.Length <= 0 {
		return r, fmt.Errorf("%s: not the record of a run: it names no mixers or has no length", path)
	}
	return r, nil
}
