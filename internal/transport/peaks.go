package transport

import (
	"sync/atomic"
	"time"
)

// Peaks are the highest values seen in an interval, over all connections of a Net.
type Peaks struct {
	InputWait time.Duration // from when bytes had arrived until they were delivered
	Backlog   int64         // bytes read that waited for the owner's goroutine
	Unsent    int64         // bytes written that waited for one peer to read
}

// peaks collects Peaks. Its methods may be called on any goroutine.
type peaks struct{ inputWait, backlog, unsent atomic.Int64 }

// TakePeaks returns the peaks since the last call.
func (n *Net) TakePeaks() Peaks {
	p := &n.peaks
	return Peaks{InputWait: time.Duration(p.inputWait.Swap(0)), Backlog: p.backlog.Swap(0), Unsent: p.unsent.Swap(0)}
}

// raise raises a peak to n if n is higher.
func raise(peak *atomic.Int64, n int64) {
	for old := peak.Load(); n > old; old = peak.Load() {
		if peak.CompareAndSwap(old, n) {
			return
		}
	}
}
