package callers

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/dispatch"
)

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// codesOnPage reads the table of codes with their statuses.
func codesOnPage(t *testing.T) map[dispatch.Code]string {
	t.Helper()
	_, section, _ := strings.Cut(readPage(t), "\n## Refusals and failures\n")
	section, _, _ = strings.Cut(section, "\n## ")
	codes := make(map[dispatch.Code]string)
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		code := dispatch.Code(strings.Trim(cells[1], " `"))
		if _, twice := codes[code]; twice {
			t.Errorf("%s is listed twice", code)
		}
		codes[code] = strings.TrimSpace(cells[2])
	}
	return codes
}

// codesOfGuard reads the codes that the host's guard tells callers.
func codesOfGuard(t *testing.T) []dispatch.Code {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "../traffic/guard.go", nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var codes []dispatch.Code
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.SelectorExpr); !ok || kind.Sel.Name != "Code" {
			return true
		}
		for _, v := range spec.Values {
			text, err := strconv.Unquote(v.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			codes = append(codes, dispatch.Code(text))
		}
		return true
	})
	if len(codes) == 0 {
		t.Fatal("no codes were found in the guard")
	}
	return codes
}

// TestPageListsEveryCode compares the page's codes and statuses with what
// callers are sent, in both directions.
func TestPageListsEveryCode(t *testing.T) {
	page := codesOnPage(t)
	sent := make(map[dispatch.Code]string)
	for code := range problemKinds {
		sent[code] = fmt.Sprint(newProblem("r", code, dispatch.OutcomeNotRun).Status)
	}
	for _, code := range codesOfGuard(t) {
		sent[code] = fmt.Sprint(newProblem("r", code, dispatch.OutcomeNotRun).Status)
	}
	for code, status := range sent {
		if page[code] != status {
			t.Errorf("%s: the page has status %q, callers get %s", code, page[code], status)
		}
	}
	for code := range page {
		if sent[code] == "" {
			t.Errorf("the page lists %s, which no caller gets", code)
		}
	}
}

// TestPageListsEveryLimit compares the table of limits with the constants.
func TestPageListsEveryLimit(t *testing.T) {
	_, section, _ := strings.Cut(readPage(t), "\n## Limits\n")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string]string{
		"body of a model request":                           fmt.Sprintf("%d bytes", MaxBodyBytes),
		"body of a service call":                            fmt.Sprintf("%d bytes", MaxCallBytes),
		"headers together":                                  fmt.Sprintf("%d bytes (the library allows some more)", maxHeaderBytes),
		"time for the headers":                              seconds(DefaultTimeouts().Header.Seconds()),
		"time for the body":                                 seconds(DefaultTimeouts().Body.Seconds()) + ", and it counts towards the time limit",
		"time for one write of the answer to a slow caller": seconds(DefaultTimeouts().Write.Seconds()),
		"connection without a request":                      seconds(DefaultTimeouts().Idle.Seconds()),
		"`max_tokens`":                                      fmt.Sprintf("1 to %d; %d where absent", MaxAnswerTokens, defaultAnswerTokens),
		"`X-Time-Limit-Ms`":                                 fmt.Sprintf("%d to the kind's greatest limit", minTimeLimit.Milliseconds()),
		"`Idempotency-Key`":                                 fmt.Sprintf("%d bytes", maxIdempotencyKeyBytes),
	}
	for what, limit := range rows {
		if row := "| " + what + " | " + limit + " |\n"; !strings.Contains(section, row) {
			t.Errorf("the page lacks the row %q", row)
		}
	}
}

func seconds(n float64) string { return fmt.Sprintf("%gs", n) }
