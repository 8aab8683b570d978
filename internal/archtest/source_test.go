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
	// root is the root of the source tree, relative to this package.
	root = "../.."
	// module is the path under which the tree's packages are imported.
	module = "github.com/chestnutline/chestnutline/"
)

// sourceFile is one parsed Go file of the tree.
type sourceFile struct {
	// path and directory are relative to the root, with slashes.
	path      string
	directory string
	// test is true if the file's name ends in _test.go.
	test    bool
	lines   int
	fileSet *token.FileSet
	syntax  *ast.File
}

// line returns the line number of a position.
func (f sourceFile) line(p token.Pos) int { return f.fileSet.Position(p).Line }

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

// importName returns the name under which a file uses an imported package.
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

// parseSources parses every Go file of the tree.
func parseSources(t *testing.T) []sourceFile {
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
		f, err := parseFile(path)
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

// parseFile reads and parses one Go file.
func parseFile(path string) (sourceFile, error) {
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

// parseText parses a text as if it were the file with the path.
func parseText(path, text string) (sourceFile, error) {
	fileSet := token.NewFileSet()
	syntax, err := parser.ParseFile(fileSet, path, text, parser.SkipObjectResolution)
	return sourceFile{
		path:      path,
		directory: filepath.ToSlash(filepath.Dir(path)),
		test:      strings.HasSuffix(path, "_test.go"),
		lines:     strings.Count(text, "\n"),
		fileSet:   fileSet,
		syntax:    syntax,
	}, err
}
