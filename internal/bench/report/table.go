package report

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// notMeasured is printed in tables for a field that is null.
const notMeasured = "not measured"

// row is one line of a table that compares reports.
type row struct {
	name string
	// target is the value that has to be reached, empty if there is none.
	target string
	value  func(*Report) string
}

// WriteTable prints the reports side by side, with one column for each report and
// a last column of targets.
func WriteTable(w io.Writer, names []string, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := "\t"
	for _, name := range names {
		line += name + "\t"
	}
	fmt.Fprintln(table, line+"target")
	for _, r := range rows() {
		line := r.name + "\t"
		for _, report := range reports {
			line += r.value(report) + "\t"
		}
		fmt.Fprintln(table, line+r.target)
	}
	return errors.Wrap(table.Flush(), "printing the table")
}

func rows() []row {
	all := []row{
		{"deployment", "", func(r *Report) string { return r.Deployment }},
		{"policy", "", func(r *Report) string { return r.Policy }},
		{"scenario", "", func(r *Report) string { return r.Scenario }},
		{"seed", "", func(r *Report) string { return strconv.FormatUint(r.Seed, 10) }},
		{"load", "", func(r *Report) string { return formatNumber(&r.Load) }},
		{"offered prompts/s", "", func(r *Report) string { return formatNumber(&r.OfferedPromptsPerSecond) }},
	}
	for _, class := range append(workload.Classes(), ClassAll) {
		all = append(all, ttftRow(class))
	}
	all = append(all, measureRows()...)
	return append(all, systemRows()...)
}

func ttftRow(class workload.Class) row {
	target := ""
	if class == ClassAll {
		target = "p95 at most 0.73"
	}
	return row{"TTFT " + string(class) + " p50/p95/p99 s", target, func(r *Report) string {
		q := r.TTFTSeconds[class]
		if q == nil {
			return notMeasured
		}
		return fmt.Sprintf("%.3f / %.3f / %.3f", q.P50, q.P95, q.P99)
	}}
}

func measureRows() []row {
	return []row{
		{"between tokens p95 s", "at most 0.046", func(r *Report) string { return formatNumber(r.InterTokenSecondsP95) }},
		{"slowdown of shorts p95", "at most 1.15", func(r *Report) string { return formatNumber(r.ShortSlowdownP95) }},
		{"in time, weighted", "at least 0.98 at load 0.7", func(r *Report) string { return formatNumber(r.InTimeShareWeighted) }},
		{"delivered of best", "at least 0.9 at load 1.5", func(r *Report) string { return formatNumber(r.DeliveredShareOfBest) }},
		{"refused", "", func(r *Report) string { return formatNumber(r.RefusedShare) }},
		{"given up after admission", "", func(r *Report) string { return formatNumber(r.GivenUpShare) }},
		{"refusal after p95 s", "at once", func(r *Report) string { return formatNumber(r.RefusalSecondsP95) }},
		{"admitted late", "0", func(r *Report) string { return formatCount(r.AdmittedLate) }},
		{"memory left bytes", "0", func(r *Report) string { return formatCount(r.MemoryLeftBytes) }},
		{"answers mixed", "0", func(r *Report) string { return formatCount(r.AnswersMixed) }},
		{"actions done twice", "0", func(r *Report) string { return formatCount(r.ActionsDoneTwice) }},
		{"false not_run", "0", func(r *Report) string { return formatCount(r.FalseNotRun) }},
		{"answers broken off", "0", func(r *Report) string { return formatCount(r.BrokenOff) }},
		{"driver delay p99 s", "", func(r *Report) string { return formatNumber(r.DriverDelaySecondsP99) }},
	}
}

func systemRows() []row {
	return []row{
		{"configuration reverted", "0", func(r *Report) string { return formatCount(r.ConfigReverted) }},
		{"configuration in force s", "at most 5", func(r *Report) string { return formatNumber(r.ConfigInForceSeconds) }},
		{"leaving upstream quiet s", "at most 3", func(r *Report) string { return formatNumber(r.LeavingQuietSeconds) }},
		{"old holder's orders in effect", "0", func(r *Report) string { return formatCount(r.OrdersFromOldHolderInEffect) }},
		{"orders reconciled after s", "", func(r *Report) string { return formatNumber(r.OrdersReconciledSeconds) }},
		{"store calls/s", "", func(r *Report) string { return sumOf(r.StoreCallsPerSecond) }},
		{"control bytes/s, highest node", "at most 3000", func(r *Report) string { return highestOf(r.ControlBytesPerSecond) }},
		{"control CPU share, highest node", "at most 0.032", func(r *Report) string { return highestOf(r.ControlCPUShare) }},
		{"process CPU share, highest", "", func(r *Report) string { return highestOf(r.ProcessCPUShare) }},
	}
}

func formatNumber(value *float64) string {
	if value == nil {
		return notMeasured
	}
	return strconv.FormatFloat(*value, 'g', 4, 64)
}

func formatCount[T int | int64](value *T) string {
	if value == nil {
		return notMeasured
	}
	return fmt.Sprint(*value)
}

func sumOf(values map[string]float64) string {
	if values == nil {
		return notMeasured
	}
	total := 0.0
	for _, v := range values {
		total += v
	}
	return formatNumber(&total)
}

func highestOf(values map[string]float64) string {
	if len(values) == 0 {
		return notMeasured
	}
	top := 0.0
	for _, v := range values {
		top = max(top, v)
	}
	return formatNumber(&top)
}
