package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// The range of the histograms in microseconds, and the number of significant
// figures that they keep.
const (
	lowestMicros       = 1
	highestMicros      = 600_000_000
	significantFigures = 3
)

// latencies is a histogram of durations with a fixed range and precision.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(lowestMicros, highestMicros, significantFigures)}
}

func (l *latencies) add(d time.Duration) {
	micros := max(lowestMicros, min(highestMicros, d.Microseconds()))
	// The value was clamped to the range, so recording it can't fail.
	_ = l.histogram.RecordValue(micros)
}

// percentile returns a percentile, from 0 to 100, in seconds. It returns nil if
// the histogram is empty.
func (l *latencies) percentile(percentile float64) *float64 {
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
	return &Quantiles{P50: *l.percentile(50), P95: *l.percentile(95), P99: *l.percentile(99)}
}

// Conditions holds the facts about a run that its measures are calculated with.
type Conditions struct {
	// LinkAllowance is the time that the simulated link between callers and hosts
	// takes in both directions together.
	LinkAllowance time.Duration
	// Weights maps each request kind to its weight.
	Weights map[string]float64
	// Capacity is the highest rate that the fleet can deliver at best.
	Capacity workload.Capacity
	// Duration is the time during which requests arrived.
	Duration time.Duration
	// KilledHosts contains the addresses of the hosts that the bench killed
	// during the run. The callers of a killed host unavoidably lose their
	// answers.
	KilledHosts map[string]bool
}

// Measure sets the latencies and shares of the main phase in the report.
func (r *Report) Measure(c Conditions, outcomes []client.Outcome) {
	r.measureTTFT(outcomes)
	r.measureGaps(outcomes)
	r.measureInTime(c, outcomes)
	r.measureDelivered(c, outcomes)
	r.measureRefusals(outcomes)
	delays := newLatencies()
	for _, o := range outcomes {
		delays.add(o.Sent)
	}
	r.DriverDelaySecondsP99 = delays.percentile(99)
}

// Check sets the counts of faults that must not happen, over the outcomes of all
// phases, and counts outcomes and answer codes.
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

// MeasureBaseline compares the time to first token of the short prompts among all
// others with that of the same prompts alone.
func (r *Report) MeasureBaseline(baseline []client.Outcome) {
	r.ShortAloneSeconds = ttft(baseline, workload.ClassShort).quantiles()
	shared := r.TTFTSeconds[workload.ClassShort]
	if r.ShortAloneSeconds == nil || shared == nil {
		return
	}
	slowdown := shared.P95 / r.ShortAloneSeconds.P95
	r.ShortSlowdownP95 = &slowdown
}

// ttft returns the times to first token of the outcomes of a class, or of all
// classes for ClassAll.
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
	r.InterTokenSecondsP95 = means.percentile(95)
	r.InterTokenGapSecondsP95 = gaps.percentile(95)
}

// measureInTime calculates the share of requests that were delivered in time,
// weighted by kind, and the unweighted share by class. An action that its caller
// sent twice counts once; it counts as delivered in time when either sending was.
func (r *Report) measureInTime(c Conditions, outcomes []client.Outcome) {
	repeatedInTime := repeatsInTime(outcomes)
	var offered, inTime float64
	classes := make(map[workload.Class]*[2]float64)
	for _, o := range outcomes {
		if o.IsRepeat {
			continue
		}
		weight := c.Weights[o.Request.Kind]
		offeredAndInTime := classes[o.Request.Class]
		if offeredAndInTime == nil {
			offeredAndInTime = new([2]float64)
			classes[o.Request.Class] = offeredAndInTime
		}
		offered += weight
		offeredAndInTime[0]++
		if o.InTime() || repeatedInTime[o.Request] {
			inTime += weight
			offeredAndInTime[1]++
		}
	}
	r.InTimeShareWeighted = ratio(inTime, offered)
	r.InTimeShareByClass = make(map[workload.Class]*float64)
	for class, count := range classes {
		r.InTimeShareByClass[class] = ratio(count[1], count[0])
	}
}

// repeatsInTime returns the requests whose second sending was delivered within
// the time limit of the first.
func repeatsInTime(outcomes []client.Outcome) map[*workload.Request]bool {
	inTime := make(map[*workload.Request]bool)
	for _, o := range outcomes {
		if o.IsRepeat && o.Result == client.Delivered && o.Request.Repeat.After+o.End <= o.Request.TimeLimit {
			inTime[o.Request] = true
		}
	}
	return inTime
}

// The delivered rate leaves out the start of a run, in which the first answers
// are still being generated: a share of the duration, but at most rampMax.
const (
	rampShare = 0.25
	rampMax   = 15 * time.Second
)

// measureDelivered divides the rate at which prompts were delivered in time by
// the best possible rate. It counts only what happened after the ramp and while
// requests still arrived. The best possible rate is the lesser of the capacity
// and the rate at which prompts arrived in that period.
func (r *Report) measureDelivered(c Conditions, outcomes []client.Outcome) {
	rampEnd := min(rampMax, time.Duration(rampShare*float64(c.Duration)))
	inMeasuredPeriod := func(at time.Duration) bool { return at >= rampEnd && at < c.Duration }
	var arrived, delivered float64
	for _, o := range outcomes {
		if o.Request.Class == workload.ClassService {
			continue
		}
		if inMeasuredPeriod(o.Request.ArrivalOffset) {
			arrived++
		}
		if o.InTime() && inMeasuredPeriod(o.Request.ArrivalOffset+o.End) {
			delivered++
		}
	}
	r.DeliveredShareOfBest = ratio(delivered, min(arrived, c.Capacity.PromptsPerSecond*(c.Duration-rampEnd).Seconds()))
}

// ratio returns part divided by whole, or nil if whole is not positive.
func ratio(part, whole float64) *float64 {
	if whole <= 0 {
		return nil
	}
	share := part / whole
	return &share
}

func (r *Report) measureRefusals(outcomes []client.Outcome) {
	refusals := newLatencies()
	refused, givenUp, total := 0.0, 0.0, 0.0
	for _, o := range outcomes {
		if o.IsRepeat {
			continue
		}
		total++
		switch {
		case o.Code == string(dispatch.CodeGivenUp):
			givenUp++
		case o.Result == client.Refused:
			refused++
			refusals.add(o.End)
		}
	}
	r.RefusedShare = ratio(refused, total)
	r.GivenUpShare = ratio(givenUp, total)
	r.RefusalSecondsP95 = refusals.percentile(95)
}

func (r *Report) checkLate(c Conditions, outcomes []client.Outcome) {
	lateCount := 0
	var largestOverrun *float64
	for _, o := range outcomes {
		if o.Late(c.LinkAllowance) {
			lateCount++
		}
		if overrun := o.Overrun().Seconds(); largestOverrun == nil || overrun > *largestOverrun {
			largestOverrun = &overrun
		}
	}
	r.AdmittedLate = &lateCount
	r.LatestOverrunSeconds = largestOverrun
}

func (r *Report) checkAnswers(outcomes []client.Outcome) {
	wrongAnswers := 0
	r.AnswerFaults = make(map[string]int)
	for _, o := range outcomes {
		if o.Fault != answer.None {
			wrongAnswers++
			r.AnswerFaults[o.Fault.String()]++
		}
	}
	r.AnswersMixed = &wrongAnswers
}
