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
	decoder, encoder := wire.NewDecoder(in), wire.NewEncoder(out)
	modules := map[int]*decide.StateMachine{}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		if err := stepInstances(modules, batch, encoder); err != nil {
			return err
		}
		if err := encoder.End(); err != nil {
			return err
		}
	}
}

// step hands each instance all its events of the batch at once, instances in
// the order in which they first appear.
func stepInstances(modules map[int]*decide.StateMachine, batch wire.Batch, encoder *wire.Encoder) error {
	events := map[int][]decide.Event{}
	var order []int
	for _, item := range batch.Items {
		if _, seen := events[item.Instance]; !seen {
			order = append(order, item.Instance)
			events[item.Instance] = nil
		}
		switch item.Kind {
		case wire.KindSpawn:
			modules[item.Instance] = decide.New(item.Settings, item.Seed)
			events[item.Instance] = nil
		case wire.KindDestroy:
			delete(modules, item.Instance)
			events[item.Instance] = nil
		case wire.KindEvent:
			if modules[item.Instance] == nil {
				return fmt.Errorf("event %T for instance %d, which does not run", item.Event, item.Instance)
			}
			events[item.Instance] = append(events[item.Instance], item.Event)
		}
	}
	for _, id := range order {
		module := modules[id]
		if module == nil {
			continue
		}
		for _, action := range module.Step(batch.Clock, events[id]) {
			if err := encoder.Write(id, action); err != nil {
				return fmt.Errorf("instance %d: %w", id, err)
			}
		}
	}
	return nil
}
