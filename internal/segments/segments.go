// Package segments stores messages in files of bounded size and number. Each file
// begins with a header that names the format. Each message is preceded by its length
// and a checksum, so that a message cut short when the process was killed is detected.
package segments

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	magic      = "KLTRACE1"
	suffix     = ".seg"
	headerSize = 8        // bytes: length and checksum of a message
	maxMessage = 64 << 20 // bytes; a greater length means that the file is corrupt
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Writer writes segments into a directory. It is not safe for concurrent use.
type Writer struct {
	dir     string
	name    string
	size    int64
	files   int
	seq     int
	file    *os.File
	written int64
}

// NewWriter creates dir if it is missing and returns a Writer of segments of about size
// bytes each. At most files segments are left in the directory; the oldest are removed.
// File names begin with name, which must differ at each start of the process.
func NewWriter(dir, name string, size int64, files int) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("segments: %w", err)
	}
	return &Writer{dir: dir, name: name, size: size, files: files}, nil
}

// Append writes a message. After an error the open segment is left as it is, and the
// next message begins a new one.
func (w *Writer) Append(b []byte) error {
	if w.file != nil && w.written+int64(len(b)) > w.size {
		if err := w.Close(); err != nil {
			return err
		}
	}
	if w.file == nil {
		if err := w.open(); err != nil {
			return err
		}
	}
	out := make([]byte, headerSize, headerSize+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(b, castagnoli))
	n, err := w.file.Write(append(out, b...))
	w.written += int64(n)
	if err != nil {
		_ = w.file.Close() // the error of the write says more
		w.file = nil
		return fmt.Errorf("segments: %w", err)
	}
	return nil
}

func (w *Writer) open() error {
	w.seq++
	path := filepath.Join(w.dir, fmt.Sprintf("%s-%06d%s", w.name, w.seq, suffix))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("segments: %w", err)
	}
	if _, err := io.WriteString(f, magic); err != nil {
		_ = f.Close() // the error of the write says more
		return fmt.Errorf("segments: %w", err)
	}
	w.file, w.written = f, int64(len(magic))
	return w.prune()
}

// prune removes the oldest segments beyond the allowed number.
func (w *Writer) prune() error {
	list, err := List(w.dir)
	if err != nil {
		return err
	}
	for len(list) > w.files {
		if err := os.Remove(list[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("segments: %w", err)
		}
		list = list[1:]
	}
	return nil
}

// Close closes the open segment, if any. The next message begins a new one.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	if err := f.Close(); err != nil {
		return fmt.Errorf("segments: %w", err)
	}
	return nil
}

// List returns the paths of the segments in a directory, oldest first. They are sorted by
// modification time, as several mixers may share the directory.
func List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("segments: %w", err)
	}
	type file struct {
		path string
		at   int64
	}
	var files []file
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), suffix) {
			continue
		}
		info, err := e.Info()
		if errors.Is(err, os.ErrNotExist) {
			continue // removed since the directory was read
		}
		if err != nil {
			return nil, fmt.Errorf("segments: %w", err)
		}
		files = append(files, file{filepath.Join(dir, e.Name()), info.ModTime().UnixNano()})
	}
	slices.SortFunc(files, func(a, b file) int {
		if a.at != b.at {
			if a.at < b.at {
				return -1
			}
			return 1
		}
		return strings.Compare(a.path, b.path)
	})
	paths := make([]string, len(files))
	for i, f := range files {
		paths[i] = f.path
	}
	return paths, nil
}

// DamageError reports the offset from which on a segment can't be read.
type DamageError struct {
	Path      string
	Offset    int64
	Truncated bool // the end is missing, as after the process was killed; otherwise the bytes are wrong
	Detail    string
}

func (d *DamageError) Error() string {
	kind := "corrupt"
	if d.Truncated {
		kind = "cut"
	}
	return fmt.Sprintf("%s is %s at byte %d: %s", d.Path, kind, d.Offset, d.Detail)
}

// Read passes the messages of a segment to take, in order. It returns a *DamageError if
// the file can't be read to its end or take fails; the messages before that point have
// been passed on.
func Read(path string, take func([]byte) error) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("segments: %w", err)
	}
	defer func() { _ = f.Close() }() // read only
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(f, head); err != nil {
		return &DamageError{Path: path, Truncated: true, Detail: "the header is incomplete"}
	}
	if string(head) != magic {
		return &DamageError{Path: path, Detail: "not a file of traces, or of a later format"}
	}
	at := int64(len(magic))
	for {
		var h [headerSize]byte
		switch _, err := io.ReadFull(f, h[:]); {
		case err == io.EOF:
			return nil
		case err != nil:
			return &DamageError{Path: path, Offset: at, Truncated: true, Detail: "the length and checksum of a message are incomplete"}
		}
		n := binary.BigEndian.Uint32(h[:])
		// A corrupt length must not make the reader allocate up to 4 GiB.
		if n > maxMessage {
			return &DamageError{Path: path, Offset: at, Detail: fmt.Sprintf("a message of %d bytes exceeds the limit", n)}
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(f, b); err != nil {
			return &DamageError{Path: path, Offset: at, Truncated: true, Detail: "a message is incomplete"}
		}
		if crc32.Checksum(b, castagnoli) != binary.BigEndian.Uint32(h[4:]) {
			return &DamageError{Path: path, Offset: at, Detail: "the checksum of a message differs"}
		}
		if err := take(b); err != nil {
			return &DamageError{Path: path, Offset: at, Detail: err.Error()}
		}
		at += headerSize + int64(n)
	}
}
