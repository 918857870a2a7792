// Package transport opens and accepts TCP connections with netpoll, and sends and receives UDP
// datagrams. Each connection has a Handler. All calls to it run on one goroutine, that of the
// owner's Poster, so handlers need no locks.
package transport

import "kiteloft/decide"

// End is the way in which a connection ended, or why it could not be opened.
type End int

// The values of End. Flow records and logs use their names.
const (
	Open           End = iota // the connection has not ended
	Refused                   // the peer's machine refused the connection
	ConnectTimeout            // the connection was not established in time
	NoDescriptor              // this process had no descriptor left
	NotDialed                 // the dial queue was full, or the address is malformed
	LocalFailure              // this machine lacked an address, a route or memory
	PeerClosed                // the peer closed the connection in order
	PeerReset                 // the peer's machine reset the connection
	WriteFailed               // a write failed
	PeerStalled               // the peer stopped reading while too much waited for it, or for too long
	PeerFlooded               // the peer sent more than is held for one connection
	BadInput                  // the peer sent malformed data
	LocalIdle                 // closed by this process because it was idle
	LocalDone                 // closed by this process, which had no more use for it
	LocalStop                 // closed by this process because it is shutting down
)

var endNames = [...]string{"open", "refused", "never-up", "no-descriptor", "not-dialed", "local-lack", "peer-closed", "peer-reset",
	"write-failed", "peer-stalled", "peer-flooded", "bad-input", "local-idle", "local-done", "local-stop"}

// String returns the name used in logs and flow records.
func (e End) String() string {
	if e < 0 || int(e) >= len(endNames) {
		return "unknown"
	}
	return endNames[e]
}

// Outcome returns the outcome of an attempt that was under way on a connection when it ended with
// e. Written says whether the last byte of the attempt's frame had been written. Only an attempt
// that was not written whole is proved never to have run, however the connection ended.
func Outcome(e End, written bool) decide.Outcome {
	switch {
	case written && (e == BadInput || e == PeerFlooded):
		// The node sent a malformed answer: the attempt may have run, and the network is not to blame.
		return decide.Failed
	case written:
		return decide.Reset
	case e == NoDescriptor, e == NotDialed, e == LocalFailure:
		return decide.NotSent // a local failure, not evidence about the node
	}
	return decide.ConnectFailed
}
