// Command benchlink connects instances of the decision module to the simulator. It reads
// batches of the line protocol of package wire from standard input and writes one reply per
// batch to standard output, until the input ends. A malformed batch ends it with exit code 1.
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

// run answers the batches of in until its end. It returns the first error of decoding,
// executing or encoding.
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

// stepInstances creates and destroys instances as the batch says, then steps each running
// instance once with all its events of the batch and writes its actions. Instances are stepped
// in the order in which the batch first names them.
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
