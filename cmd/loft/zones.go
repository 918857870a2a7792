package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"

	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/survey"
)

// requestZoneView requests a mixer's verdicts on the zones. The view of a mixer that gives none,
// as older versions do, is the zero View.
func requestZoneView(m fleetMember, op string) (v survey.View, err error) {
	response, err := m.sendRequest(accord.Request{Op: op})
	if err != nil || len(response.Zones) == 0 {
		return v, err
	}
	if err := jsoniter.Unmarshal(response.Zones, &v); err != nil {
		return v, fmt.Errorf("the answer can't be read: %w", err)
	}
	return v, nil
}

// zonesCmd shows the verdicts of a fleet, or of one mixer, on the zones.
type zonesCmd struct {
	Member fleetMember `embed:""`
	Own    bool        `help:"By the evidence of the mixer that is asked alone, also while nobody leads the voters."`
	JSON   bool        `help:"One object a line."`
}

// Run implements the command zones show.
func (c zonesCmd) Run(out io.Writer) error {
	op := accord.OpZones
	if c.Own {
		op = accord.OpLocalZones
	}
	v, err := requestZoneView(c.Member, op)
	if err != nil {
		return err
	}
	if v.Mixer == "" {
		return errors.New("the mixer gave no verdicts on zones; it may run an older version")
	}
	if c.JSON {
		return writeJSONLines(out, v.Zones)
	}
	by := "by its own evidence"
	if v.Whole {
		by = "by the evidence of all, as it leads the voters"
	}
	fmt.Fprintf(out, "%s judges %s; plan %d\n", v.Mixer, by, v.Plan)
	if v.Shared {
		fmt.Fprintln(out, "all zones are slow alike, or were just now: something that all depend on")
	}
	if len(v.Off) > 0 {
		fmt.Fprintln(out, "cut off, or standing still, themselves:", strings.Join(v.Off, " "))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "zone\tis\tsince\tshare\tplan\tseen worse from\twhy")
	for _, l := range v.Zones {
		plan := l.Phase
		if l.Held {
			plan += ", held"
		}
		if l.Because != "" {
			plan += " (" + l.Because + ")"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%.2f\t%s\t%s\t%s\n", l.Zone, l.Verdict, (time.Duration(l.SinceMS) * time.Millisecond).Round(100*time.Millisecond), l.Share, plan,
			strings.Join(l.Cuts, " "), l.Why)
	}
	return w.Flush()
}

// zoneCmd holds the arguments of an operator's order on a zone. When the command returns without
// an error, the fleet has committed the order.
type zoneCmd struct {
	Zone   string      `arg:"" help:"The zone."`
	Member fleetMember `embed:""`
	Why    string      `required:"" help:"One line for whoever reads the plan."`
}

// sendOrder has the fleet agree on an order and prints its effect.
func (c zoneCmd) sendOrder(out io.Writer, order, effect string) error {
	response, err := c.Member.sendRequest(accord.Request{Op: accord.OpZoneOrder, Name: c.Zone, Order: order, Why: c.Why})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: plan %d is agreed: %s\n", c.Zone, response.State.PlanSeq, effect)
	return nil
}

// zonesLeaveCmd orders the fleet to send nothing to a zone.
type zonesLeaveCmd struct {
	zoneCmd
	Anyway bool `help:"Also where another zone that is to carry its work does not look sound."`
}

// Run implements the command zones leave.
func (c zonesLeaveCmd) Run(out io.Writer) error {
	v, err := requestZoneView(c.Member, accord.OpZones)
	if err != nil {
		return err
	}
	for _, l := range v.Zones {
		if l.Zone != c.Zone && l.Share > 0 && l.Verdict != "sound" && !c.Anyway {
			return fmt.Errorf("%s, which would have to carry its work, is %s (%s); --anyway leaves %s all the same", l.Zone, l.Verdict, l.Why, c.Zone)
		}
	}
	return c.sendOrder(out, "leave", "nothing is sent there but what only its nodes hold, until another word")
}

// zonesReturnCmd orders the fleet to return to a zone step by step.
type zonesReturnCmd struct{ zoneCmd }

// Run implements the command zones return.
func (c zonesReturnCmd) Run(out io.Writer) error {
	return c.sendOrder(out, "return", "it is returned to step by step, whatever it looks like")
}

// zonesHoldCmd orders the fleet to keep a zone's share as it is.
type zonesHoldCmd struct{ zoneCmd }

// Run implements the command zones hold.
func (c zonesHoldCmd) Run(out io.Writer) error {
	return c.sendOrder(out, "hold", "it stays as it is, until another word")
}

// zonesFreeCmd ends an operator's order on a zone.
type zonesFreeCmd struct{ zoneCmd }

// Run implements the command zones free.
func (c zonesFreeCmd) Run(out io.Writer) error {
	return c.sendOrder(out, "free", "the mixers decide again, where they may")
}
