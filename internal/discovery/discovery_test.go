package discovery

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
)

// core records what it is told.
type core struct {
	full bool
	list []broker.Member
}

func (c *core) Now() time.Duration                              { return 0 }
func (c *core) After(time.Duration, func())                     {}
func (c *core) ListLost()                                       {}
func (c *core) Listed(full bool, _ int64, list []broker.Member) { c.full, c.list = full, list }

func TestListsInTheModulesTerms(t *testing.T) {
	l, err := Parse([]byte(`{"revision":43,"complete":true,"members":[
{"id":"s-1","host_port":"10.1.0.18:8000","locality":"b","flavor":"m2","cell":3,"phase":"leaving","size":1.5,"up_since_ms":0},
{"id":"s-2","host_port":"10.1.0.19:8000","locality":"c","cell":4,"phase":"active","size":1,"up_since_ms":1000500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	// The module's clock stood at 0 at 1,000 s of Unix time.
	var c core
	New(&c, nil, "", []string{"a", "b"}, time.Unix(1000, 0), zerolog.Nop()).Take(l)
	want := []broker.Member{
		{Addr: "10.1.0.18:8000", Server: decide.Server{ID: "s-1", Zone: 1, Cell: 3, State: decide.Stopping, Hint: 1.5}},
		{Addr: "10.1.0.19:8000", Server: decide.Server{ID: "s-2", Zone: 2, Cell: 4, Hint: 1, Started: 500 * time.Millisecond}},
	}
	if diff := cmp.Diff(want, c.list); diff != "" || !c.full {
		t.Errorf("full %v: %s", c.full, diff)
	}
}

func TestWhatIsNoList(t *testing.T) {
	for _, text := range []string{"", "[]", `{"members":[{"phase":"active"}]}`, `{"members":[{"id":"s-1","phase":"asleep"}]}`} {
		if l, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was taken as %+v", text, l)
		}
	}
}
