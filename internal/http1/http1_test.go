package http1

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// feed writes the text in pieces of n bytes and returns the messages.
func feed(p *Parser, text string, n int) (list []*Message, err error) {
	for len(text) > 0 && err == nil {
		k := min(n, len(text))
		p.Write([]byte(text[:k]))
		text = text[k:]
		var m *Message
		for m, err = p.Next(); m != nil; m, err = p.Next() {
			list = append(list, m)
		}
	}
	return list, err
}

func TestRequestsInPieces(t *testing.T) {
	const text = "POST /checkout HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 3\r\n\r\nabc" +
		"\r\nGET /health/ready HTTP/1.1\nConnection: Close\n\n" +
		"POST /b HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n02\r\nde\r\n0\r\nTrailer: z\r\n\r\n"
	want := []*Message{
		{Method: "POST", Target: "/checkout", Minor: 1, Body: []byte("abc"),
			Header: Header{"host": "a", "x-a": "1,2", "content-length": "3"}},
		{Method: "GET", Target: "/health/ready", Minor: 1, Header: Header{"connection": "Close"}, Close: true},
		{Method: "POST", Target: "/b", Body: []byte("abcde"), Header: Header{"transfer-encoding": "chunked"}, Close: true},
	}
	for n := 1; n <= len(text); n++ {
		got, err := feed(NewRequestParser(), text, n)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatalf("in pieces of %d: %v %s", n, err, diff)
		}
	}
}

func TestRejectedRequests(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\n"
	tests := []struct {
		name, text string
		status     int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"another version", "GET / HTTP/2.0\r\n\r\n", 400},
		{"space before the colon", head + "A : b\r\n\r\n", 400},
		{"folded line", head + "A: b\r\n c\r\n\r\n", 400},
		{"both framings", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
		{"negative length", head + "Content-Length: -3\r\n\r\n", 400},
		{"length with a sign", head + "Content-Length: +3\r\n\r\n", 400},
		{"another coding", head + "Transfer-Encoding: gzip\r\n\r\n", 501},
		{"body too long", head + "Content-Length: 65537\r\n\r\n", 413},
		{"chunks too long", head + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n8001\r\n", 413},
		{"chunk size too large", head + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", 400},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400},
		{"chunk size without end", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 400), 400},
		{"header too long", head + "A: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n", 431},
		{"header without end", strings.Repeat("x", MaxHeadBytes+1), 431},
		{"trailers too long", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", 2000), 431},
	}
	for _, tt := range tests {
		for _, n := range []int{1, 1000, 1 << 20} {
			got, err := feed(NewRequestParser(), tt.text, n)
			var e *Error
			if !errors.As(err, &e) || e.Status != tt.status || len(got) > 0 {
				t.Errorf("%s, in pieces of %d: messages %v, error %v, want status %d", tt.name, n, got, err, tt.status)
			}
		}
	}
}

func TestBodyOfMaximumLengthIsAccepted(t *testing.T) {
	got, err := feed(NewRequestParser(), "POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("x", MaxBodyBytes), 999)
	if err != nil || len(got) != 1 || len(got[0].Body) != MaxBodyBytes {
		t.Errorf("%d messages, error %v", len(got), err)
	}
}

func TestResponses(t *testing.T) {
	p := NewResponseParser(100)
	got, err := feed(p, "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 503 Busy\r\n\r\nrest", 5)
	if err != nil || len(got) != 2 || got[0].Status != 204 || string(got[1].Body) != "ok" {
		t.Fatalf("messages %v, error %v", got, err)
	}
	p.EOF()
	m, err := p.Next()
	if err != nil || m == nil || m.Status != 503 || string(m.Body) != "rest" || !m.Close {
		t.Errorf("at the end: message %+v, error %v", m, err)
	}
}

// FuzzParser checks, on any input, that the size of the pieces changes nothing and that the limits
// hold.
func FuzzParser(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n", 3)
	f.Add("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 1)
	f.Add("\r\n\nGET / HTTP/1.1\n\n", 2)
	f.Fuzz(func(t *testing.T, text string, n int) {
		if n < 1 || len(text) > 1<<16 {
			return
		}
		whole, err1 := feed(NewRequestParser(), text, len(text)+1)
		pieces, err2 := feed(NewRequestParser(), text, n)
		if diff := cmp.Diff(whole, pieces); diff != "" || (err1 == nil) != (err2 == nil) {
			t.Errorf("errors %v and %v, messages differ: %s", err1, err2, diff)
		}
		for _, m := range whole {
			if len(m.Body) > MaxBodyBytes {
				t.Errorf("a body of %d bytes", len(m.Body))
			}
		}
	})
}
