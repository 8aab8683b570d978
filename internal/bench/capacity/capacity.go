package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/controller/experiment"
)

// figures holds the measurements from which the tables of the roles are
// calculated; each is that of the largest size measured.
type figures struct {
	dispatch      dispatchFigures
	members       memberFigures
	configuration configurationFigures
	claims        []claimFigures
	probes        probeFigures
	directory     directoryFigures
	controllers   experiment.Cost
}

// Report holds the tables of one run of all measurements.
type Report struct {
	Tables []*Table
}

// measurementRun collects the results of one run of all measurements.
type measurementRun struct {
	report   Report
	figures  figures
	progress io.Writer
	started  time.Time
}

func (r *measurementRun) newTable(title string, columns ...string) *Table {
	t := &Table{Title: title, Columns: columns}
	r.report.Tables = append(r.report.Tables, t)
	return t
}

// printProgress prints a line of progress with the time since the start.
func (r *measurementRun) printProgress(step string) {
	fmt.Fprintf(r.progress, "%5.0fs %s\n", time.Since(r.started).Seconds(), step)
}

// Measure runs all measurements, which takes about two minutes, and calculates
// the figures of the roles. It prints lines of progress to the writer.
func Measure(ctx context.Context, progress io.Writer) (Report, error) {
	r := &measurementRun{progress: progress, started: time.Now()}
	steps := []func() error{
		r.addDirectoryTable,
		r.addDispatchTables,
		r.addProbeTable,
		r.addMembershipTable,
		r.addConfigurationTables,
		func() error { r.addControllerCostTable(); return nil },
		func() error { r.addClaimTable(); return nil },
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return r.report, errors.Wrap(err, "measure capacity")
		}
		if err := step(); err != nil {
			return r.report, err
		}
	}
	r.addRoleTables()
	r.printProgress("done")
	return r.report, nil
}

// Write prints every table in Markdown.
func (r Report) Write(w io.Writer) error {
	for _, t := range r.Tables {
		if err := t.Write(w); err != nil {
			return err
		}
	}
	return nil
}
