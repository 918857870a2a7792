package main

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/hex"
	stdjson "encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/go-jsonnet"
	jsoniter "github.com/json-iterator/go"

	"kiteloft/internal/config"
	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/settings"
)

// fleetMember holds the flags that name a mixer of a fleet and how to reach it.
type fleetMember struct {
	Address string        `arg:"" help:"Where a mixer listens for the others (fleet.listen); any of them."`
	Fleet   string        `required:"" help:"Name of the fleet."`
	KeyFile string        `required:"" type:"existingfile" help:"The fleet's key file."`
	Wait    time.Duration `default:"8s" help:"For an answer."`
}

// sendRequest sends a request to the mixer and returns its response. A response that reports an
// error is returned with that error. Only mixers without fleet.accord answer without a lease
// duration.
func (m fleetMember) sendRequest(request accord.Request) (response accord.Response, err error) {
	keys, err := link.ReadKeys(m.KeyFile)
	if err != nil {
		return response, err
	}
	payload, err := jsoniter.Marshal(request)
	if err != nil {
		return response, err
	}
	text, err := link.Ask(m.Address, m.Fleet, keys, payload, m.Wait)
	if err != nil {
		return response, fmt.Errorf("%s: %w", m.Address, err)
	}
	if err := jsoniter.Unmarshal(text, &response); err != nil || response.LeaseMS == 0 {
		return response, fmt.Errorf("%s: this mixer agrees on no settings (fleet.accord)", m.Address)
	}
	if response.Error != "" {
		return response, fmt.Errorf("%s: %s", cmp.Or(response.Mixer, m.Address), response.Error)
	}
	return response, nil
}

// evaluateDocument evaluates a Jsonnet file to the JSON document that mixers take. Keys are
// sorted, so that equal documents have equal texts.
func evaluateDocument(path string) (string, error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(path)}})
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return "", err // its text names file, line and column
	}
	var doc map[string]any
	if err := stdjson.Unmarshal([]byte(text), &doc); err != nil {
		return "", fmt.Errorf("%s: want an object: %w", path, err)
	}
	out, err := stdjson.Marshal(doc) // Marshal sorts the keys
	return string(out), err
}

// errorKeyPattern matches the key at the beginning of an error on a document: its first group is
// the outer key, the second the inner key, if any.
var errorKeyPattern = regexp.MustCompile(`^([a-z_]+)(?:\.([^:]+)|\[\d+\])?:`)

// withLineNumbers prefixes each line of an error on a document with the file and, if the line
// begins with a key that the file names, the number of that line in the file. If the file cannot
// be read, err is returned unchanged.
func withLineNumbers(path string, err error) error {
	source, e := os.ReadFile(path)
	if err == nil || e != nil {
		return err
	}
	var list []error
	for _, line := range strings.Split(err.Error(), "\n") {
		location := path
		if m := errorKeyPattern.FindStringSubmatch(line); m != nil {
			for _, key := range []string{m[2], m[1]} { // the inner key is the more exact place
				if i := lineOfKey(source, key); i > 0 {
					location = fmt.Sprintf("%s:%d", path, i)
					break
				}
			}
		}
		list = append(list, fmt.Errorf("%s: %s", location, line))
	}
	return errors.Join(list...)
}

// lineOfKey returns the number of the first line on which key occurs as a key, or 0.
func lineOfKey(source []byte, key string) int {
	if key == "" {
		return 0
	}
	at := regexp.MustCompile(`(?m)(?:^|[\s{,'"])` + regexp.QuoteMeta(key) + `['"]?\s*:`).FindIndex(source)
	if at == nil {
		return 0
	}
	return 1 + bytes.Count(source[:at[1]], []byte("\n"))
}

// mixerSettings reads the settings in a mixer's configuration file.
func mixerSettings(path string) (s settings.Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	var file struct {
		Settings jsoniter.RawMessage `json:"settings"`
	}
	if err := jsoniter.Unmarshal(text, &file); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return settings.Parse(file.Settings)
}

// checkDocument evaluates the document in file and checks it as a mixer with the configuration
// file conf would. Errors on a key name the line of the document.
func checkDocument(file, conf string) (text string, rules version.Rules, set settings.Settings, err error) {
	if text, err = evaluateDocument(file); err != nil {
		return
	}
	if set, err = mixerSettings(conf); err != nil {
		return
	}
	rules, err = config.Document(text, set)
	return text, rules, set, withLineNumbers(file, err)
}

