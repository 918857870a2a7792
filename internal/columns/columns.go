// Package columns encodes the values of parts as Arrow record batches, in the form of the
// messages of a Flight stream, and decodes them.
package columns

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/broker"
)

const maxBatchRows = 4096 // a node has no more parts

// Schema is the schema of every batch. A row holds a part's slice and the value that its node
// returned.
var Schema = arrow.NewSchema([]arrow.Field{
	{Name: "slice", Type: arrow.PrimitiveTypes.Int32},
	{Name: "body", Type: arrow.BinaryTypes.Binary},
}, nil)

// SchemaBytes returns the schema in the encoding of the field FlightInfo.schema.
func SchemaBytes() ([]byte, error) {
	var b bytes.Buffer
	if err := ipc.NewWriter(&b, ipc.WithSchema(Schema)).Close(); err != nil {
		return nil, fmt.Errorf("encoding the schema: %w", err)
	}
	return b.Bytes(), nil
}

// messageCollector implements ipc.PayloadWriter. It keeps each payload as an encoded FlightData
// message.
type messageCollector struct {
	list [][]byte
	meta []byte
}

// Start implements ipc.PayloadWriter.
func (m *messageCollector) Start() error { return nil }

// Close implements ipc.PayloadWriter.
func (m *messageCollector) Close() error { return nil }

// WritePayload implements ipc.PayloadWriter.
func (m *messageCollector) WritePayload(p ipc.Payload) error {
	meta := p.Meta()
	defer meta.Release()
	var body bytes.Buffer
	if err := p.SerializeBody(&body); err != nil {
		return fmt.Errorf("encoding a batch: %w", err)
	}
	d := &flight.FlightData{DataHeader: bytes.Clone(meta.Bytes()), DataBody: body.Bytes()}
	if len(m.list) > 0 {
		d.AppMetadata = m.meta // on the batch, not on the schema message before it
	}
	b, err := proto.Marshal(d)
	if err != nil {
		return fmt.Errorf("encoding a message: %w", err)
	}
	m.list = append(m.list, b)
	return nil
}

// Encode returns the encoded FlightData messages of a stream: the schema, and one batch with
// meta as its application metadata.
func Encode(values []broker.Value, meta []byte) ([][]byte, error) {
	b := array.NewRecordBuilder(memory.DefaultAllocator, Schema)
	defer b.Release()
	for _, v := range values {
		b.Field(0).(*array.Int32Builder).Append(int32(v.Shard))
		b.Field(1).(*array.BinaryBuilder).Append(v.Body)
	}
	batch := b.NewRecordBatch()
	defer batch.Release()
	m := &messageCollector{meta: meta}
	w := ipc.NewWriterWithPayloadWriter(m, ipc.WithSchema(Schema))
	if err := w.Write(batch); err != nil {
		return nil, fmt.Errorf("encoding a batch: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encoding a batch: %w", err)
	}
	return m.list, nil
}

// messageReader implements ipc.MessageReader for the encoded messages of a Flight stream. It
// checks each header before the library reads it.
type messageReader struct {
	list [][]byte
	meta []byte
	last *ipc.Message
}

// Retain implements ipc.MessageReader.
func (s *messageReader) Retain() {}

// Release implements ipc.MessageReader.
func (s *messageReader) Release() {}

// Message implements ipc.MessageReader.
func (s *messageReader) Message() (*ipc.Message, error) {
	for len(s.list) > 0 {
		var d flight.FlightData
		if err := proto.Unmarshal(s.list[0], &d); err != nil {
			return nil, fmt.Errorf("reading a message: %w", err)
		}
		s.list = s.list[1:]
		if len(d.AppMetadata) > 0 {
			s.meta = d.AppMetadata
		}
		if len(d.DataHeader) > 0 { // a message without one holds only metadata
			if err := verifyHeader(d.DataHeader); err != nil {
				return nil, err
			}
			s.last = ipc.NewMessage(memory.NewBufferBytes(d.DataHeader), memory.NewBufferBytes(d.DataBody))
			return s.last, nil
		}
	}
	return nil, io.EOF
}

// Decode decodes all messages of a stream that ended without an error. The returned meta is the
// last application metadata in the stream. The messages may hold any bytes: malformed ones
// give an error.
func Decode(list [][]byte) (values []broker.Value, meta []byte, err error) {
	// The library does not check all offsets in a message and panics on some malformed ones.
	defer func() {
		if r := recover(); r != nil {
			values, meta, err = nil, nil, fmt.Errorf("reading a batch: %v", r)
		}
	}()
	s := &messageReader{list: list}
	r, err := ipc.NewReaderFromMessageReader(s)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the schema: %w", err)
	}
	defer r.Release()
	if !r.Schema().Equal(Schema) {
		return nil, nil, errors.New("stream has an unexpected schema")
	}
	for r.Next() {
		batch := r.RecordBatch()
		if batch.NumRows() > maxBatchRows {
			return nil, nil, errors.New("batch has more rows than a node can have parts")
		}
		slices, bodies := batch.Column(0).(*array.Int32), batch.Column(1).(*array.Binary)
		for i := range int(batch.NumRows()) {
			if slices.IsNull(i) || bodies.IsNull(i) {
				return nil, nil, errors.New("row without a slice or body")
			}
			values = append(values, broker.Value{Shard: int(slices.Value(i)), Body: bytes.Clone(bodies.Value(i))})
		}
	}
	if r.Err() != nil {
		return nil, nil, fmt.Errorf("reading a batch: %w", r.Err())
	}
	return values, s.meta, nil
}
