// Command loft is the operators' tool. It reads the traces, logs and fault records that mixers
// leave. It asks the members of a fleet for their view of the members, the settings and the
// zones, and has the fleet change its settings, its voters and what it sends to a zone.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// Exit codes.
const (
	exitOK      = 0
	exitNoMatch = 1 // nothing matches the request
	exitUsage   = 2 // wrong command line, or any other error
	exitDamaged = 3 // a file is truncated or corrupt; what could be read was shown
)

// errNoMatch says that nothing matches the request; the exit code is then exitNoMatch.
var errNoMatch = errors.New("nothing fits")

// cli declares the commands; kong derives their names and flags from its fields.
type cli struct {
	Trace struct {
		List    listCmd    `cmd:"" help:"List traces, one a line."`
		Show    showCmd    `cmd:"" help:"Show a trace as a waterfall, with its critical path."`
		Slowest slowestCmd `cmd:"" help:"List the queries that were furthest over their wanted time."`
		Nodes   nodesCmd   `cmd:"" help:"Say which node, zone, cause or class cost how much of the time over wanted."`
		Report  reportCmd  `cmd:"" help:"Write one self-contained HTML page with plots."`
	} `cmd:"" help:"Read traces from segment files."`
	Fleet   fleetCmd   `cmd:"" help:"Add up, second by second, what the mixers of a folder of logs counted."`
	Members membersCmd `cmd:"" help:"Show a mixer's view of its fleet: who is there, doubted, gone."`
	Faults  struct {
		Report faultsReportCmd `cmd:"" help:"Draw a run of mixers under faults: what each held of each other, over time."`
	} `cmd:"" help:"Read records of runs under faults."`
	Settings struct {
		Check    settingsCheckCmd    `cmd:"" help:"Check a document as a mixer would."`
		Diff     settingsDiffCmd     `cmd:"" help:"Show what a document changes, and which changes contradict what is in force."`
		Propose  settingsProposeCmd  `cmd:"" help:"Have a document agreed as the next version."`
		Rollback settingsRollbackCmd `cmd:"" help:"Withdraw the version on its way, or go back to an older one."`
		Show     settingsShowCmd     `cmd:"" help:"Show a version's document."`
		History  settingsHistoryCmd  `cmd:"" help:"List the versions."`
		Wait     settingsWaitCmd     `cmd:"" help:"Wait until all mixers act on a version, or say which don't and why."`
	} `cmd:"" help:"Settings that the mixers of a fleet agree on."`
	Versions versionsCmd `cmd:"" help:"Show who acts on which version of the settings, since when, by whose lease."`
	Voters   struct {
		Add    voterAddCmd    `cmd:"" help:"Have another mixer keep the log."`
		Remove voterRemoveCmd `cmd:"" help:"Have one leave the voters."`
	} `cmd:"" help:"The mixers that keep the log of agreed settings."`
	Zones struct {
		Show   zonesCmd       `cmd:"" default:"withargs" help:"Show how the fleet judges the zones, and why."`
		Leave  zonesLeaveCmd  `cmd:"" help:"Have the fleet send nothing to a zone, but for what only its nodes hold."`
		Return zonesReturnCmd `cmd:"" help:"Have it send there again, step by step."`
		Hold   zonesHoldCmd   `cmd:"" help:"Have what it sends there stay as it is."`
		Free   zonesFreeCmd   `cmd:"" help:"Have the mixers decide again."`
	} `cmd:"" help:"The zones of stock nodes."`
	Completions kongplete.InstallCompletions `cmd:"" help:"Print or install the shell's completions."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) (code int) {
	var c cli
	exitCode := -1
	parser, err := kong.New(&c, kong.Name("loft"), kong.Description("The operators' tool beside the mixers."),
		kong.Writers(out, errOut), kong.Exit(func(n int) { exitCode = n }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errOut, "loft:", err)
		return exitUsage
	}
	kongplete.Complete(parser, kongplete.WithPredictor("dir", directoryPredictor{}))
	ctx, err := parser.Parse(args)
	if exitCode >= 0 { // kong printed the help text and asked to exit
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(errOut, "loft:", err)
		fmt.Fprintln(errOut, "try: loft --help")
		return exitUsage
	}
	ctx.BindTo(out, (*io.Writer)(nil))
	err = ctx.Run()
	var damage *damagedFiles
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errNoMatch):
		fmt.Fprintln(errOut, "loft:", err)
		return exitNoMatch
	case errors.As(err, &damage):
		for _, d := range damage.list {
			fmt.Fprintln(errOut, "loft:", d)
		}
		return exitDamaged
	}
	fmt.Fprintln(errOut, "loft:", err)
	return exitUsage
}