// settingsCheckCmd checks a document without asking the fleet.
type settingsCheckCmd struct {
	File   string `arg:"" type:"existingfile" help:"The document, in Jsonnet."`
	Config string `required:"" type:"existingfile" help:"A mixer's configuration file, with the settings that the document lies over."`
}

// Run implements the command settings check.
func (c settingsCheckCmd) Run(out io.Writer) error {
	text, _, _, err := checkDocument(c.File, c.Config)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is sound\n%s\n", c.File, text)
	return nil
}

// settingsDiffCmd compares a document with the version in force.
type settingsDiffCmd struct {
	File   string      `arg:"" type:"existingfile" help:"The document, in Jsonnet."`
	Member fleetMember `embed:""`
	Config string      `type:"existingfile" required:"" help:"A mixer's configuration file."`
}

// Run implements the command settings diff.
func (c settingsDiffCmd) Run(out io.Writer) error {
	text, next, set, err := checkDocument(c.File, c.Config)
	if err != nil {
		return err
	}
	response, err := c.Member.sendRequest(accord.Request{Op: accord.OpShow})
	if err != nil {
		return err
	}
	old, err := config.Document(response.State.InForce().Text, set)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "against version %d:\n", response.State.InForce().Number)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	n := 0
	for _, d := range differences(response.State.InForce().Text, text) {
		fmt.Fprintf(w, "  %s\t%s\t-> %s\n", d.key, d.old, d.next)
		n++
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if n == 0 {
		fmt.Fprintln(out, "  nothing changes")
	}
	if keys := version.ConflictingKeys(old, next); len(keys) > 0 {
		fmt.Fprintf(out, "contradict, and so wait until all mixers have gone to the safe side: %s\n", strings.Join(keys, ", "))
	}
	return nil
}

// difference is a key with its values in two documents.
type difference struct{ key, old, next string }

// differences returns the keys in which two documents differ, sorted; keys of inner objects are
// written as outer.inner. An empty or malformed document counts as one without keys.
func differences(old, next string) (list []difference) {
	flatten := func(text string) map[string]string {
		out := map[string]string{}
		var doc map[string]any
		if text == "" || stdjson.Unmarshal([]byte(text), &doc) != nil {
			return out
		}
		for key, v := range doc {
			if inner, ok := v.(map[string]any); ok {
				for k, v := range inner {
					out[key+"."+k] = fmt.Sprint(v)
				}
				continue
			}
			out[key] = fmt.Sprint(v)
		}
		return out
	}
	a, b := flatten(old), flatten(next)
	keys := map[string]bool{}
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	for key := range keys {
		if a[key] != b[key] {
			list = append(list, difference{key, cmp.Or(a[key], "as the mixer's own"), cmp.Or(b[key], "as the mixer's own")})
		}
	}
	slices.SortFunc(list, func(x, y difference) int { return strings.Compare(x.key, y.key) })
	return list
}

// settingsProposeCmd proposes a document as the next version.
type settingsProposeCmd struct {
	File   string      `arg:"" type:"existingfile" help:"The document, in Jsonnet."`
	Member fleetMember `embed:""`
	From   *uint64     `help:"The version that it was made from; it is refused if that is not the latest. Absent: the latest."`
	Why    string      `required:"" help:"One line for whoever reads the history."`
	Mark   string      `help:"Of an earlier try whose answer was lost."`
}

// Run implements the command settings propose.
func (c settingsProposeCmd) Run(out io.Writer) error {
	text, err := evaluateDocument(c.File)
	if err != nil {
		return err
	}
	return propose(out, c.Member, version.Version{Text: text, Why: c.Why, Mark: c.Mark}, c.From, func(err error) error { return withLineNumbers(c.File, err) })
}

// propose proposes a version on the basis of from, or of the latest version if from is nil. If
// the outcome is unknown, the error names the mark with which the proposal can be repeated without
// being made twice. The mixer that is asked repeats it itself while the voters have no leader.
// LocateError adds the place in a file to errors on the document.
func propose(out io.Writer, m fleetMember, v version.Version, from *uint64, locateError func(error) error) error {
	response, err := m.sendRequest(accord.Request{Op: accord.OpShow})
	if err != nil {
		return err
	}
	v.BaseNumber, v.Author = response.State.Latest, os.Getenv("USER")
	if from != nil {
		v.BaseNumber = *from
	}
	if v.Mark == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never returns an error
		v.Mark = hex.EncodeToString(b[:])
	}
	response, err = m.sendRequest(accord.Request{Op: accord.OpPropose, Version: v})
	if err != nil {
		if response.OutcomeUnknown {
			return fmt.Errorf("%w (--mark %s)", err, v.Mark)
		}
		return locateError(err)
	}
	fmt.Fprintf(out, "version %d is proposed; first it is tried by %s\n", response.Number, strings.Join(response.State.New.Canaries, ", "))
	return nil
}

