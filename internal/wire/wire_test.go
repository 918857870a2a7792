package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"kiteloft/decide"
)

// decodeAll returns the batches of text, and the first error other than io.EOF.
func decodeAll(t *testing.T, text string) ([]Batch, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	var all []Batch
	for {
		b, err := d.Next()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, b)
	}
}

const spawn = "SPAWN\t0\t18446744073709551615\t{\"tick\":0.005,\"unknown\":{\"a\":[1]},\"classes\":[{\"semantics\":\"once\"," +
	"\"aim\":1.5}],\"feedback\":{\"fields\":[\"recent_ms\",\"backlog\"]},\"rules\":{\"fall\":2.0}}\n"

// TestReusedTableNumberResolvesToLatestTable guards against lists of servers that change when a
// later table of the batch has the same number.
func TestReusedTableNumberResolvesToLatestTable(t *testing.T) {
	b, err := decodeAll(t, "CLOCK\t8.41225\n"+spawn+"TABLE\t3\t1\nENTRY\ta:1\t0\t0\t2\tRunning\t1\t-\n"+
		"SYNC\t0\twarm_copy\t7\t3\nTABLE\t3\t1\nENTRY\tb:1\t1\t0\t4\tStopping\t1.5\t6.1\nSYNC\t0\tincr\t8\t3\n"+
		"SYNC\t0\tlost\t8\t-\nYOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	items := b[0].Items
	first, second := items[1].Event.(decide.ServerListUpdate), items[2].Event.(decide.ServerListUpdate)
	if !first.Full || first.Servers[0] != (decide.Server{ID: "a:1", Cell: 2, CapacityHint: 1}) {
		t.Errorf("first list %+v", first)
	}
	want := decide.Server{ID: "b:1", Zone: 1, Cell: 4, State: decide.Stopping, CapacityHint: 1.5, Started: 6100 * time.Millisecond}
	if second.Full || second.Servers[0] != want {
		t.Errorf("second list %+v", second)
	}
	if _, ok := items[3].Event.(decide.WatchFailed); !ok {
		t.Errorf("lost list decoded as %+v", items[3].Event)
	}
	if b[0].Clock != 8412250*time.Microsecond {
		t.Errorf("clock %v", b[0].Clock)
	}
	if s := items[0].Settings; s.Classes[0].Idempotency != decide.NonIdempotent || s.RetryBudgetWindow != 0 ||
		s.ColdBudgetWindow != 2*time.Second || items[0].Seed != 1<<64-1 {
		t.Errorf("settings %+v seed %d", s, items[0].Seed)
	}
}

func TestDecodeEvents(t *testing.T) {
	b, err := decodeAll(t, "CLOCK\t1\n"+spawn+
		"NEW_REQUEST\t0\t417abe1e5d3a91c4\t0\t-\tterm/k\t0.24\t0.012\t214\t-1\t3\t1\n"+
		"NEW_REQUEST\t0\t417abe1e5d3a91c5\t0\t1\t-\t0.24\t-\t214\t5\t0.125\t2\n"+
		"COMPLETED\t0\t417abe1e5d3a91c5\t2\t10.0.0.1:80\t4\t0.25\t1\t12.5,3\n"+
		"COMPLETED\t0\t417abe1e5d3a91c5\t0\t10.0.0.1:80\t1\t0.25\t0\t-\n"+
		"MEMO\t0\t1\taGkgNw==\nYOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	items := b[0].Items
	q := decide.QueryArrived{ID: "417abe1e5d3a91c4", Number: 214, Key: "term/k", Left: 240 * time.Millisecond,
		Work: 12 * time.Millisecond}
	if items[1].Event != q {
		t.Errorf("query %+v", items[1].Event)
	}
	if p := (decide.PartArrived{ID: "417abe1e5d3a91c5", Number: 214, Shard: 5, Weight: 0.125}); items[2].Event != p {
		t.Errorf("part %+v", items[2].Event)
	}
	done := items[3].Event.(decide.AttemptDone)
	if done.Attempt != 2 || done.Outcome != decide.ConnectFailed || *done.Load != (decide.Load{Latency: 12500 * time.Microsecond, Queue: 3}) {
		t.Errorf("outcome %+v load %+v", done, done.Load)
	}
	if m := items[5].Event.(decide.PeerMessage); string(m.Body) != "hi 7" {
		t.Errorf("message %+v", m)
	}
}

func TestMalformedInputIsReportedWithItsLine(t *testing.T) {
	for _, body := range []string{
		"NONSENSE\t0\n",
		"WAKEUP\t0\n",
		"WAKEUP\t0\tdue\tmore\n",
		"WITHDRAWN\t0\t417abe1e\n",
		"COMPLETED\t0\t417abe1e5d3a91c4\t0\ts:1\t9\t0.1\t1\t-\n",
		"COMPLETED\t0\t417abe1e5d3a91c4\t0\ts:1\t1\tNaN\t1\t-\n",
		"COMPLETED\t0\t417abe1e5d3a91c4\t0\ts:1\t1\t0.1\tyes\t-\n",
		"SYNC\t0\tnews\t1\t0\n",
		"SYNC\t0\ttotal\t1\t16\n",
		"TABLE\t16\t0\n",
		"TABLE\t0\t1\nYOUR_TURN\n",
		"ENTRY\ta:1\t0\t0\t2\tRunning\t1\t-\n",
		"SPAWN\t0\t1\t{\n",
		"MEMO\t0\t1\t***\n",
	} {
		_, err := decodeAll(t, "CLOCK\t1\n"+body+"YOUR_TURN\n")
		if err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: error %v, want one that names the line", body, err)
		}
	}
	for _, text := range []string{"YOUR_TURN\n", "CLOCK\tx\nYOUR_TURN\n", "CLOCK\t1\n", "CLOCK\t1\nYOUR_T"} {
		if _, err := decodeAll(t, text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	var sb strings.Builder
	e := NewEncoder(&sb)
	for _, a := range []decide.Action{
		decide.Send{Part: "p", Server: "s:1", StopAt: 8492250 * time.Microsecond}, decide.Cancel{Part: "p", Attempt: 1},
		decide.Answer{Query: "q", Whole: true}, decide.Refuse{Query: "q"}, decide.Fail{Query: "q"},
		decide.SetTimer{After: 500 * time.Millisecond, Token: "due"}, decide.Watch{On: true}, decide.ReadList{},
		decide.Probe{Server: "s:1"}, decide.CloseIdle{Server: "s:1"}, decide.SendToPeer{Recipient: -1, Body: []byte("hi 7")},
		decide.Log{Line: "two\nlines"},
	} {
		if err := e.Write(3, a); err != nil {
			t.Fatal(err)
		}
	}
	if err := e.End(); err != nil {
		t.Fatal(err)
	}
	want := "PLACE\t3\tp\ts:1\t8.49225\nCALL_OFF\t3\tp\t1\nANSWER\t3\tq\t1\nDENY\t3\tq\t-\nDROP_REQUEST\t3\tq\n" +
		"WAKE_AT\t3\t0.5\tdue\nWATCH\t3\t1\nREAD_LIST\t3\nPROBE\t3\ts:1\nCLOSE_IDLE\t3\ts:1\nPOST\t3\t-1\taGkgNw==\n" +
		"NOTE_DOWN\t3\ttwo lines\nEOR\n"
	if sb.String() != want {
		t.Errorf("got\n%s\nwant\n%s", sb.String(), want)
	}
}
