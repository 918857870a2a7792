// Package h2 implements HTTP/2, and gRPC's message framing on top of it, for the client and the
// server side of a connection. It does no I/O: received bytes go in by Conn.Receive, bytes to send
// go out by a function. All of a connection runs on one goroutine. Streams need no goroutine or
// timer of their own.
package h2

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	frameHeaderBytes    = 9         // bytes of the header of a frame
	maxFrameBytes       = 16 << 10  // bytes of a frame's payload: the smallest maximum that HTTP/2 allows
	maxHeaderListBytes  = 16 << 10  // bytes of a list of header fields, uncompressed
	maxHeaderBlockBytes = 32 << 10  // bytes of the frames of a header block, with its continuations
	maxKeptBufferBytes  = 4 << 10   // bytes of a buffer that a connection keeps while it rests
	hpackTableBytes     = 4 << 10   // bytes of the table of header fields
	maxStreams          = 128       // streams that the peer may have open, or that are opened on it
	maxFields           = 128       // header fields of a list
	maxResets           = 512       // streams that a client may cancel without an answer to any stream in between
	streamWindow        = 64 << 10  // receive window of a stream in bytes
	defaultWindow       = 65535     // HTTP/2's initial window in bytes, of a connection and of a stream
	maxWindow           = 1<<31 - 1 // HTTP/2's largest window in bytes
	maxPendingBytes     = 4 << 20   // bytes that may wait for a stream's send window
)

// Handler receives the events of a connection's streams. It is called within Conn.Receive, and
// Closed also within Stream.Write.
type Handler interface {
	// Headers delivers the header fields that open a stream, those of a response, or trailers.
	// End says that the peer ends its side of the stream with them.
	Headers(s *Stream, fields []hpack.HeaderField, end bool)
	// Data delivers bytes, which are valid only during the call.
	Data(s *Stream, b []byte, end bool)
	// Closed reports that the stream was ended with an error, by the peer or because the peer
	// broke the protocol or a limit. NeverRan says that, by HTTP/2, the peer has not processed
	// the stream: it says so, and no frame of a response contradicts it.
	Closed(s *Stream, code http2.ErrCode, neverRan bool)
}

// Conn is one side of an HTTP/2 connection. Its methods, and those of its streams, may be called
// only on the owner's goroutine.
type Conn struct {
	server         bool
	h              Handler
	write          func([]byte) int64
	in             []byte
	processed      int // bytes before in that its memory still holds
	missingPreface int // server: bytes of the client's preface that have not arrived
	src            bytes.Reader
	dst            bytes.Buffer
	framer         *http2.Framer
	longestFrame   int // bytes of the longest that framer has read
	decoder        *hpack.Decoder
	encoder        *hpack.Encoder
	headerBlock    bytes.Buffer

	streams        map[uint32]*Stream
	nextID         uint32 // client: id of the next stream
	lastID         uint32 // server: id of the latest stream
	sendWindow     int64  // bytes that may be sent on all streams together
	initialWindow  int64  // send window of a new stream
	maxSendFrame   int
	maxPeerStreams int   // streams that the peer allows to be open
	consumed       int64 // bytes received and not yet returned to the peer by a WINDOW_UPDATE of the connection
	resets         int   // server: streams that the client has cancelled since the last response
	goingAway      bool  // no new streams: a GOAWAY was sent or received
	err            error
}

// Stream is one request and its response.
type Stream struct {
	ID            uint32
	User          any // for use by the Handler
	c             *Conn
	sendWindow    int64
	consumed      int64 // bytes received and not yet returned to the peer by a WINDOW_UPDATE of the stream
	receiveWindow int64 // bytes that the peer may still send
	pending       []byte
	end           bool // the last byte of pending ends this side
	trailer       []hpack.HeaderField
	localEnded    bool  // this side has ended
	peerBegun     bool  // headers or data have come from the peer
	peerEnded     bool  // the peer's side has ended
	endOffset     int64 // in the connection, of the last byte of this side; 0: not sent yet
	closed        bool  // the stream is no longer in its connection
}

