package accord

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/fleet/atomicfile"
	"kiteloft/internal/fleet/version"
)

const (
	stateFile = "state.json"
	logFile   = "log.db"
)

// directory implements persistence with files in a mixer's directory.
type directory struct {
	core  Core
	path  string
	state *atomicfile.File
	log   zerolog.Logger
}

func newDirectory(core Core, path string, log zerolog.Logger) *directory {
	return &directory{core, path, atomicfile.New(filepath.Join(path, stateFile), "what is agreed", log), log}
}

// LoadState implements persistence. A file that can't be read is renamed with the suffix
// ".bad"; the mixer then has no state until its first lease.
func (f *directory) LoadState() (s version.State) {
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

// SaveState implements persistence.
func (f *directory) SaveState(state []byte) { f.state.Put(state) }

// OpenLog implements persistence.
func (f *directory) OpenLog() (disk, savedLog, error) {
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

// SetLogAside implements persistence.
func (f *directory) SetLogAside() error {
	path := filepath.Join(f.path, logFile)
	if err := os.Rename(path, path+".bad"); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// fileDisk writes to a store on a goroutine of its own, one batch at a time.
type fileDisk struct {
	core Core
	s    *store
	jobs chan saveJob
}

type saveJob struct {
	b    batch
	done func(error)
}

func newFileDisk(core Core, s *store) *fileDisk {
	d := &fileDisk{core, s, make(chan saveJob, 1)}
	go d.run()
	return d
}

func (d *fileDisk) run() {
	for j := range d.jobs {
		time.Sleep(writeDelay)
		err := d.s.Save(j.b)
		d.core.Post(func() { j.done(err) })
	}
	_ = d.s.Close() // nothing is left to be written
}

// Save implements disk. It never blocks, as a replica saves one batch at a time.
func (d *fileDisk) Save(b batch, done func(error)) { d.jobs <- saveJob{b, done} }

// Close implements disk.
func (d *fileDisk) Close() { close(d.jobs) }
