//go:build slowdisk

package accord

import "time"

// writeDelay is added to each write of the log, to simulate a slow disk.
const writeDelay = 2 * time.Second
