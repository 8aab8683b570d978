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

// Bounds of files and functions, in lines.
const (
	maxFileLines     = 500
	maxFunctionLines = 60
)

func TestFilesAndFunctionsAreShort(t *testing.T) {
	for _, f := range sources(t) {
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

func TestPackagesAreNamedByDuty(t *testing.T) {
	for _, f := range sources(t) {
		name := strings.TrimSuffix(f.syntax.Name.Name, "_test")
		if slices.Contains([]string{"util", "utils", "common", "helper", "helpers", "misc"}, name) {
			t.Errorf("%s: package %s is named by no duty", f.path, name)
		}
	}
}

// mayStartProcesses are the packages of the bench, and tests.
func mayStartProcesses(f sourceFile) bool {
	return f.test || isBelow(f.directory, []string{"internal/bench", "cmd/chestnut-load"})
}

func TestNoProxyLibraryAndNoProcesses(t *testing.T) {
	for _, f := range sources(t) {
		for _, path := range f.imports() {
			if path == "net/http/httputil" {
				t.Errorf("%s imports %s", f.path, path)
			}
			if path == "os/exec" && !mayStartProcesses(f) {
				t.Errorf("%s imports %s", f.path, path)
			}
			if !f.test && isBelow(path, []string{module + "internal/bench"}) && !mayStartProcesses(f) {
				t.Errorf("%s imports %s, which belongs to the bench", f.path, path)
			}
		}
	}
}

// pageLink finds links to pages, and pageName names of pages in the text.
var (
	pageLink = regexp.MustCompile(`\]\(([^)#:]+\.md)(#[^)]*)?\)`)
	pageName = regexp.MustCompile(`docs/[A-Za-z0-9_/-]+\.md`)
)

// TestNamedPagesExist checks the pages that README.md and the docs name.
func TestNamedPagesExist(t *testing.T) {
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
		for _, target := range targets(page, string(body)) {
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s names a page that does not exist: %s", page, target)
			}
		}
	}
}

func targets(page, text string) []string {
	var found []string
	for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
		found = append(found, filepath.Join(filepath.Dir(page), filepath.FromSlash(m[1])))
	}
	for _, name := range pageName.FindAllString(text, -1) {
		found = append(found, filepath.Join(root, filepath.FromSlash(name)))
	}
	return found
}
