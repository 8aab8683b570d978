package logevent

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestCatalogueMatchesDocument compares the declared events with the rows of docs/LOGS.md.
func TestCatalogueMatchesDocument(t *testing.T) {
	rows := documentRows(t)
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

func documentRows(t *testing.T) map[string]bool {
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
