package segments

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzRead checks that Read on arbitrary files does not panic, and returns no more
// bytes of messages than the file holds.
func FuzzRead(f *testing.F) {
	f.Add([]byte(magic))
	f.Add([]byte(magic + "\x00\x00\x00\x01\xb1\xf8\x2e\x4c\x61"))
	f.Fuzz(func(t *testing.T, b []byte) {
		path := filepath.Join(t.TempDir(), "x.seg")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		took := 0
		_ = Read(path, func(m []byte) error { took += headerSize + len(m); return nil })
		if took > len(b) {
			t.Fatalf("%d bytes of messages in %d", took, len(b))
		}
	})
}
