package settings

import (
	"fmt"
	"strings"
)

// Table describes a struct's settings as a table in Markdown, one row each.
func Table(target any) string {
	var b strings.Builder
	b.WriteString("| flag | variable | default | meaning and unit |\n| --- | --- | --- | --- |\n")
	for _, f := range Fields(target) {
		value := f.Default
		if f.Secret {
			value = "(never printed)"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Flag, f.Variable, value, f.Help)
	}
	return b.String()
}

// PageMismatch compares a page with a struct's settings: the section with the
// heading must begin with the struct's table and have no other rows. It
// returns what the section must hold, or nothing when it does.
func PageMismatch(page, heading string, target any) string {
	want := "\n## " + heading + "\n\n" + Table(target) + "\n"
	if strings.Contains(page+"\n", want) {
		return ""
	}
	return want
}
