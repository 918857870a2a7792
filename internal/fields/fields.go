// Package fields goes over the fields of protobuf messages and writes them, for those who
// deal in a few of them without generated code. It is pure.
package fields

import "google.golang.org/protobuf/encoding/protowire"

// Each calls take with each field of a message: its number, and its value as a number or
// as bytes; fields of other kinds are passed over. It ends early where take returns false,
// and reports whether the message was read whole.
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

// AppendString adds a field of text; an empty one is left out.
func AppendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

// AppendBytes adds a field of bytes; nil is left out.
func AppendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if v == nil {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// AppendUint adds a field with a number; 0 is left out.
func AppendUint(b []byte, n protowire.Number, x uint64) []byte {
	if x == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), x)
}
