package settings

import (
	"fmt"
	"strings"
)

// Table returns the settings of a struct as a table in Markdown, one row each.
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

// PageMismatch compares a page with the settings of a struct: the section under
// the heading must begin with the table of the struct and have no other rows. It
// returns the text that the section must contain, or an empty string if it does.
func PageMismatch(page, heading string, target any) string {
	want := "\n## " + heading + "\n\n" + Table(target) + "\n"
	if strings.Contains(page+"\n", want) {
		return ""
	}
	return want
}
