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

// fleetCmd sums the counts in the logs of many mixers, by second.
type fleetCmd struct {
	Dir  string   `arg:"" type:"existingdir" help:"Folder with the mixers' logs, one file a mixer (*.log)."`
	Kind []string `help:"Counts to show, by name, in place of the usual ones." placeholder:"NAME"`
}

// defaultCounts are the columns that are shown if the command line names none.
var defaultCounts = []kinds.Kind{kinds.Taken, kinds.Served, kinds.Short, kinds.RefusedTargetUnreachable, kinds.RefusedPartUnavailable,
	kinds.RefusedTimeExpired, kinds.Failed, kinds.ByOffset, kinds.OffsetAvoided, kinds.NextBestHolder, kinds.LateCopy, kinds.ForcedCopy,
	kinds.SentToWarmingNode, kinds.OK, kinds.Full, kinds.TimedOut, kinds.ConnectFailed, kinds.ConnectionsDialed, kinds.OpenConnections,
	kinds.Probes, kinds.DirectoryCalls, kinds.DirectoryFailed, kinds.ListBytes, kinds.ListAgeMillis, kinds.TimerLagMicros,
	kinds.CPUMicros}

// maxLineBytes is the length of the longest log line that can be read; a longer one is an error.
const maxLineBytes = 1 << 20

// countSums holds the counts summed over all mixers, by second of the Unix time.
type countSums struct {
	seconds   map[int64]*secondSum
	malformed int // lines of counts that could not be parsed
}

// secondSum is the sum of the lines of counts that were written in one second.
type secondSum struct {
	sum    kinds.Set
	mixers int // mixers that wrote a line of counts in it
}

// readLog adds the lines of counts of one mixer's log. Other lines are skipped; malformed lines
// of counts are only counted.
func (f *countSums) readLog(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		line := in.Bytes()
		start := bytes.IndexByte(line, '{') // log collectors may write a time before the object
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

// Run prints one line per second. Counts that are peaks show the maximum over all mixers, other
// counts the sum.
func (c *fleetCmd) Run(out io.Writer) error {
	columns := defaultCounts
	if len(c.Kind) > 0 {
		columns = nil
		for _, name := range c.Kind {
			k, ok := kinds.KindByName(name)
			if !ok {
				return fmt.Errorf("fleet: unknown count %q", name)
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

// writeTable prints one line per second, with the time counted from the first one.
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
	_ = t.Flush() // fails only if the output is closed; like fmt.Fprint, not checked
}
