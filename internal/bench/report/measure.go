package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Range of the histograms, in microseconds, and their significant figures.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	figures       = 3
)

// latencies is a histogram of durations.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(lowestMicros, highestMicros, figures)}
}

func (l *latencies) add(d time.Duration) {
	micros := max(lowestMicros, min(highestMicros, d.Microseconds()))
	// The value was brought into the range, so recording it can't fail.
	_ = l.histogram.RecordValue(micros)
}

// at returns a percentile in seconds, nil of an empty histogram.
func (l *latencies) at(percentile float64) *float64 {
	if l.histogram.TotalCount() == 0 {
		return nil
	}
	seconds := float64(l.histogram.ValueAtQuantile(percentile)) / 1e6
	return &seconds
}

func (l *latencies) quantiles() *Quantiles {
	if l.histogram.TotalCount() == 0 {
		return nil
	}
	return &Quantiles{P50: *l.at(50), P95: *l.at(95), P99: *l.at(99)}
}

// Conditions are what a run's measures are taken against.
type Conditions struct {
	// LinkAllowance is the time that the modelled link between callers and
	// hosts takes in both directions.
	LinkAllowance time.Duration
	// Weights are the weights of the kinds.
	Weights map[string]float64
	// Capacity is the fleet's at best.
	Capacity workload.Capacity
	// Duration is how long requests arrived.
	Duration time.Duration
	// KilledHosts are the addresses of hosts that were killed during the run, whose
	// callers can't but lose their answers.
	KilledHosts map[string]bool
}

// Measure fills the report with the latencies and shares of the main phase.
func (r *Report) Measure(c Conditions, outcomes []client.Outcome) {
	r.measureTTFT(outcomes)
	r.measureGaps(outcomes)
	r.measureService(c, outcomes)
	r.measureDelivered(c, outcomes)
	r.measureRefusals(outcomes)
	delays := newLatencies()
	for _, o := range outcomes {
		delays.add(o.Sent)
	}
	r.DriverDelaySecondsP99 = delays.at(99)
}

// Check fills the report with what must not happen, over all phases.
func (r *Report) Check(c Conditions, outcomes []client.Outcome) {
	r.checkLate(c, outcomes)
	r.checkAnswers(outcomes)
	r.Outcomes = make(map[string]int)
	r.Codes = make(map[string]int)
	broken := 0
	for _, o := range outcomes {
		r.Outcomes[string(o.Result)]++
		if o.Code != "" {
			r.Codes[o.Code]++
		}
		if o.Result == client.Broken && !c.KilledHosts[o.Address] {
			broken++
		}
	}
	r.BrokenOff = &broken
}

// MeasureBaseline compares the short prompts of a run with the same ones alone.
func (r *Report) MeasureBaseline(baseline []client.Outcome) {
	r.ShortAloneSeconds = ttft(baseline, workload.ClassShort).quantiles()
	shared := r.TTFTSeconds[workload.ClassShort]
	if r.ShortAloneSeconds == nil || shared == nil {
		return
	}
	slowdown := shared.P95 / r.ShortAloneSeconds.P95
	r.ShortSlowdownP95 = &slowdown
}

func ttft(outcomes []client.Outcome, class workload.Class) *latencies {
	l := newLatencies()
	for _, o := range outcomes {
		wanted := o.Request.Class == class || class == ClassAll
		if wanted && o.FirstToken > 0 {
			l.add(o.FirstToken)
		}
	}
	return l
}

func (r *Report) measureTTFT(outcomes []client.Outcome) {
	r.TTFTSeconds = make(map[workload.Class]*Quantiles)
	for _, class := range append(workload.Classes(), ClassAll) {
		r.TTFTSeconds[class] = ttft(outcomes, class).quantiles()
	}
}

func (r *Report) measureGaps(outcomes []client.Outcome) {
	means, gaps := newLatencies(), newLatencies()
	for _, o := range outcomes {
		if o.TokenGap > 0 {
			means.add(o.TokenGap)
		}
		for _, gap := range o.Gaps {
			gaps.add(gap)
		}
	}
	r.InterTokenSecondsP95 = means.at(95)
	r.InterTokenGapSecondsP95 = gaps.at(95)
}

