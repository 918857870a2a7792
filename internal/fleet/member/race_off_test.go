//go:build !race

package member

// usual is the size of a large fleet in CI.
const usual = 90
