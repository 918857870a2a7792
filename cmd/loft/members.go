package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"

	"kiteloft/internal/fleet/link"
)

// membersCmd shows the membership of a fleet as one mixer sees it.
type membersCmd struct {
	Address string        `arg:"" help:"Where a mixer listens for the others (fleet.listen)."`
	Fleet   string        `required:"" help:"Name of the fleet."`
	KeyFile string        `required:"" type:"existingfile" help:"The fleet's key file."`
	JSON    bool          `help:"One object a line."`
	Wait    time.Duration `default:"2s" help:"For an answer."`
}

// Run implements the command members.
func (c membersCmd) Run(out io.Writer) error {
	keys, err := link.ReadKeys(c.KeyFile)
	if err != nil {
		return err
	}
	v, err := link.AskView(c.Address, c.Fleet, keys, c.Wait)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Address, err)
	}
	if c.JSON {
		return writeJSONLines(out, v.Members)
	}
	fmt.Fprintf(out, "%s of %s: %d live, share %.4f, cut off: %v\n", v.Mixer, v.Fleet, v.Live, v.Share, v.Isolated)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tzone\taddress\tstate\tready\tlife\tsince\theard\tdoubted by")
	for _, l := range v.Members {
		heard := "never"
		if l.Self {
			heard = "itself"
		} else if l.HeardMS >= 0 {
			heard = (time.Duration(l.HeardMS) * time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d.%d\t%v\t%s\t%s\n", l.ID, l.Zone, l.Addr, l.State, l.Ready, l.Generation, l.Turn,
			(time.Duration(l.SinceMS) * time.Millisecond).Round(100*time.Millisecond), heard, strings.Join(l.DoubtedBy, " "))
	}
	return w.Flush()
}

// writeJSONLines writes each element of the list as JSON on a line of its own.
func writeJSONLines[T any](out io.Writer, list []T) error {
	for _, x := range list {
		text, err := jsoniter.Marshal(x)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s\n", text); err != nil {
			return err
		}
	}
	return nil
}
