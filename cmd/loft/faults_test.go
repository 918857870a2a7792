package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/internal/standin/faults"
)

// threeMixerRun is a run of 10 s in which n1 is paused, n2 is killed and the links from n0 get
// faults.
func threeMixerRun() faults.Run {
	s := time.Second
	return faults.Run{Mixers: []string{"n0", "n1", "n2"}, Length: 10 * s,
		Actions: []faults.Action{{Do: faults.Start}, {Do: faults.Start, Mixer: 1}, {At: 2 * s, Do: faults.Pause, Mixer: 1, For: s},
			{At: 4 * s, Do: faults.Kill, Mixer: 2}, {At: 5 * s, Do: faults.Links, From: []int{0}, Fault: faults.Fault{Drop: 0.3}}},
		Changes: []faults.Change{{At: s, By: "n0", Member: "n2", From: "alive", To: "alive"}, {At: 6 * s, By: "n0", Member: "n2", From: "alive", To: "doubted"},
			{At: 7 * s, By: "n0", Member: "n2", From: "doubted", To: "gone"}, {At: 8 * s, By: "n1", Member: "n1", From: "alive", To: "doubted"}}}
}

func TestObservedStatesAndDownIntervals(t *testing.T) {
	s := time.Second
	want := map[[2]string][]stateInterval{
		{"n0", "n2"}: {{s, 6 * s, "alive"}, {6 * s, 7 * s, "doubted"}, {7 * s, 10 * s, "gone"}},
		{"n1", "n1"}: {{0, 8 * s, "alive"}, {8 * s, 10 * s, "doubted"}},
	}
	if diff := cmp.Diff(want, observedStates(threeMixerRun()), cmp.AllowUnexported(stateInterval{})); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([][]stateInterval{nil, {{2 * s, 3 * s, "paused"}}, {{4 * s, 10 * s, "down"}}}, downIntervals(threeMixerRun()), cmp.AllowUnexported(stateInterval{})); diff != "" {
		t.Error(diff)
	}
}

func TestFaultsReport(t *testing.T) {
	dir := t.TempDir()
	path, page := filepath.Join(dir, "run.json"), filepath.Join(dir, "run.html")
	if err := threeMixerRun().Write(path); err != nil {
		t.Fatal(err)
	}
	code, out, errOut := runLoft(t, "faults", "report", path, "-o", page)
	if code != exitOK || !strings.Contains(out, "3 mixers, 5 faults, 4 changes") {
		t.Fatalf("%d, %s, %s", code, out, errOut)
	}
	text, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(text), "<svg") || !strings.Contains(string(text), "pause n1 for 1s") || !strings.HasSuffix(strings.TrimSpace(string(text)), "</html>") {
		t.Errorf("%v: %.300s", err, text)
	}
	if err := os.WriteFile(path, []byte(`{"mixers":[]`), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errOut := runLoft(t, "faults", "report", path, "-o", page); code != exitUsage || !strings.Contains(errOut, "run.json") {
		t.Errorf("a truncated record: %d, %s", code, errOut)
	}
}