// settingsRollbackCmd withdraws the version that is being rolled out, or restores an older one.
type settingsRollbackCmd struct {
	Member fleetMember `embed:""`
	To     *uint64     `help:"The version to go back to; absent: the one before."`
	Why    string      `required:"" help:"One line for whoever reads the history."`
}

// Run implements the command settings rollback. A version that is being rolled out is withdrawn,
// unless a target is given; otherwise the document of the older version is proposed as a new one.
func (c settingsRollbackCmd) Run(out io.Writer) error {
	response, err := c.Member.sendRequest(accord.Request{Op: accord.OpShow})
	if err != nil {
		return err
	}
	st := response.State
	if st.Phase != version.PhaseSteady && c.To == nil {
		if _, err := c.Member.sendRequest(accord.Request{Op: accord.OpWithdraw, Number: st.New.Number, Why: c.Why}); err != nil {
			return err
		}
		fmt.Fprintf(out, "version %d is withdrawn\n", st.New.Number)
		return nil
	}
	target := uint64(0)
	if c.To != nil {
		target = *c.To
	} else {
		for _, v := range st.History {
			if v.Outcome == "replaced" && v.Number < st.Old.Number {
				target = v.Number
			}
		}
	}
	old, ok := st.Find(target)
	if !ok {
		return fmt.Errorf("version %d is not in the history", target)
	}
	return propose(out, c.Member, version.Version{Text: cmp.Or(old.Text, "{}"), Why: c.Why}, &st.Latest, func(err error) error { return err })
}

// settingsShowCmd shows the document of a version.
type settingsShowCmd struct {
	Member fleetMember `embed:""`
	Number *uint64     `help:"A version; absent: the one in force."`
}

// Run implements the command settings show.
func (c settingsShowCmd) Run(out io.Writer) error {
	response, err := c.Member.sendRequest(accord.Request{Op: accord.OpShow})
	if err != nil {
		return err
	}
	v := response.State.InForce()
	if c.Number != nil {
		var ok bool
		if v, ok = response.State.Find(*c.Number); !ok {
			return errNoMatch
		}
	}
	fmt.Fprintf(out, "// version %d, made from %d by %s: %s\n", v.Number, v.BaseNumber, cmp.Or(v.Author, "nobody"), cmp.Or(v.Why, "no reason"))
	var b bytes.Buffer
	if err := stdjson.Indent(&b, []byte(cmp.Or(v.Text, "{}")), "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(out, b.String())
	return nil
}

// settingsHistoryCmd lists the versions.
type settingsHistoryCmd struct {
	Member fleetMember `embed:""`
}

// Run implements the command settings history.
func (c settingsHistoryCmd) Run(out io.Writer) error {
	response, err := c.Member.sendRequest(accord.Request{Op: accord.OpShow})
	if err != nil {
		return err
	}
	st := response.State
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "version\tfrom\tby\toutcome\twhy")
	line := func(v version.Version, outcome string) {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", v.Number, v.BaseNumber, v.Author, outcome, v.Why)
	}
	for _, v := range st.History {
		line(v, v.Outcome)
	}
	line(st.Old, "in force")
	if st.Phase != version.PhaseSteady {
		line(st.New, cmp.Or(st.New.Outcome, "on its way: "+st.Phase.String()))
	}
	return w.Flush()
}

// settingsWaitCmd waits until all mixers act on a version.
type settingsWaitCmd struct {
	Number   uint64        `arg:"" help:"The version."`
	Member   fleetMember   `embed:""`
	Patience time.Duration `default:"60s" help:"How long to wait until all mixers act on it."`
}

