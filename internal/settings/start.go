package settings

import (
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Exit codes of every binary.
const (
	// ExitOK says that the program did what was asked.
	ExitOK = 0
	// ExitFailed says that it ran and failed.
	ExitFailed = 1
)

// Version is the version that binaries print.
const Version = "0.1.0"

// MustParse resolves a program's settings from its arguments and environment.
// With findings it prints all of them and exits with ExitUsage.
func MustParse(p *flaggy.Parser, target any) {
	findings := Parse(p, target, os.Args[1:], Environ())
	if len(findings) == 0 {
		return
	}
	PrintFindings(os.Stderr, p.Name, findings)
	os.Exit(ExitUsage)
}

// PrintFindings prints findings, one a line, and where help is.
func PrintFindings(w io.Writer, program string, findings finding.List) {
	for _, f := range findings.Sorted() {
		fmt.Fprintf(w, "%s: %s\n", program, f)
	}
	fmt.Fprintf(w, "%s: see '%s --help' for every flag with its unit and default\n", program, program)
}

// Logger returns the structured logger of a process, writing JSON lines.
func Logger(w io.Writer, level string) (log.Interface, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "read log level %q", level)
	}
	return &log.Logger{Handler: json.New(w), Level: parsed}, nil
}
