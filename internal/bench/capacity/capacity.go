package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/controller/experiment"
)

// figures are what the roles' tables are worked out from; each is of the
// largest size measured.
type figures struct {
	dispatch      dispatchFigures
	members       memberFigures
	configuration configurationFigures
	claims        []claimFigures
	probes        probeFigures
	directory     directoryFigures
	controllers   experiment.Cost
}

// Report is the tables of one run.
type Report struct {
	Tables []*Table
}

// run collects what is measured.
type run struct {
	report   Report
	figures  figures
	progress io.Writer
	started  time.Time
}

func (r *run) table(title string, columns ...string) *Table {
	t := &Table{Title: title, Columns: columns}
	r.report.Tables = append(r.report.Tables, t)
	return t
}

// tell shows progress.
func (r *run) tell(what string) {
	fmt.Fprintf(r.progress, "%5.0fs %s\n", time.Since(r.started).Seconds(), what)
}

// Measure runs all measurements, which takes about two minutes, and works out
// the roles' figures. Lines of progress go to the writer.
func Measure(ctx context.Context, progress io.Writer) (Report, error) {
	r := &run{progress: progress, started: time.Now()}
	steps := []func() error{
		r.directory,
		r.dispatch,
		r.probes,
		r.members,
		r.configuration,
		func() error { r.controllers(); return nil },
		func() error { r.claims(); return nil },
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return r.report, errors.Wrap(err, "measure capacity")
		}
		if err := step(); err != nil {
			return r.report, err
		}
	}
	r.roles()
	r.tell("done")
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
