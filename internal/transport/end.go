// Package transport serves TCP connections with netpoll. A connection is an
// object with callbacks; every callback runs on the one goroutine that the
// owner posts to, so handlers need no locks.
package transport

import "kiteloft/decide"

// End is the way in which a connection ended. It has one value for each way
// that there is.
type End int

// The ways in which a connection can end.
const (
	Open           End = iota // it has not ended
	Refused                   // the peer's machine refused it
	ConnectTimeout            // it did not come up within the time to connect
	NoDescriptor              // we had no descriptor left for it
	NotDialed                 // the queue of waiting dials was full, or the address is no address
	LocalFailure              // our own machine lacked an address, a route or memory for it
	PeerClosed                // the peer ended it in order
	PeerReset                 // the peer's machine reset it
	WriteFailed               // a write to it failed
	PeerStalled               // the peer stopped reading and too much waited for it
	PeerFlooded               // the peer sent more than we hold for one connection
	BadInput                  // what the peer sent could not be used
	LocalIdle                 // we closed it because it stood idle
	LocalDone                 // we closed it, having no more use for it
	LocalStop                 // we closed it because the program ends
)

var endNames = [...]string{"open", "refused", "never-up", "no-descriptor", "not-dialed", "local-lack", "peer-closed", "peer-reset",
	"write-failed", "peer-stalled", "peer-flooded", "bad-input", "local-idle", "local-done", "local-stop"}

// String returns the name that logs and flow records use.
func (e End) String() string {
	if e < 0 || int(e) >= len(endNames) {
		return "unknown"
	}
	return endNames[e]
}

// Outcome maps the end of a connection to the outcome of an attempt that was
// out on it. Written tells whether the last byte of the attempt's frame had been
// written; if it had not, the attempt never ran, however the connection ended.
func Outcome(e End, written bool) decide.Outcome {
	switch {
	case e == NoDescriptor, e == NotDialed, e == LocalFailure:
		return decide.Moot // it says nothing of the node
	case !written, e == Refused, e == ConnectTimeout:
		return decide.ConnectFailed
	case e == BadInput, e == PeerFlooded:
		// The node spoilt its answer: it may have run, and the network is not to blame.
		return decide.Failed
	default:
		return decide.Reset
	}
}
