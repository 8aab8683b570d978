// Package telemetry keeps a process's metrics and writes them in the text
// format that common collectors read. Names end in their unit.
package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Sizes of the sample behind each timer.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// quantiles written for each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// Registry is the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry metrics.Registry
}

// New returns an empty set.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// series names a metric with its labels, given as name and value in turn.
func series(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		parts = append(parts, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

// Count adds to a counter.
func (s *Registry) Count(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(series(name, labels), s.registry).Inc(n)
}

// Gauge sets a value.
func (s *Registry) Gauge(name string, value float64, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(series(name, labels), s.registry).Update(value)
}

// Remove removes a series, so that what it told of leaves none behind.
func (s *Registry) Remove(name string, labels ...string) {
	s.registry.Unregister(series(name, labels))
}

// Observe adds a duration to a timer; its name ends in _seconds.
func (s *Registry) Observe(name string, d time.Duration, labels ...string) {
	full := series(name, labels)
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	h := s.registry.GetOrRegister(full, newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Write writes every metric, ordered by name.
func (s *Registry) Write(w io.Writer) error {
	var lines []string
	s.registry.Each(func(name string, m any) {
		lines = append(lines, format(name, m)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := io.WriteString(w, line+"\n"); err != nil {
			return err
		}
	}
	return nil
}

func format(name string, m any) []string {
	switch v := m.(type) {
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

func formatHistogram(name string, h metrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s %d", suffixed(name, "_count"), h.Count())}
	for i, v := range h.Percentiles(quantiles) {
		seconds := v / float64(time.Second/time.Microsecond)
		lines = append(lines, fmt.Sprintf("%s %g", labelled(name, "quantile", quantiles[i]), seconds))
	}
	return lines
}

// suffixed adds a suffix to a series' name, before its labels.
func suffixed(name, suffix string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return base + suffix
	}
	return base + suffix + "{" + labels
}

// labelled adds one label to a series.
func labelled(name, label string, value float64) string {
	pair := fmt.Sprintf("%s=\"%g\"", label, value)
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return base + "{" + pair + "}"
	}
	return base + "{" + pair + "," + labels
}
