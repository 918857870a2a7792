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

// desk is a core that notes what it is asked, and holds its timers until time passes.
type desk struct {
	now   time.Duration
	due   []func()
	asked []broker.Query
}

func (d *desk) Now() time.Duration              { return d.now }
func (d *desk) ReadClock() time.Duration        { return d.now }
func (d *desk) After(_ time.Duration, f func()) { d.due = append(d.due, f) }
func (d *desk) Post(fn func())                  { fn() }
func (d *desk) Admit(q broker.Query) (broker.Admission, *broker.QueryHandle) {
	d.asked = append(d.asked, q)
	return broker.Taken, nil
}

// pass lets time go by and runs what was waiting for that.
func (d *desk) pass(t time.Duration) {
	d.now += t
	list := d.due
	d.due = nil
	for _, fn := range list {
		fn()
	}
}

// line is a connection; loud says that something on it has not been looked at.
type line struct {
	said string
	loud bool
	ends []transport.End
}

func (l *line) Write(b []byte) int64      { l.said += string(b); return 0 }
func (l *line) Close(e transport.End)     { l.ends = append(l.ends, e) }
func (l *line) CloseIfReset()             {}
func (l *line) InputDrained() bool        { return !l.loud }
func (l *line) InputDelay() time.Duration { return 0 }
func (l *line) Flushed() bool             { return true }
func (l *line) Finish(e transport.End)    { l.ends = append(l.ends, e) }

// space is room for all, or hardly any.
type space struct{ crowded bool }

func (s space) Crowded() bool { return s.crowded }
func (s space) Busy() bool    { return s.crowded }

func ask(owner string) []byte {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`
	return fmt.Appendf(nil, "POST /read HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline-Ms: 400\r\n%sContent-Length: %d\r\n\r\n%s", owner, len(body), body)
}

func TestWhoseQueryItIs(t *testing.T) {
	tenants := []decide.Tenant{{Name: "retail"}, {Name: "export"}}
	tests := []struct {
		name, header string
		tenants      []decide.Tenant
		want         int
	}{
		{"the first", "Req-Owner: retail\r\n", tenants, 0},
		{"the second", "req-owner:export\r\n", tenants, 1},
		{"one that the settings don't know", "Req-Owner: Export\r\n", tenants, front.NoTenant},
		{"nobody", "", tenants, front.NoTenant},
		{"two at once", "Req-Owner: retail\r\nReq-Owner: export\r\n", tenants, front.NoTenant},
		{"where there are none", "Req-Owner: retail\r\n", nil, front.NoTenant},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &desk{now: time.Hour}
			f := New(d, []decide.Class{{Name: "read"}}, tt.tenants, space{}, zerolog.Nop())
			f.Accept(&line{}).Data(ask(tt.header))
			if len(d.asked) != 1 || d.asked[0].Tenant != tt.want {
				t.Errorf("asked %+v, want tenant %d", d.asked, tt.want)
			}
		})
	}
}

// TestAConnectionIsNotShutOverARequest that has been read and not looked at, whatever it is to
// be shut for.
func TestAConnectionIsNotShutOverARequest(t *testing.T) {
	for _, loud := range []bool{false, true} {
		tests := []struct {
			name string
			do   func(d *desk, f *Front, c *client)
		}{
			{"it rests for too long", func(d *desk, _ *Front, c *client) { c.served = true; d.pass(time.Hour) }},
			{"it has said nothing", func(d *desk, _ *Front, _ *client) { d.pass(front.RequestReadTimeout + time.Second) }},
			{"the mixer ends", func(d *desk, f *Front, c *client) { c.served = true; f.Stop(); d.pass(time.Second) }},
			{"room is made for another", func(_ *desk, f *Front, _ *client) { f.makeRoom() }},
		}
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s, %v", tt.name, loud), func(t *testing.T) {
				d, l := &desk{now: time.Hour}, &line{loud: loud}
				f := New(d, []decide.Class{{Name: "read"}}, nil, space{}, zerolog.Nop())
				c := f.Accept(l).(*client)
				f.Ready()
				tt.do(d, f, c)
				if shut := len(l.ends) > 0; shut == loud {
					t.Errorf("it was shut: %v", shut)
				}
			})
		}
	}
}

// TestAnAnswerClosesOnlyWhatNothingWaitsOn: few descriptors, or the mixer's end.
func TestAnAnswerClosesOnlyWhatNothingWaitsOn(t *testing.T) {
	for _, loud := range []bool{false, true} {
		for _, why := range []string{"descriptors", "end"} {
			d, l := &desk{now: time.Hour}, &line{loud: loud}
			f := New(d, []decide.Class{{Name: "read"}}, nil, space{crowded: why == "descriptors"}, zerolog.Nop())
			f.closing = why == "end"
			f.Accept(l).Data(ask(""))
			d.asked[0].Responder.Failed(false)
			got := []bool{strings.Contains(l.said, "Connection: close"), len(l.ends) > 0}
			if diff := cmp.Diff([]bool{!loud, !loud}, got); diff != "" {
				t.Errorf("%s, something waits %v: %s", why, loud, diff)
			}
		}
	}
}
