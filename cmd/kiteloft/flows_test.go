package main

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"kiteloft/internal/standin"
)

// TestFlowsReachTheCollector reads the export as a collector does: by the
// templates that came first.
func TestFlowsReachTheCollector(t *testing.T) {
	t.Parallel()
	ln := listen(t)
	got := make(chan []byte, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b, _ := io.ReadAll(c)
		got <- b
	}()
	b := &bed{collector: ln.Addr().String()}
	n := standin.NewNode("s-0", sound)
	b.nodes = []*standIn{n}
	b.members = []member{{ID: n.ID, HostPort: platformWire{}.node(t, n), Locality: "a", Phase: "active", Size: 1}}
	b.run(t, settings)
	if r := (platformWire{}).ask(t, b, query{Class: "lookup", Shards: []int{1}, Deadline: 4 * time.Second}); r.Kind != "served" {
		t.Fatalf("client got %+v", r)
	}
	b.stop(t)
	var text []byte
	select {
	case text = <-got:
	case <-time.After(10 * time.Second):
		t.Fatal("the export did not end")
	}
	_, port, _ := net.SplitHostPort(b.Listen())
	listens, _ := strconv.Atoi(port)
	found := 0
	for _, flow := range collect(t, text) {
		if flow[11] == uint64(listens) { // a client's: it came to where we listen
			found++
			if flow[231] == 0 || flow[232] == 0 || flow[4] != 6 || flow[152] == 0 || flow[153] < flow[152] || flow[136] == 0 {
				t.Errorf("flow %v", flow)
			}
		}
	}
	if found == 0 {
		t.Errorf("no record of a client's connection in %d bytes", len(text))
	}
}

// collect decodes a stream into records: values by information element.
func collect(t *testing.T, b []byte) (flows []map[uint16]uint64) {
	t.Helper()
	type field struct{ element, length uint16 }
	templates := map[uint16][]field{}
	u16 := binary.BigEndian.Uint16
	for count := uint32(0); len(b) > 0; {
		if u16(b) != 10 || binary.BigEndian.Uint32(b[8:]) != count {
			t.Fatalf("version %d, sequence %d after %d records", u16(b), binary.BigEndian.Uint32(b[8:]), count)
		}
		message := b[16:u16(b[2:])]
		b = b[u16(b[2:]):]
		for len(message) > 0 {
			id, set := u16(message), message[4:u16(message[2:])]
			message = message[u16(message[2:]):]
			for len(set) > 0 {
				if id == 2 {
					name, n := u16(set), int(u16(set[2:]))
					set = set[4:]
					for range n {
						templates[name] = append(templates[name], field{u16(set), u16(set[2:])})
						set = set[4:]
					}
					continue
				}
				flow := map[uint16]uint64{}
				for _, f := range templates[id] {
					v := uint64(0)
					for _, c := range set[:f.length] {
						v = v<<8 | uint64(c)
					}
					flow[f.element], set = v, set[f.length:]
				}
				if len(flow) == 0 {
					t.Fatalf("a record of template %d, which did not come", id)
				}
				flows, count = append(flows, flow), count+1
			}
		}
	}
	return flows
}
