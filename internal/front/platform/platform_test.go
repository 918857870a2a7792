package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/front"
	"kiteloft/internal/transport"
)

// fakeCore implements front.Core. It records admitted queries and runs its timers when the test
// advances the time.
type fakeCore struct {
	now      time.Duration
	timers   []func()
	admitted []broker.Query
}

func (d *fakeCore) Now() time.Duration              { return d.now }
func (d *fakeCore) ReadClock() time.Duration        { return d.now }
func (d *fakeCore) After(_ time.Duration, f func()) { d.timers = append(d.timers, f) }
func (d *fakeCore) Post(fn func())                  { fn() }
func (d *fakeCore) InBackground(fn func())          { fn() }
func (d *fakeCore) TurnSpent() bool                 { return false }
func (d *fakeCore) Admit(q broker.Query) (broker.Admission, *broker.QueryHandle) {
	d.admitted = append(d.admitted, q)
	return broker.Taken, nil
}

// advance moves the clock and runs all timers that were set.
func (d *fakeCore) advance(t time.Duration) {
	d.now += t
	list := d.timers
	d.timers = nil
	for _, fn := range list {
		fn()
	}
}

// fakeConn implements front.Conn. If unread is set, bytes from the client have not been handled.
type fakeConn struct {
	written string
	unread  bool
	closes  []transport.End
}

func (l *fakeConn) Write(b []byte) int64      { l.written += string(b); return 0 }
func (l *fakeConn) Close(e transport.End)     { l.closes = append(l.closes, e) }
func (l *fakeConn) CloseIfReset()             {}
func (l *fakeConn) InputDrained() bool        { return !l.unread }
func (l *fakeConn) DiscardInput() bool        { return false }
func (l *fakeConn) PeerGone() bool            { return false }
func (l *fakeConn) InputDelay() time.Duration { return 0 }
func (l *fakeConn) Flushed() bool             { return true }
func (l *fakeConn) Unsent() int               { return 0 }
func (l *fakeConn) Finish(e transport.End)    { l.closes = append(l.closes, e) }

// fakeLimit implements front.ConnectionLimit.
type fakeLimit struct{ crowded bool }

func (s fakeLimit) NearLimit() bool { return s.crowded }
func (s fakeLimit) HalfUsed() bool  { return s.crowded }

func queryRequest(owner string) []byte {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`
	return fmt.Appendf(nil, "POST /read HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline-Ms: 400\r\n%sContent-Length: %d\r\n\r\n%s", owner, len(body), body)
}

func TestTenantIsReadFromHeader(t *testing.T) {
	tenants := []decide.Tenant{{Name: "retail"}, {Name: "export"}}
	tests := []struct {
		name, header string
		tenants      []decide.Tenant
		want         int
	}{
		{"first tenant", "Req-Owner: retail\r\n", tenants, 0},
		{"second tenant", "req-owner:export\r\n", tenants, 1},
		{"unknown tenant", "Req-Owner: Export\r\n", tenants, front.NoTenant},
		{"no header", "", tenants, front.NoTenant},
		{"two headers", "Req-Owner: retail\r\nReq-Owner: export\r\n", tenants, front.NoTenant},
		{"no tenants in the settings", "Req-Owner: retail\r\n", nil, front.NoTenant},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &fakeCore{now: time.Hour}
			f := New(d, []decide.Class{{Name: "read"}}, tt.tenants, fakeLimit{}, zerolog.Nop())
			f.Accept(&fakeConn{}).Data(queryRequest(tt.header))
			if len(d.admitted) != 1 || d.admitted[0].Tenant != tt.want {
				t.Errorf("admitted %+v, want tenant %d", d.admitted, tt.want)
			}
		})
	}
}

// TestConnectionWithUnreadInputStaysOpen guards against requests that are lost because the
// connection is closed while bytes of the client have arrived and have not been parsed, for
// each reason to close.
func TestConnectionWithUnreadInputStaysOpen(t *testing.T) {
	for _, unread := range []bool{false, true} {
		tests := []struct {
			name string
			do   func(d *fakeCore, f *Front, c *client)
		}{
			{"idle timeout", func(d *fakeCore, _ *Front, c *client) { c.hasRequested = true; d.advance(time.Hour) }},
			{"no request after connect", func(d *fakeCore, _ *Front, _ *client) { d.advance(front.RequestReadTimeout + time.Second) }},
			{"shutdown", func(d *fakeCore, f *Front, c *client) { c.hasRequested = true; f.Stop(); d.advance(time.Second) }},
			{"connection limit near", func(_ *fakeCore, f *Front, _ *client) { f.closeIdlest() }},
		}
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s, %v", tt.name, unread), func(t *testing.T) {
				d, l := &fakeCore{now: time.Hour}, &fakeConn{unread: unread}
				f := New(d, []decide.Class{{Name: "read"}}, nil, fakeLimit{}, zerolog.Nop())
				c := f.Accept(l).(*client)
				f.Ready()
				tt.do(d, f, c)
				if closed := len(l.closes) > 0; closed == unread {
					t.Errorf("connection closed: %v, want the opposite", closed)
				}
			})
		}
	}
}

// TestAnswerClosesOnlyConnectionsWithoutUnreadInput checks that an answer ends its connection,
// when connections are scarce or the mixer is shutting down, only if no further input of the
// client is waiting.
func TestAnswerClosesOnlyConnectionsWithoutUnreadInput(t *testing.T) {
	for _, unread := range []bool{false, true} {
		for _, why := range []string{"descriptors", "end"} {
			d, l := &fakeCore{now: time.Hour}, &fakeConn{unread: unread}
			f := New(d, []decide.Class{{Name: "read"}}, nil, fakeLimit{crowded: why == "descriptors"}, zerolog.Nop())
			f.closing = why == "end"
			f.Accept(l).Data(queryRequest(""))
			d.admitted[0].Responder.Failed(false)
			got := []bool{strings.Contains(l.written, "Connection: close"), len(l.closes) > 0}
			if diff := cmp.Diff([]bool{!unread, !unread}, got); diff != "" {
				t.Errorf("%s, unread input %v: %s", why, unread, diff)
			}
		}
	}
}
