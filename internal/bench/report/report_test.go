package report

import (
	"bytes"
	"encoding/json"
	"math"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// publicFieldNames are the names by which other programs read the fields of a
// report.
var publicFieldNames = []string{
	"ttft_seconds", "inter_token_seconds_p95", "short_slowdown_p95", "in_time_share_weighted",
	"refused_share", "admitted_late", "memory_left_bytes", "answers_mixed", "actions_done_twice",
	"false_not_run", "config_reverted", "config_in_force_seconds", "leaving_quiet_seconds",
	"orders_from_old_holder_in_effect", "store_calls_per_second", "control_bytes_per_second",
	"control_cpu_share",
}

func decode(t *testing.T, r *Report) map[string]json.RawMessage {
	t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

// TestUnmeasuredFieldsAreNull guards against fields that are missing, or that
// show 0 although nothing was measured.
func TestUnmeasuredFieldsAreNull(t *testing.T) {
	fields := decode(t, &Report{})
	for _, name := range publicFieldNames {
		value, there := fields[name]
		if !there {
			t.Errorf("the report has no field %s", name)
		} else if string(value) != "null" {
			t.Errorf("%s is %s without a measurement", name, value)
		}
	}
}

func TestReportWithoutOutcomesHasNullMeasures(t *testing.T) {
	var r Report
	r.Measure(Conditions{Capacity: workload.Capacity{PromptsPerSecond: 10}, Duration: time.Second}, nil)
	r.MeasureBaseline(nil)
	fields := decode(t, &r)
	for _, name := range []string{"inter_token_seconds_p95", "short_slowdown_p95", "in_time_share_weighted", "refused_share", "memory_left_bytes"} {
		if string(fields[name]) != "null" {
			t.Errorf("%s is %s without any outcome", name, fields[name])
		}
	}
	if got := string(fields["ttft_seconds"]); got != `{"100k-1M":null,"1k-4k":null,"32k-100k":null,"4k-32k":null,"all":null}` {
		t.Errorf("ttft_seconds is %s", got)
	}
}

func deliveredOutcome(class workload.Class, first, end time.Duration) client.Outcome {
	return client.Outcome{
		Request: &workload.Request{Class: class, Kind: "k", TimeLimit: 10 * time.Second},
		Result:  client.Delivered, FirstToken: first, End: end, TokenGap: 20 * time.Millisecond,
	}
}

func expectNear(t *testing.T, what string, got *float64, want float64) {
	t.Helper()
	if got == nil || math.Abs(*got-want) > 0.002*want {
		t.Errorf("%s is %v, want %g", what, got, want)
	}
}

func TestMeasuresOfMixedOutcomes(t *testing.T) {
	var outcomes, baseline []client.Outcome
	for range 10 {
		outcomes = append(outcomes, deliveredOutcome(workload.ClassShort, 300*time.Millisecond, time.Second))
		baseline = append(baseline, deliveredOutcome(workload.ClassShort, 200*time.Millisecond, time.Second))
	}
	late := deliveredOutcome(workload.ClassVeryLong, time.Second, 11*time.Second)
	refused := deliveredOutcome(workload.ClassMedium, 0, 5*time.Millisecond)
	refused.Result, refused.ProblemOutcome = client.Refused, client.ProblemNotRun
	wrong := deliveredOutcome(workload.ClassLong, time.Second, 2*time.Second)
	wrong.Result, wrong.Fault = client.Wrong, answer.Gapped
	first := deliveredOutcome(workload.ClassService, 0, time.Second)
	first.Request.Repeat = &workload.Repeat{After: time.Second}
	first.Result = client.Failed
	again := deliveredOutcome(workload.ClassService, 0, time.Second)
	again.Request, again.IsRepeat = first.Request, true
	outcomes = append(outcomes, late, refused, wrong, first, again)
	conditions := Conditions{
		Weights:     map[string]float64{"k": 1},
		Capacity:    workload.Capacity{PromptsPerSecond: 8},
		Duration:    time.Second,
		KilledHosts: map[string]bool{"dead": true},
	}
	for _, address := range []string{"dead", "alive"} {
		broken := deliveredOutcome(workload.ClassService, 0, time.Second)
		broken.Result, broken.Address, broken.IsRepeat = client.Broken, address, true
		broken.Request.Repeat = &workload.Repeat{}
		outcomes = append(outcomes, broken)
	}
	var r Report
	r.Measure(conditions, outcomes)
	r.Check(conditions, outcomes)
	r.MeasureBaseline(baseline)
	expectNear(t, "p95 of shorts", &r.TTFTSeconds[workload.ClassShort].P95, 0.3)
	expectNear(t, "between tokens", r.InterTokenSecondsP95, 0.02)
	expectNear(t, "slowdown", r.ShortSlowdownP95, 1.5)
	expectNear(t, "in time", r.InTimeShareWeighted, 11.0/14)
	expectNear(t, "refused", r.RefusedShare, 1.0/14)
	expectNear(t, "latest overrun", r.LatestOverrunSeconds, 1)
	if *r.BrokenOff != 1 || r.Outcomes["broken"] != 2 {
		t.Errorf("broken off %d, outcomes %v", *r.BrokenOff, r.Outcomes)
	}
	if *r.AdmittedLate != 1 || *r.AnswersMixed != 1 || r.AnswerFaults["gapped"] != 1 {
		t.Errorf("late %d, mixed %d, faults %v", *r.AdmittedLate, *r.AnswersMixed, r.AnswerFaults)
	}
}

// TestDeliveredRateExcludesRampAndDrain guards against a delivered rate that is
// too low because it includes the start of a run, when no answer is complete yet,
// or the time after the last arrival.
func TestDeliveredRateExcludesRampAndDrain(t *testing.T) {
	var outcomes []client.Outcome
	for i := range 40 {
		o := deliveredOutcome(workload.ClassShort, time.Second, 2*time.Second)
		o.Request.ArrivalOffset = time.Duration(i) * time.Second
		outcomes = append(outcomes, o)
	}
	for _, c := range []struct{ capacity, want float64 }{{0.5, 30 / 15.0}, {2, 1}} {
		var r Report
		r.Measure(Conditions{Capacity: workload.Capacity{PromptsPerSecond: c.capacity}, Duration: 40 * time.Second}, outcomes)
		expectNear(t, "delivered of best", r.DeliveredShareOfBest, c.want)
	}
}

func TestReportIsUnchangedByWriteAndRead(t *testing.T) {
	r := &Report{Policy: "naive", Notes: []string{}}
	r.Measure(Conditions{Weights: map[string]float64{"k": 1}, Duration: time.Second}, []client.Outcome{deliveredOutcome(workload.ClassShort, time.Second, 2*time.Second)})
	path := filepath.Join(t.TempDir(), "a.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	back, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(r, back) {
		t.Fatalf("wrote %+v, read %+v", r, back)
	}
}

func TestTableAndPlotAreWritten(t *testing.T) {
	a := &Report{Policy: "default"}
	a.Measure(Conditions{Duration: time.Second}, []client.Outcome{deliveredOutcome(workload.ClassShort, time.Second, 2*time.Second)})
	b := &Report{Policy: "naive"}
	var text bytes.Buffer
	if err := WriteTable(&text, []string{"A", "B"}, []*Report{a, b}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), notMeasured) || !strings.Contains(text.String(), "naive") {
		t.Errorf("table:\n%s", text.String())
	}
	if err := Plot(filepath.Join(t.TempDir(), "p.png"), []string{"A", "B"}, []*Report{a, b}); err != nil {
		t.Fatal(err)
	}
}
