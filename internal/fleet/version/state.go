package version

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// Phase is the step of a rollout that the fleet is in, between the version in force and
// the next one.
type Phase uint8

// The phases of a rollout. In every phase each mixer's rules stay within those of the
// version in force. A mixer that has reached PhaseSettle or PhaseRollback also stays within
// those of the other version.
const (
	PhaseSteady   Phase = iota // all mixers use the version in force
	PhaseTrial                 // the canaries (a tenth) use the most restrictive of both; all others use the old version, which is in force
	PhaseSettle                // all mixers move to the most restrictive of both; the old version is in force until all have
	PhaseRollout               // the new version is in force: the canaries use it, all others the most restrictive of both
	PhaseRollback              // the new version is withdrawn while in force: lasts until all mixers use the most restrictive of both
)

// phaseNames are the external names of the phases, in logs and answers to operators.
var phaseNames = [...]string{"steady", "trial", "settle", "rise", "fall"}

func (p Phase) String() string { return phaseNames[p] }

// Version is a numbered settings document that the fleet agreed on.
type Version struct {
	Number     uint64   `json:"number"`        // from 1 on
	BaseNumber uint64   `json:"from"`          // number of the version that it was derived from
	Mark       string   `json:"mark"`          // idempotency key, drawn by the author
	Text       string   `json:"text"`          // the document, as JSON
	Why        string   `json:"why,omitempty"` // the author's reason
	Author     string   `json:"by,omitempty"`
	Canaries   []string `json:"tries,omitempty"`   // names of the mixers that try it first
	Outcome    string   `json:"outcome,omitempty"` // "replaced", "withdrawn: " and a reason, or "" for a version in use
}

const (
	withdrawnPrefix  = "withdrawn: "
	maxHistory       = 64 // withdrawn or replaced versions kept
	maxDocumentBytes = 64 << 10
	maxMarkBytes     = 64
	maxReasonBytes   = 160 // of a refusal or a change of the zone plan
	maxRefusals      = 64  // refusals kept
)

// ErrTooManyRefusals is returned for a proposal that can be neither accepted nor refused
// now, because the list of refusals is full. The same proposal may be accepted later.
var ErrTooManyRefusals = errors.New("too many proposals were refused since the latest version")

// MaxDocumentBytes is the maximum length of a settings document and of a zone plan.
const MaxDocumentBytes = maxDocumentBytes

// State is the state machine that the voters replicate. Only Apply changes it.
type State struct {
	Revision   uint64    `json:"stage"`          // counts the changes; "stage" outside the program
	Phase      Phase     `json:"phase"`          // stored as its number
	Old        Version   `json:"old"`            // the version before New; the only one in PhaseSteady
	New        Version   `json:"new"`            // in all other phases the version being rolled out
	Latest     uint64    `json:"latest"`         // number of the latest version accepted
	History    []Version `json:"history"`        // oldest first; without Old and New
	LastChange string    `json:"last,omitempty"` // describes the latest change
	// Plan is the fleet's plan for zones, encoded by package zone, and PlanSeq its
	// number. Plans need no rollout, as they can't conflict: a mixer that is behind uses the
	// previous plan until its lease expires.
	Plan    string `json:"plan,omitempty"`
	PlanSeq uint64 `json:"plan_seq,omitempty"`
	// Refusals are the refused proposals that were derived from the latest version or a later
	// one. A late duplicate of such a proposal must not be accepted after its author was
	// told of the refusal.
	Refusals []Refusal `json:"refused,omitempty"`
}

// Refusal records a proposal that was not accepted.
type Refusal struct {
	Mark       string `json:"mark"`
	BaseNumber uint64 `json:"from"`
	Why        string `json:"why"`
}

// Kind is what a Command does.
type Kind uint8

// The kinds of commands.
const (
	Propose     Kind = iota + 1 // proposes a new version
	Advance                     // moves to the next phase
	Withdraw                    // withdraws the version that is being rolled out
	Refuse                      // records that the voters' validation refused a proposal
	SetZonePlan                 // replaces the zone plan
)

// Command is one entry of the replicated log. Whether it takes effect depends on the State
// alone, so that all replicas decide alike: it does if the State is the one it was made for.
type Command struct {
	Kind     Kind    `json:"kind"`
	Version  Version `json:"version,omitzero"` // Propose, Refuse
	Revision uint64  `json:"stage,omitempty"`  // Advance, Withdraw: of the state that it was made for
	Number   uint64  `json:"number,omitempty"` // Withdraw by an operator: the version, at any revision; 0: by Revision
	Why      string  `json:"why,omitempty"`
	Plan     string  `json:"plan,omitempty"` // SetZonePlan
	Seq      uint64  `json:"seq,omitempty"`  // SetZonePlan: the plan's number, one more than the present plan's
}

