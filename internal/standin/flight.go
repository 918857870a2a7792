package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
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

// ServeFlight has the node listen for Arrow Flight; it returns its address.
func (n *Node) ServeFlight() (string, error) {
	plain, err := listen()
	if err != nil {
		return "", err
	}
	ln := &cuttable{Listener: plain}
	srv := grpc.NewServer()
	flight.RegisterFlightServiceServer(srv, &flightNode{n: n, conns: ln})
	go func() { _ = srv.Serve(ln) }() // ends with Stop
	n.onClose(srv.Stop)
	return "grpc+tcp://" + ln.Addr().String(), nil
}

type flightNode struct {
	flight.BaseFlightServer
	n     *Node
	conns *cuttable
}

// cuttable closes the connections that a listener has accepted.
type cuttable struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *cuttable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (l *cuttable) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// DoGet answers one part.
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
	p := Part{ID: tk.ID, Class: tk.Class, Shard: tk.Slice, Text: tk.Filter, Second: tk.Whole != nil, Whole: tk.Whole != nil && *tk.Whole}
	p.From = strings.Trim(strings.ReplaceAll(fmt.Sprint(tk.From), " ", "+"), "[]")
	if md, ok := metadata.FromIncomingContext(s.Context()); ok {
		p.Key = strings.Join(md.Get("idempotency-key"), ",")
		p.Parent, p.State = strings.Join(md.Get("traceparent"), ","), strings.Join(md.Get("tracestate"), ",")
	}
	if end, ok := s.Context().Deadline(); ok {
		p.Wait = time.Until(end)
	}
	do := f.n.take(p)
	select {
	case <-s.Context().Done():
	case <-time.After(do.After):
	}
	switch do.End {
	case 'E':
		return status.Error(codes.Internal, "failed")
	case 'B':
		s.SetTrailer(metadata.Pairs("grpc-retry-pushback-ms", "50"))
		return status.Error(codes.Unavailable, "turned away")
	case 0:
		<-s.Context().Done()
		if errors.Is(s.Context().Err(), context.Canceled) {
			f.n.gaveUp(p.ID)
		}
		return s.Context().Err()
	}
	w := flight.NewRecordWriter(s, ipc.WithSchema(rowSchema))
	if err := w.WriteWithAppMetadata(rows(p.Shard, do.Value), fmt.Appendf(nil, `{"score":%d}`, do.Score)); err != nil {
		return err
	}
	if do.End == 'c' { // the batch is on its way; the stream's end never is
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

// AskFlight asks a mixer over Arrow Flight, on a connection of its own.
func AskFlight(addr string, q Query) (Result, error) {
	client, err := flight.NewClientWithMiddleware(addr, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry())
	if err != nil {
		return Result{}, fmt.Errorf("stand-in: %w", err)
	}
	defer func() { _ = client.Close() }() // what is open has ended
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	for key, value := range map[string]string{"idempotency-key": q.Key, "traceparent": q.Parent, "tracestate": q.State} {
		if value != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, key, value)
		}
	}
	if q.Repeat {
		ctx = metadata.AppendToOutgoingContext(ctx, "grpc-previous-rpc-attempts", "1")
	}
	cmd := []byte(`{"class":"` + q.Class + `","query":` + q.Body() + `}`)
	info, err := client.GetFlightInfo(ctx, &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: cmd})
	if err != nil {
		return flightEnd(err, nil, 0), nil
	}
	if q.Gone > 0 {
		time.AfterFunc(q.Gone, cancel)
	}
	begun := time.Now()
	var trailer metadata.MD
	stream, err := client.DoGet(ctx, info.Endpoint[0].Ticket, grpc.Trailer(&trailer))
	if err != nil {
		return flightEnd(err, trailer, time.Since(begun)), nil
	}
	r, err := flight.NewRecordReader(stream)
	if err != nil {
		return flightEnd(err, stream.Trailer(), time.Since(begun)), nil
	}
	defer r.Release()
	out := Result{Kind: "served", Values: map[int]string{}}
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			out.Values[int(rec.Column(0).(*array.Int32).Value(i))] = string(rec.Column(1).(*array.Binary).Value(i))
		}
		out.Entire = string(r.LatestAppMetadata()) == `{"entire":true}`
	}
	out.Took = time.Since(begun)
	if r.Err() != nil {
		return flightEnd(r.Err(), stream.Trailer(), out.Took), nil
	}
	return out, nil
}

func flightEnd(err error, trailer metadata.MD, took time.Duration) Result {
	kinds := map[codes.Code]string{codes.Unavailable: "refused", codes.Internal: "failed", codes.DeadlineExceeded: "expired",
		codes.InvalidArgument: "malformed", codes.Canceled: "cancelled"}
	var withStatus interface{ GRPCStatus() *status.Status }
	code := status.Code(err)
	if errors.As(err, &withStatus) {
		code = withStatus.GRPCStatus().Code()
	}
	out := Result{Kind: kinds[code], Took: took}
	if out.Kind == "" {
		out.Kind = err.Error()
	}
	if s := trailer.Get("grpc-retry-pushback-ms"); len(s) > 0 {
		ms, _ := strconv.Atoi(s[0])
		out.After = time.Duration(ms) * time.Millisecond
	}
	return out
}
