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

func init() { cases["noise"] = noise }

const (
	lookups   = 60
	noiseEach = 8 // one in so many values is noise
)

// noise has clients ask over the platform's protocol while some of the values that nodes send over
// Flight are noise. A client that is served has to get each value as its node gave it.
func noise(w *world) error {
	var mu sync.Mutex
	gave := map[string][]string{} // values that nodes gave, by the part's id
	count := 0
	err := w.addNodes(func(id string) (string, error) {
		return w.serveFlight(id, 0, func(p part) []byte {
			value := []byte(valueOf(p.Slice, p.Filter))
			mu.Lock()
			defer mu.Unlock()
			if count++; w.trouble && count%noiseEach == 0 {
				for i := range value {
					value[i] = byte(0x80 + rand.IntN(0x40)) // no character ends or begins so
				}
			}
			gave[p.ID] = append(gave[p.ID], string(value))
			w.note("node %s ran part %s and gave %q", p.Node, p.ID, value)
			return value
		})
	})
	if err != nil {
		return err
	}
	if err := w.startMixer("by_key", ""); err != nil {
		return err
	}
	for i := range lookups {
		id := fmt.Sprintf("c%015x", i)
		shards := []int{i % shardCount, (i + 1) % shardCount, (i + 2) % shardCount}
		r, err := standin.Ask(http.DefaultClient, w.mixer.Listen(), standin.Query{Class: "pallet-lookup", ID: id, Shards: shards, Deadline: 4 * time.Second, Filter: fmt.Sprintf("%08d", i)})
		if err != nil {
			return fmt.Errorf("lookup %d: %w", i, err)
		}
		w.note("lookup %d, Req-Id %s: %s, entire %v", i, id, r.Kind, r.Entire)
		if r.Kind != "served" {
			continue
		}
		mu.Lock()
		for _, s := range shards {
			part := fmt.Sprintf("%s.%d", id, s)
			got, found := r.Values[s], false
			for _, v := range gave[part] {
				found = found || v == got
			}
			if !found {
				w.fault("the answer to %s has %q for slice %d, which no node made: they gave %s", id, got, s, strings.Trim(fmt.Sprintf("%q", gave[part]), "[]"))
			}
		}
		mu.Unlock()
	}
	return nil
}
