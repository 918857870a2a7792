package segments

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func writeMessages(t *testing.T, dir string, size int64, files, n int) *Writer {
	t.Helper()
	w, err := NewWriter(dir, "n0-1", size, files)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		if err := w.Append([]byte(fmt.Sprintf("message %04d", i))); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return w
}

// readAll returns the messages that can be read from all segments, and the first damage.
func readAll(t *testing.T, dir string) (got []string, damage *DamageError) {
	t.Helper()
	list, err := List(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range list {
		err := Read(path, func(b []byte) error { got = append(got, string(b)); return nil })
		if err != nil && damage == nil && !errors.As(err, &damage) {
			t.Fatal(err)
		}
	}
	return got, damage
}

func TestReadReturnsWrittenMessages(t *testing.T) {
	dir := t.TempDir()
	writeMessages(t, dir, 60, 100, 7)
	got, damage := readAll(t, dir)
	want := []string{}
	for i := range 7 {
		want = append(want, fmt.Sprintf("message %04d", i))
	}
	if diff := cmp.Diff(want, got); diff != "" || damage != nil {
		t.Errorf("damage %v, messages differ: %s", damage, diff)
	}
	if list, _ := List(dir); len(list) < 3 {
		t.Errorf("%d segments of 60 bytes for 7 messages", len(list))
	}
}

func TestOldestSegmentsAreRemoved(t *testing.T) {
	dir := t.TempDir()
	writeMessages(t, dir, 30, 3, 20)
	list, err := List(dir)
	if err != nil || len(list) != 3 {
		t.Errorf("%d segments, %v", len(list), err)
	}
	got, _ := readAll(t, dir)
	if len(got) == 0 || got[len(got)-1] != "message 0019" {
		t.Errorf("read %v, want the latest", got)
	}
}

// TestDamageIsReportedAndPrecedingMessagesRead truncates a segment at every byte, and
// flips a bit in every byte: the messages before the damage must still be read.
func TestDamageIsReportedAndPrecedingMessagesRead(t *testing.T) {
	dir := t.TempDir()
	writeMessages(t, dir, 1000, 10, 3)
	list, _ := List(dir)
	whole, err := os.ReadFile(list[0])
	if err != nil {
		t.Fatal(err)
	}
	record := headerSize + len("message 0000")
	for n := range whole {
		path := filepath.Join(t.TempDir(), "cut.seg")
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		got, damage := readAll(t, filepath.Dir(path))
		want := max(0, (n-len(magic))/record)
		ends := n >= len(magic) && (n-len(magic))%record == 0
		if len(got) != want || (damage == nil) != ends || damage != nil && !damage.Truncated {
			t.Errorf("cut at %d: %d messages, want %d; damage %v", n, len(got), want, damage)
		}
		flipped := append([]byte(nil), whole...)
		flipped[n] ^= 0x40
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		got, damage = readAll(t, filepath.Dir(path))
		if want := max(0, (n-len(magic))/record); damage == nil || len(got) != want {
			t.Errorf("byte %d wrong: %d messages, want %d; damage %v", n, len(got), want, damage)
		}
	}
}
