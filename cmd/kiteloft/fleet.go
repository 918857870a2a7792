package main

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/broker"
	"kiteloft/internal/config"
	"kiteloft/internal/fleet/duty"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/transport"
)

// fleetConns is how many connections full exchanges may use at once.
const fleetConns = 64

// newFleet has the mixer take part in its fleet, if the file names one: the module hears
// how many live, and checks of nodes are divided. Stop ends the program.
func newFleet(core *broker.Core, cfg config.Config, nodes broker.Prober, stop func(error), log zerolog.Logger) (*link.Fleet, error) {
	if cfg.Fleet == nil {
		return nil, nil
	}
	f, err := link.New(core, transport.NewNet(core, transport.Limits{Conns: fleetConns, Backlog: 1 << 20}, nil), *cfg.Fleet, log)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	probes := duty.New(core, f, nodes)
	core.Divide(probes)
	f.Changed = core.Sharers
	f.News = probes.News
	f.Stop = func(why string) {
		core.After(50*time.Millisecond, func() { stop(fmt.Errorf("fleet: %s", why)) }) // its log line goes first
	}
	return f, nil
}
