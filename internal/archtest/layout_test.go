package archtest

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The greatest lengths of a file and of a function outside of tests, in lines.
const (
	maxFileLines     = 500
	maxFunctionLines = 60
)

func TestFilesAndFunctionsAreShort(t *testing.T) {
	for _, f := range parseSources(t) {
		if f.test {
			continue
		}
		if f.lines > maxFileLines {
			t.Errorf("%s has %d lines, above %d", f.path, f.lines, maxFileLines)
		}
		for _, d := range f.syntax.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			if lines := f.line(fn.End()) - f.line(fn.Pos()) + 1; lines > maxFunctionLines {
				t.Errorf("%s:%d: %s has %d lines, above %d", f.path, f.line(fn.Pos()), fn.Name.Name, lines, maxFunctionLines)
			}
		}
	}
}

// TestPackageNamesAreSpecific refuses package names that say nothing about what
// the package does.
func TestPackageNamesAreSpecific(t *testing.T) {
	for _, f := range parseSources(t) {
		name := strings.TrimSuffix(f.syntax.Name.Name, "_test")
		if slices.Contains([]string{"util", "utils", "common", "helper", "helpers", "misc"}, name) {
			t.Errorf("%s: the package name %s does not say what the package does", f.path, name)
		}
	}
}

// mayStartProcesses reports whether a file may start processes: tests and the
// packages of the bench may.
func mayStartProcesses(f sourceFile) bool {
	return f.test || isAtOrBelow(f.directory, []string{"internal/bench", "cmd/chestnut-load"})
}

// TestForbiddenImports checks that no file uses net/http/httputil, the package of
// the standard library's reverse proxy, that only the bench and tests start processes, and that nothing else
// imports the bench.
func TestForbiddenImports(t *testing.T) {
	for _, f := range parseSources(t) {
		for _, path := range f.imports() {
			if path == "net/http/httputil" {
				t.Errorf("%s imports %s", f.path, path)
			}
			if path == "os/exec" && !mayStartProcesses(f) {
				t.Errorf("%s imports %s", f.path, path)
			}
			if !f.test && isAtOrBelow(path, []string{module + "internal/bench"}) && !mayStartProcesses(f) {
				t.Errorf("%s imports %s, which belongs to the bench", f.path, path)
			}
		}
	}
}

// pageLink matches links to pages, and pageName matches paths of pages in the text.
var (
	pageLink = regexp.MustCompile(`\]\(([^)#:]+\.md)(#[^)]*)?\)`)
	pageName = regexp.MustCompile(`docs/[A-Za-z0-9_/-]+\.md`)
)

// TestReferencedPagesExist checks that the pages to which README.md and the docs
// refer exist.
func TestReferencedPagesExist(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(pattern)))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	if len(pages) == 0 {
		t.Fatal("no pages were found")
	}
	for _, page := range pages {
		body, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, target := range referencedPages(page, string(body)) {
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s refers to a page that does not exist: %s", page, target)
			}
		}
	}
}

// referencedPages returns the paths of the pages to which a page's text refers,
// by a link or by the path below docs.
func referencedPages(page, text string) []string {
	var found []string
	for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
		found = append(found, filepath.Join(filepath.Dir(page), filepath.FromSlash(m[1])))
	}
	for _, name := range pageName.FindAllString(text, -1) {
		found = append(found, filepath.Join(root, filepath.FromSlash(name)))
	}
	return found
}
