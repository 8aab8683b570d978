package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/chestnutline/chestnutline/internal/bench/capacity"
)

// capacityLimit bounds the measurements.
const capacityLimit = 3 * time.Minute

func capacityCommand() command {
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "measures what the parts cost at several sizes and works out the aim's size"
	return command{sub: sub, run: measureCapacity}
}

func measureCapacity(ctx context.Context, _ log.Interface) error {
	ctx, cancel := context.WithTimeout(ctx, capacityLimit)
	defer cancel()
	// What was measured is printed also when the time runs out.
	report, err := capacity.Measure(ctx, os.Stderr)
	if writeErr := report.Write(os.Stdout); err == nil {
		err = writeErr
	}
	return err
}
