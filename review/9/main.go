//go:build review

// Command 9 has clients of Arrow Flight send half a request on many streams and stay, while others
// ask as ever. It plays the platform, which kills a mixer that takes more memory than its limit.
package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"kiteloft/internal/standin"
	"kiteloft/review/rig"
)

const (
	nodes     = 12
	memoryMB  = 192 // limits.memory_mb, the most that the pages give
	sockets   = 1024
	soundRate = 20              // queries a second
	halves    = 200             // connections with requests that end in the middle
	streams   = 100             // of each, under HTTP/2's limit that the mixer announces
	message   = 64_000          // bytes that a request's message says it has
	sent      = 60_000          // bytes of it that come
	before    = 5 * time.Second // of sound clients alone
	trouble   = 15 * time.Second
)

const settings = `{"balancers":3,"zone":0,"tick":0.005,"discovery":"ask","failure_domains":["zona-12","mixco"],
"caps":{"cancel":true,"conn_idle":30,"connect_timeout":0.25,"max_attempts":4,"max_open":210,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[{"name":"pallet-lookup","semantics":"repeatable","aim":1.5,"deadline":4,"worth":1,"late_value":0.1}],
"family_info":{"per_call":8,"positions":12,"span":2,"ranges":24,"class_floor":[1],"need_by_class":[1],"short_worth":[0.9],"follow_up":[0]},
"rules":{"ask_within":10,"cold":18,"cold_from":0.32,"drain_grace":2,"fall":1,"fall_multiple":3,"grace_to_answer":0.02}}`

// window is what the mixer allows to be sent on a connection.
type window struct {
	mu    sync.Mutex
	more  sync.Cond
	bytes int64
	over  bool // the connection has ended
}

// take waits until n bytes may be sent.
func (w *window) take(n int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.bytes < n && !w.over {
		w.more.Wait()
	}
	w.bytes -= n
	return !w.over
}

// read follows the mixer's frames until the connection ends.
func (w *window) read(c net.Conn) {
	f := http2.NewFramer(nil, c)
	for {
		frame, err := f.ReadFrame()
		w.mu.Lock()
		if w.over = err != nil; !w.over {
			if u, ok := frame.(*http2.WindowUpdateFrame); ok && u.StreamID == 0 {
				w.bytes += int64(u.Increment)
			}
		}
		w.more.Broadcast()
		over := w.over
		w.mu.Unlock()
		if over {
			return
		}
	}
}

// half sends the begin of a request on each stream of one connection, within the windows of
// HTTP/2, and stays until the mixer ends the connection.
func half(addr string, bytesSent *atomic.Int64) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // it may have been reset
	w := &window{bytes: 65535}
	w.more.L = &w.mu
	go func() {
		var out bytes.Buffer
		out.WriteString(http2.ClientPreface)
		f := http2.NewFramer(&out, nil)
		_ = f.WriteSettings() // writes to a buffer never fail; the same holds below
		_ = f.WriteSettingsAck()
		var block bytes.Buffer
		enc := hpack.NewEncoder(&block)
		for s := range streams {
			block.Reset()
			for _, h := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
				{Name: ":path", Value: "/arrow.flight.protocol.FlightService/DoGet"}, {Name: ":authority", Value: "app.svc"},
				{Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}, {Name: "grpc-timeout", Value: "4000m"}} {
				_ = enc.WriteField(h)
			}
			id := uint32(2*s + 1)
			_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true})
			b := binary.BigEndian.AppendUint32([]byte{0}, message)
			for b = append(b, bytes.Repeat([]byte("c"), sent)...); len(b) > 0; {
				n := min(len(b), 16<<10)
				if !w.take(int64(n)) {
					return
				}
				_ = f.WriteData(id, false, b[:n])
				b = b[n:]
				n, err := c.Write(out.Bytes())
				bytesSent.Add(int64(n))
				out.Reset()
				if err != nil {
					return
				}
			}
		}
	}()
	w.read(c)
}

func main() {
	r := rig.New("review/9")
	var members []standin.Member
	for i := range nodes {
		n := standin.NewNode(fmt.Sprintf("s-%d", i), func(p standin.Part) standin.Reply {
			do := standin.Sound(p)
			do.After = 80 * time.Millisecond
			return do
		})
		n.Forgets = true
		n.Probed = func(int) bool { return true }
		addr, err := n.ServeFrames()
		r.Need(err)
		members = append(members, standin.Member{ID: n.ID, HostPort: addr, Locality: []string{"zona-12", "mixco"}[i%2], Cell: i, Phase: "active", Size: 1})
	}
	dir := standin.NewDirectory(members...)
	m := r.Start(standin.Setup{Name: "n0", Settings: settings, Discovery: dir.Serve(), Known: members, MemoryMB: memoryMB, Sockets: sockets,
		Broker: "[flight]\nlisten = \"127.0.0.1:0\"\n"})
	memory := r.WatchMemory(m, memoryMB)

	var mu sync.Mutex
	sound, lost := map[string]int{}, 0
	stop := make(chan struct{})
	var asked sync.WaitGroup
	asked.Go(func() {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		for range time.Tick(time.Second / soundRate) {
			select {
			case <-stop:
				return
			default:
			}
			if memory.Killed.Load() {
				continue // a front would send them elsewhere
			}
			shard := rand.IntN(24)
			asked.Go(func() {
				res, err := standin.Ask(client, m.Listen(), standin.Query{Class: "pallet-lookup", Shards: []int{shard, (shard + 1) % 24, (shard + 2) % 24}, Deadline: 4 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					sound[res.Kind]++
					return
				}
				if lost++; lost <= 10 {
					r.Say("a sound client's query got no answer: %v", err)
				}
			})
		}
	})
	time.Sleep(before)
	r.Say("sound clients alone: %d KB at most", memory.PeakKB.Load())
	var bytesSent atomic.Int64
	if r.Trouble {
		r.Say("%d clients send %d of the %d bytes of a request on each of %d streams, and stay", halves, sent, message, streams)
		for range halves {
			go half(m.Flight(), &bytesSent)
		}
	}
	time.Sleep(trouble)
	close(stop)
	asked.Wait()
	r.Say("sound clients: %v, and %d without an answer; the others sent %d bytes", sound, lost, bytesSent.Load())
	r.Say("memory: %d KB at most of %d", memory.PeakKB.Load(), memoryMB<<10)
	switch {
	case sound["served"] == 0:
		r.End(rig.NotRun, "nothing was served")
	case memory.Killed.Load():
		r.End(rig.Broken, fmt.Sprintf("the mixer went over its memory, and %d queries of sound clients were lost with it", lost))
	case lost > 0:
		r.End(rig.Broken, fmt.Sprintf("%d queries of sound clients got no answer", lost))
	}
	r.End(rig.Held, "the mixer stayed within its memory")
}
