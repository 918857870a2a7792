// Package decide holds the decisions of an aggregator that reads many shards
// for one query: which replica gets each part, when a copy is hedged, when a
// query is answered, refused or failed, and how servers are judged.
//
// This file is the interface. The caller owns the clock and the transport: it
// makes a Module with New, hands every instant's events to Step, and carries
// out the returned actions in order. A Module is a pure state machine; it does
// no I/O, keeps no goroutine and reads no clock. Use one Module per aggregator
// and call it from one goroutine at a time.
package decide

import "time"

// Semantics tells whether a part may be repeated.
type Idempotency int

// The kinds of repetition that a class allows.
const (
	Idempotent    Idempotency = iota // may be repeated and refused freely
	Deduplicated                     // a repeat is dropped for MemorySpan after the first attempt
	NonIdempotent                    // repeated only when no earlier attempt ran
)

// Class describes one class of query.
type Class struct {
	Name                 string
	Idempotency          Idempotency
	LatencyTarget        time.Duration // an answer within it earns the full worth
	LatencyTargetPerWork float64       // the aim grows by this multiple of the query's own work
	Deadline             time.Duration // how long a client waits over all its tries
	DedupWindow          time.Duration // Keyed only: how long repeats are dropped
	Value                float64       // worth of a whole answer
	LateValue            float64       // fraction of the worth earned after the aim
	RequiredWeight       float64       // fraction of the weight that makes an answer whole
	MinWeight            float64       // least fraction for any answer
	PartialValue         float64       // factor on the worth of an answer that is not whole
	SecondStepParts      int           // parts of a second step; 0 means one step
}

// Tenant describes one tenant's share over all aggregators.
type Tenant struct {
	Name      string
	Allowance float64 // queries per second within its share, all aggregators together
}

// Settings are the figures that an aggregator is given at its start. The zero
// value of an optional figure means that the right or rule does not apply.
type Settings struct {
	Aggregators int           // how many share the servers
	Zone        int           // this aggregator's
	Tick        time.Duration // least time between two steps
	Classes     []Class
	Tenants     []Tenant

	Cells         int // shard s is held by cells (s+k) mod Cells, k < Span
	CellsPerShard int
	PartsPerCall  int // parts that one call to a server carries

	WatchDiscovery bool // the server list must be asked for (Watch, ReadList)

	MaxOpen        int // queries and parts held at once
	MaxAttempts    int // attempts per part
	CancelAllowed  bool
	CopiesAllowed  bool // a part may have two attempts out
	ProbesAllowed  bool
	SendRetryAfter bool // clients are given a time to stay away
	MaxRetryAfter  time.Duration

	ListRefreshInterval time.Duration // without a subscription, ask at least this often
	DrainGrace          time.Duration // sends to a stopping server end within it
	WarmupStartShare    float64       // share of capacity at a server's start
	WarmupTime          time.Duration // a server is warm this long after its start
	ColdBudgetWindow    time.Duration // window of the cold budget
	ColdBudgetFactor    float64       // cold budget as a multiple of present capacity
	RetryBudgetWindow   time.Duration // window of the further-attempt budget; 0: no such rule
	RetryBudgetBase     float64       // further attempts allowed on top
	RetryBudgetRatio    float64       // further attempts per query or part taken

	ValueByWork        bool    // worth counts in proportion to work
	OverAllowanceValue float64 // worth factor above a tenant's share

	ReportShortages bool // the caller wants Remark actions
}

// ShortestAim is of all classes; 0: none has one.
func (s Settings) ShortestLatencyTarget() (least time.Duration) {
	for _, c := range s.Classes {
		if c.LatencyTarget > 0 && (least == 0 || c.LatencyTarget < least) {
			least = c.LatencyTarget
		}
	}
	return least
}

// ServerState is what the server list says of a server.
type ServerState int

// The states of a listed server.
const (
	Running  ServerState = iota
	Stopping             // finishing its work; send nothing new
	Deleted              // gone
)

// Server is one entry of the server list.
type Server struct {
	ID           string
	Zone         int
	Cell         int
	State        ServerState
	CapacityHint float64       // relative capacity, if known
	Started      time.Duration // time of its last start; 0: long ago
}

// Event is something that happened at the time of a Step.
type Event interface{ event() }

// ListChange brings news of the server list. Full lists name every server;
// other lists only those that changed.
type ServerListUpdate struct {
	Full    bool
	Version int64
	Told    time.Duration // since when what drains or is gone on it counts as told; 0: since now
	Servers []Server
}

// told is since when the change counts as told.
func (e ServerListUpdate) knownSince(now time.Duration) time.Duration {
	if e.Told == 0 {
		return now
	}
	return min(e.Told, now)
}

// ListLost says that a Watch or ReadList failed or a subscription broke.
type WatchFailed struct{}

// QueryArrived brings a query; its parts follow in the same Step.
type QueryArrived struct {
	ID     string
	Number int64 // ties the parts to the query; unique at this aggregator
	Class  int
	Tenant int
	Key    string
	Left   time.Duration // until the client gives up on this try
	Work   time.Duration // expected work of all parts; 0: unknown
	Repeat bool          // the client says that it asks again
}

