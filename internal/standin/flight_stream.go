package standin

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync"

	"golang.org/x/net/http2"
)

const (
	frameHeaderBytes = 9 // of an HTTP/2 frame
	frameTypeOffset  = 3
	streamIDOffset   = 5
	streamIDMask     = 1<<31 - 1
)

// ticketID marks the id in the JSON text of a Flight ticket.
var ticketID = []byte(`"id":"`)

// frameHeader is the header of an HTTP/2 frame.
type frameHeader struct {
	length   int
	kind     http2.FrameType
	streamID uint32
}

func parseFrameHeader(b []byte) frameHeader {
	return frameHeader{length: int(binary.BigEndian.Uint32(b) >> 8), kind: http2.FrameType(b[frameTypeOffset]),
		streamID: binary.BigEndian.Uint32(b[streamIDOffset:]) & streamIDMask}
}

// streamConn is a server's side of an HTTP/2 connection, on which the stand-in ends streams by
// frames that grpc-go's server does not let its handlers send.
type streamConn struct {
	net.Conn

	readMu  sync.Mutex
	read    []byte            // received, and not yet complete as a frame
	preface int               // bytes of the client's preface that have not been received
	streams map[string]uint32 // stream of each part, by the part's id

	writeMu   sync.Mutex
	header    []byte // the received part of the header of the frame that is being written
	remaining int    // bytes of its payload that have not been written
	inserts   [][]byte
	data      map[uint32]int // DATA frames written, by stream
}

func newStreamConn(c net.Conn) *streamConn {
	return &streamConn{Conn: c, preface: len(http2.ClientPreface), streams: map[string]uint32{}, data: map[uint32]int{}}
}

// Read implements net.Conn. It notes which stream each part came on.
func (c *streamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readMu.Lock()
	defer c.readMu.Unlock()
	skipped := min(n, c.preface)
	c.preface -= skipped
	c.read = append(c.read, b[skipped:n]...)
	for len(c.read) >= frameHeaderBytes {
		h := parseFrameHeader(c.read)
		end := frameHeaderBytes + h.length
		if len(c.read) < end {
			break
		}
		if _, after, ok := bytes.Cut(c.read[frameHeaderBytes:end], ticketID); ok && h.kind == http2.FrameData {
			id, _, _ := bytes.Cut(after, []byte{'"'})
			c.streams[string(id)] = h.streamID
		}
		c.read = c.read[end:]
	}
	return n, err
}

// streamOf returns the stream that a part came on.
func (c *streamConn) streamOf(part string) uint32 {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.streams[part]
}

// Write implements net.Conn. Frames that wait to be inserted go out where a frame ends.
func (c *streamConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	var out []byte
	for rest := b; len(rest) > 0; {
		n := c.advance(rest)
		out = append(out, rest[:n]...)
		rest = rest[n:]
		if c.atFrameEnd() {
			out = append(out, c.takeInserts()...)
		}
	}
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(b), nil
}

// advance returns how many of the bytes belong to the header, or to the payload, of the frame that
// is being written. It begins a new frame where the last one has ended.
func (c *streamConn) advance(b []byte) int {
	if c.remaining > 0 {
		n := min(len(b), c.remaining)
		c.remaining -= n
		return n
	}
	n := min(len(b), frameHeaderBytes-len(c.header))
	if c.header = append(c.header, b[:n]...); len(c.header) == frameHeaderBytes {
		h := parseFrameHeader(c.header)
		c.header, c.remaining = nil, h.length
		if h.kind == http2.FrameData {
			c.data[h.streamID]++
		}
	}
	return n
}

func (c *streamConn) atFrameEnd() bool { return c.remaining == 0 && len(c.header) == 0 }

func (c *streamConn) takeInserts() []byte {
	list := c.inserts
	c.inserts = nil
	return bytes.Join(list, nil)
}

// insert writes a frame as soon as the frame that is being written has ended.
func (c *streamConn) insert(write func(f *http2.Framer) error) error {
	var frame bytes.Buffer
	if err := write(http2.NewFramer(&frame, nil)); err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.inserts = append(c.inserts, frame.Bytes()); !c.atFrameEnd() {
		return nil
	}
	_, err := c.Conn.Write(c.takeInserts())
	return err
}

// dataFrames returns how many DATA frames of a stream have been written.
func (c *streamConn) dataFrames(stream uint32) int {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.data[stream]
}
