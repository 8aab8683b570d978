package intent

import (
	"fmt"
	"io"
)

// Exit codes of Run.
const (
	// ExitPrinted says that the configuration was printed.
	ExitPrinted = 0
	// ExitFailed says that it could not be written.
	ExitFailed = 1
	// ExitRefused says that it has findings, all listed on the error output.
	ExitRefused = 2
)

// Run is the body of an operator's program: it prints the configuration, or
// lists every finding, and returns the exit code.
func Run(c *Configuration, out, errOut io.Writer) int {
	if findings := c.Check(); len(findings) > 0 {
		for _, f := range findings {
			fmt.Fprintln(errOut, f)
		}
		return ExitRefused
	}
	if err := c.Print(out); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	return ExitPrinted
}