// New returns one side of a connection. Write sends bytes and returns the offset of the last one
// in the connection's output. New sends the settings at once.
func New(server bool, h Handler, write func([]byte) int64) *Conn {
	c := &Conn{server: server, h: h, write: write, streams: map[uint32]*Stream{}, nextID: 1, sendWindow: defaultWindow,
		initialWindow: defaultWindow, maxSendFrame: maxFrameBytes, maxPeerStreams: maxStreams}
	c.decoder = hpack.NewDecoder(hpackTableBytes, nil)
	c.newFramer()
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	settings := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: streamWindow},
		{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderListBytes}}
	if server {
		c.missingPreface = len(http2.ClientPreface)
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: maxStreams})
	} else {
		c.dst.WriteString(http2.ClientPreface)
		settings = append(settings, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	}
	_ = c.framer.WriteSettings(settings...) // never fails, as it writes to a buffer; the same holds for all writes below
	c.flush()
	return c
}

// newFramer replaces the framer, and releases the buffer in which it keeps the longest frame that it
// has read. It may be called between header blocks, as the state of the framer spans these only.
func (c *Conn) newFramer() {
	c.framer = http2.NewFramer(&c.dst, &c.src)
	c.framer.SetMaxReadFrameSize(maxFrameBytes)
	c.framer.ReadMetaHeaders = c.decoder
	c.framer.MaxHeaderListSize = maxHeaderListBytes
	c.longestFrame = 0
}

// flush sends the buffered frames and returns the offset of the last byte sent.
func (c *Conn) flush() int64 {
	if c.dst.Len() == 0 {
		return c.write(nil)
	}
	b := bytes.Clone(c.dst.Bytes())
	c.dst.Reset()
	return c.write(b)
}

// Held returns the bytes of memory that frames take which have not arrived completely.
func (c *Conn) Held() int { return cap(c.in) }

// DropInput drops a frame that has not arrived completely, after which nothing more can be received,
// and tells the peer to open no more streams. Open streams can still be written to.
func (c *Conn) DropInput() {
	c.GoAway()
	c.Discard()
}

// Discard drops what was added and not processed. Nothing more can be received.
func (c *Conn) Discard() {
	c.err = connectionError{http2.ErrCodeEnhanceYourCalm, "input was dropped"}
	c.releaseInput()
}

// Partial reports whether part of a frame has arrived.
func (c *Conn) Partial() bool { return len(c.in) > 0 }

// Streams returns the number of open streams.
func (c *Conn) Streams() int { return len(c.streams) }

// Room returns how many more streams may be opened now.
func (c *Conn) Room() int {
	if c.goingAway || c.err != nil || c.nextID > maxWindow-2 {
		return 0
	}
	return max(0, c.maxPeerStreams-len(c.streams))
}

// connectionError is an error that ends the connection, with the code for its GOAWAY.
type connectionError struct {
	code   http2.ErrCode
	reason string
}

func (e connectionError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.reason) }

// Receive processes bytes from the peer, which it may keep, and calls the Handler for them. After
// an error, for which a GOAWAY has been sent, the caller has to close the connection.
func (c *Conn) Receive(b []byte) error {
	c.Add(b)
	_, err := c.Process(nil)
	return err
}

// Add adds bytes from the peer, which it may keep, for Process.
func (c *Conn) Add(b []byte) {
	switch {
	case c.err != nil:
	case len(c.in) == 0:
		c.in, c.processed = b[:len(b):len(b)], 0
	default:
		c.in = append(c.in, b...)
	}
}

