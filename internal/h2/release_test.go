package h2

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"
)

// TestProcessedInputIsReleased guards against memory of each connection that holds the whole input
// in which its last frame came, for as long as no other frame is processed.
func TestProcessedInputIsReleased(t *testing.T) {
	client, server := newEndpoint(false), newEndpoint(true)
	exchange(t, client, server, 1<<20)
	client.conn.Open([]hpack.HeaderField{{Name: ":method", Value: "POST"}}, []byte("ab"))
	input := make([]byte, len(client.wire), 64<<10)
	copy(input, client.wire)
	released := make(chan struct{})
	runtime.SetFinalizer(&input[0], func(*byte) { close(released) })
	if err := server.conn.Receive(input); err != nil {
		t.Fatal(err)
	}
	input = nil
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		runtime.GC()
		select {
		case <-released:
			runtime.KeepAlive(server)
			return
		default:
		}
	}
	t.Error("the connection holds the input that it has processed")
}

// dropper drops its connection's input within the first call.
type dropper struct {
	*endpoint
	calls int
}

func (d *dropper) Headers(*Stream, []hpack.HeaderField, bool) {
	d.calls++
	d.conn.DropInput()
}

// TestInputIsDroppedWithinACall guards against frames that are processed although the Handler has
// dropped them, as it does when too much is held for all clients.
func TestInputIsDroppedWithinACall(t *testing.T) {
	client, server := newEndpoint(false), newEndpoint(true)
	d := &dropper{endpoint: server}
	server.conn.h = d
	server.conn.Add(client.wire)
	client.wire = nil
	for range 3 {
		client.conn.Open([]hpack.HeaderField{{Name: ":method", Value: "POST"}}, []byte("ab"))
	}
	if err := server.conn.Receive(client.wire); err == nil {
		t.Error("no error after the input was dropped")
	}
	if err := server.conn.Receive(client.wire); err == nil || d.calls != 1 || server.conn.Partial() {
		t.Errorf("%d calls, want 1; error %v, input left: %v", d.calls, err, server.conn.Partial())
	}
}
