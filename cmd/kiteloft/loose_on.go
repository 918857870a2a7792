//go:build looseaccord

package main

const loose = true
