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

// TestEveryEventIsUsed looks for each event of the catalogue in the code of
// the other packages, tests left out.
func TestEveryEventIsUsed(t *testing.T) {
	declared := declaredNames(t)
	if len(declared) != len(All()) {
		t.Fatalf("%d declarations were found for %d events", len(declared), len(All()))
	}
	used := usedNames(t)
	for _, name := range declared {
		if !used[name] {
			t.Errorf("no code uses logevent.%s", name)
		}
	}
}

// declaredNames lists the variables that hold events.
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

func usedNames(t *testing.T) map[string]bool {
	t.Helper()
	used := make(map[string]bool)
	for _, top := range []string{"../../internal", "../../cmd"} {
		eachFile(t, top, func(f *ast.File) {
			ast.Inspect(f, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "logevent" {
					used[s.Sel.Name] = true
				}
				return true
			})
		})
	}
	return used
}

func eachFile(t *testing.T, top string, visit func(*ast.File)) {
	t.Helper()
	err := filepath.WalkDir(top, func(path string, d fs.DirEntry, err error) error {
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