// InForce returns the version whose limits no mixer may exceed.
func (s State) InForce() Version {
	if s.Phase == PhaseRollout || s.Phase == PhaseRollback {
		return s.New
	}
	return s.Old
}

// Find returns the version of that number if it is current or still in the history.
// Number 0 stands for the mixers' own settings and is always found.
func (s State) Find(number uint64) (Version, bool) {
	for _, v := range append([]Version{s.Old, s.New}, s.History...) {
		if v.Number == number && (number > 0 || v.Text != "") {
			return v, true
		}
	}
	return Version{}, number == 0
}

// Apply executes a command and returns the state after it and the number of the version
// (or of the zone plan) that it concerned. A command that does not fit the state returns an
// error; then the returned state differs from s at most in its Refusals.
func (s State) Apply(c Command) (State, uint64, error) {
	switch c.Kind {
	case Propose:
		return s.propose(c.Version, "")
	case Refuse:
		return s.propose(c.Version, cmp.Or(c.Why, "refused"))
	case Advance:
		if c.Revision != s.Revision || s.Phase == PhaseSteady {
			return s, 0, fmt.Errorf("made for stage %d, it is %d", c.Revision, s.Revision)
		}
		return s.advance(), s.New.Number, nil
	case Withdraw:
		if v, ok := s.Find(c.Number); c.Number > 0 && ok && strings.HasPrefix(v.Outcome, withdrawnPrefix) {
			return s, c.Number, nil // a repeated command
		}
		switch {
		case s.Phase == PhaseSteady || s.Phase == PhaseRollback:
			return s, 0, fmt.Errorf("nothing is on its way")
		case c.Number != 0 && c.Number != s.New.Number:
			return s, 0, fmt.Errorf("version %d is on its way, not %d", s.New.Number, c.Number)
		case c.Number == 0 && c.Revision != s.Revision:
			return s, 0, fmt.Errorf("made for stage %d, it is %d", c.Revision, s.Revision)
		}
		number := s.New.Number
		return s.withdraw(c.Why), number, nil
	}
	if c.Kind == SetZonePlan {
		return s.setZonePlan(c)
	}
	return s, 0, fmt.Errorf("a command of kind %d", c.Kind)
}

// propose accepts a version, or refuses it for the reason why if that is not empty. The
// first decision on an idempotency key is final, in whichever order the duplicates of one
// proposal arrive.
func (s State) propose(v Version, why string) (State, uint64, error) {
	if v.Mark == "" || len(v.Mark) > maxMarkBytes {
		return s, 0, fmt.Errorf("a mark of %d bytes, wanted 1 to %d", len(v.Mark), maxMarkBytes)
	}
	for _, old := range append([]Version{s.Old, s.New}, s.History...) {
		if old.Mark == v.Mark {
			return s, old.Number, nil // a retry: its author has not received the answer
		}
	}
	if i := slices.IndexFunc(s.Refusals, func(r Refusal) bool { return r.Mark == v.Mark }); i >= 0 {
		return s, 0, errors.New(s.Refusals[i].Why)
	}
	switch {
	case v.BaseNumber < s.Latest: // permanent without being recorded, as numbers only grow
		return s, 0, fmt.Errorf("made from version %d, the latest is %d", v.BaseNumber, s.Latest)
	case len(v.Text) > maxDocumentBytes:
		return s, 0, fmt.Errorf("a document of %d bytes", len(v.Text))
	case why != "":
	case v.BaseNumber > s.Latest:
		why = fmt.Sprintf("made from version %d, the latest is %d", v.BaseNumber, s.Latest)
	case s.Phase != PhaseSteady:
		why = fmt.Sprintf("version %d is on its way (%v)", s.New.Number, s.Phase)
	}
	if why != "" {
		if len(s.Refusals) >= maxRefusals {
			return s, 0, ErrTooManyRefusals
		}
		s.Refusals = append(slices.Clone(s.Refusals), Refusal{v.Mark, v.BaseNumber, why[:min(len(why), maxReasonBytes)]})
		return s, 0, errors.New(why)
	}
	s.Latest++
	v.Number, v.Outcome = s.Latest, ""
	s.New, s.Phase = v, PhaseTrial
	s.Refusals = slices.DeleteFunc(slices.Clone(s.Refusals), func(r Refusal) bool { return r.BaseNumber < s.Latest }) // refused from now on by their version number
	return s.withChange(fmt.Sprintf("version %d is proposed", v.Number)), v.Number, nil
}

