package standin

import (
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Manner is how a collector of traces treats a message.
type Manner struct {
	Status     int           // 0: 200
	RetryAfter string        // header
	Rejected   int64         // spans that it says it did not take
	Words      string        // with those
	Cut        bool          // the connection breaks in the middle of the answer
	Stall      time.Duration // before it answers
}

// Collector takes OTLP over HTTP, as /v1/traces of a collector does.
type Collector struct {
	mu     sync.Mutex
	manner func(n int) Manner
	n      int
	took   []*trace.TracesData
	wrong  []string
	srv    *http.Server
	addr   string
}

// NewCollector returns a Collector that serves on loopback. Manner says how the n-th
// message, from 0, is met; nil: all are taken.
func NewCollector(manner func(n int) Manner) (*Collector, error) {
	c := &Collector{manner: manner}
	if err := c.serve("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Collector) serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(c.take), ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.addr, c.srv = ln.Addr().String(), srv
	c.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends with Close
	return nil
}

// URL is where messages go.
func (c *Collector) URL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return "http://" + c.addr + "/v1/traces"
}

// Close has the collector away; Open brings it back at the same address.
func (c *Collector) Close() {
	c.mu.Lock()
	srv := c.srv
	c.mu.Unlock()
	_ = srv.Close() // connections break
}

// Open brings a closed collector back at the same address.
func (c *Collector) Open() error {
	c.mu.Lock()
	addr := c.addr
	c.mu.Unlock()
	return c.serve(addr)
}

// Meets has messages met otherwise from now on.
func (c *Collector) Meets(manner func(n int) Manner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.manner = manner
}

// Took are the messages that were taken, in order.
func (c *Collector) Took() []*trace.TracesData {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*trace.TracesData(nil), c.took...)
}

// Asked is how many messages came, and what was wrong with some.
func (c *Collector) Asked() (int, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n, append([]string(nil), c.wrong...)
}

func (c *Collector) take(w http.ResponseWriter, r *http.Request) {
	data, err := read(r)
	c.mu.Lock()
	n := c.n
	c.n++
	if err != nil {
		c.wrong = append(c.wrong, err.Error())
	}
	m := Manner{}
	if c.manner != nil {
		m = c.manner(n)
	}
	if err == nil && (m.Status == 0 || m.Status/100 == 2) && !m.Cut {
		c.took = append(c.took, data)
	}
	c.mu.Unlock()
	if m.Stall > 0 {
		select {
		case <-time.After(m.Stall):
		case <-r.Context().Done():
			return
		}
	}
	if m.Cut {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc")
			_ = conn.Close()
		}
		return
	}
	if m.RetryAfter != "" {
		w.Header().Set("Retry-After", m.RetryAfter)
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	if m.Status != 0 {
		w.WriteHeader(m.Status)
	}
	if m.Rejected > 0 || m.Words != "" {
		part := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(m.Rejected))
		part = protowire.AppendString(protowire.AppendTag(part, 2, protowire.BytesType), m.Words)
		_, _ = w.Write(protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), part))
	}
}

func read(r *http.Request) (*trace.TracesData, error) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/traces" || r.Header.Get("Content-Type") != "application/x-protobuf" {
		return nil, fmt.Errorf("%s %s of %q", r.Method, r.URL.Path, r.Header.Get("Content-Type"))
	}
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			return nil, err
		}
		body = z
	}
	b, err := io.ReadAll(io.LimitReader(body, 64<<20))
	if err != nil {
		return nil, err
	}
	var data trace.TracesData
	return &data, proto.Unmarshal(b, &data)
}
