package main

import (
	"time"

	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/front/flight"
	"kiteloft/internal/front/platform"
	"kiteloft/internal/gate"
	"kiteloft/internal/ipfix"
	"kiteloft/internal/transport"
)

// After SIGTERM the platform waits for the longest deadline, but at most for
// mostWait, and killMargin more before it kills. Until closeBefore that, clients
// are served as ever: they keep the connections they have, and may find no other
// mixer in their zone. What is still open at lastBefore is failed.
const (
	acceptOn    = 500 * time.Millisecond // clients are served for at least so long; 0.4 s are asked for
	mostWait    = 3 * time.Second
	killMargin  = 700 * time.Millisecond
	closeBefore = 600 * time.Millisecond
	lastBefore  = 2*gate.MaxProcessPause + 50*time.Millisecond // before we hear of the signal, and before we write
	lingerOn    = 150 * time.Millisecond                       // how long clients get to take their last answer
	lastWrites  = 20 * time.Millisecond                        // for the last flow records to leave
)

func longest(classes []decide.Class) (d time.Duration) {
	for _, c := range classes {
		d = max(d, c.Deadline)
	}
	return d
}

// ending is the end of the program in order. All of it runs on the core's
// goroutine.
type ending struct {
	core      *broker.Core
	longest   time.Duration // deadline
	front     *platform.Front
	columns   *flight.Front // nil: none
	listeners []*transport.Listener
	flows     *ipfix.Exporter // nil: none
	traces    *traces         // nil: none
	fleet     *team           // nil: none
	log       zerolog.Logger
	stop      chan struct{} // closed at the very end
	kill      time.Duration // when the platform may kill us
	halted    bool
}

// halt stops the core.
func (e *ending) halt() {
	if !e.halted {
		e.halted = true
		close(e.stop)
	}
}

func (e *ending) begin() {
	e.front.Drain()
	e.kill = e.core.Now() + min(e.longest, mostWait) + killMargin
	e.core.After(acceptOn, e.serveOn)
}

// serveOn goes on serving for as long as there are clients and time.
func (e *ending) serveOn() {
	clients := e.front.Clients()
	if e.columns != nil {
		clients += e.columns.Clients()
	}
	if left := e.kill - closeBefore - e.core.Now(); clients > 0 && left > 0 {
		e.core.After(min(lingerOn, left), e.serveOn)
		return
	}
	for _, ln := range e.listeners {
		if err := ln.Close(); err != nil {
			e.log.Warn().Err(err).Msg("listener would not close")
		}
	}
	e.front.Stop()
	if e.columns != nil {
		e.columns.Stop()
	}
	e.quietly()
	e.core.After(max(0, e.kill-lastBefore-e.core.Now()), e.core.FailAllQueries)
}

// quietly ends the program once nothing is open and nothing has been for a while. A client
// that is still there may have sent what we have read and not looked at: it is waited for,
// for as long as there is time.
func (e *ending) quietly() {
	e.core.After(lingerOn, func() {
		e.core.OnIdle(func() {
			e.core.After(lingerOn, func() {
				process := gate.Process{Open: e.core.OpenCount(), Clients: e.front.Clients(), Now: e.core.Now(), WaitUntil: e.kill - lastBefore}
				if gate.End(process) != gate.Allowed {
					e.quietly()
					return
				}
				if e.flows != nil {
					e.flows.Flush()
				}
				if e.fleet != nil {
					e.fleet.Leave()
				}
				last := func() { e.core.After(lastWrites, e.halt) }
				if e.traces == nil {
					last()
					return
				}
				e.traces.finish(e.kill-lastBefore/2, last)
			})
		})
	})
}