// PartArrived brings one part of a query, of its first or second step.
type PartArrived struct {
	ID     string
	Number int64 // its query's
	Shard  int
	Weight float64       // a step's weights sum to 1
	Work   time.Duration // 0: unknown
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt or a probe.
const (
	Failed        Outcome = iota // an error; it may have run
	OK                           // answered
	Full                         // turned away unseen
	TimedOut                     // no answer in time; it may have run
	ConnectFailed                // no connection; it never ran
	Reset                        // the connection broke; it may have run
	Cancelled                    // called off; it may have run
	NotSent                      // never sent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// Load is a server's report of itself. Unknown values are negative.
type Load struct {
	Latency time.Duration // recent service time
	Queue   float64       // parts waiting
}

// AttemptDone ends an attempt. Every Send gets exactly one.
type AttemptDone struct {
	Part    string
	Attempt int // 0, 1, 2 ... in the order of the part's sends
	Server  string
	Outcome Outcome
	Latency time.Duration
	Load    *Load // nil: none attached
}

// Sharers says how many aggregators live, in place of the number in the Settings, and
// what this one may use of what all share.
type AggregatorsChanged struct {
	Live  int
	Share float64 // from 0 to 1
}

// Limits change figures of the Settings while the Module runs.
type Limits struct {
	MaxAttempts      int // attempts per part; 0: no limit
	CopiesAllowed    bool
	RetryBudgetRatio float64
	RetryBudgetBase  float64
	ColdBudgetFactor float64
	Allowances       []float64 // by tenant
	Shares           []float64 // by zone, of the parts that its servers would get; none: the whole
}

// StreamBegun says that an attempt's streamed answer has begun.
type StreamStarted struct {
	Part    string
	Attempt int
	Server  string
	Latency time.Duration
}

// ClientGone says that the client no longer waits for the query.
type ClientGone struct{ Query string }

// Woken is a Wake that is due.
type TimerFired struct{ Token string }

// ProbeDone is the result of a Probe.
type ProbeDone struct {
	Server  string
	Outcome Outcome
	Latency time.Duration
	Load    *Load
}

// PeerMessage is a Tell of another aggregator.
type PeerMessage struct {
	Sender int
	Body   []byte
}

func (ServerListUpdate) event()   {}
func (WatchFailed) event()        {}
func (QueryArrived) event()       {}
func (PartArrived) event()        {}
func (AttemptDone) event()        {}
func (StreamStarted) event()      {}
func (ClientGone) event()         {}
func (TimerFired) event()         {}
func (ProbeDone) event()          {}
func (PeerMessage) event()        {}
func (AggregatorsChanged) event() {}
func (Limits) event()             {}

// Action is something that the caller carries out.
type Action interface{ action() }

// Choice is why a part goes to a server.
type SendReason uint8

// The choices.
const (
	ByOffset       SendReason = iota // it stands at the query's offset
	OffsetAvoided                    // the one at the offset may not be used, or would be too late
	NextBestHolder                   // an earlier attempt has ended, and it is the best that is left
	LateCopy                         // the part is late where it is
	ForcedCopy                       // no attempt of the part is likely to be answered in time
)

// Cause is why a query ends without an answer.
type EndReason uint8

// The causes.
const (
	NoEndReason       EndReason = iota
	TargetUnreachable           // it can't be in time, and nothing of it was begun
	TimeExpired                 // its time is up
	PartUnavailable             // a part that it needs can't be had any more
	NoServerReached             // half of its time is over and no server has seen it
	InvalidQuery                // it has a class without figures, or an id that is open
)

// Shortage is what kept the module from sending a part.
type Shortage uint8

// The shortages.
const (
	NoCopyToken      Shortage = iota // a late part was not copied: no token
	RetryBudgetSpent                 // a further attempt was not made: the rule's budget is spent
	ColdBudgetSpent                  // every holder that could take it is cold and has had its share
)

// Send starts an attempt for a part. Sends of one Step to one server share
// calls of up to PartsPerCall parts.
type Send struct {
	Part   string
	Server string
	StopAt time.Duration // clock time at which the attempt is given up
	Reason SendReason
}

// Remark says what a part lacked, once for each kind. It comes only where the
// Settings ask for Remarks.
type ShortageReport struct {
	Part string
	Kind Shortage
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	Part    string
	Attempt int
}

// Answer ends the query, or its first step, from the parts that are in.
type Answer struct {
	Query string
	Whole bool
}

// Refuse ends the query and tells the client that asking again is harmless.
type Refuse struct {
	Query      string
	RetryAfter time.Duration // 0: no advice
	Reason     EndReason
}

// Fail ends the query and promises nothing about its effect.
type Fail struct {
	Query  string
	Reason EndReason
}

// Wake asks for a Woken event.
type SetTimer struct {
	After time.Duration
	Token string
}

// Watch subscribes to changes of the server list, or ends that.
type Watch struct{ On bool }

// ReadList asks for the whole server list once.
type ReadList struct{}

// Probe checks a server.
type Probe struct{ Server string }

// CloseIdle closes idle connections to a server.
type CloseIdle struct{ Server string }

// Tell sends a message to another aggregator, or to all (-1).
type SendToPeer struct {
	Recipient int
	Body      []byte
}

// Log is a line for those on call.
type Log struct{ Line string }

func (Send) action()           {}
func (Cancel) action()         {}
func (Answer) action()         {}
func (Refuse) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (Watch) action()          {}
func (ReadList) action()       {}
func (Probe) action()          {}
func (CloseIdle) action()      {}
func (SendToPeer) action()     {}
func (Log) action()            {}
func (ShortageReport) action() {}
