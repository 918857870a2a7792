//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// part is a part as it reached a Flight node.
type part struct {
	Node   string `json:"-"`
	ID     string `json:"id"`
	Class  string `json:"class"`
	Filter string `json:"filter"`
	Slice  int    `json:"slice"`
}

// flightNode is a stock node that speaks Arrow Flight in the form that README gives.
type flightNode struct {
	flight.BaseFlightServer
	id  string
	run func(part) []byte
}

// serveFlight has a node listen and returns its address. Run runs a part, by several goroutines at once,
// and returns its value. The node's gRPC library sends no message above maxMessage bytes; 0: no limit.
func (w *world) serveFlight(id string, maxMessage int, run func(part) []byte) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var options []grpc.ServerOption
	if maxMessage > 0 {
		options = append(options, grpc.MaxSendMsgSize(maxMessage))
	}
	srv := grpc.NewServer(options...)
	flight.RegisterFlightServiceServer(srv, &flightNode{id: id, run: run})
	go func() { _ = srv.Serve(ln) }() // ends with Stop
	w.closers = append(w.closers, srv.Stop)
	return "grpc+tcp://" + ln.Addr().String(), nil
}

// GetFlightInfo answers a probe: an error shows that the node runs, too.
func (*flightNode) GetFlightInfo(context.Context, *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return nil, status.Error(codes.InvalidArgument, "no query")
}

// DoGet runs a part and answers it with a batch of one row.
func (n *flightNode) DoGet(t *flight.Ticket, s flight.FlightService_DoGetServer) error {
	p := part{Node: n.id}
	if err := json.Unmarshal(t.Ticket, &p); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	select {
	case <-s.Context().Done():
		return s.Context().Err() // given up: the work stops
	case <-time.After(nodeTime):
	}
	value := n.run(p)
	schema := arrow.NewSchema([]arrow.Field{{Name: "slice", Type: arrow.PrimitiveTypes.Int32}, {Name: "body", Type: arrow.BinaryTypes.Binary}}, nil)
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	b.Field(0).(*array.Int32Builder).Append(int32(p.Slice))
	b.Field(1).(*array.BinaryBuilder).Append(value)
	batch := b.NewRecordBatch()
	defer batch.Release()
	out := flight.NewRecordWriter(s, ipc.WithSchema(schema))
	if err := out.WriteWithAppMetadata(batch, fmt.Appendf(nil, `{"score":%d}`, p.Slice)); err != nil {
		return err // the library's own status
	}
	return out.Close()
}