// Process processes the bytes that were added and calls the Handler for them, until it has processed
// all or, after a frame, goOn returns false; nil: never. More says that complete frames may be left.
// Errors are those of Receive.
func (c *Conn) Process(goOn func() bool) (more bool, err error) {
	if c.err != nil {
		return false, c.err
	}
	received := len(c.in)
	more, err = c.readFrames(goOn)
	if c.err != nil { // the Handler has dropped the input
		c.flush()
		return false, c.err
	}
	c.err = err
	if c.processed += received - len(c.in); c.err == nil && c.processed > len(c.in) {
		c.in, c.processed = bytes.Clone(c.in), 0 // releases what came before
	}
	if c.err != nil {
		code := http2.ErrCodeProtocol
		var own connectionError
		var theirs http2.ConnectionError
		switch {
		case errors.As(c.err, &own):
			code = own.code
		case errors.As(c.err, &theirs):
			code = http2.ErrCode(theirs)
		case errors.Is(c.err, http2.ErrFrameTooLarge):
			code = http2.ErrCodeFrameSize
		}
		_ = c.framer.WriteGoAway(c.lastID, code, nil)
	}
	c.flush()
	if c.err != nil {
		c.releaseInput()
	} else if c.longestFrame > maxKeptBufferBytes && len(c.in) == 0 {
		c.newFramer()
	}
	return more, c.err
}

// releaseInput frees what is kept for frames to come, of which there will be none.
func (c *Conn) releaseInput() {
	c.in, c.decoder = nil, hpack.NewDecoder(0, nil)
	c.newFramer()
}

// readFrames processes complete frames in c.in until goOn returns false. More says that it has.
func (c *Conn) readFrames(goOn func() bool) (more bool, err error) {
	if n := min(c.missingPreface, len(c.in)); n > 0 {
		at := len(http2.ClientPreface) - c.missingPreface
		if string(c.in[:n]) != http2.ClientPreface[at:at+n] {
			return false, connectionError{http2.ErrCodeProtocol, "no HTTP/2 preface"}
		}
		c.in, c.missingPreface = c.in[n:], c.missingPreface-n
	}
	for c.missingPreface == 0 && c.err == nil {
		n, err := c.nextFrameLength()
		if n == 0 || err != nil {
			return false, err
		}
		frame := c.in[:n]
		if c.in = c.in[n:]; len(c.in) == 0 {
			c.in = nil
		}
		if err := c.readFrame(frame); err != nil {
			return false, err
		}
		if goOn != nil && len(c.in) > 0 && !goOn() {
			return true, nil
		}
	}
	return false, nil
}

// readFrame processes a frame, with the continuations of its header block.
func (c *Conn) readFrame(frame []byte) error {
	switch http2.FrameType(frame[3]) {
	case http2.FrameData:
		return c.receiveData(frame)
	case http2.FrameHeaders:
		if countFields(frame) > maxFields {
			return connectionError{http2.ErrCodeEnhanceYourCalm, "too many header fields"}
		}
	}
	c.longestFrame = max(c.longestFrame, len(frame))
	c.src.Reset(frame)
	f, err := c.framer.ReadFrame()
	c.src.Reset(nil) // releases the frame and what was received with it
	var se http2.StreamError
	switch {
	case errors.As(err, &se):
		c.handleStreamError(se)
		return nil
	case err != nil:
		return err
	}
	return c.handleFrame(f)
}

// nextFrameLength returns the length of the next frame, with the continuations of its header block,
// once all of them have arrived, and 0 before.
func (c *Conn) nextFrameLength() (int, error) {
	for n := 0; ; {
		if len(c.in) < n+frameHeaderBytes {
			return 0, nil
		}
		h := c.in[n:]
		length := int(binary.BigEndian.Uint32(h) >> 8)
		if length > maxFrameBytes {
			return 0, connectionError{http2.ErrCodeFrameSize, "frame too long"}
		}
		kind, flags := http2.FrameType(h[3]), http2.Flags(h[4])
		if n += frameHeaderBytes + length; len(c.in) < n {
			return 0, nil
		}
		opens := kind == http2.FrameHeaders || kind == http2.FrameContinuation || kind == http2.FramePushPromise
		if !opens || flags.Has(http2.FlagHeadersEndHeaders) {
			return n, nil
		}
		// Bounds continuations, which a peer may send without end.
		if n > maxHeaderBlockBytes {
			return 0, connectionError{http2.ErrCodeEnhanceYourCalm, "header block too long"}
		}
	}
}

