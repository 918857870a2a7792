// Package fields reads and writes the fields of protobuf messages, for packages that handle a
// few messages without generated code. Its functions have no side effects.
package fields

import "google.golang.org/protobuf/encoding/protowire"

// Each calls visit for each varint and length-delimited field of the message b, with the field's
// number and its value in x or v. Fields of other wire types are skipped. It stops if visit
// returns false or b is malformed, and reports whether the whole message was read.
func Each(b []byte, visit func(n protowire.Number, x uint64, v []byte) bool) bool {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return false
		}
		b = b[size:]
		var x uint64
		var v []byte
		switch kind {
		case protowire.VarintType:
			x, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			v, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, kind, b)
		}
		known := kind == protowire.VarintType || kind == protowire.BytesType
		if size < 0 || known && !visit(n, x, v) {
			return false
		}
		b = b[size:]
	}
	return true
}

// AppendString appends a string field to b, unless s is empty.
func AppendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

// AppendBytes appends a bytes field to b, unless v is nil. An empty v is written.
func AppendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if v == nil {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// AppendUint appends a varint field to b, unless x is 0.
func AppendUint(b []byte, n protowire.Number, x uint64) []byte {
	if x == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), x)
}
