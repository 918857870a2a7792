//go:build !race

package accord

const raceEnabled = false
