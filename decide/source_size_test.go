package decide

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestSourceFilesStaySmall bounds the lines and columns of each source file of the package.
func TestSourceFilesStaySmall(t *testing.T) {
	const mostLines, mostColumns = 700, 110
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > mostColumns {
				t.Errorf("%s:%d has %d columns, at most %d", name, i+1, n, mostColumns)
			}
		}
		if lines > mostLines {
			t.Errorf("%s has %d lines that are not blank, at most %d", name, lines, mostLines)
		}
	}
}
