package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/bench/capacity"
)

// capacityLimit is the time limit of all measurements together.
const capacityLimit = 3 * time.Minute

// capacityCommand returns the subcommand capacity.
func capacityCommand() command {
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "measures what the parts cost at several sizes and works out the aim's size"
	return command{sub: sub, run: measureCapacity}
}

// measureCapacity measures the costs and prints the report.
func measureCapacity(ctx context.Context, _ log.Interface) error {
	ctx, cancel := context.WithTimeout(ctx, capacityLimit)
	defer cancel()
	// The report is printed even if the time limit has passed, with the
	// measurements that were finished.
	report, err := capacity.Measure(ctx, os.Stderr)
	if writeErr := report.Write(os.Stdout); err == nil {
		err = writeErr
	}
	return err
}
