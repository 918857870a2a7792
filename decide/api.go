// Package decide holds the decisions of an aggregator that reads many shards for one query: which
// replica gets each part, when a late part gets a copy (a hedged attempt), when a query is
// answered, refused or failed, and how the health of servers is judged.
//
// This file is the interface. The caller owns the clock and the transport: it makes a StateMachine
// with New, hands every instant's events to Step, and carries out the returned actions in order. A
// StateMachine does no I/O, starts no goroutine and reads no clock. Use one per aggregator and call
// it from one goroutine at a time.
package decide

import "time"

// Idempotency tells whether a part may be sent again after an attempt that may have run.
type Idempotency int

// Which parts may be repeated.
const (
	Idempotent    Idempotency = iota // may be repeated and refused freely
	Deduplicated                     // servers drop a repeat within DedupWindow of the first attempt
	NonIdempotent                    // repeated only if no earlier attempt can have run
)

// Class describes one class of queries. Weights and fractions are from 0 to 1.
type Class struct {
	Name                 string
	Idempotency          Idempotency
	LatencyTarget        time.Duration // an answer within it earns the full value
	LatencyTargetPerWork float64       // the target grows by this multiple of the query's Work
	Deadline             time.Duration // how long a client waits, over all its tries
	DedupWindow          time.Duration // Deduplicated only: how long servers drop repeats
	Value                float64       // value of a complete answer, relative to other classes
	LateValue            float64       // fraction of the value earned after the target
	RequiredWeight       float64       // weight of parts that makes an answer complete; 0: all
	MinWeight            float64       // least weight for any answer; 0: RequiredWeight
	PartialValue         float64       // factor on the value of a partial answer
	SecondStepParts      int           // parts of a second step; 0: the query has one step
}

// Tenant describes what one tenant may use of all aggregators together.
type Tenant struct {
	Name      string
	Allowance float64 // queries per second, over all aggregators
}

// Settings configure a StateMachine. The zero value of an optional setting turns the right or rule
// off.
type Settings struct {
	Aggregators int           // how many share the servers
	Zone        int           // of this aggregator
	Tick        time.Duration // least time between two steps
	Classes     []Class
	Tenants     []Tenant

	Cells         int // shard s is held by cells (s+k) mod Cells, 0 <= k < CellsPerShard; 0: by all
	CellsPerShard int
	PartsPerCall  int // parts that one call to a server carries

	WatchDiscovery bool // the server list has to be asked for (Watch, ReadList)

	MaxOpen        int // queries and parts held at once
	MaxAttempts    int // attempts per part; 0: no limit
	CancelAllowed  bool
	CopiesAllowed  bool // a part may have two attempts in flight
	ProbesAllowed  bool
	SendRetryAfter bool // refused clients are told how long to wait
	MaxRetryAfter  time.Duration

	ListRefreshInterval time.Duration // a list that no subscription keeps up is asked for at least this often
	DrainGrace          time.Duration // sends to a stopping server end within it
	WarmupStartShare    float64       // share of its capacity that a server has at its start
	WarmupTime          time.Duration // a server has its full capacity this long after its start
	ColdBudgetWindow    time.Duration // window of the budget of sends to a cold server
	ColdBudgetFactor    float64       // cold budget as a multiple of the server's present capacity
	RetryBudgetWindow   time.Duration // window of the budget for retries and copies; 0: no limit
	RetryBudgetBase     float64       // retries and copies allowed on top of the ratio
	RetryBudgetRatio    float64       // retries and copies allowed per query or part received

	ValueByWork        bool    // the value of an answer is in proportion to its work
	OverAllowanceValue float64 // factor on the value of queries above their tenant's allowance

	ReportShortages bool // the caller wants ShortageReport actions
}

// ShortestLatencyTarget returns the shortest latency target of all classes, or 0 if none has one.
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
	CapacityHint float64       // relative capacity; 0: unknown
	Started      time.Duration // time of its last start; 0: long ago
}

// Event is something that happened at the time of a Step.
type Event interface{ event() }

// ServerListUpdate brings changes of the server list. A full list names every server, any other
// only those that changed.
type ServerListUpdate struct {
	Full    bool
	Version int64
	Told    time.Duration // since when servers that stop or are gone count as known to do so; 0: since now
	Servers []Server
}

// knownSince returns since when the change counts as known, which is never in the future.
func (e ServerListUpdate) knownSince(now time.Duration) time.Duration {
	if e.Told == 0 {
		return now
	}
	return min(e.Told, now)
}

// WatchFailed says that a Watch or ReadList failed, or that a subscription broke.
type WatchFailed struct{}

