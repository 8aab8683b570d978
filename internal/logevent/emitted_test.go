package logevent

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestEveryEventIsEmitted looks for every event of the catalogue in the code of
// the other packages, without their tests. An event that no code uses would stay
// in the catalogue and on the page for nothing.
func TestEveryEventIsEmitted(t *testing.T) {
	declared := declaredNames(t)
	if len(declared) != len(All()) {
		t.Fatalf("%d declarations were found for %d events", len(declared), len(All()))
	}
	emitted := emittedNames(t)
	for _, name := range declared {
		if !emitted[name] {
			t.Errorf("no code uses logevent.%s", name)
		}
	}
}

// declaredNames returns the names of the variables that hold events.
func declaredNames(t *testing.T) []string {
	t.Helper()
	var names []string
	eachFile(t, ".", func(f *ast.File) {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			for i, v := range spec.Values {
				call, ok := v.(*ast.CallExpr)
				if !ok {
					continue
				}
				if f, ok := call.Fun.(*ast.Ident); ok && f.Name == "declare" {
					names = append(names, spec.Names[i].Name)
				}
			}
			return true
		})
	})
	return names
}

// emittedNames returns the names of the package that the other code refers to.
func emittedNames(t *testing.T) map[string]bool {
	t.Helper()
	emitted := make(map[string]bool)
	for _, directory := range []string{"../../internal", "../../cmd"} {
		eachFile(t, directory, func(f *ast.File) {
			ast.Inspect(f, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "logevent" {
					emitted[s.Sel.Name] = true
				}
				return true
			})
		})
	}
	return emitted
}

// eachFile parses every Go file below a directory, except tests, and passes it to
// visit.
func eachFile(t *testing.T, directory string, visit func(*ast.File)) {
	t.Helper()
	err := filepath.WalkDir(directory, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			visit(f)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
