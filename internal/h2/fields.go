package h2

import (
	"encoding/binary"

	"golang.org/x/net/http2"
)

// The representations of a header field, by the first bits of their first byte (RFC 7541, 6).
const (
	indexedField      = 0x80 // the whole field is in a table
	literalIndexed    = 0x40 // a literal that is added to the table
	tableSizeUpdate   = 0x20 // no field
	indexedPrefix     = 7    // bits of the number behind those bits
	literalPrefix     = 6
	sizeUpdatePrefix  = 5
	neverIndexedBits  = 4
	stringPrefix      = 7
	priorityBytes     = 5
	maxVarintShift    = 28
	continuationOfInt = 0x80
)

// countFields returns how many header fields there are in a header block, given as its frames. It
// decodes none of them: each field that is decoded may move the whole table of the fields before.
// A malformed block has any number; the decoder rejects it.
func countFields(frames []byte) int {
	n := 0
	for block := joinFragments(frames); len(block) > 0; {
		first := block[0]
		switch {
		case first&indexedField != 0:
			_, block = readInteger(block, indexedPrefix)
			n++
		case first&literalIndexed == 0 && first&tableSizeUpdate != 0:
			_, block = readInteger(block, sizeUpdatePrefix)
		default:
			prefix := neverIndexedBits
			if first&literalIndexed != 0 {
				prefix = literalPrefix
			}
			var name int
			if name, block = readInteger(block, prefix); name == 0 {
				block = skipString(block)
			}
			block = skipString(block)
			n++
		}
	}
	return n
}

// joinFragments returns the header block that a HEADERS frame and its continuations carry.
func joinFragments(frames []byte) (block []byte) {
	for len(frames) >= frameHeaderBytes {
		length := int(binary.BigEndian.Uint32(frames) >> 8)
		kind, flags := http2.FrameType(frames[3]), http2.Flags(frames[4])
		payload := frames[frameHeaderBytes : frameHeaderBytes+length]
		frames = frames[frameHeaderBytes+length:]
		if kind == http2.FrameHeaders {
			padding := 0
			if flags.Has(http2.FlagHeadersPadded) && len(payload) > 0 {
				padding, payload = int(payload[0]), payload[1:]
			}
			if flags.Has(http2.FlagHeadersPriority) {
				payload = payload[min(priorityBytes, len(payload)):]
			}
			payload = payload[:max(0, len(payload)-padding)]
		}
		if len(block) == 0 {
			block = payload[:len(payload):len(payload)]
			continue
		}
		block = append(block, payload...)
	}
	return block
}

// readInteger reads an integer whose first byte holds it in so many bits. It returns the rest, which
// is empty if the integer is cut or too large.
func readInteger(b []byte, prefix int) (value int, rest []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	most := 1<<prefix - 1
	value, b = int(b[0])&most, b[1:]
	if value < most {
		return value, b
	}
	for shift := 0; len(b) > 0 && shift <= maxVarintShift; shift += 7 {
		value += int(b[0]&^continuationOfInt) << shift
		last := b[0]&continuationOfInt == 0
		if b = b[1:]; last {
			return value, b
		}
	}
	return 0, nil
}

// skipString returns what follows a string.
func skipString(b []byte) []byte {
	length, rest := readInteger(b, stringPrefix)
	return rest[min(length, len(rest)):]
}
