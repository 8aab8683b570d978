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
	// Deployment, Policy, Scenario, Seed, Seconds and Load are the options of the
	// run: its duration in seconds and its load as a share of the capacity.
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Scenario   string  `json:"scenario"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Load       float64 `json:"load"`

	// CapacityPromptsPerSecond is the estimated capacity of the engines,
	// CapacityBound the resource that limits it, and OfferedPromptsPerSecond the
	// rate at which prompts were sent.
	CapacityPromptsPerSecond float64 `json:"capacity_prompts_per_second"`
	CapacityBound            string  `json:"capacity_bound"`
	OfferedPromptsPerSecond  float64 `json:"offered_prompts_per_second"`

	// TTFTSeconds holds the time to first token by class. The value of a class
	// without any first token is null.
	TTFTSeconds map[workload.Class]*Quantiles `json:"ttft_seconds"`
	// InterTokenSecondsP95 is the 95th percentile of the mean time between tokens
	// of an answer, and InterTokenGapSecondsP95 that of the single gaps.
	InterTokenSecondsP95    *float64 `json:"inter_token_seconds_p95"`
	InterTokenGapSecondsP95 *float64 `json:"inter_token_gap_seconds_p95"`
	// ShortSlowdownP95 is the 95th percentile of the time to first token of short
	// prompts among all others, divided by that of the same prompts alone.
	// ShortAloneSeconds holds the latter.
	ShortSlowdownP95  *float64   `json:"short_slowdown_p95"`
	ShortAloneSeconds *Quantiles `json:"short_alone_seconds"`
	// InTimeShareWeighted and InTimeShareByClass are shares of the requests that
	// were delivered in time, from 0 to 1.
	InTimeShareWeighted *float64                    `json:"in_time_share_weighted"`
	InTimeShareByClass  map[workload.Class]*float64 `json:"in_time_share_by_class"`
	// DeliveredShareOfBest is the rate of prompts delivered in time, divided by
	// the lesser of the capacity and the rate of arrivals.
	DeliveredShareOfBest *float64 `json:"delivered_share_of_best"`
	// RefusedShare is the share of requests that were refused, from 0 to 1.
	RefusedShare *float64 `json:"refused_share"`
	// GivenUpShare is the share of requests that were admitted and given up
	// later, from 0 to 1.
	GivenUpShare *float64 `json:"given_up_share"`
	// RefusalSecondsP95 is the 95th percentile of the time until a refusal.
	RefusalSecondsP95 *float64 `json:"refusal_seconds_p95"`
	// AdmittedLate counts the requests whose answer ended later after the sending
	// than their time limit and the link allowance. LatestOverrunSeconds is the
	// largest excess over the time limit; it is negative if every answer ended
	// before.
	AdmittedLate         *int     `json:"admitted_late"`
	LatestOverrunSeconds *float64 `json:"latest_overrun_seconds"`
	// MemoryLeftBytes is the KV memory that was still held on engines after the
	// run.
	MemoryLeftBytes *int64 `json:"memory_left_bytes"`
	// AnswersMixed counts the answers with wrong content, and AnswerFaults counts
	// them by the type of fault.
	AnswersMixed *int           `json:"answers_mixed"`
	AnswerFaults map[string]int `json:"answer_faults"`
	// ActionsDoneTwice counts the runs of actions beyond the first for each key.
	ActionsDoneTwice *int `json:"actions_done_twice"`
	// FalseNotRun counts the requests that callers were told had not run although
	// an upstream had run them.
	FalseNotRun *int `json:"false_not_run"`
	// Outcomes and Codes count the requests by outcome and by error code.
	Outcomes map[string]int `json:"outcomes"`
	Codes    map[string]int `json:"codes"`
	// BrokenOff counts the answers that ended without any final message, except
	// those of hosts that the bench had killed.
	BrokenOff *int `json:"broken_off"`
	// DriverDelaySecondsP99 is the 99th percentile of the delay with which the
	// bench itself sent requests.
	DriverDelaySecondsP99 *float64 `json:"driver_delay_seconds_p99"`

	// ConfigReverted counts the times that a ready host went back to an older
	// configuration version.
	ConfigReverted *int `json:"config_reverted"`
	// ConfigInForceSeconds is the longest time until a change was in force on
	// every host.
	ConfigInForceSeconds *float64 `json:"config_in_force_seconds"`
	// LeavingQuietSeconds is the longest time after its announcement at which a
	// leaving upstream still received new work.
	LeavingQuietSeconds *float64 `json:"leaving_quiet_seconds"`
	// OrdersFromOldHolderInEffect counts the orders that engines accepted with an
	// outdated fencing number.
	OrdersFromOldHolderInEffect *int `json:"orders_from_old_holder_in_effect"`
	// OrdersReconciledSeconds is the time from the continuation of the paused
	// lease holders until all engines held the declared model.
	OrdersReconciledSeconds *float64 `json:"orders_reconciled_seconds"`
	// StoreCallsPerSecond holds the rate of calls to the platform by kind.
	StoreCallsPerSecond map[string]float64 `json:"store_calls_per_second"`
	// ControlBytesPerSecond holds the mean control traffic of a host by data
	// centre, and ControlBytesByKind splits it into traffic with peers and with
	// the platform.
	ControlBytesPerSecond map[string]float64 `json:"control_bytes_per_second"`
	ControlBytesByKind    map[string]float64 `json:"control_bytes_by_kind_per_second"`
	// ControlCPUShare and ProcessCPUShare hold the share of one core that each
	// process used, without any requests and during the main phase.
	ControlCPUShare map[string]float64 `json:"control_cpu_share"`
	ProcessCPUShare map[string]float64 `json:"process_cpu_share"`

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
