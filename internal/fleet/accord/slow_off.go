//go:build !slowdisk

package accord

// writeDelay is added to each write of the log. It is zero except in test builds with the
// tag slowdisk, which simulate a slow disk.
const writeDelay = 0
