//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"kiteloft/internal/standin"
)

func init() { cases["pipeline"] = pipeline }

const (
	burstRequests = 30
	filterBytes   = 12 << 10 // a body may have 64 KiB
	bursts        = 3
	lookupLimit   = 4 * time.Second
	lostAfter     = lookupLimit + 550*time.Millisecond // half a second after its time, and 50 ms
	nodeTime      = 70 * time.Millisecond
	// A close that crosses a request is excused. One that comes so long after the request's last byte
	// was written does not cross it.
	crossingTime = 500 * time.Millisecond
)

// lookup is a pallet lookup of three slices.
type lookup struct {
	id, filter string
	shards     []int
}

func newLookup(burst, i int) lookup {
	q := lookup{id: fmt.Sprintf("%08x%08x", 0xa0000000+burst, i), filter: fmt.Sprintf("%03d.%03d.", burst, i) + strings.Repeat("c41e77d0", filterBytes/8)}
	for j := range 3 {
		q.shards = append(q.shards, (i+j)%shardCount)
	}
	return q
}

func (q lookup) text() string {
	body := standin.Query{Shards: q.shards, Filter: q.filter}.Body()
	return fmt.Sprintf("POST /pallet-lookup HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.id, lookupLimit.Milliseconds(), len(body), body)
}

// valueOf is what a node makes of a part.
func valueOf(shard int, text string) string {
	return fmt.Sprintf("%d/%s", shard, text[:min(len(text), 8)])
}

// judge reads one answer and says what it is; ok is false if it is not one that a client may get.
func (q lookup) judge(resp *http.Response, body []byte) (kind string, ok bool) {
	switch resp.StatusCode {
	case 200:
	case 429, 503:
		return "refused", true
	default:
		return fmt.Sprintf("failed (%d %s)", resp.StatusCode, strings.TrimSpace(string(body))), true
	}
	var a struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return "served with what can't be read", false
	}
	got := map[int]string{}
	for _, x := range a.Items {
		got[x.Slice] = x.Body
	}
	for _, s := range q.shards {
		if got[s] != valueOf(s, q.filter) {
			return fmt.Sprintf("served with a foreign value for slice %d: %q", s, got[s]), false
		}
	}
	return "served", true
}

// pipeline has a client send many requests at once on a connection. Each one that is written whole
// has to get an answer.
func pipeline(w *world) error {
	if err := w.addNodes(w.serveFrames); err != nil {
		return err
	}
	if err := w.startMixer("by_key", ""); err != nil {
		return err
	}
	for burst := range bursts {
		if err := w.burst(burst); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// serveFrames has a node that is well listen for the platform's frames, and returns its address.
func (w *world) serveFrames(id string) (string, error) {
	n := standin.NewNode(id, func(p standin.Part) standin.Reply {
		w.note("node %s ran part %s", p.Node, p.ID)
		return standin.Reply{End: 'S', Score: int64(p.Shard), Value: valueOf(p.Shard, p.Text), After: nodeTime}
	})
	n.Forgets = true
	n.Probed = func(int) bool { return true }
	w.closers = append(w.closers, n.Close)
	return n.ServeFrames()
}

// burst has one client send its requests on one connection: all at once, or without the disruption
// each after the answer to the one before.
func (w *world) burst(number int) error {
	conn, err := net.Dial("tcp", w.mixer.Listen())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var list []lookup
	for i := range burstRequests {
		list = append(list, newLookup(number, i))
	}
	sent := make([]time.Time, len(list))
	if w.trouble {
		total := 0
		for i, q := range list {
			n, err := io.WriteString(conn, q.text())
			if err != nil {
				return fmt.Errorf("writing request %d: %w", i, err)
			}
			total, sent[i] = total+n, time.Now()
		}
		w.note("burst %d: %d requests, %d bytes, written whole from %s", number, len(list), total, conn.LocalAddr())
	}
	for i, q := range list {
		if !w.trouble {
			if _, err := io.WriteString(conn, q.text()); err != nil {
				return fmt.Errorf("writing request %d: %w", i, err)
			}
			sent[i] = time.Now()
		}
		_ = conn.SetReadDeadline(sent[i].Add(lostAfter))
		resp, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			w.note("burst %d: the connection at the mixer: %s", number, kernelState(w.mixer.Listen(), conn.LocalAddr().String()))
			for j := i; j < len(list) && !sent[j].IsZero(); j++ {
				if time.Since(sent[j]) < crossingTime {
					w.note("request %d of burst %d may have crossed the close: excused", j, number)
					continue
				}
				w.fault("request %d of burst %d (Req-Id %s) was written whole %.3f s ago and has no answer: %v", j, number, list[j].id, time.Since(sent[j]).Seconds(), err)
			}
			return nil
		}
		kind, ok := q.judge(resp, body)
		w.note("burst %d, request %d, Req-Id %s: %s after %.3f s, the connection closes after it: %v", number, i, q.id, kind, time.Since(sent[i]).Seconds(), resp.Close)
		if !ok {
			w.fault("request %d: %s", i, kind)
		}
	}
	return nil
}

// kernelState says what the kernel holds of the connection from client to the process at addr: bytes in the
// receive queue have not been read by that process.
func kernelState(addr, client string) string {
	hex := func(s string) string {
		a, err := net.ResolveTCPAddr("tcp4", s)
		if err != nil {
			return "?"
		}
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "not known"
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) > 4 && f[1] == hex(addr) && f[2] == hex(client) {
			return fmt.Sprintf("state %s, send and receive queue %s", f[3], f[4])
		}
	}
	return "it is closed"
}
