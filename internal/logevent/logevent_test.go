package logevent

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestCatalogueMatchesLogsPage compares the declared events with the rows of
// docs/LOGS.md: number, level, name and meaning must be equal, and neither side
// may have an event that the other one lacks.
func TestCatalogueMatchesLogsPage(t *testing.T) {
	rows := pageRows(t)
	for _, e := range All() {
		row := fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Name, e.Meaning)
		if !rows[row] {
			t.Errorf("docs/LOGS.md lacks the row: %s", row)
		}
		delete(rows, row)
	}
	for row := range rows {
		t.Errorf("docs/LOGS.md has a row that no code declares: %s", row)
	}
}

// pageRows returns the rows of docs/LOGS.md that begin with a number.
func pageRows(t *testing.T) map[string]bool {
	t.Helper()
	f, err := os.Open("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rows := make(map[string]bool)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows[line] = true
		}
	}
	return rows
}
