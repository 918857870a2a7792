package decide

import (
	"math"
	"slices"
)

// What a zone is to get is decided elsewhere, for the whole fleet. Here it is kept to.

// Steps of a sequence that is spread evenly over 0 to 1 however it is cut: of the queries, and
// of the shards of one.
const (
	queryStep   = 0.6180339887498949
	shardStep   = 0.7548776662466927
	queryPeriod = 1 << 20
)

// within keeps to the share of the parts that the server's zone is to get, unless nobody else
// may take the part. The draw is the part's own, and spread evenly over all: what is kept from
// a zone once is not sent there as a copy either.
func (m *StateMachine) withinZoneShare(p *part, s *server) bool {
	if len(m.zoneShares) == 0 || m.inZoneShare(p, s) {
		return true
	}
	return !slices.ContainsFunc(m.holdersOf(p.Shard), func(o *server) bool {
		return o != s && !o.retiring && m.inZoneShare(p, o)
	})
}

// drawn reports whether a part is of those that the server's zone is to get.
func (m *StateMachine) inZoneShare(p *part, s *server) bool {
	if s.Zone < 0 || s.Zone >= len(m.zoneShares) || m.zoneShares[s.Zone] >= 1 {
		return true
	}
	_, u := math.Modf(queryStep*float64(p.Number%queryPeriod) + shardStep*float64(p.Shard))
	return u < m.zoneShares[s.Zone]
}
