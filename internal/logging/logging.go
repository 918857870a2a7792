// Package logging has what the program's loggers share.
package logging

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	sampledLines  = 10 // per sampledPeriod
	sampledPeriod = time.Second
)

// Sampled returns a logger that drops lines above 10 per second, for log lines that a peer can cause
// as often as it likes.
func Sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: sampledLines, Period: sampledPeriod})
}
