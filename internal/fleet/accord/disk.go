package accord

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/fleet/keep"
	"kiteloft/internal/fleet/version"
)

const (
	stateFile = "state.json"
	logFile   = "log.db"
)

// directory implements persistence with files in a mixer's directory.
type folder struct {
	core  Core
	path  string
	state *keep.File
	log   zerolog.Logger
}

func newFolder(core Core, path string, log zerolog.Logger) *folder {
	return &folder{core, path, keep.New(filepath.Join(path, stateFile), "what is agreed", log), log}
}

// Known implements persistence. A file that can't be read is renamed with the suffix
// ".bad"; the mixer then has no state until its first lease.
func (f *folder) Known() (s version.State) {
	path := filepath.Join(f.path, stateFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s
	}
	if err == nil {
		if err = json.Unmarshal(text, &s); err == nil {
			return s
		}
		err = errors.Join(err, os.Rename(path, path+".bad"))
	}
	f.log.Warn().Err(err).Str("file", path).Msg("accord: the stored state can't be read and is set aside")
	return version.State{}
}

// Keep implements persistence.
func (f *folder) Keep(state []byte) { f.state.Put(state) }

// Open implements persistence.
func (f *folder) Open() (disk, loaded, error) {
	path := filepath.Join(f.path, logFile)
	s, l, damaged, err := openStore(path)
	if damaged != nil {
		f.log.Error().Err(damaged).Str("file", path).Msg("accord: the log is damaged and set aside; this mixer opens a new replica")
	}
	if err != nil {
		return nil, l, err
	}
	return newFileDisk(f.core, s), l, nil
}

// Aside implements persistence.
func (f *folder) Aside() error {
	path := filepath.Join(f.path, logFile)
	if err := os.Rename(path, path+".bad"); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// storeWriter writes to a store on a goroutine of its own, one batch at a time.
type fileDisk struct {
	core Core
	s    *store
	next chan job
}

type job struct {
	b    batch
	done func(error)
}

func newFileDisk(core Core, s *store) *fileDisk {
	d := &fileDisk{core, s, make(chan job, 1)}
	go d.run()
	return d
}

func (d *fileDisk) run() {
	for j := range d.next {
		time.Sleep(writeTakes)
		err := d.s.Save(j.b)
		d.core.Post(func() { j.done(err) })
	}
	_ = d.s.Close() // nothing is left to be written
}

// Save implements logWriter. It never blocks, as a replica saves one batch at a time.
func (d *fileDisk) Save(b batch, done func(error)) { d.next <- job{b, done} }

// Close implements logWriter.
func (d *fileDisk) Close() { close(d.next) }
