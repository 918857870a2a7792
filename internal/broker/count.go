package broker

import (
	"kiteloft/decide"
	"kiteloft/internal/counts"
	"kiteloft/internal/tracing"
)

// outcomeKinds, sendReasonKinds and endReasonKinds map values of the decision module to counters.
var (
	outcomeKinds = [...]counts.Kind{decide.Failed: counts.AttemptFailed, decide.OK: counts.OK, decide.Full: counts.Full,
		decide.TimedOut: counts.TimedOut, decide.ConnectFailed: counts.ConnectFailed, decide.Reset: counts.Reset,
		decide.Cancelled: counts.Cancelled, decide.NotSent: counts.NotSent}
	sendReasonKinds = [...]counts.Kind{decide.ByOffset: counts.ByOffset, decide.OffsetAvoided: counts.OffsetAvoided,
		decide.NextBestHolder: counts.NextBestHolder, decide.LateCopy: counts.LateCopy, decide.ForcedCopy: counts.ForcedCopy}
	endReasonKinds = [...]counts.Kind{decide.NoEndReason: counts.RefusedTargetUnreachable, decide.TargetUnreachable: counts.RefusedTargetUnreachable,
		decide.TimeExpired: counts.RefusedTimeExpired, decide.PartUnavailable: counts.RefusedPartUnavailable, decide.NoServerReached: counts.RefusedNoServerReached,
		decide.InvalidQuery: counts.RefusedTargetUnreachable}
)

// countEvent counts an event of a request, and remembers it for the log lines of guards.
func (c *Core) countEvent(what counts.Kind, request, server string) {
	c.counts.Add(what, 1)
	c.recent.Record(counts.Event{At: c.now, Request: request, Server: server, Type: what})
}

// endKind returns the counter for the end of a query.
func endKind(how tracing.Ending, why decide.EndReason) counts.Kind {
	switch how {
	case tracing.Served:
		return counts.Served
	case tracing.Short:
		return counts.Short
	case tracing.Refused:
		return endReasonKinds[why]
	case tracing.Expired:
		return counts.Expired
	case tracing.Deserted:
		return counts.Deserted
	}
	return counts.Failed
}
