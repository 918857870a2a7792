// Package keep writes what a mixer wants to find again after a restart. The file is the
// old one or the new one, never half, and nobody waits for the disk but a goroutine of
// the file's own.
package keep

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/rs/zerolog"
)

// File is a small file that is replaced as a whole.
type File struct {
	path        string
	description string // in log lines: "the fleet's snapshot"
	log         zerolog.Logger
	next        chan []byte
	lastPut     []byte
	failing     bool
}

// New keeps a file from now on.
func New(path, description string, log zerolog.Logger) *File {
	f := &File{path: path, description: description, log: log, next: make(chan []byte, 1)}
	go f.run()
	return f
}

// Put hands in the file's text. Only one goroutine may; of those that wait, the latest
// counts.
func (f *File) Put(text []byte) {
	if slices.Equal(text, f.lastPut) {
		return
	}
	f.lastPut = text
	select {
	case <-f.next: // an older one that was not written yet
	default:
	}
	f.next <- text
}

func (f *File) run() {
	for text := range f.next {
		err := Write(f.path, text)
		switch {
		case err != nil && !f.failing:
			f.log.Warn().Err(err).Str("file", f.path).Msg(f.description + " can't be written")
		case err == nil && f.failing:
			f.log.Info().Str("file", f.path).Msg(f.description + " is written again")
		}
		f.failing = err != nil
	}
}

// Write replaces a file in one step.
func Write(path string, text []byte) (err error) {
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
