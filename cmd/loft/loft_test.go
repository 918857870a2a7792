package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/otlp"
	"kiteloft/internal/segments"
	"kiteloft/internal/tracing"
)

const ms = time.Millisecond

// writeTraces writes a directory with a segment of 40 queries: fast ones at s-1, and every tenth
// one slow at s-2. Each two queries share a trace.
func writeTraces(t *testing.T, lost ...tracing.Loss) string {
	t.Helper()
	dir := t.TempDir()
	w, err := segments.NewWriter(dir, "n0", 1<<20, 10)
	if err != nil {
		t.Fatal(err)
	}
	src := otlp.Encoder{Mixer: "n0", Epoch: time.Unix(1_700_000_000, 0), Classes: []string{"lookup", "booking"}, Zones: []string{"mixco", "zona-12"}}
	var list []*tracing.Query
	for i := range 40 {
		begin := time.Hour + time.Duration(i)*50*ms
		q := &tracing.Query{Trace: tracing.KeyedTrace("t", fmt.Sprint(i/2)), Root: tracing.SpanID{byte(i + 1)}, Front: "platform", WireID: fmt.Sprintf("q%02d", i),
			Begin: begin, TargetTime: begin + 100*ms, Deadline: begin + 400*ms, End: begin + 10*ms, Ending: tracing.Served, Class: i % 2,
			Parts:    []tracing.Part{{Answered: true, Shard: 3, Weight: 1, Begin: begin, End: begin + 10*ms}},
			Attempts: []tracing.Attempt{{Node: "s-1", Zone: 0, Begin: begin, Connected: begin, Written: begin + ms, Heard: begin + 9*ms, End: begin + 10*ms, Over: true, Won: true, Outcome: 1}}}
		if i%10 == 9 {
			took := time.Duration(150+i) * ms
			q.End, q.KeepReasons = begin+took, tracing.Slow
			q.Parts[0].End = q.End
			a := &q.Attempts[0]
			a.Node, a.Zone, a.Heard, a.End = "s-2", 1, q.End, q.End
		}
		list = append(list, q)
	}
	b, err := proto.Marshal(src.Encode(list, lost, time.Hour))
	if err == nil {
		err = w.Append(b)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// runLoft runs the command in this process.
func runLoft(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e strings.Builder
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestCommands(t *testing.T) {
	dir := writeTraces(t, tracing.Loss{Class: 1, Always: 7})
	id := tracing.KeyedTrace("t", "19").String()
	tests := []struct {
		name string
		args string
		code int
		want []string // expected in the output in this order
		not  string   // must not be in the output
	}{
		{name: "help", args: "--help", want: []string{"trace slowest", "trace report"}},
		{name: "list", args: "trace list -d DIR --limit 3", want: []string{"q37", "q38", "q39"}, not: "q36"},
		{name: "list of a class", args: "trace list -d DIR --class booking", want: []string{"booking", "not held by n0, class booking: 7 that mattered"}, not: "lookup"},
		{name: "list of a reason", args: "trace list -d DIR --kept slow", want: []string{"q09", "q19", "q29", "q39"}, not: "q08"},
		{name: "list of a node", args: "trace list -d DIR --node s-2", want: []string{"q09", "s-2 answer"}, not: "s-1"},
		{name: "list of the last", args: "trace list -d DIR --since 100ms", want: []string{"q37", "q39"}, not: "q36"},
		{name: "nothing fits", args: "trace list -d DIR --class other", code: exitNoMatch, want: []string{"nothing fits"}},
		{name: "slowest", args: "trace slowest -d DIR -n 2", want: []string{"q39", "q29"}, not: "q19"},
		{name: "show by trace", args: "trace show -d DIR " + id[:10], want: []string{"2 queries", "q38", "q39", "s-2 (zona-12) first", "critical path", "99.5%  s-2 answer (slice 3)"}},
		{name: "show by query", args: "trace show -d DIR q39", want: []string{"trace " + id}},
		{name: "show what is not there", args: "trace show -d DIR beef", code: exitNoMatch, want: []string{"no trace or query"}},
		{name: "nodes", args: "trace nodes -d DIR", want: []string{"NODE", "s-2", "100.0%", "4", "s-1", "0.0%"}},
		{name: "zones", args: "trace nodes -d DIR --by zone", want: []string{"ZONE", "zona-12", "mixco"}},
		{name: "causes", args: "trace nodes -d DIR --by cause", want: []string{"CAUSE", "answer", "100.0%"}},
		{name: "no directory", args: "trace list", code: exitUsage, want: []string{"--dir", "try: loft --help"}},
		{name: "no such directory", args: "trace list -d DIR/none", code: exitUsage, want: []string{"no such file"}},
		{name: "no such command", args: "trace lst -d DIR", code: exitUsage, want: []string{"try: loft --help"}},
		{name: "no such column", args: "trace nodes -d DIR --by moon", code: exitUsage, want: []string{"--by"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out, errOut := runLoft(t, strings.Fields(strings.ReplaceAll(tt.args, "DIR", dir))...)
			if code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			rest := out + errOut
			for _, w := range tt.want {
				i := strings.Index(rest, w)
				if i < 0 {
					t.Fatalf("no %q, or not in its place, in:\n%s%s", w, out, errOut)
				}
				rest = rest[i+len(w):]
			}
			if tt.not != "" && strings.Contains(out, tt.not) {
				t.Errorf("%q is in:\n%s", tt.not, out)
			}
		})
	}
}

func TestReportIsSelfContainedPage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.html")
	code, out, errOut := runLoft(t, "trace", "report", "-d", writeTraces(t), "-o", path)
	if code != exitOK {
		t.Fatalf("exit code %d: %s%s", code, out, errOut)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	if n := strings.Count(page, "<svg"); n != 3 || strings.Count(page, "</svg>") != 3 {
		t.Errorf("%d plots, want 3", n)
	}
	for _, w := range []string{"s-2", "zona-12", "critical path", "</html>"} {
		if !strings.Contains(page, w) {
			t.Errorf("no %q in the page", w)
		}
	}
	for _, w := range []string{"<script", "src=", "href=\"http", "@import"} {
		if strings.Contains(page, w) {
			t.Errorf("the page fetches something: %s", w)
		}
	}
}

// TestDamagedFilesAreReadUpToDamage truncates one segment and changes a byte of another. Traces
// from the intact file must still be shown, and the damaged files be named.
func TestDamagedFilesAreReadUpToDamage(t *testing.T) {
	good, cut, corrupt := writeTraces(t), writeTraces(t), writeTraces(t)
	change := func(dir string, fn func([]byte) []byte) string {
		list, err := segments.List(dir)
		if err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(list[0])
		if err == nil {
			err = os.WriteFile(list[0], fn(b), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		return list[0]
	}
	a := change(cut, func(b []byte) []byte { return b[:len(b)-5] })
	c := change(corrupt, func(b []byte) []byte { b[100] ^= 1; return b })
	code, out, errOut := runLoft(t, "trace", "slowest", "-d", good, "-d", cut, "-d", corrupt)
	if code != exitDamaged || !strings.Contains(out, "q39") {
		t.Errorf("exit code %d, printed:\n%s", code, out)
	}
	for _, w := range []string{a + " is cut at byte", c + " is corrupt at byte"} {
		if !strings.Contains(errOut, w) {
			t.Errorf("no %q in %s", w, errOut)
		}
	}
	if code, _, _ := runLoft(t, "trace", "list", "-d", cut); code != exitDamaged {
		t.Errorf("exit code %d with nothing but a truncated file", code)
	}
}

// TestFleetSumsCountsOfMixers reads logs that have a time before each line, lines of other kinds
// and a truncated line of counts. Counts must be summed over the mixers by second, and the
// truncated line be reported.
func TestFleetSumsCountsOfMixers(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("n0.log", `1.000 {"level":"info","at_ms":1000200,"taken":3,"open_links":50,"message":"counts"}
1.200 {"level":"info","line":"server s-1 suspect=true","message":"module"}
2.000 {"level":"info","at_ms":1001200,"taken":5,"unheard_of":1,"message":"counts"}
3.000 {"level":"info","at_ms":1002200,"message":"counts"`+"\n")
	write("n1.log", `{"level":"info","at_ms":1000900,"taken":4,"open_links":60,"message":"counts"}`+"\n")
	code, out, errOut := runLoft(t, "fleet", dir, "--kind", "taken", "--kind", "open_links")
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, errOut)
	}
	var rows [][]string
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		rows = append(rows, strings.Fields(line))
	}
	want := [][]string{{"second", "mixers", "taken", "open_links"}, {"0", "2", "7", "60"}, {"1", "1", "5", "0"},
		strings.Fields("1 lines of counts could not be read")}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Errorf("table (-want +got):\n%s", diff)
	}
	if code, _, errOut := runLoft(t, "fleet", dir, "--kind", "nonsense"); code != exitUsage || !strings.Contains(errOut, "nonsense") {
		t.Errorf("unknown count: exit code %d, %q", code, errOut)
	}
	if code, _, _ := runLoft(t, "fleet", t.TempDir()); code != exitNoMatch {
		t.Errorf("a folder without logs: exit code %d", code)
	}
}
