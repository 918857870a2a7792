package columns

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"
)

// Slots of Arrow's flatbuffers, from Message.fbs and Schema.fbs of the Arrow format, as offsets
// into a table's vtable: four bytes, and two for each preceding field. The constants headerSchema and
// headerBatch are the types of the union MessageHeader.
const (
	messageHeaderType = 4 + 2*1
	messageHeader     = 4 + 2*2
	messageMetadata   = 4 + 2*4
	schemaFields      = 4 + 2*1
	schemaMetadata    = 4 + 2*2
	schemaFeatures    = 4 + 2*3
	fieldChildren     = 4 + 2*5
	fieldMetadata     = 4 + 2*6
	batchNodes        = 4 + 2*1
	batchBuffers      = 4 + 2*2
	batchCompression  = 4 + 2*3
	batchVariadic     = 4 + 2*4
	headerSchema      = 1
	headerBatch       = 3
	maxSchemaFields   = 16
)

var errInvalidHeader = errors.New("message header with invalid lengths or fields")

// verifyHeader checks the lengths that a message's header gives against the bytes of the message.
// The library allocates memory by these lengths without that check, so a forged one could exhaust
// the memory. Offsets out of range panic, here as in the library, and Decode recovers.
func verifyHeader(meta []byte) error {
	msg := rootTable(meta)
	if _, err := vectorLength(msg, messageMetadata, 4); err != nil {
		return err
	}
	o := flatbuffers.UOffsetT(msg.Offset(messageHeader))
	if o == 0 {
		return errInvalidHeader
	}
	header := tableAt(meta, msg.Indirect(o+msg.Pos))
	switch msg.GetByteSlot(messageHeaderType, 0) {
	case headerSchema:
		return verifySchema(meta, header)
	case headerBatch:
		if header.Offset(batchCompression) != 0 {
			return errors.New("compressed batches are not supported") // the length after decompression can be forged, too
		}
		for slot, size := range map[flatbuffers.VOffsetT]int{batchNodes: 16, batchBuffers: 16, batchVariadic: 8} {
			if _, err := vectorLength(header, slot, size); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.New("message is neither a schema nor a record batch")
}

// verifySchema checks the lengths in a schema, whose fields may not be nested.
func verifySchema(meta []byte, schema flatbuffers.Table) error {
	for slot, size := range map[flatbuffers.VOffsetT]int{schemaMetadata: 4, schemaFeatures: 8} {
		if _, err := vectorLength(schema, slot, size); err != nil {
			return err
		}
	}
	n, err := vectorLength(schema, schemaFields, 4)
	if err != nil || n > maxSchemaFields {
		return errInvalidHeader
	}
	for i := range n {
		at := schema.Vector(flatbuffers.UOffsetT(schema.Offset(schemaFields))) + flatbuffers.UOffsetT(4*i)
		field := tableAt(meta, schema.Indirect(at))
		if children, err := vectorLength(field, fieldChildren, 4); err != nil || children > 0 {
			return errInvalidHeader // no column of Schema has children
		}
		if _, err := vectorLength(field, fieldMetadata, 4); err != nil {
			return err
		}
	}
	return nil
}

// rootTable returns the root table of a flatbuffer.
func rootTable(b []byte) flatbuffers.Table { return tableAt(b, flatbuffers.GetUOffsetT(b)) }

// tableAt returns the table at an offset.
func tableAt(b []byte, at flatbuffers.UOffsetT) flatbuffers.Table {
	return flatbuffers.Table{Bytes: b, Pos: at}
}

// vectorLength returns the length of the vector in a slot, 0 if there is none. It fails if that
// many elements of the given size exceed the message.
func vectorLength(t flatbuffers.Table, slot flatbuffers.VOffsetT, size int) (int, error) {
	o := t.Offset(slot)
	if o == 0 {
		return 0, nil
	}
	n, at := t.VectorLen(flatbuffers.UOffsetT(o)), int(t.Vector(flatbuffers.UOffsetT(o)))
	if n < 0 || at > len(t.Bytes) || n > (len(t.Bytes)-at)/size {
		return 0, errInvalidHeader
	}
	return n, nil
}
