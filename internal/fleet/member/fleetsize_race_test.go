//go:build race

package member

// defaultFleetSize is the size of a large fleet in CI.
const defaultFleetSize = 30
