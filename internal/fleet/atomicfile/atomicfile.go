// Package atomicfile writes small files that a mixer reads after a restart. A file is replaced
// atomically, and a goroutine of its own waits for the disk, so that no caller does.
package atomicfile

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/rs/zerolog"
)

// File is a small file that is replaced as a whole.
type File struct {
	path        string
	description string // for log lines: "the fleet's snapshot"
	log         zerolog.Logger
	next        chan []byte
	lastPut     []byte
	failing     bool
}

// New returns a File and starts the goroutine that writes it. description names the file in
// log lines.
func New(path, description string, log zerolog.Logger) *File {
	f := &File{path: path, description: description, log: log, next: make(chan []byte, 1)}
	go f.run()
	return f
}

// Put hands over the file's new content and doesn't wait for the disk. Only one goroutine may
// call it. If writes are slower than calls, the latest content is written.
func (f *File) Put(text []byte) {
	if slices.Equal(text, f.lastPut) {
		return
	}
	f.lastPut = text
	select {
	case <-f.next: // older content that was not written yet
	default:
	}
	f.next <- text
}

// run writes the latest content; it logs the first failure of a series and the first success
// after it.
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

// Write replaces a file atomically, by a synced temporary file that is renamed.
func Write(path string, text []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name()) // the first error is returned
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
