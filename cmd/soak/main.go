// Command soak runs the fault soak for a range of seeds and prints which rules were broken. It exits with status 1
// if a rule was broken, and with 2 if --add names an unknown kind of trouble.
package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"kiteloft/internal/soak"
	"kiteloft/internal/standin/callfaults"
	"kiteloft/internal/standin/confine"
)

type flags struct {
	Program  string        `arg:"" help:"The mixer to play." type:"existingfile"`
	Seed     uint64        `help:"The first seed." default:"1"`
	Seeds    int           `help:"How many seeds." default:"1"`
	Parallel int           `help:"How many at a time." default:"1"`
	Mixers   int           `help:"Processes of the mixer, for each seed." default:"10"`
	Servers  int           `help:"Stand-in servers, a multiple of 8." default:"16"`
	Rate     float64       `help:"Requests a second of each of a mixer's two crowds of clients." default:"6"`
	Length   time.Duration `help:"Length of a run." default:"30s"`
	Only     []int         `help:"Only these troubles of the schedule, by their numbers."`
	Add      []string      `help:"Kinds of trouble that come in the middle of each run, beside those drawn."`
	Shrink   bool          `help:"Play a seed that breaks a rule again with fewer troubles, until none can be left out."`
}

func main() {
	callfaults.Launch(os.Args[1:])
	confine.Launch(os.Args[1:])
	var f flags
	kong.Parse(&f, kong.Name("soak"), kong.Description("The fault soak: real mixers among stand-ins that misbehave by a seed."))
	os.Exit(f.run())
}

// summary adds up the reports of all runs. Its add may be called from several goroutines.
type summary struct {
	mu          sync.Mutex
	seeds       int
	requests    int
	failedSeeds []uint64
	outcomes    map[string]int
	troubles    map[soak.Kind]int
	overlaps    map[[2]soak.Kind]int
	violations  map[string]int
}

// run runs all seeds, Parallel at a time, and returns the exit status.
func (f flags) run() int {
	program, err := filepath.Abs(f.Program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f.Program = program
	for _, name := range f.Add {
		if _, ok := soak.KindByName(name); !ok {
			fmt.Fprintf(os.Stderr, "no kind of trouble is named %s\n", name)
			return 2
		}
	}
	sum := summary{outcomes: map[string]int{}, troubles: map[soak.Kind]int{}, overlaps: map[[2]soak.Kind]int{}, violations: map[string]int{}}
	seeds := make(chan uint64)
	var all sync.WaitGroup
	for range f.Parallel {
		all.Go(func() {
			for seed := range seeds {
				f.seed(seed, &sum)
			}
		})
	}
	for i := range f.Seeds {
		seeds <- f.Seed + uint64(i)
	}
	close(seeds)
	all.Wait()
	sum.print()
	if len(sum.failedSeeds) > 0 {
		return 1
	}
	return 0
}

// runWith runs a seed with the given troubles.
func (f flags) runWith(seed uint64, troubles []soak.Trouble) (soak.Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return soak.Report{}, err
	}
	return soak.Run(soak.Options{Program: f.Program, Dir: dir, Seed: seed, Mixers: f.Mixers, Servers: f.Servers, Rate: f.Rate,
		Length: f.Length, Troubles: troubles})
}

// seed runs a seed with the troubles that the flags select, adds its report to sum, and explains violations.
func (f flags) seed(seed uint64, sum *summary) {
	troubles := soak.DrawTroubles(seed, f.Length)
	if len(f.Only) > 0 {
		var kept []soak.Trouble
		for _, i := range f.Only {
			kept = append(kept, troubles[i])
		}
		troubles = kept
	}
	for _, name := range f.Add {
		if kind, ok := soak.KindByName(name); ok {
			troubles = append(troubles, soak.MidRunTrouble(kind, seed, f.Length))
		}
	}
	r, err := f.runWith(seed, troubles)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		r.Violations = append(r.Violations, soak.Violation{Rule: "soak", Text: err.Error()})
	}
	sum.add(seed, r)
	if len(r.Violations) == 0 {
		return
	}
	printViolations(seed, troubles, r)
	if f.Shrink {
		f.shrink(seed, troubles, r.Violations[0].Rule)
	}
}

// printViolations prints the troubles and violations of a run, with the timeline of the first violation of each rule.
func printViolations(seed uint64, troubles []soak.Trouble, r soak.Report) {
	text := fmt.Sprintf("seed %d: %d breaks\n", seed, len(r.Violations))
	for i, t := range troubles {
		text += fmt.Sprintf("  trouble %d: %v\n", i, t)
	}
	seen := map[string]bool{}
	for _, b := range r.Violations {
		text += fmt.Sprintf("  %8.3fs %s %s: %s\n", b.At.Seconds(), b.Rule, b.Request, b.Text)
		if !seen[b.Rule] {
			seen[b.Rule] = true
			text += "  timeline of the first of its kind:\n" + r.Timeline(b.Request)
		}
	}
	fmt.Print(text)
}

// shrink removes troubles one at a time while the rule is still broken without them, and prints those that remain.
func (f flags) shrink(seed uint64, troubles []soak.Trouble, rule string) {
	for i := 0; i < len(troubles); {
		fewer := slices.Delete(slices.Clone(troubles), i, i+1)
		r, err := f.runWith(seed, fewer)
		if err == nil && slices.ContainsFunc(r.Violations, func(b soak.Violation) bool { return b.Rule == rule }) {
			troubles = fewer
		} else {
			i++
		}
	}
	fmt.Printf("seed %d breaks %s with:\n", seed, rule)
	for _, t := range troubles {
		fmt.Printf("  %v\n", t)
	}
}

// add adds a seed's report and prints its line.
func (s *summary) add(seed uint64, r soak.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds++
	s.requests += r.Requests
	for k, n := range r.Outcomes {
		s.outcomes[k] += n
	}
	for k, n := range r.TroubleCounts {
		s.troubles[k] += n
	}
	for k, n := range r.Overlaps {
		s.overlaps[k] += n
	}
	for _, b := range r.Violations {
		s.violations[b.Rule]++
	}
	if len(r.Violations) > 0 {
		s.failedSeeds = append(s.failedSeeds, seed)
	}
	fmt.Printf("seed %d: %d requests, %d breaks\n", seed, r.Requests, len(r.Violations))
}

// print prints the totals.
func (s *summary) print() {
	fmt.Printf("%d seeds, %d requests, %d pairs of kinds that overlapped (%d times)\n", s.seeds, s.requests, len(s.overlaps), sumCounts(s.overlaps))
	fmt.Println("outcomes:", s.outcomes)
	fmt.Print("troubles:")
	for _, k := range slices.Sorted(maps.Keys(s.troubles)) {
		fmt.Printf(" %v %d,", k, s.troubles[k])
	}
	fmt.Println()
	fmt.Println("broken rules:", s.violations, "in seeds", s.failedSeeds)
}

// sumCounts returns the sum of the values.
func sumCounts[K comparable](m map[K]int) (n int) {
	for _, c := range m {
		n += c
	}
	return n
}
