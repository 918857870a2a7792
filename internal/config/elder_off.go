//go:build !elder

package config

// unsupportedKeys are keys of documents that this program does not know. It is empty except in a
// build for a test, which stands for a program that is older than the rest of its fleet.
var unsupportedKeys []string
