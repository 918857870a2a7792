package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"

	kinds "kiteloft/internal/counts"
)

// fleetCmd adds up what many mixers counted.
type fleetCmd struct {
	Dir  string   `arg:"" type:"existingdir" help:"Folder with the mixers' logs, one file a mixer (*.log)."`
	Kind []string `help:"Counts to show, by name, in place of the usual ones." placeholder:"NAME"`
}

// usualCounts are the columns where none are asked for.
var defaultCounts = []kinds.Kind{kinds.Taken, kinds.Served, kinds.Short, kinds.RefusedTargetUnreachable, kinds.RefusedPartUnavailable,
	kinds.RefusedTimeExpired, kinds.Failed, kinds.ByOffset, kinds.OffsetAvoided, kinds.NextBestHolder, kinds.LateCopy, kinds.ForcedCopy,
	kinds.SentToWarmingNode, kinds.OK, kinds.Full, kinds.TimedOut, kinds.ConnectFailed, kinds.ConnectionsDialed, kinds.OpenConnections,
	kinds.Probes, kinds.DirectoryCalls, kinds.DirectoryFailed, kinds.ListBytes, kinds.ListAgeMillis, kinds.TimerLagMicros,
	kinds.CPUMicros}

// mostLine is the longest line of a log that is looked at.
const maxLineBytes = 1 << 20

// fleet is the sum over mixers, by second.
type countSums struct {
	seconds   map[int64]*secondSum
	malformed int // lines that say they are counts and can't be read
}

type secondSum struct {
	sum    kinds.Set
	mixers int // that wrote a line for it
}

func (f *countSums) readLog(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		line := in.Bytes()
		start := bytes.IndexByte(line, '{') // whoever keeps the log may write a time before it
		if start < 0 || !bytes.Contains(line, []byte(`"message":"counts"`)) {
			continue
		}
		var fields map[string]any
		if err := jsoniter.Unmarshal(line[start:], &fields); err != nil {
			f.malformed++
			continue
		}
		ms, ok := fields["at_ms"].(float64)
		if !ok || fields["message"] != "counts" {
			f.malformed++
			continue
		}
		at := int64(ms) / 1000
		s := f.seconds[at]
		if s == nil {
			s = &secondSum{}
			f.seconds[at] = s
		}
		s.mixers++
		for name, value := range fields {
			if k, known := kinds.KindByName(name); known {
				if n, number := value.(float64); number {
					s.sum.Add(k, int64(n))
				}
			}
		}
	}
	return in.Err()
}

// Run prints a line a second: sums over all mixers, peaks as the most of any.
func (c *fleetCmd) Run(out io.Writer) error {
	columns := defaultCounts
	if len(c.Kind) > 0 {
		columns = nil
		for _, name := range c.Kind {
			k, ok := kinds.KindByName(name)
			if !ok {
				return fmt.Errorf("fleet: %q is not counted", name)
			}
			columns = append(columns, k)
		}
	}
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.log"))
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f := countSums{seconds: map[int64]*secondSum{}}
	for _, path := range files {
		if err := f.readFile(path); err != nil {
			return err
		}
	}
	if len(f.seconds) == 0 {
		return fmt.Errorf("%s: %w: no line of counts in %d logs", c.Dir, errNoMatch, len(files))
	}
	f.writeTable(out, columns)
	if f.malformed > 0 {
		fmt.Fprintf(out, "%d lines of counts could not be read\n", f.malformed)
	}
	return nil
}

func (f *countSums) readFile(path string) error {
	r, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer r.Close()
	if err := f.readLog(r); err != nil {
		return fmt.Errorf("fleet: %s: %w", path, err)
	}
	return nil
}

func (f *countSums) writeTable(out io.Writer, columns []kinds.Kind) {
	order := slices.Sorted(maps.Keys(f.seconds))
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	head := []string{"second", "mixers"}
	for _, k := range columns {
		head = append(head, k.String())
	}
	fmt.Fprintln(t, strings.Join(head, "\t")+"\t")
	for _, at := range order {
		s := f.seconds[at]
		fmt.Fprintf(t, "%d\t%d\t", at-order[0], s.mixers)
		for _, k := range columns {
			fmt.Fprintf(t, "%d\t", s.sum.Get(k))
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush() // to a pipe that nobody reads, as any print
}
