package experiment

import "fmt"

// TableHeader holds the header lines of a Markdown table of results.
const TableHeader = `| policy | hosts | data centres | bytes/s mean | bytes/s max | messages/s | with headers | detection p50 s | max s | everywhere s | missed | false alarms | start s (inside, all) | peak bytes | leave s | peak bytes | join s | peak bytes |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`

// TableRow formats the result of a policy as a row of the table with
// TableHeader.
func TableRow(policy string, r Result) string {
	return fmt.Sprintf("| %s | %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %d | %d | %s | %s | %s |",
		policy, r.Hosts, r.DataCentres, r.BytesPerSecondMean, r.BytesPerSecondMax, r.MessagesPerSecondMean, r.WireBytesPerSecondMean,
		r.DetectionSecondsP50, r.DetectionSecondsMax, r.EverywhereSecondsMax, r.MissedDetections, r.FalseAlarms,
		changeCells(r.Start), changeCells(r.Leave), changeCells(r.Join))
}

// changeCells formats the times and the peak traffic of a change as two cells.
func changeCells(c Change) string {
	return fmt.Sprintf("%.1f, %.1f | %d", c.WithinDataCentresSeconds, c.EverywhereSeconds, c.PeakBytes)
}