// QueryArrived brings a query. Its parts follow in the same Step.
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
	Number int64 // of its query
	Shard  int
	Weight float64       // the weights of one step sum to 1
	Work   time.Duration // expected work; 0: unknown
}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes of an attempt or a probe.
const (
	Failed        Outcome = iota // an error; it may have run
	OK                           // answered
	Full                         // rejected by the server before it ran
	TimedOut                     // no answer in time; it may have run
	ConnectFailed                // no connection; it never ran
	Reset                        // the connection broke; it may have run
	Cancelled                    // cancelled by the caller; it may have run
	NotSent                      // never sent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// Load is a server's report of its own load. Unknown values are negative.
type Load struct {
	Latency time.Duration // recent service time
	Queue   float64       // parts waiting
}

// AttemptDone ends an attempt. Every Send gets exactly one.
type AttemptDone struct {
	Part    string
	Attempt int // 0, 1, 2, ... in the order of the part's sends
	Server  string
	Outcome Outcome
	Latency time.Duration
	Load    *Load // nil: none attached
}

// AggregatorsChanged says how many aggregators are alive, in place of Settings.Aggregators, and
// which share of the tenants' allowances this one may use.
type AggregatorsChanged struct {
	Live  int
	Share float64 // from 0 to 1
}

// Limits replace some of the Settings of a running StateMachine.
type Limits struct {
	MaxAttempts      int // attempts per part; 0: no limit
	CopiesAllowed    bool
	RetryBudgetRatio float64
	RetryBudgetBase  float64
	ColdBudgetFactor float64
	Allowances       []float64 // by tenant
	Shares           []float64 // by zone, of the parts routed there; nil: all
}

// StreamStarted says that the streamed answer of an attempt has begun.
type StreamStarted struct {
	Part    string
	Attempt int
	Server  string
	Latency time.Duration
}

// ClientGone says that the client no longer waits for the query.
type ClientGone struct{ Query string }

// TimerFired says that a SetTimer is due.
type TimerFired struct{ Token string }

// ProbeDone is the result of a Probe.
type ProbeDone struct {
	Server  string
	Outcome Outcome
	Latency time.Duration
	Load    *Load
}

// PeerMessage brings what another aggregator sent by SendToPeer.
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

// SendReason tells why a part goes to a server.
type SendReason uint8

// The reasons for a Send.
const (
	ByOffset       SendReason = iota // it is the server at the query's offset
	OffsetAvoided                    // the server at the offset may not be used, or would answer too late
	NextBestHolder                   // an earlier attempt has ended, and this is the best holder left
	LateCopy                         // the part is late on its server
	ForcedCopy                       // no attempt is likely to be answered in time: a copy without a token
)

// EndReason tells why a query ends without an answer.
type EndReason uint8

// The reasons for a Refuse or a Fail.
const (
	NoEndReason       EndReason = iota
	TargetUnreachable           // an answer in time can't be expected, and nothing of the query was started
	TimeExpired                 // its time is over
	PartUnavailable             // a part that it needs can't be had any more
	NoServerReached             // half of its time is over and no attempt has reached a server
	InvalidQuery                // its class is unknown, or a query with its id is open
)

// Shortage tells what kept the StateMachine from sending a part.
type Shortage uint8

// The kinds of shortage.
const (
	NoCopyToken      Shortage = iota // a late part was not copied: the token bucket is empty
	RetryBudgetSpent                 // a retry or copy was not sent: the retry budget is spent
	ColdBudgetSpent                  // all holders that could take the part are cold without budget
)

// Send starts an attempt for a part. Sends of one Step to one server share calls of up to
// PartsPerCall parts.
type Send struct {
	Part   string
	Server string
	StopAt time.Duration // clock time at which the attempt is given up
	Reason SendReason
}

// ShortageReport says what a part lacked, once for each kind. It comes only where
// Settings.ReportShortages is set.
type ShortageReport struct {
	Part string
	Kind Shortage
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	Part    string
	Attempt int
}

// Answer ends the query, or its first step, from the parts that have arrived.
type Answer struct {
	Query string
	Whole bool // no part that the class requires is missing
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

// SetTimer asks for a TimerFired event after a while.
type SetTimer struct {
	After time.Duration
	Token string
}

// Watch subscribes to changes of the server list, or ends the subscription.
type Watch struct{ On bool }

// ReadList asks for the whole server list once.
type ReadList struct{}

// Probe asks for a health check of a server, which ProbeDone answers.
type Probe struct{ Server string }

// CloseIdle closes idle connections to a server.
type CloseIdle struct{ Server string }

// SendToPeer sends a message to another aggregator, or to all of them (-1).
type SendToPeer struct {
	Recipient int
	Body      []byte
}

// Log is a line for the operators.
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