// handleStreamError resets a stream on which the peer broke the protocol.
func (c *Conn) handleStreamError(se http2.StreamError) {
	_ = c.framer.WriteRSTStream(se.StreamID, se.Code)
	c.lastID = max(c.lastID, c.zeroForClient(se.StreamID))
	if s := c.streams[se.StreamID]; s != nil {
		s.remove()
		c.h.Closed(s, se.Code, false)
	}
}

// zeroForClient returns id on the server side and 0 on the client side, which has no lastID.
func (c *Conn) zeroForClient(id uint32) uint32 {
	if c.server {
		return id
	}
	return 0
}

func (c *Conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		return c.handleReset(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			_ = c.framer.WritePing(true, f.Data)
		}
	case *http2.GoAwayFrame:
		c.handleGoAway(f)
	case *http2.PushPromiseFrame:
		return connectionError{http2.ErrCodeProtocol, "PUSH_PROMISE although push is disabled"}
	}
	return nil
}

func (c *Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingInitialWindowSize:
			by := int64(s.Val) - c.initialWindow
			c.initialWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWindow += by; st.sendWindow > maxWindow {
					return connectionError{http2.ErrCodeFlowControl, "window too large"}
				}
			}
		case http2.SettingMaxFrameSize:
			c.maxSendFrame = min(int(s.Val), maxFrameBytes)
		case http2.SettingMaxConcurrentStreams:
			c.maxPeerStreams = int(min(s.Val, maxStreams))
		case http2.SettingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSize(min(s.Val, 4096))
		}
		return nil
	})
	if err != nil {
		return err
	}
	_ = c.framer.WriteSettingsAck()
	c.flushPending()
	return nil
}

func (c *Conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		if !c.server {
			return nil // of a stream that was reset by this side
		}
		if f.StreamID%2 == 0 || f.StreamID <= c.lastID {
			return connectionError{http2.ErrCodeStreamClosed, "HEADERS on a closed stream"}
		}
		c.lastID = f.StreamID
		// A client may disregard the announced limit, which bounds memory and the load of the core.
		if len(c.streams) >= maxStreams || c.goingAway {
			_ = c.framer.WriteRSTStream(f.StreamID, http2.ErrCodeRefusedStream)
			return nil
		}
		s = c.addStream(f.StreamID)
	}
	if s.peerEnded {
		return connectionError{http2.ErrCodeStreamClosed, "HEADERS after the end of a stream"}
	}
	if f.Truncated {
		s.Reset(http2.ErrCodeEnhanceYourCalm)
		c.h.Closed(s, http2.ErrCodeEnhanceYourCalm, false)
		return nil
	}
	s.peerBegun, s.peerEnded = true, f.StreamEnded()
	c.h.Headers(s, f.Fields, s.peerEnded)
	s.removeIfEnded()
	return nil
}

func (c *Conn) addStream(id uint32) *Stream {
	s := &Stream{ID: id, c: c, sendWindow: c.initialWindow, receiveWindow: streamWindow}
	c.streams[id] = s
	return s
}

// receiveData handles a whole DATA frame. The framer, which copies every frame into a buffer of its
// own, is passed by.
func (c *Conn) receiveData(frame []byte) error {
	const streamIDMask = 1<<31 - 1
	d := dataFrame{streamID: binary.BigEndian.Uint32(frame[5:]) & streamIDMask, data: frame[frameHeaderBytes:],
		length: int64(len(frame) - frameHeaderBytes)}
	flags := http2.Flags(frame[4])
	if d.streamID == 0 {
		return connectionError{http2.ErrCodeProtocol, "DATA without a stream"}
	}
	if flags.Has(http2.FlagDataPadded) {
		if len(d.data) == 0 || int(d.data[0]) > len(d.data)-1 {
			return connectionError{http2.ErrCodeProtocol, "padding longer than its frame"}
		}
		d.data = d.data[1 : len(d.data)-int(d.data[0])]
	}
	d.end = flags.Has(http2.FlagDataEndStream)
	return c.handleData(d)
}

