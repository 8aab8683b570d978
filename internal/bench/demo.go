package bench

import (
	"context"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/report"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// The sizes of the demonstration's fleet, and the spacing and length of its
// requests.
const (
	demoDataCentres  = 2
	demoEngines      = 8
	demoHosts        = 4
	demoSpacing      = 120 * time.Millisecond
	demoAnswerTokens = 64 // tokens
)

// demoPrompts are the lengths of the prompts of the demonstration, in tokens, in
// order of sending.
var demoPrompts = []int{
	1_000, 1_500, 2_000, 1_000_000, 1_000, 3_000, 8_000, 2_500, 120_000, 1_200,
	3_900, 20_000, 1_000, 60_000, 2_000, 450_000, 1_100, 1_900, 30_000, 3_000,
}

// DemoDeployment returns the small deployment of the demonstration.
func DemoDeployment() workload.Deployment {
	return workload.OrderDesk().WithSize(demoDataCentres, demoEngines, demoHosts)
}

// Demo starts a small fleet in two data centres. It sends prompts of all lengths,
// and sends one order, which may not be carried out more than once, twice to two
// different hosts. It prints every outcome to w and returns an error if any of
// the checks of the results fails.
func Demo(ctx context.Context, o Options, w io.Writer) error {
	o.Deployment = DemoDeployment()
	s, err := openSession(ctx, o)
	if err != nil {
		return err
	}
	defer s.close()
	outcomes := s.runPlan(ctx, "demo", demoPlan(o.Deployment, o.Seed))
	counts, err := s.waitMemoryFree(ctx)
	if err != nil {
		return err
	}
	var r report.Report
	conditions := report.Conditions{
		LinkAllowance: 2 * o.Deployment.ClientDelay,
		Weights:       kindWeights(o.Deployment),
		Duration:      time.Second,
	}
	r.Measure(conditions, outcomes)
	r.Check(conditions, outcomes)
	checkCounters(&r, o.Deployment, counts, outcomes)
	if err := printOutcomes(w, outcomes); err != nil {
		return err
	}
	if err := printTTFT(w, &r); err != nil {
		return err
	}
	return checkDemo(w, &r, outcomes, counts.RunsOfKinds(o.Deployment.ActionKinds))
}

// demoPlan returns the requests of the demonstration in order of arrival.
func demoPlan(d workload.Deployment, seed uint64) []*workload.Request {
	dcCount := len(d.DataCentres)
	hostsPerDataCentre := d.Hosts / dcCount
	var plan []*workload.Request
	for i, tokens := range demoPrompts {
		class := workload.ClassOf(tokens)
		plan = append(plan, &workload.Request{
			Index: i, ArrivalOffset: time.Duration(i) * demoSpacing,
			Class: class, Kind: d.KindByClass[class],
			Organisation: d.Organisations[i%len(d.Organisations)].Name,
			PromptTokens: tokens, AnswerTokens: demoAnswerTokens,
			TextSeed: seed + uint64(i), TimeLimit: workload.TimeLimit(class, demoAnswerTokens),
			DataCentre: i % dcCount, Host: i / dcCount % hostsPerDataCentre,
		})
	}
	at := demoSpacing * time.Duration(len(demoPrompts)/2)
	for i, call := range []workload.Request{
		{Kind: d.LookupKind},
		{Kind: d.ActionKinds[0], IdempotencyKey: fmt.Sprintf("demo-%d", seed), Repeat: &workload.Repeat{
			After: 2 * demoSpacing, DataCentre: 1, Host: 1,
		}},
	} {
		call.Index, call.ArrivalOffset = len(demoPrompts)+i, at
		call.Class, call.Service = workload.ClassService, d.Service
		call.Organisation = d.Organisations[0].Name
		call.TimeLimit = workload.TimeLimit(call.Class, 0)
		plan = append(plan, &call)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].ArrivalOffset < plan[j].ArrivalOffset })
	return plan
}

func printOutcomes(w io.Writer, outcomes []client.Outcome) error {
	sort.SliceStable(outcomes, func(i, j int) bool { return outcomes[i].Request.Index < outcomes[j].Request.Index })
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "request\tkind\tprompt tokens\tanswer tokens\toutcome\tfirst token s\tend s\tremark")
	for _, o := range outcomes {
		remark := o.Code
		if o.IsRepeat {
			remark = "same key, second host " + remark
		}
		if o.Result == client.Broken || o.Result == client.Wrong {
			remark += " " + o.Fault.String() + " " + o.Detail
		}
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%s\t%.3f\t%.3f\t%s\n", o.Request.Index+1, o.Request.Kind,
			o.Request.PromptTokens, o.Tokens, o.Result, o.FirstToken.Seconds(), o.End.Seconds(), remark)
	}
	return errors.Wrap(table.Flush(), "printing the outcomes")
}

func printTTFT(w io.Writer, r *report.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nTTFT by prompt length\tp50 s\tp95 s\tp99 s")
	for _, class := range append(workload.Classes(), report.ClassAll) {
		if q := r.TTFTSeconds[class]; q != nil {
			fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\n", class, q.P50, q.P95, q.P99)
		}
	}
	return errors.Wrap(table.Flush(), "printing the times to first token")
}

// notComparable stands for a count that could not be measured.
const notComparable = -1

// valueOr returns the value, or otherwise if the value is nil.
func valueOr(value *int, otherwise int64) int64 {
	if value == nil {
		return otherwise
	}
	return int64(*value)
}

// countUndelivered counts the requests without a delivered answer. An action that
// was sent twice counts as delivered when either sending was: the two sendings
// may overlap on a slow machine, and the second one is then told that the first
// is in progress.
func countUndelivered(outcomes []client.Outcome) int {
	delivered := make(map[int]bool)
	for _, o := range outcomes {
		delivered[o.Request.Index] = delivered[o.Request.Index] || o.Result == client.Delivered
	}
	n := 0
	for _, done := range delivered {
		if !done {
			n++
		}
	}
	return n
}

// checkDemo compares the results with the promises of the system, prints each
// check to w and returns an error if any fails.
func checkDemo(w io.Writer, r *report.Report, outcomes []client.Outcome, orders int) error {
	undelivered := countUndelivered(outcomes)
	checks := []struct {
		what      string
		got, want int64
	}{
		{"requests not delivered", int64(undelivered), 0},
		{"orders carried out", int64(orders), 1},
		{"answers mixed, gapped or repeated", int64(*r.AnswersMixed), 0},
		{"requests that ended late", int64(*r.AdmittedLate), 0},
		{"told not run although run", valueOr(r.FalseNotRun, notComparable), 0},
		{"bytes of KV memory left on engines", *r.MemoryLeftBytes, 0},
	}
	fmt.Fprintln(w)
	wrong := 0
	for _, c := range checks {
		result := "ok"
		if c.got != c.want {
			result = "WRONG"
			wrong++
		}
		fmt.Fprintf(w, "%-5s  %s: %d, expected %d\n", result, c.what, c.got, c.want)
	}
	if wrong > 0 {
		return errors.Errorf("demo: %d of %d checks are wrong", wrong, len(checks))
	}
	return nil
}
