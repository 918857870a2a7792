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
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
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
	conns []*streamConn
}

func (l *cuttable) Accept() (net.Conn, error) {
	plain, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newStreamConn(plain)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *cuttable) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// connOf returns the connection that a call came on.
func (l *cuttable) connOf(ctx context.Context) (*streamConn, error) {
	from, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errors.New("stand-in: a call without a peer")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.RemoteAddr().String() == from.Addr.String() {
			return c, nil
		}
	}
	return nil, errors.New("stand-in: a call on an unknown connection")
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
	switch {
	case do.CallEnd != nil:
		return f.endCall(s, p, do)
	case do.End == 'E':
		return status.Error(codes.Internal, "failed")
	case do.End == 'B':
		do.CallEnd = &CallEnd{By: RefusedStream}
		return f.endCall(s, p, do)
	case do.End == 0:
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

// EndBy is what ends a Flight call without an answer.
type EndBy int

// The ways in which a Flight call ends without an answer.
const (
	Status        EndBy = iota // a gRPC status in the trailers
	RefusedStream              // RST_STREAM with REFUSED_STREAM
	GoAway                     // a GOAWAY that says that the call's stream was not processed
)

// CallEnd is how a Flight node ends a call without an answer.
type CallEnd struct {
	By       EndBy
	Code     codes.Code    // of a Status
	Pushback time.Duration // stated with a Status; 0: none
	Messages int           // of an answer, sent before the end: the schema first, then the batch
}

// messageWriter passes on the first messages of an answer.
type messageWriter struct {
	stream flight.FlightService_DoGetServer
	left   int
}

// Send implements flight.DataStreamWriter.
func (w *messageWriter) Send(data *flight.FlightData) error {
	if w.left == 0 {
		return nil
	}
	w.left--
	return w.stream.Send(data)
}

// sentWithin is how long grpc-go may take to write the messages of an answer.
const sentWithin = 5 * time.Second

// endCall ends a call as the reply's CallEnd says.
func (f *flightNode) endCall(s flight.FlightService_DoGetServer, p Part, do Reply) error {
	end := do.CallEnd
	w := flight.NewRecordWriter(&messageWriter{s, end.Messages}, ipc.WithSchema(rowSchema))
	if err := w.Write(rows(p.Shard, do.Value)); err != nil {
		return err
	}
	if end.By == Status {
		if end.Pushback > 0 {
			s.SetTrailer(metadata.Pairs("grpc-retry-pushback-ms", strconv.FormatInt(end.Pushback.Milliseconds(), 10)))
		}
		return status.Error(end.Code, "ended by the stand-in")
	}
	conn, err := f.conns.connOf(s.Context())
	if err != nil {
		return err
	}
	stream := conn.streamOf(p.ID)
	for until := time.Now().Add(sentWithin); conn.dataFrames(stream) < end.Messages && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	err = conn.insert(func(f *http2.Framer) error {
		if end.By == GoAway {
			return f.WriteGoAway(stream-min(stream, 2), http2.ErrCodeNo, nil) // the streams before it were processed
		}
		return f.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
	})
	if err != nil {
		return err
	}
	<-s.Context().Done() // grpc-go does not know that the stream has ended
	return s.Context().Err()
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
