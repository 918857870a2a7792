//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"kiteloft/internal/standin"
)

func init() { cases["twice"] = twice }

const (
	bookings        = 60
	longEach        = 4       // one in so many bookings has a long value
	maxMessageBytes = 4 << 10 // of a node's gRPC library
)

// runs are the runs of each part, by the idempotency key of its booking and by its id.
type runs struct {
	mu    sync.Mutex
	nodes map[string][]string // nodes that ran it, by the part's id
}

func (r *runs) add(p part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[p.ID] = append(r.nodes[p.ID], p.Node)
}

// twice has clients book bays. The class is one that may not be repeated: each part may be run once.
func twice(w *world) error {
	ran := runs{nodes: map[string][]string{}}
	err := w.addNodes(func(id string) (string, error) {
		return w.serveFlight(id, maxMessageBytes, func(p part) []byte {
			ran.add(p)
			w.note("node %s ran part %s", p.Node, p.ID)
			value := valueOf(p.Slice, p.Filter)
			if w.trouble && strings.HasPrefix(p.Filter, "long") {
				value += strings.Repeat("=", maxMessageBytes)
			}
			return []byte(value)
		})
	})
	if err != nil {
		return err
	}
	if err := w.startMixer("once", ""); err != nil {
		return err
	}
	for i := range bookings {
		filter := fmt.Sprintf("%08d", i)
		if i%longEach == 0 {
			filter = "long" + filter[4:]
		}
		id := fmt.Sprintf("b%015x", i)
		r, err := standin.Ask(http.DefaultClient, w.mixer.Listen(), standin.Query{Class: "bay-booking", ID: id, Key: fmt.Sprintf("%032x", rand.Uint64()),
			Shards: []int{i % shardCount}, Deadline: 4 * time.Second, Filter: filter})
		if err != nil {
			return fmt.Errorf("booking %d: %w", i, err)
		}
		w.note("booking %d, Req-Id %s, filter %s: %s after %v", i, id, filter, r.Kind, r.Took)
	}
	time.Sleep(time.Second)
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for id, nodes := range ran.nodes {
		if len(nodes) > 1 {
			w.fault("part %s of a class that may not be repeated ran %d times, at %s", id, len(nodes), strings.Join(nodes, " and "))
		}
	}
	return nil
}
