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

// page is the operators' catalogue of metrics, root the root directory of the
// module.
const (
	page = "../../docs/METRICS.md"
	root = "../.."
)

// metricTypes maps each method of the registry that writes a metric to the name
// that the page has for the type of metric.
var metricTypes = map[string]string{"Count": "counter", "Gauge": "gauge", "Observe": "timer"}

// Names of the processes that write metrics, as in the headings of the page.
const (
	controllerHeading = "Controller"
	routerHeading     = "Router"
	gatewayHeading    = "Gateway"
)

// TestMetricsPageMatchesCode compares the page with every write of a metric in
// the code: the process, the name, the type and the labels. It fails if either
// side has a metric that the other one lacks.
func TestMetricsPageMatchesCode(t *testing.T) {
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

// metricKey returns a description of a metric by which code and page are compared.
func metricKey(process, name, kind string, labels []string) string {
	return strings.Join([]string{process, name, kind, strings.Join(labels, ", ")}, " | ")
}

// metricsOnPage returns the metrics in the tables of the page. It also reports
// rows that are there twice or have no unit or no meaning.
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
		m := metricKey(heading, strings.Trim(cells[1], " `"), strings.TrimSpace(cells[2]), labels)
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

// metricsInCode returns the metrics that the code of all packages but this one
// writes. It looks for calls of the registry's methods in the syntax trees.
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
	registryNames := collectRegistryNames(packages)
	found := make(map[string]bool)
	for dir, files := range packages {
		r := metricCollector{t: t, dir: dir, registryNames: registryNames, constants: stringConstants(files), found: found}
		for _, f := range files {
			ast.Inspect(f, r.inspect)
		}
	}
	return found
}

// collectRegistryNames returns the names of all fields, parameters and variables
// that are declared as *telemetry.Registry.
func collectRegistryNames(packages map[string][]*ast.File) map[string]bool {
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

// stringConstants returns the constants of a package that are string literals.
func stringConstants(files []*ast.File) map[string]string {
	constants := make(map[string]string)
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Names) != len(spec.Values) {
				return true
			}
			for i, name := range spec.Names {
				if text, ok := stringLiteral(spec.Values[i]); ok {
					constants[name.Name] = text
				}
			}
			return true
		})
	}
	return constants
}

// stringLiteral returns the value of an expression that is a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// metricCollector collects the metrics that one package writes.
type metricCollector struct {
	t             *testing.T
	dir           string
	registryNames map[string]bool
	constants     map[string]string
	found         map[string]bool
}

// inspect records the metric if the node is a call that writes one.
func (c *metricCollector) inspect(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return true
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || metricTypes[method.Sel.Name] == "" || !c.registryNames[lastName(method.X)] {
		return true
	}
	if len(call.Args) < 2 {
		c.t.Errorf("%s: %s with %d arguments", c.dir, method.Sel.Name, len(call.Args))
		return true
	}
	var labels []string
	for i := 2; i < len(call.Args); i += 2 {
		labels = append(labels, c.text(call.Args[i]))
	}
	slices.Sort(labels)
	process := routerHeading
	if strings.Contains(filepath.ToSlash(c.dir), "internal/controller") {
		process = controllerHeading
	}
	if strings.Contains(filepath.ToSlash(c.dir), "internal/gateway") {
		process = gatewayHeading
	}
	c.found[metricKey(process, c.text(call.Args[0]), metricTypes[method.Sel.Name], labels)] = true
	return true
}

// text returns the value of a metric's name or label, which must be a string
// literal or a constant of the same package.
func (c *metricCollector) text(e ast.Expr) string {
	if text, ok := stringLiteral(e); ok {
		return text
	}
	if id, ok := e.(*ast.Ident); ok {
		if text, ok := c.constants[id.Name]; ok {
			return text
		}
	}
	c.t.Errorf("%s: a metric's name or label is no literal and no constant of its package", c.dir)
	return "?"
}

// lastName returns the last name of an expression, such as Metrics for
// e.cfg.Metrics.
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
