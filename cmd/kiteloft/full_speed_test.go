package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"kiteloft/internal/standin/confine"
)

const (
	fullSpeedClients  = 6                      // connections at full speed
	fullSpeedTime     = 4 * time.Second        // for which they go on
	fullSpeedCores    = 0.4                    // share of one core that the mixer gets
	fullSpeedInterval = 10 * time.Millisecond  // between queries of usual clients
	fullSpeedDeadline = 400 * time.Millisecond // of these queries
	fullSpeedLoads    = 3                      // mixers under load at the same time, each on a core of its own
)

// TestUsualClientsAreAnsweredBesideFullSpeedClients guards against answers that are lost, and a
// process that passes its memory limit, while a few clients send small requests at full speed: what
// one connection sends may not occupy the core's goroutine while others wait.
func TestUsualClientsAreAnsweredBesideFullSpeedClients(t *testing.T) {
	sizes := []int{32, 192}
	if os.Getenv("KITELOFT_MEASURE") != "" {
		sizes = []int{32, 64, 96, 128, 192}
	}
	cpus, err := confine.AllowedCPUs()
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan int, fullSpeedLoads)
	for i := range fullSpeedLoads {
		slots <- cpus[len(cpus)-1-i%len(cpus)]
	}
	for _, memoryMB := range sizes {
		for _, bad := range smallRequestClients() {
			t.Run(fmt.Sprintf("%s in %d MB", bad.name, memoryMB), func(t *testing.T) {
				t.Parallel()
				cpu := <-slots
				defer func() { slots <- cpu }()
				limits := confine.Limits{CPU: cpu, Cores: fullSpeedCores, Sockets: 1024, MemoryMB: memoryMB}
				underBadClients(t, &bed{memoryMB: memoryMB, limits: &limits}, bad, fullSpeedTime)
			})
		}
	}
}

// smallRequestClients are clients that send small requests at full speed, on either front.
func smallRequestClients() []badClient {
	ready := "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	small := `{"slices":[{"slice":1,"mass":1}],"filter":""}`
	list := []badClient{
		{name: "readiness checks", use: flood(many(ready, 1000))},
		{name: "readiness checks one by one", use: flood(many(ready, 1))},
		{name: "readiness checks, answers unread", use: floodUnread(many(ready, 1000))},
		{name: "unsound requests", use: flood(many("GET /x HTTP/1.1\r\n\r\n", 3000))},
		{name: "unsound queries", use: flood(func() string { return strings.Repeat(head("lookup", 1, "")+"{", 400) })},
		{name: "unsound requests under new names", use: flood(newNames(small))},
		{name: "refused queries", use: flood(func() string { return requestBatch("lookup", `{"slices":[{"slice":1,"mass":0.995}],"filter":""}`) })},
		{name: "queries", use: flood(func() string { return requestBatch("lookup", small) })},
		{name: "bodies in chunks of a byte", use: flood(func() string {
			return "POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 60_000) + "0\r\n\r\n"
		})},
		{name: "empty lines", use: flood(many("\r\n", 30_000))},
		{name: "unsound Flight calls", flight: true, use: flightFlood(false)},
		{name: "Flight calls under new names", flight: true, use: flightFlood(true)},
		{name: "Flight calls without a body", flight: true, use: flightFrames(true, emptyCall)},
		{name: "Flight calls that are reset", flight: true, use: flightFrames(true, resetCall)},
		{name: "pings", flight: true, use: flightFrames(true, ping)},
		{name: "settings", flight: true, use: flightFrames(true, emptySettings)},
		{name: "pings, answers unread", flight: true, use: flightFrames(false, ping)},
	}
	for i := range list {
		list[i].clients = fullSpeedClients
	}
	return list
}

// floodUnread writes a text again and again and reads nothing.
func floodUnread(text func() string) func(net.Conn, <-chan struct{}) {
	return func(c net.Conn, _ <-chan struct{}) {
		for {
			if _, err := io.WriteString(c, text()); err != nil {
				return
			}
		}
	}
}

const framesAtOnce = 500 // frames that a client of flightFrames writes at once

// flightFrames writes frames of a kind at full speed on an HTTP/2 connection; write is given the
// number of the frame.
func flightFrames(reads bool, write func(f *flightConn, i uint32)) func(net.Conn, <-chan struct{}) {
	return func(c net.Conn, _ <-chan struct{}) {
		f := &flightConn{c: c}
		f.more.L = &f.mu
		f.begin()
		if reads {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		for i := uint32(0); ; {
			for range framesAtOnce {
				write(f, i)
				i++
			}
			if f.flush() != nil {
				return
			}
		}
	}
}

// emptyCall opens a stream and ends it at once.
func emptyCall(f *flightConn, i uint32) { f.headers(2*i+1, true) }

// resetCall opens a stream under a new name and resets it.
func resetCall(f *flightConn, i uint32) {
	f.headers(2*i+1, false, hpack.HeaderField{Name: "x-" + strconv.FormatUint(uint64(i), 16)})
	_ = f.framer.WriteRSTStream(2*i+1, http2.ErrCodeCancel)
}

func ping(f *flightConn, i uint32) {
	var data [8]byte
	binary.BigEndian.PutUint32(data[:], i)
	_ = f.framer.WritePing(false, data)
}

func emptySettings(f *flightConn, _ uint32) { _ = f.framer.WriteSettings() }