// Run implements the command settings wait.
func (c settingsWaitCmd) Run(out io.Writer) error {
	var last accord.Response
	for until := time.Now().Add(c.Patience); ; time.Sleep(200 * time.Millisecond) {
		response, err := c.Member.sendRequest(accord.Request{Op: accord.OpVersions})
		if err == nil {
			last = response
			if v, ok := response.State.Find(c.Number); ok && strings.HasPrefix(v.Outcome, "withdrawn") {
				return fmt.Errorf("version %d was %s", c.Number, v.Outcome)
			}
			if response.State.Phase == version.PhaseSteady && response.State.Old.Number > c.Number {
				return fmt.Errorf("version %d was replaced by version %d", c.Number, response.State.Old.Number)
			}
			if response.State.Phase == version.PhaseSteady && response.State.Old.Number == c.Number && len(describeLagging(response)) == 0 {
				fmt.Fprintf(out, "all %d mixers act on version %d\n", len(response.Holders), c.Number)
				return nil
			}
		}
		if time.Now().After(until) {
			if err != nil {
				return err
			}
			return fmt.Errorf("not all act on version %d (%v): %s", c.Number, last.State.Phase, strings.Join(describeLagging(last), "; "))
		}
	}
}

// describeLagging returns, for each mixer that does not act on the current stage, the reason.
func describeLagging(response accord.Response) (list []string) {
	for _, h := range response.Holders {
		switch {
		case h.RefusedVersion > 0:
			list = append(list, fmt.Sprintf("%s can't act on version %d: %s", h.Name, h.RefusedVersion, h.Why))
		case !h.Leased:
			list = append(list, h.Name+" is there and has no lease")
		case h.Revision < response.State.Revision:
			list = append(list, fmt.Sprintf("%s is at stage %d of %d, for %v at most", h.Name, h.Revision, response.State.Revision, time.Duration(h.RemainingMS)*time.Millisecond))
		}
	}
	return list
}

// versionsCmd shows which mixer acts on which version.
type versionsCmd struct {
	Member fleetMember `embed:""`
	Local  bool        `help:"What the mixer that is asked acts on itself, also while nobody leads the voters."`
	JSON   bool        `help:"One object a line."`
}

// Run implements the command versions.
func (c versionsCmd) Run(out io.Writer) error {
	op := accord.OpVersions
	if c.Local {
		op = accord.OpLocal
	}
	response, err := c.Member.sendRequest(accord.Request{Op: op})
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSONLines(out, response.Holders)
	}
	st := response.State
	fmt.Fprintf(out, "version %d in force, %v, stage %d; leases of %s by %s; voters %s\n", st.InForce().Number, st.Phase, st.Revision,
		time.Duration(response.LeaseMS)*time.Millisecond, cmp.Or(response.Leader, "nobody known"), strings.Join(response.Voters, " "))
	if st.LastChange != "" {
		fmt.Fprintln(out, "last:", st.LastChange)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mixer\tvotes\tacts on\tstage\tsince\tlease for\trefuses")
	for _, h := range response.Holders {
		acts := fmt.Sprint("version ", h.Version)
		switch {
		case !h.Leased:
			acts = "the safe side"
		case h.Revision != st.Revision:
			acts = "an older stage"
		}
		refuses := ""
		if h.RefusedVersion > 0 {
			refuses = fmt.Sprintf("%d: %s", h.RefusedVersion, h.Why)
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%d\t%v\t%v\t%s\n", h.Name, h.Votes, acts, h.Revision, (time.Duration(h.SinceMS) * time.Millisecond).Round(100*time.Millisecond),
			time.Duration(h.RemainingMS)*time.Millisecond, refuses)
	}
	return w.Flush()
}

// voterCmd holds the arguments of the commands that change the voters.
type voterCmd struct {
	Name   string      `arg:"" help:"The mixer."`
	Member fleetMember `embed:""`
}

// voterAddCmd adds a voter.
type voterAddCmd struct{ voterCmd }

// Run implements the command voters add.
func (c voterAddCmd) Run(out io.Writer) error {
	return c.requestChange(out, accord.OpAddVoter, "is asked to vote")
}

// voterRemoveCmd removes a voter.
type voterRemoveCmd struct{ voterCmd }

// Run implements the command voters remove.
func (c voterRemoveCmd) Run(out io.Writer) error {
	return c.requestChange(out, accord.OpRemoveVoter, "is to leave the voters")
}

// requestChange requests op for the named mixer and prints the outcome and the voters.
func (c voterCmd) requestChange(out io.Writer, op, outcome string) error {
	response, err := c.Member.sendRequest(accord.Request{Op: op, Name: c.Name})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s; voters now: %s\n", c.Name, outcome, strings.Join(response.Voters, " "))
	return nil
}