// measureService counts requests delivered in time, weighted by kind. An
// action that its caller sent twice counts once, as delivered when either
// sending was.
func (r *Report) measureService(c Conditions, outcomes []client.Outcome) {
	again := repeatsInTime(outcomes)
	var offered, inTime float64
	classes := make(map[workload.Class]*[2]float64)
	for _, o := range outcomes {
		if o.Again {
			continue
		}
		weight := c.Weights[o.Request.Kind]
		count := classes[o.Request.Class]
		if count == nil {
			count = new([2]float64)
			classes[o.Request.Class] = count
		}
		offered += weight
		count[0]++
		if o.InTime() || again[o.Request] {
			inTime += weight
			count[1]++
		}
	}
	r.InTimeShareWeighted = ratio(inTime, offered)
	r.InTimeShareByClass = make(map[workload.Class]*float64)
	for class, count := range classes {
		r.InTimeShareByClass[class] = ratio(count[1], count[0])
	}
}

// repeatsInTime lists the actions whose second sending was delivered within
// the limit of the first.
func repeatsInTime(outcomes []client.Outcome) map[*workload.Request]bool {
	inTime := make(map[*workload.Request]bool)
	for _, o := range outcomes {
		if o.Again && o.Result == client.Delivered && o.Request.Repeat.After+o.End <= o.Request.TimeLimit {
			inTime[o.Request] = true
		}
	}
	return inTime
}

// The part of a run that is left out of the delivered rate, while the first
// answers are still being made: a share of the duration, but no more than a time.
const (
	rampShare = 0.25
	rampMax   = 15 * time.Second
)

// measureDelivered compares the rate at which prompts were delivered in time,
// once the first answers were through and while requests still arrived, with
// the lesser of the capacity and the rate at which prompts arrived then.
func (r *Report) measureDelivered(c Conditions, outcomes []client.Outcome) {
	ramp := min(rampMax, time.Duration(rampShare*float64(c.Duration)))
	within := func(at time.Duration) bool { return at >= ramp && at < c.Duration }
	var arrived, delivered float64
	for _, o := range outcomes {
		if o.Request.Class == workload.ClassService {
			continue
		}
		if within(o.Request.ArrivalOffset) {
			arrived++
		}
		if o.InTime() && within(o.Request.ArrivalOffset+o.End) {
			delivered++
		}
	}
	r.DeliveredShareOfBest = ratio(delivered, min(arrived, c.Capacity.PromptsPerSecond*(c.Duration-ramp).Seconds()))
}

func ratio(part, whole float64) *float64 {
	if whole <= 0 {
		return nil
	}
	share := part / whole
	return &share
}

func (r *Report) measureRefusals(outcomes []client.Outcome) {
	refusals := newLatencies()
	refused, givenUp, all := 0.0, 0.0, 0.0
	for _, o := range outcomes {
		if o.Again {
			continue
		}
		all++
		switch {
		case o.Code == string(dispatch.CodeGivenUp):
			givenUp++
		case o.Result == client.Refused:
			refused++
			refusals.add(o.End)
		}
	}
	r.RefusedShare = ratio(refused, all)
	r.GivenUpShare = ratio(givenUp, all)
	r.RefusalSecondsP95 = refusals.at(95)
}

func (r *Report) checkLate(c Conditions, outcomes []client.Outcome) {
	late := 0
	var latest *float64
	for _, o := range outcomes {
		if o.Late(c.LinkAllowance) {
			late++
		}
		if overrun := o.Overrun().Seconds(); latest == nil || overrun > *latest {
			latest = &overrun
		}
	}
	r.AdmittedLate = &late
	r.LatestOverrunSeconds = latest
}

func (r *Report) checkAnswers(outcomes []client.Outcome) {
	mixed := 0
	r.AnswerFaults = make(map[string]int)
	for _, o := range outcomes {
		if o.Fault != answer.None {
			mixed++
			r.AnswerFaults[o.Fault.String()]++
		}
	}
	r.AnswersMixed = &mixed
}
