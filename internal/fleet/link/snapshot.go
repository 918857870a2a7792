package link

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"kiteloft/internal/fleet/member"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// snapshot is what a mixer finds of the fleet when it starts again.
type snapshot struct {
	Name       string  `json:"name"`
	Generation uint32  `json:"generation"` // of our last start
	Members    []known `json:"members"`
	Sum        string  `json:"sum"` // of all else
}

type known struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

func (s snapshot) sum() string {
	text := fmt.Sprintf("%q %d", s.Name, s.Generation)
	for _, k := range s.Members {
		text += fmt.Sprintf(" %q %q %q", k.ID, k.Zone, k.Addr)
	}
	return fmt.Sprintf("%016x", xxh3.HashString(text))
}

// load reads a snapshot. One that can't be used is set aside, and the mixer starts
// without.
func load(path, name string, log zerolog.Logger) (s snapshot) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s
	}
	if err == nil {
		if err = json.Unmarshal(text, &s); err == nil && (s.Name != name || s.Sum != s.sum()) {
			err = errors.New("its sum is wrong, or it is another mixer's")
		}
		if err == nil {
			return s
		}
		if e := os.Rename(path, path+".bad"); e != nil {
			err = errors.Join(err, e)
		}
	}
	log.Warn().Err(err).Str("file", path).Msg("the fleet's snapshot can't be used and is set aside")
	return snapshot{}
}

// keeper writes snapshots on a goroutine of its own: the loop never waits for a disk. Of
// those that wait, the latest counts.
type keeper struct {
	path  string
	log   zerolog.Logger
	next  chan snapshot
	wrote string
	fails bool
}

func keep(path string, log zerolog.Logger) *keeper {
	k := &keeper{path: path, log: log, next: make(chan snapshot, 1)}
	go k.run()
	return k
}

// put hands in a snapshot; only one goroutine may.
func (k *keeper) put(s snapshot) {
	s.Sum = s.sum()
	if s.Sum == k.wrote {
		return
	}
	k.wrote = s.Sum
	select {
	case <-k.next: // an older one that was not written yet
	default:
	}
	k.next <- s
}

func (k *keeper) run() {
	for s := range k.next {
		err := write(k.path, s)
		switch {
		case err != nil && !k.fails:
			k.log.Warn().Err(err).Str("file", k.path).Msg("the fleet's snapshot can't be written")
		case err == nil && k.fails:
			k.log.Info().Str("file", k.path).Msg("the fleet's snapshot is written again")
		}
		k.fails = err != nil
	}
}

// write replaces the file in one step: it is the old one or the new one, never half.
func write(path string, s snapshot) (err error) {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name()) // the first error counts
		}
	}()
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}

// snapshotOf is what is kept of a view.
func snapshotOf(name string, m *member.Machine) snapshot {
	s := snapshot{Name: name, Generation: m.Self().Life.Generation}
	for _, e := range m.View() {
		if !e.Self && e.Record.State == member.Alive {
			s.Members = append(s.Members, known{e.ID, e.Zone, e.Addr})
		}
	}
	return s
}
