package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = "../.."
	module = "github.com/chestnutline/chestnutline/"
)

// sourceFile is one Go file of the tree.
type sourceFile struct {
	// path and directory are relative to the root, with slashes.
	path      string
	directory string
	test      bool
	lines     int
	set       *token.FileSet
	syntax    *ast.File
}

func (f sourceFile) line(p token.Pos) int { return f.set.Position(p).Line }

// imports maps the names under which a file uses packages to their paths.
func (f sourceFile) imports() map[string]string {
	names := make(map[string]string)
	for _, spec := range f.syntax.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		names[importName(spec, path)] = path
	}
	return names
}

func importName(spec *ast.ImportSpec, path string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	name := path[strings.LastIndex(path, "/")+1:]
	if path == "math/rand/v2" {
		return "rand"
	}
	return name
}

// sources parses every Go file of the tree.
func sources(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "testdata") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		f, err := parse(path)
		files = append(files, f)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < 100 {
		t.Fatalf("only %d Go files were found", len(files))
	}
	return files
}

func parse(path string) (sourceFile, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return sourceFile{}, err
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return sourceFile{}, err
	}
	return parseText(filepath.ToSlash(relative), string(body))
}

// parseText parses a file's text as if it were at the path.
func parseText(path, text string) (sourceFile, error) {
	set := token.NewFileSet()
	syntax, err := parser.ParseFile(set, path, text, parser.SkipObjectResolution)
	return sourceFile{
		path:      path,
		directory: filepath.ToSlash(filepath.Dir(path)),
		test:      strings.HasSuffix(path, "_test.go"),
		lines:     strings.Count(text, "\n"),
		set:       set,
		syntax:    syntax,
	}, err
}
