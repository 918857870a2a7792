//go:build elder

package config

var unsupportedKeys = []string{"storm_retries"}
