// Package telemetry keeps the metrics of a process and writes them in the text
// format that common collectors read. The name of a metric ends in its unit.
package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// These are the parameters of the exponentially decaying sample of durations
// behind each timer, from which its quantiles are computed.
const (
	// reservoirSize is the number of durations that the sample keeps.
	reservoirSize = 1028
	// decayFactor is the alpha of the sample. A larger one gives recent durations
	// more weight.
	decayFactor = 0.015
)

// quantiles are the quantiles written for each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry metrics.Registry
}

// New returns a registry without metrics.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// seriesName returns the name of a metric with its labels, which are given as
// alternating names and values.
func seriesName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		parts = append(parts, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// Count adds n to a counter, which it creates at 0 if it does not exist.
func (r *Registry) Count(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(seriesName(name, labels), r.registry).Inc(n)
}

// Gauge sets a gauge to a value and creates it if it does not exist.
func (r *Registry) Gauge(name string, value float64, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(seriesName(name, labels), r.registry).Update(value)
}

// Remove removes one series, so that a thing that no longer exists leaves no
// metric behind.
func (r *Registry) Remove(name string, labels ...string) {
	r.registry.Unregister(seriesName(name, labels))
}

// Observe adds a duration to a timer and creates it if it does not exist. The name
// of the timer must end in _seconds. Durations are kept in whole microseconds.
func (r *Registry) Observe(name string, d time.Duration, labels ...string) {
	series := seriesName(name, labels)
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayFactor))
	}
	h := r.registry.GetOrRegister(series, newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Write writes the lines of all metrics in alphabetical order.
func (r *Registry) Write(w io.Writer) error {
	var lines []string
	r.registry.Each(func(name string, m any) {
		lines = append(lines, formatMetric(name, m)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := io.WriteString(w, line+"\n"); err != nil {
			return err
		}
	}
	return nil
}

// formatMetric returns the lines for one metric.
func formatMetric(name string, metric any) []string {
	switch v := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, v.Count())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, v.Value())}
	case metrics.Histogram:
		return formatHistogram(name, v.Snapshot())
	default:
		return nil
	}
}

// formatHistogram returns the lines for a timer: the number of observations and
// each quantile in seconds.
func formatHistogram(name string, h metrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s %d", addSuffix(name, "_count"), h.Count())}
	for i, v := range h.Percentiles(quantiles) {
		seconds := v / float64(time.Second/time.Microsecond)
		lines = append(lines, fmt.Sprintf("%s %g", addLabel(name, "quantile", quantiles[i]), seconds))
	}
	return lines
}

// addSuffix adds a suffix to the name of a series, before its labels.
func addSuffix(name, suffix string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return base + suffix
	}
	return base + suffix + "{" + labels
}

// addLabel adds one more label to a series.
func addLabel(name, label string, value float64) string {
	pair := fmt.Sprintf("%s=\"%g\"", label, value)
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return base + "{" + pair + "}"
	}
	return base + "{" + pair + "," + labels
}