// setZonePlan replaces the zone plan. A plan that does not follow the present one is
// rejected: otherwise two leaders, or a leader and its own late message, would undo each
// other's changes.
func (s State) setZonePlan(c Command) (State, uint64, error) {
	switch {
	case c.Seq == s.PlanSeq && c.Plan == s.Plan:
		return s, c.Seq, nil // a repeated command
	case c.Seq != s.PlanSeq+1:
		return s, 0, fmt.Errorf("plan %d does not follow plan %d", c.Seq, s.PlanSeq)
	case len(c.Plan) > maxDocumentBytes:
		return s, 0, fmt.Errorf("a plan of %d bytes", len(c.Plan))
	}
	s.Plan, s.PlanSeq = c.Plan, c.Seq
	return s.withChange(fmt.Sprintf("plan %d for the zones: %s", c.Seq, c.Why[:min(len(c.Why), maxReasonBytes)])), c.Seq, nil
}

func (s State) advance() State {
	switch s.Phase {
	case PhaseTrial:
		s.Phase = PhaseSettle
		return s.withChange(fmt.Sprintf("version %d was tried", s.New.Number))
	case PhaseSettle:
		s.Phase = PhaseRollout
		return s.withChange(fmt.Sprintf("version %d is in force", s.New.Number))
	case PhaseRollout:
		s.Old.Outcome = cmp.Or(s.Old.Outcome, "replaced")
		s = s.addToHistory(s.Old)
		s.Old, s.New, s.Phase = s.New, Version{}, PhaseSteady
		return s.withChange(fmt.Sprintf("all act on version %d", s.Old.Number))
	}
	s = s.addToHistory(s.New) // PhaseRollback
	s.New, s.Phase = Version{}, PhaseSteady
	return s.withChange(fmt.Sprintf("back on version %d", s.Old.Number))
}

func (s State) withdraw(why string) State {
	s.New.Outcome = withdrawnPrefix + cmp.Or(why, "an operator's word")
	what := fmt.Sprintf("version %d is %s", s.New.Number, s.New.Outcome)
	if s.Phase == PhaseRollout { // the canaries exceed the old version: first all move to the most restrictive of both
		s.Phase = PhaseRollback
		return s.withChange(what)
	}
	s = s.addToHistory(s.New)
	s.New, s.Phase = Version{}, PhaseSteady
	return s.withChange(what)
}

func (s State) addToHistory(v Version) State {
	if v.Number > 0 {
		s.History = append(slices.Clone(s.History), v)
		slices.SortFunc(s.History, func(a, b Version) int { return cmp.Compare(a.Number, b.Number) })
		s.History = s.History[max(0, len(s.History)-maxHistory):]
	}
	return s
}

func (s State) withChange(what string) State {
	s.Revision++
	s.LastChange = what
	return s
}

// RulesFor returns the rules that the mixer called name follows while its lease is valid.
// It returns an error if a document that it needs can't be parsed.
func (s State) RulesFor(name string, parse func(text string) (Rules, error)) (Rules, error) {
	old, err := parse(s.Old.Text)
	if err != nil {
		return old, fmt.Errorf("version %d: %w", s.Old.Number, err)
	}
	if s.Phase == PhaseSteady {
		return old, nil
	}
	next, err := parse(s.New.Text)
	if err != nil {
		return old, fmt.Errorf("version %d: %w", s.New.Number, err)
	}
	first := slices.Contains(s.New.Canaries, name)
	switch {
	case s.Phase == PhaseTrial && !first:
		return old, nil
	case s.Phase == PhaseRollout && first:
		return next, nil
	}
	return MostRestrictive(old, next), nil
}

// PickCanaries picks the mixers that try a version first: a tenth of the names, rounded
// up, by a hash of the idempotency key, so that each version has others. Names that spared
// reports are picked only if there are not enough others.
func PickCanaries(mark string, names []string, spared func(name string) bool) []string {
	rank := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(mark + "\x00" + name)) // never fails
		return h.Sum64()
	}
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int {
		if x, y := spared(a), spared(b); x != y {
			if x {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), strings.Compare(a, b))
	})
	list = list[:min(len(list), (len(list)+9)/10)]
	slices.Sort(list)
	return list
}
