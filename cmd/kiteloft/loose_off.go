//go:build !looseaccord

package main

// loose has a mixer act on agreed settings without regard to leases. Only a test's build
// does: it shows what leases are good for.
const loose = false
