package telemetry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// page is the operators' catalogue of metrics, root the module's directory.
const (
	page = "../../docs/METRICS.md"
	root = "../.."
)

// typeOf is what the page calls the metrics that each method writes.
var typeOf = map[string]string{"Count": "counter", "Gauge": "gauge", "Observe": "timer"}

// writtenBy names the processes as the page's headings do.
const (
	byController = "Controller"
	byRouter     = "Router"
	byGateway    = "Gateway"
)

// TestPageMatchesCode compares the page with every write of a metric in the
// code: the process, the name, the type and the labels, in both directions.
func TestPageMatchesCode(t *testing.T) {
	code, documented := metricsInCode(t), metricsOnPage(t)
	if len(code) == 0 {
		t.Fatal("no metric was found in the code")
	}
	for m := range code {
		if !documented[m] {
			t.Errorf("the page lacks: %s", m)
		}
	}
	for m := range documented {
		if !code[m] {
			t.Errorf("the code never writes: %s", m)
		}
	}
}

func describe(process, name, kind string, labels []string) string {
	return strings.Join([]string{process, name, kind, strings.Join(labels, ", ")}, " | ")
}

func metricsOnPage(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]bool)
	heading := ""
	for line := range strings.Lines(string(text)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			heading = strings.TrimSpace(title)
		}
		cells := strings.Split(line, "|")
		if len(cells) != 7 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		var labels []string
		for _, l := range strings.Split(cells[4], ",") {
			if l = strings.Trim(l, " `"); l != "" {
				labels = append(labels, l)
			}
		}
		m := describe(heading, strings.Trim(cells[1], " `"), strings.TrimSpace(cells[2]), labels)
		if found[m] {
			t.Errorf("the page lists twice: %s", m)
		}
		found[m] = true
		for _, i := range []int{3, 5} {
			if strings.TrimSpace(cells[i]) == "" {
				t.Errorf("unit or meaning is missing: %s", m)
			}
		}
	}
	return found
}

// metricsInCode reads every package but this one.
func metricsInCode(t *testing.T) map[string]bool {
	t.Helper()
	packages := make(map[string][]*ast.File)
	for _, top := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			packages[filepath.Dir(path)] = append(packages[filepath.Dir(path)], f)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	delete(packages, filepath.Join(root, "internal", "telemetry"))
	holders := holdersOf(packages)
	found := make(map[string]bool)
	for dir, files := range packages {
		r := reader{t: t, dir: dir, holders: holders, constants: constantsOf(files), found: found}
		for _, f := range files {
			ast.Inspect(f, r.inspect)
		}
	}
	return found
}

// holdersOf collects the names of all fields, parameters and variables
// declared as *telemetry.Registry.
func holdersOf(packages map[string][]*ast.File) map[string]bool {
	names := make(map[string]bool)
	add := func(kind ast.Expr, list []*ast.Ident) {
		star, ok := kind.(*ast.StarExpr)
		if !ok {
			return
		}
		s, ok := star.X.(*ast.SelectorExpr)
		if !ok {
			return
		}
		if x, ok := s.X.(*ast.Ident); ok && x.Name == "telemetry" && s.Sel.Name == "Registry" {
			for _, n := range list {
				names[n.Name] = true
			}
		}
	}
	for _, files := range packages {
		for _, f := range files {
			ast.Inspect(f, func(n ast.Node) bool {
				switch d := n.(type) {
				case *ast.Field:
					add(d.Type, d.Names)
				case *ast.ValueSpec:
					add(d.Type, d.Names)
				}
				return true
			})
		}
	}
	return names
}

// constantsOf collects a package's constants that are string literals.
func constantsOf(files []*ast.File) map[string]string {
	constants := make(map[string]string)
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Names) != len(spec.Values) {
				return true
			}
			for i, name := range spec.Names {
				if text, ok := literal(spec.Values[i]); ok {
					constants[name.Name] = text
				}
			}
			return true
		})
	}
	return constants
}

func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// reader collects the metrics that one package writes.
type reader struct {
	t         *testing.T
	dir       string
	holders   map[string]bool
	constants map[string]string
	found     map[string]bool
}

func (r *reader) inspect(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return true
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || typeOf[method.Sel.Name] == "" || !r.holders[lastName(method.X)] {
		return true
	}
	if len(call.Args) < 2 {
		r.t.Errorf("%s: %s with %d arguments", r.dir, method.Sel.Name, len(call.Args))
		return true
	}
	var labels []string
	for i := 2; i < len(call.Args); i += 2 {
		labels = append(labels, r.text(call.Args[i]))
	}
	slices.Sort(labels)
	process := byRouter
	if strings.Contains(filepath.ToSlash(r.dir), "internal/controller") {
		process = byController
	}
	if strings.Contains(filepath.ToSlash(r.dir), "internal/gateway") {
		process = byGateway
	}
	r.found[describe(process, r.text(call.Args[0]), typeOf[method.Sel.Name], labels)] = true
	return true
}

// text resolves a name or label that must be a literal or a constant.
func (r *reader) text(e ast.Expr) string {
	if text, ok := literal(e); ok {
		return text
	}
	if id, ok := e.(*ast.Ident); ok {
		if text, ok := r.constants[id.Name]; ok {
			return text
		}
	}
	r.t.Errorf("%s: a metric's name or label is no literal and no constant of its package", r.dir)
	return "?"
}

// lastName is the name at the end of an expression such as e.cfg.Metrics.
func lastName(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		return x.Sel.Name
	default:
		return ""
	}
}
