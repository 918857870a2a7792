package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRudeClients sends what is no query; each is owed an error, and no node may
// see any of it.
func TestRudeClients(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	hidden := request("h1", lookup, "")
	body := func(slices string) string { return request("b1", `{"slices":[`+slices+`],"filter":""}`, "") }
	length := func(n string) string {
		return "POST /lookup HTTP/1.1\r\nReq-Id: a\r\nReq-Deadline-Ms: 4000\r\nContent-Length: " + n + "\r\n\r\n" + lookup
	}
	tests := []struct {
		name, text string
		want       int
	}{
		{"a length and a coding", "POST /lookup HTTP/1.1\r\nReq-Id: a\r\nReq-Deadline-Ms: 4000\r\nContent-Length: 4\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"a coding and a length", "POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: " +
			fmt.Sprint(len(hidden)) + "\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"two lengths", "POST /lookup HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + hidden, 400},
		{"a negative length", length("-5"), 400},
		{"a huge length", length("99999999999999999999"), 400},
		{"a length too long for us", length("60000000"), 413},
		{"an endless head", "POST /lookup HTTP/1.1\r\n" + strings.Repeat("X-Y: zzzzzzzzzzzz\r\n", 4000), 431},
		{"a head of many short fields", "POST /lookup HTTP/1.1\r\n" + strings.Repeat("a:\n", 1000) + "\r\n", 431},
		{"an endless line", "POST /" + strings.Repeat("x", 60000), 431},
		{"masses that don't sum to 1", body(`{"slice":1,"mass":0.5},{"slice":2,"mass":0.3}`), 400},
		{"masses over 1", body(`{"slice":1,"mass":0.7},{"slice":2,"mass":0.7}`), 400},
		{"a mass out of range", body(`{"slice":1,"mass":1.5},{"slice":2,"mass":-0.5}`), 400},
		{"a mass that is no number", body(`{"slice":1,"mass":"much"}`), 400},
		{"no mass", body(`{"slice":1}`), 400},
		{"a shard below 0", body(`{"slice":-1,"mass":1}`), 400},
		{"a shard that is no number", body(`{"slice":1.5,"mass":1}`), 400},
		{"no shards", body(``), 400},
		{"a filter that is no text", request("b1", `{"slices":[{"slice":1,"mass":1}],"filter":"a`+"\xff"+`"}`, ""), 400},
		{"a deadline that is no number", strings.Replace(request("a", lookup, ""), "Ms: 4000", "Ms: soon", 1), 400},
		{"a deadline below 0", strings.Replace(request("a", lookup, ""), "Ms: 4000", "Ms: -1", 1), 400},
		{"a huge deadline", strings.Replace(request("a", lookup, ""), "Ms: 4000", "Ms: 99999999999999999999", 1), 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := dial(t, b)
			_, _ = io.WriteString(c, tt.text)
			if diff := cmp.Diff([]int{tt.want}, responses(t, c, 1)); diff != "" {
				t.Error(diff)
			}
		})
	}
	attempts(t, b, 0, 0)
}

// TestALongBodyIsAnsweredWhileItComes sends 60 MB and expects to finish sending
// and to find the error.
func TestALongBodyIsAnsweredWhileItComes(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	c := dial(t, b)
	_, _ = io.WriteString(c, "POST /lookup HTTP/1.1\r\nReq-Id: a\r\nReq-Deadline-Ms: 4000\r\nContent-Length: 60000000\r\n\r\n")
	piece := make([]byte, 100_000)
	for i := range 600 {
		if _, err := c.Write(piece); err != nil {
			t.Fatalf("after %d pieces: %v", i, err)
		}
	}
	if diff := cmp.Diff([]int{413}, responses(t, c, 1)); diff != "" {
		t.Error(diff)
	}
	if n, err := c.Read(piece); n != 0 || err == nil {
		t.Errorf("read %d bytes more, %v", n, err)
	}
}

// TestUnfinishedRequestsTimeOut has clients that say nothing, or not all of it.
func TestUnfinishedRequestsTimeOut(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	whole := request("a", lookup, "")
	tests := []struct{ name, text, want string }{
		{"nothing", "", ""},
		{"half a head", whole[:30], "408"},
		{"half a body", whole[:len(whole)-10], "408"},
		{"one request, then half", request("b", lookup, "") + whole[:40], "408"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, b)
			_, _ = io.WriteString(c, tt.text)
			text, err := io.ReadAll(c) // to the end, which the mixer makes
			if err != nil || !strings.Contains(string(text), tt.want) {
				t.Errorf("got %q, %v", text, err)
			}
		})
	}
}

// TestACrowdStarvesNobody opens more connections than there are descriptors for,
// silent ones and ones that ask for nonsense as fast as they can, and expects
// usual clients to be served all the while.
func TestACrowdStarvesNobody(t *testing.T) {
	t.Parallel()
	b, _ := single(t, sound, 128, settings)
	nonsense := strings.Repeat(strings.Replace(request("x", lookup, ""), "/lookup", "/nothing", 1), 300)
	for i := range 300 {
		c := dial(t, b)
		if i%10 == 0 {
			go func() { _, _ = io.WriteString(c, nonsense) }()
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		if i%20 != 19 {
			continue
		}
		usual, err := net.Dial("tcp", b.Listen())
		if err != nil {
			t.Fatal(err)
		}
		_ = usual.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(usual, request(fmt.Sprintf("u%d", i), lookup, ""))
		resp, err := http.ReadResponse(bufio.NewReader(usual), nil)
		if err != nil {
			t.Fatalf("usual client %d: %v", i, err)
		}
		if resp.StatusCode != 200 {
			t.Errorf("usual client %d: status %d", i, resp.StatusCode)
		}
		_ = usual.Close()
	}
}

// TestAnotherClientsIDIsRefused asks with the id of a query that is open.
func TestAnotherClientsIDIsRefused(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, silent)
	first := dial(t, b)
	_, _ = io.WriteString(first, request("same", lookup, ""))
	b.wait(t, "the query is with the nodes", func() bool { return len(b.parts()) > 0 })
	second := dial(t, b)
	_, _ = io.WriteString(second, request("same", lookup, ""))
	if diff := cmp.Diff([]int{400}, responses(t, second, 1)); diff != "" {
		t.Error(diff)
	}
	_ = first.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the open query's client read %v", err)
	}
}

// TestResponsesCloseWhileDescriptorsAreFew fills half of the descriptors: clients
// that ask once and stay must not use up what others need.
func TestResponsesCloseWhileDescriptorsAreFew(t *testing.T) {
	t.Parallel()
	b, _ := single(t, sound, 80, settings)
	closes := func(i int) bool {
		c := dial(t, b)
		_, _ = io.WriteString(c, request(fmt.Sprintf("k%d", i), lookup, ""))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v, %v", resp, err)
		}
		return resp.Close
	}
	if closes(0) {
		t.Error("the first connection was closed")
	}
	i := 0
	b.wait(t, "a response closes its connection", func() bool { i++; return closes(i) })
	if i > 30 { // of 40 connections
		t.Errorf("%d clients kept their connections", i)
	}
}
