package decide

import (
	"math"
	"slices"
)

// Zone shares: which share of its parts each zone gets is decided elsewhere, for the whole fleet, and
// applied here.

// Steps of low-discrepancy sequences, whose fractional parts are spread evenly over 0 to 1 in any
// run: over the queries, and over the shards of one query.
const (
	queryStep   = 0.6180339887498949
	shardStep   = 0.7548776662466927
	queryPeriod = 1 << 20 // period of the sequence over the queries
)

// withinZoneShare keeps to the share of the parts that the server's zone is to get, unless nobody
// else may take the part. Whether the zone gets a part depends on the part alone and is spread
// evenly over all parts: what is kept from a zone once is not sent there as a copy either.
func (m *StateMachine) withinZoneShare(p *part, s *server) bool {
	if len(m.zoneShares) == 0 || m.inZoneShare(p, s) {
		return true
	}
	return !slices.ContainsFunc(m.holdersOf(p.Shard), func(o *server) bool {
		return o != s && !o.retiring && m.inZoneShare(p, o)
	})
}

// inZoneShare reports whether the part is one of those that the server's zone is to get.
func (m *StateMachine) inZoneShare(p *part, s *server) bool {
	if s.Zone < 0 || s.Zone >= len(m.zoneShares) || m.zoneShares[s.Zone] >= 1 {
		return true
	}
	_, u := math.Modf(queryStep*float64(p.Number%queryPeriod) + shardStep*float64(p.Shard))
	return u < m.zoneShares[s.Zone]
}