// dataFrame is a DATA frame.
type dataFrame struct {
	streamID uint32
	length   int64 // bytes of the payload with its padding, which flow control counts
	data     []byte
	end      bool // it ends the peer's side of the stream
}

func (c *Conn) handleData(f dataFrame) error {
	n := f.length
	c.consumed += n
	if c.consumed >= defaultWindow/2 {
		_ = c.framer.WriteWindowUpdate(0, uint32(c.consumed))
		c.consumed = 0
	}
	s := c.streams[f.streamID]
	if s == nil {
		if c.server && f.streamID > c.lastID || !c.server && f.streamID >= c.nextID {
			return connectionError{http2.ErrCodeProtocol, "DATA on a stream that was never open"}
		}
		return nil // of a stream that has ended
	}
	if s.peerEnded {
		return connectionError{http2.ErrCodeStreamClosed, "DATA after the end of a stream"}
	}
	// Bounds memory with a peer that disregards flow control.
	if s.receiveWindow -= n; s.receiveWindow < 0 {
		return connectionError{http2.ErrCodeFlowControl, "DATA exceeds the receive window"}
	}
	s.peerBegun, s.peerEnded = true, f.end
	c.h.Data(s, f.data, s.peerEnded)
	if s.closed {
		return nil
	}
	if s.consumed += n; s.consumed >= streamWindow/2 && !s.peerEnded {
		_ = c.framer.WriteWindowUpdate(s.ID, uint32(s.consumed))
		s.receiveWindow += s.consumed
		s.consumed = 0
	}
	s.removeIfEnded()
	return nil
}

func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	by := int64(f.Increment)
	if f.StreamID == 0 {
		if c.sendWindow += by; c.sendWindow > maxWindow {
			return connectionError{http2.ErrCodeFlowControl, "window too large"}
		}
		c.flushPending()
		return nil
	}
	if s := c.streams[f.StreamID]; s != nil {
		if s.sendWindow += by; s.sendWindow > maxWindow {
			s.Reset(http2.ErrCodeFlowControl)
			c.h.Closed(s, http2.ErrCodeFlowControl, false)
			return nil
		}
		s.flushPending()
	}
	return nil
}

func (c *Conn) handleReset(f *http2.RSTStreamFrame) error {
	// A client may open and cancel streams in a loop, without exceeding maxStreams.
	if c.server {
		if c.resets++; c.resets > maxResets {
			return connectionError{http2.ErrCodeEnhanceYourCalm, "too many streams cancelled without a response in between"}
		}
	}
	if s := c.streams[f.StreamID]; s != nil {
		s.remove()
		c.h.Closed(s, f.ErrCode, f.ErrCode == http2.ErrCodeRefusedStream && !s.peerBegun)
	}
	return nil
}

// handleGoAway ends the streams that the peer says it will not process.
func (c *Conn) handleGoAway(f *http2.GoAwayFrame) {
	c.goingAway = true
	if c.server {
		return
	}
	for _, s := range c.sortedStreams() {
		if s.ID > f.LastStreamID {
			s.remove()
			c.h.Closed(s, f.ErrCode, !s.peerBegun)
		}
	}
}

// GoAway tells the peer to open no more streams on this connection. Open streams go on.
func (c *Conn) GoAway() {
	if !c.goingAway {
		c.goingAway = true
		_ = c.framer.WriteGoAway(c.lastID, http2.ErrCodeNo, nil)
		c.flush()
	}
}

// Ping sends a ping. Its answer is ignored.
func (c *Conn) Ping() {
	_ = c.framer.WritePing(false, [8]byte{})
	c.flush()
}

// Open opens a stream that sends the header fields and the data, and ends this side with them. The
// caller has to check Room first.
func (c *Conn) Open(fields []hpack.HeaderField, data []byte) *Stream {
	s := c.addStream(c.nextID)
	c.nextID += 2
	c.writeHeaders(s, fields, false)
	s.Write(data, true)
	return s
}

