// Package report calculates the report of a run from its outcomes and writes it
// as a JSON document with fixed field names, as tables and as plots.
package report

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// Quantiles holds three percentiles of a latency in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// ClassAll is the key in TTFTSeconds for the prompts of all classes together.
const ClassAll workload.Class = "all"

// Report is the JSON document of one run. A field that was not measured is null.
type Report struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Scenario   string  `json:"scenario"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Load       float64 `json:"load"`

	CapacityPromptsPerSecond float64 `json:"capacity_prompts_per_second"`
	CapacityBound            string  `json:"capacity_bound"`
	OfferedPromptsPerSecond  float64 `json:"offered_prompts_per_second"`

	// TTFTSeconds holds the time to first token by class. The value of a class
	// without any first token is null.
	TTFTSeconds             map[workload.Class]*Quantiles `json:"ttft_seconds"`
	InterTokenSecondsP95    *float64                      `json:"inter_token_seconds_p95"`
	InterTokenGapSecondsP95 *float64                      `json:"inter_token_gap_seconds_p95"`
	ShortSlowdownP95        *float64                      `json:"short_slowdown_p95"`
	ShortAloneSeconds       *Quantiles                    `json:"short_alone_seconds"`
	InTimeShareWeighted     *float64                      `json:"in_time_share_weighted"`
	InTimeShareByClass      map[workload.Class]*float64   `json:"in_time_share_by_class"`
	DeliveredShareOfBest    *float64                      `json:"delivered_share_of_best"`
	RefusedShare            *float64                      `json:"refused_share"`
	// GivenUpShare is the share of requests that were admitted and given up
	// later, from 0 to 1.
	GivenUpShare         *float64       `json:"given_up_share"`
	RefusalSecondsP95    *float64       `json:"refusal_seconds_p95"`
	AdmittedLate         *int           `json:"admitted_late"`
	LatestOverrunSeconds *float64       `json:"latest_overrun_seconds"`
	MemoryLeftBytes      *int64         `json:"memory_left_bytes"`
	AnswersMixed         *int           `json:"answers_mixed"`
	AnswerFaults         map[string]int `json:"answer_faults"`
	ActionsDoneTwice     *int           `json:"actions_done_twice"`
	FalseNotRun          *int           `json:"false_not_run"`
	Outcomes             map[string]int `json:"outcomes"`
	Codes                map[string]int `json:"codes"`
	// BrokenOff counts the answers that ended without any final message, except
	// those of hosts that the bench had killed.
	BrokenOff             *int     `json:"broken_off"`
	DriverDelaySecondsP99 *float64 `json:"driver_delay_seconds_p99"`

	ConfigReverted              *int               `json:"config_reverted"`
	ConfigInForceSeconds        *float64           `json:"config_in_force_seconds"`
	LeavingQuietSeconds         *float64           `json:"leaving_quiet_seconds"`
	OrdersFromOldHolderInEffect *int               `json:"orders_from_old_holder_in_effect"`
	OrdersReconciledSeconds     *float64           `json:"orders_reconciled_seconds"`
	StoreCallsPerSecond         map[string]float64 `json:"store_calls_per_second"`
	ControlBytesPerSecond       map[string]float64 `json:"control_bytes_per_second"`
	ControlBytesByKind          map[string]float64 `json:"control_bytes_by_kind_per_second"`
	ControlCPUShare             map[string]float64 `json:"control_cpu_share"`
	ProcessCPUShare             map[string]float64 `json:"process_cpu_share"`

	// Notes lists what disturbed the run or was left out of it.
	Notes []string `json:"notes"`
}

// Write writes the report as indented JSON into a file.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the report")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "writing the report")
}

// Read reads a report from a JSON file.
func Read(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading a report")
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(err, "decoding the report %s", path)
	}
	return &r, nil
}
