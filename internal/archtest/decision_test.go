package archtest

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
	"strings"
	"testing"
)

// decisionPackages hold reducers: no input or output, clock, goroutine, lock
// or shared randomness. Those that are not there yet are checked once they are.
var decisionPackages = []string{
	"internal/balance",
	"internal/route",
	"internal/dispatch",
	"internal/router",
	"internal/membership",
	"internal/configuration",
	"internal/claim/shard",
	"internal/lease",
	"internal/order",
	"internal/controller",
}

// presentPackages of those above must exist, so that a move is noticed.
const presentPackages = 7

// allowedTime are the names of package time that need no clock.
var allowedTime = []string{"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"}

// allowedRand are the names of math/rand/v2 that give generators of one's own.
var allowedRand = []string{"New", "NewPCG", "Rand", "PCG", "Source"}

// forbiddenImports are refused with all packages below them.
var forbiddenImports = []string{"net", "os", "sync", "syscall", "math/rand", "crypto/rand", "context", "runtime", "unsafe", "log", "github.com/apex/log"}

// impurities lists what a decision package's file may not have.
func impurities(f sourceFile) []string {
	var found []string
	note := func(p token.Pos, format string, args ...any) {
		found = append(found, fmt.Sprintf("%s:%d: ", f.path, f.line(p))+fmt.Sprintf(format, args...))
	}
	for _, spec := range f.syntax.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		if spec.Name != nil && spec.Name.Name == "." {
			note(spec.Pos(), "imports the names of %s", path)
		}
		if path != "math/rand/v2" && isBelow(path, forbiddenImports) {
			note(spec.Pos(), "imports %s", path)
		}
	}
	imports := f.imports()
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			note(n.Pos(), "starts a goroutine")
		case *ast.SelectStmt:
			note(n.Pos(), "selects on channels")
		case *ast.ChanType:
			note(n.Pos(), "uses a channel")
		case *ast.SendStmt:
			note(n.Pos(), "sends on a channel")
		case *ast.UnaryExpr:
			if n.Op == token.ARROW {
				note(n.Pos(), "receives from a channel")
			}
		case *ast.SelectorExpr:
			checkName(n, imports, note)
		}
		return true
	})
	return found
}

func checkName(n *ast.SelectorExpr, imports map[string]string, note func(token.Pos, string, ...any)) {
	pkg, ok := n.X.(*ast.Ident)
	if !ok {
		return
	}
	var allowed []string
	switch imports[pkg.Name] {
	case "time":
		allowed = allowedTime
	case "math/rand/v2":
		allowed = allowedRand
	default:
		return
	}
	if !slices.Contains(allowed, n.Sel.Name) {
		note(n.Pos(), "uses %s.%s", pkg.Name, n.Sel.Name)
	}
}

func isBelow(path string, roots []string) bool {
	return slices.ContainsFunc(roots, func(root string) bool {
		return path == root || strings.HasPrefix(path, root+"/")
	})
}

func TestDecisionPackagesArePure(t *testing.T) {
	seen := make(map[string]bool)
	for _, f := range sources(t) {
		if f.test || !slices.Contains(decisionPackages, f.directory) {
			continue
		}
		seen[f.directory] = true
		for _, fault := range impurities(f) {
			t.Error(fault)
		}
	}
	if len(seen) < presentPackages {
		t.Errorf("only %v of the decision packages exist", seen)
	}
}

// TestImpuritiesAreFound shows that the check above can fail.
func TestImpuritiesAreFound(t *testing.T) {
	for _, text := range []string{
		"package p\nimport \"net\"\n",
		"package p\nimport \"net/http\"\n",
		"package p\nimport \"sync/atomic\"\n",
		"package p\nimport \"math/rand\"\n",
		"package p\nimport . \"time\"\n",
		"package p\nimport \"time\"\nvar x = time.Now\n",
		"package p\nimport clock \"time\"\nvar x = clock.Since\n",
		"package p\nimport \"time\"\nvar x *time.Timer\n",
		"package p\nimport \"math/rand/v2\"\nvar x = rand.IntN(3)\n",
		"package p\nfunc f() { go f() }\n",
		"package p\nfunc f(c chan int) {}\n",
		"package p\nfunc f() { select {} }\n",
	} {
		f, err := parseText("internal/dispatch/x.go", text)
		if err != nil {
			t.Fatal(err)
		}
		if len(impurities(f)) == 0 {
			t.Errorf("nothing was found in:\n%s", text)
		}
	}
	pure := "package p\nimport (\n\"time\"\n\"math/rand/v2\"\n)\nvar x = 3 * time.Second\nvar y = rand.New(rand.NewPCG(1, 2))\n"
	f, err := parseText("internal/dispatch/x.go", pure)
	if err != nil {
		t.Fatal(err)
	}
	if found := impurities(f); len(found) > 0 {
		t.Error(found)
	}
}