func (c *Conn) writeHeaders(s *Stream, fields []hpack.HeaderField, end bool) {
	c.headerBlock.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(f)
	}
	b := c.headerBlock.Bytes()
	n := min(len(b), c.maxSendFrame)
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: b[:n], EndStream: end,
		EndHeaders: n == len(b)})
	for b = b[n:]; len(b) > 0; b = b[n:] {
		n = min(len(b), c.maxSendFrame)
		_ = c.framer.WriteContinuation(s.ID, n == len(b), b[:n])
	}
}

// Headers sends header fields, which end this side if end is set.
func (s *Stream) Headers(fields []hpack.HeaderField, end bool) {
	if s.closed || s.localEnded {
		return
	}
	s.c.resets = 0
	s.c.writeHeaders(s, fields, end)
	s.flushAndEnd(end)
}

// flushAndEnd sends the buffered frames, the last of which ends this side if end is set.
func (s *Stream) flushAndEnd(end bool) {
	at := s.c.flush()
	if end {
		s.localEnded, s.endOffset = true, at
		s.removeIfEnded()
	}
}

// Write sends bytes as far as the flow-control windows allow, and the rest once they do. The last
// byte ends this side if end is set.
func (s *Stream) Write(b []byte, end bool) {
	if s.closed || s.localEnded || s.end {
		return
	}
	s.pending, s.end = append(s.pending, b...), end
	s.flushPending()
	// Bounds memory with a peer that never opens its window.
	if len(s.pending) > maxPendingBytes {
		s.Reset(http2.ErrCodeEnhanceYourCalm)
		s.c.h.Closed(s, http2.ErrCodeEnhanceYourCalm, false)
	}
}

// Trailers ends this side with header fields, after all that was written.
func (s *Stream) Trailers(fields []hpack.HeaderField) {
	s.trailer = fields
	s.flushPending()
}

// Open reports whether the stream is still open on at least one side.
func (s *Stream) Open() bool { return !s.closed }

// Sent returns the offset of the last byte of this side, and whether it has been passed to the
// connection's write function.
func (s *Stream) Sent() (int64, bool) { return s.endOffset, s.localEnded }

// flushPending sends what the windows allow of the pending bytes, and the trailers after them.
func (s *Stream) flushPending() {
	if s.closed || s.localEnded {
		return
	}
	for len(s.pending) > 0 || s.end {
		n := int(min(int64(len(s.pending)), int64(s.c.maxSendFrame), s.sendWindow, s.c.sendWindow))
		if n <= 0 && len(s.pending) > 0 {
			break
		}
		end := s.end && n == len(s.pending)
		_ = s.c.framer.WriteData(s.ID, end, s.pending[:n])
		s.pending = s.pending[n:]
		s.sendWindow -= int64(n)
		s.c.sendWindow -= int64(n)
		if end {
			s.flushAndEnd(true)
			return
		}
	}
	if len(s.pending) == 0 && s.trailer != nil {
		s.c.writeHeaders(s, s.trailer, true)
		s.flushAndEnd(true)
		return
	}
	s.c.flush()
}

// flushPending continues every stream that waits for a window, in the order of their ids.
func (c *Conn) flushPending() {
	for _, s := range c.sortedStreams() {
		if len(s.pending) > 0 {
			s.flushPending()
		}
	}
}

// Reset ends the stream with an error code. It does not call the Handler.
func (s *Stream) Reset(code http2.ErrCode) {
	if s.closed {
		return
	}
	_ = s.c.framer.WriteRSTStream(s.ID, code)
	s.remove()
	s.c.flush()
}

func (s *Stream) removeIfEnded() {
	if s.localEnded && s.peerEnded {
		s.remove()
	}
}

func (s *Stream) remove() {
	s.closed, s.pending = true, nil
	delete(s.c.streams, s.ID)
}
