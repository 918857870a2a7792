package atomicfile

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
)

func TestWriteReplacesAtomically(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.json")
	for _, text := range []string{"old", "new"} {
		if err := Write(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != text {
			t.Errorf("%q, %v", got, err)
		}
	}
	if err := Write(filepath.Join(dir, "none", "a.json"), nil); err == nil {
		t.Error("writing to a missing directory succeeded")
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("%v, %v", left, err)
	}
}

// TestPutDoesNotBlock guards the core's goroutine against a disk that no longer answers.
func TestPutDoesNotBlock(t *testing.T) {
	f := &File{next: make(chan []byte, 1)} // nobody reads: the disk does not answer
	for i := range 100 {
		f.Put([]byte(strconv.Itoa(i)))
	}
	if got := <-f.next; string(got) != "99" {
		t.Errorf("the content left to write is %s, want the latest, 99", got)
	}
}
