// Package docs holds tests that compare the pages with the source tree.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testName = regexp.MustCompile(`\bTest[A-Z]\w*`)
	quoted   = regexp.MustCompile("`([^`]+)`")
	link     = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
)

// notInTree is the start of the line of PROOFS.md that lists packages which are
// not merged yet.
const notInTree = "Not in the tree yet: "

// unmergedPackages returns the packages that the page lists as not merged yet. It
// reports an error for each that is in the tree, so that it is removed from the
// line and its tests are checked from then on.
func unmergedPackages(t *testing.T, page string) map[string]bool {
	t.Helper()
	packages := make(map[string]bool)
	for line := range strings.Lines(page) {
		list, ok := strings.CutPrefix(line, notInTree)
		if !ok {
			continue
		}
		for _, m := range quoted.FindAllStringSubmatch(list, -1) {
			packages[m[1]] = true
			if _, err := os.Stat(filepath.Join("..", m[1])); err == nil {
				t.Errorf("%s is in the tree; remove it from the line %q", m[1], notInTree)
			}
		}
	}
	return packages
}

// TestProofsPageNamesExistingTests checks that every test that PROOFS.md names is
// declared in the package that its row names.
func TestProofsPageNamesExistingTests(t *testing.T) {
	text, err := os.ReadFile("PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	named := 0
	later := unmergedPackages(t, string(text))
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		dir := strings.Trim(cells[1], " `")
		if later[dir] {
			continue
		}
		declared := declaredTests(t, dir)
		for _, name := range testName.FindAllString(line, -1) {
			named++
			if !declared[name] {
				t.Errorf("%s has no %s", dir, name)
			}
		}
	}
	if named == 0 {
		t.Error("the page names no tests")
	}
}

// declaredTests returns the names of the functions in a package's test files,
// which include its tests.
func declaredTests(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	declared := make(map[string]bool)
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range f.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				declared[f.Name.Name] = true
			}
		}
	}
	return declared
}

// TestRelativeLinksResolve checks that the target of every relative link of
// README.md and the pages exists.
func TestRelativeLinksResolve(t *testing.T) {
	pages := []string{"../README.md"}
	for _, pattern := range []string{"*.md", "*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, m[1], err)
			}
		}
	}
}
