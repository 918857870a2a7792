package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// ---- the platform's protocol ----

type platformWire struct{}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func (platformWire) node(t *testing.T, n *standIn) string {
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			n.connection(&n.came)
			link, _ := n.connections()
			go func() {
				frameNode(c, n, link)
				n.connection(&n.went)
			}()
		}
	}()
	return ln.Addr().String()
}

func frameNode(c net.Conn, n *standIn, link int) {
	var mu sync.Mutex
	send := func(letter byte, rest string) {
		mu.Lock()
		defer mu.Unlock()
		b := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
		_, _ = c.Write(append(append(b, letter), rest...))
	}
	for r := bufio.NewReader(c); ; {
		var length [4]byte
		if _, err := io.ReadFull(r, length[:]); err != nil {
			return
		}
		f := make([]byte, binary.BigEndian.Uint32(length[:]))
		if _, err := io.ReadFull(r, f); err != nil {
			return
		}
		letter, rest := f[0], string(f[1:])
		if letter == '2' {
			n.gaveUp(rest)
		}
		for letter == '1' && rest != "" {
			line, more, _ := strings.Cut(rest, "\n")
			w := strings.Split(line, " ")
			size, _ := strconv.Atoi(w[3])
			p := part{link: link, id: w[0], text: more[:size], second: strings.HasSuffix(w[0], ".phase2")}
			p.shard, _ = strconv.Atoi(w[1])
			rest = more[size:]
			for _, item := range strings.Split(w[2], ",") {
				k, v, _ := strings.Cut(item, "=")
				switch k {
				case "d":
					ms, _ := strconv.Atoi(v)
					p.wait = time.Duration(ms) * time.Millisecond
				case "k":
					p.key = v
				case "from":
					p.from = v
				case "whole":
					p.whole = v == "1"
				}
			}
			do := n.take(p)
			time.AfterFunc(do.after, func() {
				switch do.end {
				case 0:
				case 'r': // bytes of its own
					mu.Lock()
					defer mu.Unlock()
					_, _ = io.WriteString(c, strings.ReplaceAll(do.value, "ID", p.id))
				case 'c': // half of an answer, then the end
					mu.Lock()
					defer mu.Unlock()
					_, _ = c.Write([]byte{0, 0, 0, 99, '5', 'q'})
					_ = c.Close()
				default:
					send('5', fmt.Sprintf("%s %c %d -\n%s", p.id, do.end, do.score, do.value))
				}
			})
		}
	}
}

func (platformWire) ask(t *testing.T, b *bed, q query) result {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if q.gone > 0 {
		time.AfterFunc(q.gone, cancel)
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+b.listen+"/"+q.class, strings.NewReader(q.body()))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Req-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	begun := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if errors.Is(err, context.Canceled) {
		return result{kind: "cancelled"}
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[int]string{200: "served", 503: "refused", 500: "failed", 504: "expired", 400: "malformed"}
	out := result{kind: kinds[resp.StatusCode], took: time.Since(begun)}
	if s := resp.Header.Get("Retry-After"); s != "" {
		after, _ := strconv.ParseFloat(s, 64)
		out.after = time.Duration(after * float64(time.Second))
	}
	if out.kind == "served" {
		var body struct {
			Entire bool
			Items  []struct {
				Slice int
				Body  string
			}
		}
		if err := json.Unmarshal(text, &body); err != nil {
			t.Fatal(err)
		}
		out.entire, out.values = body.Entire, map[int]string{}
		for _, v := range body.Items {
			out.values[v.Slice] = v.Body
		}
	}
	return out
}

// ---- Arrow Flight ----

type flightWire struct{}

type flightNode struct {
	flight.BaseFlightServer
	n     *standIn
	conns *lastConn
}

// lastConn closes the connections that a listener has accepted.
type lastConn struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *lastConn) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (l *lastConn) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (flightWire) node(t *testing.T, n *standIn) string {
	ln := &lastConn{Listener: listen(t)}
	srv := grpc.NewServer()
	flight.RegisterFlightServiceServer(srv, &flightNode{n: n, conns: ln})
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	return "grpc+tcp://" + ln.Addr().String()
}

