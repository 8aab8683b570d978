package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Table holds the measurements of one part of the system at several sizes, as
// text.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

func (t *Table) add(cells ...string) {
	t.Rows = append(t.Rows, cells)
}

// Write prints the table in Markdown.
func (t *Table) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n", t.Title)
	row := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	row(t.Columns)
	rules := make([]string, len(t.Columns))
	for i := range rules {
		rules[i] = "---"
	}
	row(rules)
	for _, r := range t.Rows {
		row(r)
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write the table "+t.Title)
}

func formatNumber(n float64) string {
	switch {
	case n == math.Trunc(n) && math.Abs(n) < 1e6:
		return fmt.Sprintf("%.0f", n)
	case math.Abs(n) >= 100:
		return fmt.Sprintf("%.0f", n)
	default:
		return fmt.Sprintf("%.3g", n)
	}
}

func formatBytes(bytes float64) string {
	switch {
	case math.Abs(bytes) >= 1<<20:
		return fmt.Sprintf("%.1f MB", bytes/(1<<20))
	case math.Abs(bytes) >= 1<<10:
		return fmt.Sprintf("%.1f KB", bytes/(1<<10))
	default:
		return fmt.Sprintf("%.0f B", bytes)
	}
}

// formatDuration formats a duration in milliseconds or microseconds.
func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Millisecond:
		return fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
	default:
		return fmt.Sprintf("%.2f us", float64(d)/float64(time.Microsecond))
	}
}

// formatCoreShare formats the share of a core as a percentage.
func formatCoreShare(share float64) string {
	return fmt.Sprintf("%.2f%%", 100*share)
}
