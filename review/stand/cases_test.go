//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

var runLine = regexp.MustCompile(`(?m)^run *= *"(.*)"`)

// TestReviewCases plays the cases of the review, as their scripts do. It fails where a rule is
// broken. It is behind the build tag review, and needs the program in bin/.
func TestReviewCases(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		t.Fatal("the deploy file has no line run")
	}
	for i, name := range []string{"pipeline", "twice", "cutoff"} {
		t.Run(name, func(t *testing.T) {
			record := filepath.Join(root, "review", fmt.Sprint(i+1), "record.txt")
			if code := play(name, root, string(run[1]), record); code != held {
				t.Errorf("the case ended with %d; see %s", code, record)
			}
		})
	}
}