func (f *flightNode) DoGet(t *flight.Ticket, s flight.FlightService_DoGetServer) error {
	var tk struct {
		ID, Class, Filter string
		Slice             int
		From              []int
		Whole             *bool
	}
	if err := json.Unmarshal(t.Ticket, &tk); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	p := part{id: tk.ID, shard: tk.Slice, text: tk.Filter, second: tk.Whole != nil, whole: tk.Whole != nil && *tk.Whole}
	p.from = strings.Trim(strings.ReplaceAll(fmt.Sprint(tk.From), " ", "+"), "[]")
	if md, ok := metadata.FromIncomingContext(s.Context()); ok {
		p.key = strings.Join(md.Get("idempotency-key"), ",")
	}
	if end, ok := s.Context().Deadline(); ok {
		p.wait = time.Until(end)
	}
	do := f.n.take(p)
	select {
	case <-s.Context().Done():
	case <-time.After(do.after):
	}
	switch do.end {
	case 'E':
		return status.Error(codes.Internal, "failed")
	case 'B':
		s.SetTrailer(metadata.Pairs("grpc-retry-pushback-ms", "50"))
		return status.Error(codes.Unavailable, "turned away")
	case 0:
		<-s.Context().Done()
		if errors.Is(s.Context().Err(), context.Canceled) {
			f.n.gaveUp(p.id)
		}
		return s.Context().Err()
	}
	w := flight.NewRecordWriter(s, ipc.WithSchema(rowSchema))
	if err := w.WriteWithAppMetadata(rows(p.shard, do.value), fmt.Appendf(nil, `{"score":%d}`, do.score)); err != nil {
		return err
	}
	if do.end == 'c' { // the batch is on its way; the stream's end never is
		f.conns.cut()
		<-s.Context().Done()
		return s.Context().Err()
	}
	return w.Close()
}

var rowSchema = arrow.NewSchema([]arrow.Field{{Name: "slice", Type: arrow.PrimitiveTypes.Int32},
	{Name: "body", Type: arrow.BinaryTypes.Binary}}, nil)

func rows(shard int, value string) arrow.RecordBatch {
	b := array.NewRecordBuilder(memory.DefaultAllocator, rowSchema)
	defer b.Release()
	b.Field(0).(*array.Int32Builder).Append(int32(shard))
	b.Field(1).(*array.BinaryBuilder).Append([]byte(value))
	return b.NewRecordBatch()
}

func (flightWire) ask(t *testing.T, b *bed, q query) result {
	t.Helper()
	client, err := flight.NewClientWithMiddleware(b.flight, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	if q.key != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, "idempotency-key", q.key)
	}
	cmd := []byte(`{"class":"` + q.class + `","query":` + q.body() + `}`)
	info, err := client.GetFlightInfo(ctx, &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: cmd})
	if err != nil {
		return flightEnd(err, nil, 0)
	}
	if q.gone > 0 {
		time.AfterFunc(q.gone, cancel)
	}
	begun := time.Now()
	var trailer metadata.MD
	stream, err := client.DoGet(ctx, info.Endpoint[0].Ticket, grpc.Trailer(&trailer))
	if err != nil {
		return flightEnd(err, trailer, time.Since(begun))
	}
	r, err := flight.NewRecordReader(stream)
	if err != nil {
		return flightEnd(err, stream.Trailer(), time.Since(begun))
	}
	defer r.Release()
	out := result{kind: "served", values: map[int]string{}}
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			out.values[int(rec.Column(0).(*array.Int32).Value(i))] = string(rec.Column(1).(*array.Binary).Value(i))
		}
		out.entire = string(r.LatestAppMetadata()) == `{"entire":true}`
	}
	out.took = time.Since(begun)
	if r.Err() != nil {
		return flightEnd(r.Err(), stream.Trailer(), out.took)
	}
	return out
}

func flightEnd(err error, trailer metadata.MD, took time.Duration) result {
	kinds := map[codes.Code]string{codes.Unavailable: "refused", codes.Internal: "failed", codes.DeadlineExceeded: "expired",
		codes.InvalidArgument: "malformed", codes.Canceled: "cancelled"}
	var withStatus interface{ GRPCStatus() *status.Status }
	code := status.Code(err)
	if errors.As(err, &withStatus) {
		code = withStatus.GRPCStatus().Code()
	}
	out := result{kind: kinds[code], took: took}
	if out.kind == "" {
		out.kind = err.Error()
	}
	if s := trailer.Get("grpc-retry-pushback-ms"); len(s) > 0 {
		ms, _ := strconv.Atoi(s[0])
		out.after = time.Duration(ms) * time.Millisecond
	}
	return out
}
