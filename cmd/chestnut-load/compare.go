package main

import (
	"context"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/bench/report"
)

// compareArguments holds the arguments of the subcommand compare.
type compareArguments struct {
	// first and second are the paths of the reports.
	first, second string
	// plot is the path of the plot to write; empty for none.
	plot string
}

// compareCommand returns the subcommand compare.
func compareCommand() command {
	c := &compareArguments{plot: "compare.png"}
	sub := flaggy.NewSubcommand("compare")
	sub.Description = "prints two reports side by side and plots them"
	sub.AddPositionalValue(&c.first, "first", 1, true, "report of one run (JSON)")
	sub.AddPositionalValue(&c.second, "second", 2, true, "report of another run (JSON)")
	sub.String(&c.plot, "", "plot", "file for the plot of the time to first token (png or svg), none if empty")
	return command{sub: sub, run: c.run}
}

// run prints the two reports side by side and plots them.
func (c *compareArguments) run(context.Context, log.Interface) error {
	var names []string
	var reports []*report.Report
	for i, path := range []string{c.first, c.second} {
		r, err := report.Read(path)
		if err != nil {
			return err
		}
		reports = append(reports, r)
		names = append(names, fmt.Sprintf("%c: %s", 'A'+i, r.Policy))
	}
	if c.plot != "" {
		if err := report.Plot(c.plot, names, reports); err != nil {
			return err
		}
		fmt.Fprintln(os.Stderr, "plot:", c.plot)
	}
	return report.WriteTable(os.Stdout, names, reports)
}
