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

// Exit codes of every program.
const (
	// ExitOK means that the program did what it was asked to do.
	ExitOK = 0
	// ExitFailed means that the program ran and failed.
	ExitFailed = 1
)

// Version is the version that the programs print.
const Version = "0.1.0"

// MustParse resolves the settings of a program from its arguments and its
// environment. If there are findings, it prints all of them and ends the process
// with ExitUsage.
func MustParse(p *flaggy.Parser, target any) {
	findings := Parse(p, target, os.Args[1:], Environ())
	if len(findings) == 0 {
		return
	}
	PrintFindings(os.Stderr, p.Name, findings)
	os.Exit(ExitUsage)
}

// PrintFindings prints the findings, one on each line, and then how to get help.
func PrintFindings(w io.Writer, program string, findings finding.List) {
	for _, f := range findings.Sorted() {
		fmt.Fprintf(w, "%s: %s\n", program, f)
	}
	fmt.Fprintf(w, "%s: see '%s --help' for every flag with its unit and default\n", program, program)
}

// Logger returns the structured logger of a process, which writes one JSON object
// per line. It returns an error if the level is not known.
func Logger(w io.Writer, level string) (log.Interface, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "read log level %q", level)
	}
	return &log.Logger{Handler: json.New(w), Level: parsed}, nil
}
