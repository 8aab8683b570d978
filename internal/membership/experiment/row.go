package experiment

import "fmt"

// Header is the head of a Markdown table of results.
const Header = `| policy | hosts | data centres | bytes/s mean | bytes/s max | messages/s | with headers | detection p50 s | max s | everywhere s | missed | false alarms | start s (inside, all) | peak bytes | leave s | peak bytes | join s | peak bytes |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`

// Row formats a result as a line under Header.
func Row(policy string, r Result) string {
	return fmt.Sprintf("| %s | %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %d | %d | %s | %s | %s |",
		policy, r.Hosts, r.DataCentres, r.BytesMean, r.BytesMax, r.MessagesMean, r.WireMean,
		r.DetectionP50, r.DetectionMax, r.EverywhereMax, r.Missed, r.FalseAlarms,
		changeCells(r.Start), changeCells(r.Leave), changeCells(r.Join))
}

func changeCells(c Change) string {
	return fmt.Sprintf("%.1f, %.1f | %d", c.InsideSeconds, c.Seconds, c.BytesPeak)
}
