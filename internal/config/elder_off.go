//go:build !elder

package config

// unsupportedKeys are keys of a document that this program does not know. Only a test's build
// has any: it stands for a program that is older than its fleet.
var unsupportedKeys []string
