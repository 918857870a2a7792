//go:build race

package main

// buildFlags make the program under test look for races when its tests do.
var buildFlags = []string{"-race"}
