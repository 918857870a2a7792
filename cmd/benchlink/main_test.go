package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// buildBenchlink compiles the command and returns the path of the binary.
func buildBenchlink(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "benchlink")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("building the adapter: %v\n%s", err, out)
	}
	return bin
}

const settings = `{"balancers":1,"tick":0.005,"classes":[{"name":"c","semantics":"repeatable","aim":1,"deadline":4,` +
	`"worth":1}],"family_info":{"class_floor":[1],"need_by_class":[1],"per_call":4,"positions":1,"span":1},` +
	`"caps":{"cancel":true,"second_copies":true,"max_attempts":3}}`

func TestBuiltAdapterAnswersQuery(t *testing.T) {
	start := func(i string) string {
		return "SPAWN\t" + i + "\t7\t" + settings + "\nSYNC\t" + i + "\twarm_copy\t1\t0\n" +
			"NEW_REQUEST\t" + i + "\t00000000000000a0\t0\t-\t-\t4\t-\t1\t-1\t1\t0\n" +
			"NEW_REQUEST\t" + i + "\t00000000000000a1\t0\t-\t-\t4\t-\t1\t0\t1\t0\n"
	}
	in := "CLOCK\t0.5\nYOUR_TURN\n" +
		"CLOCK\t1\nTABLE\t0\t1\nENTRY\ts:1\t0\t0\t0\tRunning\t1\t-\n" + start("4") + start("2") +
		"DESTROY\t2\n" + "SPAWN\t2\t8\t" + settings + "\nYOUR_TURN\n" +
		"CLOCK\t1.1\nCOMPLETED\t4\t00000000000000a1\t0\ts:1\t1\t0.1\t1\t-\nYOUR_TURN\n"
	cmd := exec.Command(buildBenchlink(t))
	cmd.Stdin = strings.NewReader(in)
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(string(out), "EOR\n")
	if len(replies) != 4 || replies[0] != "" {
		t.Fatalf("replies %q, want three, the first empty", replies)
	}
	if !strings.HasPrefix(replies[1], "PLACE\t4\t00000000000000a1\ts:1\t") || strings.Contains(replies[1], "\t2\t0000") {
		t.Errorf("second reply %q, want one send, none of the instance that was destroyed", replies[1])
	}
	if !strings.HasPrefix(replies[2], "ANSWER\t4\t00000000000000a0\t1\n") {
		t.Errorf("third reply %q, want the answer", replies[2])
	}
}

func TestBuiltAdapterStopsOnMalformedInput(t *testing.T) {
	cmd := exec.Command(buildBenchlink(t))
	cmd.Stdin = strings.NewReader("CLOCK\t1\nWAKEUP\t0\nYOUR_TURN\n")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Run(); err == nil || !strings.Contains(stderr.String(), "line 2") {
		t.Errorf("error %v, standard error %q; want a failure that names line 2", err, stderr.String())
	}
}
