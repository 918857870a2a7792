// Command benchlink runs many instances of the decision module on the
// simulator's wire: one batch in, one reply out, until the input ends.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"kiteloft/decide"
	"kiteloft/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(out)
	modules := map[int]*decide.StateMachine{}
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		if err := step(modules, batch, enc); err != nil {
			return err
		}
		if err := enc.End(); err != nil {
			return err
		}
	}
}

// step hands each instance all its events of the batch at once, instances in
// the order in which they first appear.
func step(modules map[int]*decide.StateMachine, b wire.Batch, enc *wire.Encoder) error {
	events := map[int][]decide.Event{}
	var order []int
	for _, it := range b.Items {
		if _, seen := events[it.Instance]; !seen {
			order = append(order, it.Instance)
			events[it.Instance] = nil
		}
		switch it.Kind {
		case wire.KindSpawn:
			modules[it.Instance] = decide.New(it.Settings, it.Seed)
			events[it.Instance] = nil
		case wire.KindDestroy:
			delete(modules, it.Instance)
			events[it.Instance] = nil
		case wire.KindEvent:
			if modules[it.Instance] == nil {
				return fmt.Errorf("event %T for instance %d, which does not run", it.Event, it.Instance)
			}
			events[it.Instance] = append(events[it.Instance], it.Event)
		}
	}
	for _, id := range order {
		m := modules[id]
		if m == nil {
			continue
		}
		for _, a := range m.Step(b.Clock, events[id]) {
			if err := enc.Write(id, a); err != nil {
				return fmt.Errorf("instance %d: %w", id, err)
			}
		}
	}
	return nil
}
