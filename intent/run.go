package intent

import (
	"fmt"
	"io"
)

// Exit codes that Run returns.
const (
	// ExitPrinted means that the configuration was printed.
	ExitPrinted = 0
	// ExitFailed means that the configuration could not be written.
	ExitFailed = 1
	// ExitRefused means that the configuration has findings, which Run has listed
	// on the error output.
	ExitRefused = 2
)

// Run is the main part of an operator's program. It prints the configuration to
// out or, if it has findings, lists every finding on errOut. It returns the exit
// code of the program.
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
