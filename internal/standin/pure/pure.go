// Package pure checks in tests that a package has no side effects: no I/O, no clock, no goroutine.
package pure

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// clocks are the functions of package time that read a clock or wait.
var clocks = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// Imports fails the test if a non-test file in the test's directory imports a package that is
// not in allowed, reads a clock or starts a goroutine.
func Imports(t testing.TB, allowed ...string) {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil || len(paths) == 0 {
		t.Fatal("no Go files in the test's directory", err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		files := token.NewFileSet()
		f, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				t.Errorf("%v starts a goroutine", files.Position(n.Pos()))
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clocks, n.Sel.Name) {
					t.Errorf("%v reads a clock", files.Position(n.Pos()))
				}
			}
			return true
		})
		for _, i := range f.Imports {
			if name, _ := strconv.Unquote(i.Path.Value); !slices.Contains(allowed, name) {
				t.Errorf("%s imports %s", path, name)
			}
		}
	}
}
