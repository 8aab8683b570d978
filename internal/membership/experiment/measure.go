package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Options holds the parameters of one measurement.
type Options struct {
	// Hosts is the number of hosts, which are spread evenly over DataCentres
	// data centres.
	Hosts       int
	DataCentres int
	// Config applies to every host, except for Self and Seed.
	Config membership.Config
	// Seed determines the random choices of the simulation.
	Seed uint64
	// UpstreamsPerDataCentre is the number of upstreams in each data centre, and
	// RequestsPerHost the number of requests that each host has in flight on
	// them.
	UpstreamsPerDataCentre int
	RequestsPerHost        int
	// QuietDuration is the time for which the traffic is measured while no
	// member changes.
	QuietDuration time.Duration
	// DeathCount is the number of hosts whose death is simulated to measure
	// detection.
	DeathCount int
	// SkipMassChanges leaves out the phases in which many hosts leave and join.
	SkipMassChanges bool
	// OutcomeTimeout is the maximum time to wait for each single outcome.
	OutcomeTimeout time.Duration
}

// Result holds the results of a measurement. Bytes are those of frames, without
// the headers of TCP and IP. Seconds are virtual time; a value that reaches
// Options.OutcomeTimeout means that the outcome was not reached.
type Result struct {
	// Hosts and DataCentres are those of the options.
	Hosts       int `json:"hosts"`
	DataCentres int `json:"data_centres"`
	// BytesPerSecondMean and BytesPerSecondMax are the bytes that a host sends
	// and receives, added up, per second while no member changes. The mean and
	// the maximum are taken over the hosts.
	BytesPerSecondMean float64 `json:"bytes_per_second_mean"`
	BytesPerSecondMax  float64 `json:"bytes_per_second_max"`
	// WireBytesPerSecondMean is BytesPerSecondMean plus the headers of TCP and
	// IPv4 and an acknowledgement for every message.
	WireBytesPerSecondMean float64 `json:"wire_bytes_per_second_mean"`
	// MessagesPerSecondMean is the number of messages that a host sends and
	// receives, added up, per second.
	MessagesPerSecondMean float64 `json:"messages_per_second_mean"`
	// DetectionSecondsP50 and DetectionSecondsMax are the median and the maximum
	// of the times from a host's death until another host of its data centre
	// sees it as dead. EverywhereSecondsMax is the maximum over the hosts of all
	// data centres.
	DetectionSecondsP50  float64 `json:"detection_seconds_p50"`
	DetectionSecondsMax  float64 `json:"detection_seconds_max"`
	EverywhereSecondsMax float64 `json:"everywhere_seconds_max"`
	// MissedDetections is the number of pairs of a dead host and a running host
	// that did not see it as dead in time.
	MissedDetections int `json:"missed"`
	// FalseAlarms is the number of times that a host saw a live one as suspect,
	// leaving or dead while nothing failed.
	FalseAlarms int `json:"false_alarms"`
	// Start describes the start of all hosts at once, Leave and Join those of a
	// third of the hosts at once.
	Start Change `json:"start"`
	Leave Change `json:"leave"`
	Join  Change `json:"join"`
}

// Change holds the effects of a change of many members at once.
type Change struct {
	// WithinDataCentresSeconds is the time until the hosts of each data centre
	// agree about it, and EverywhereSeconds the time until all hosts agree.
	WithinDataCentresSeconds float64 `json:"inside_seconds"`
	EverywhereSeconds        float64 `json:"seconds"`
	// PeakBytes is the number of bytes that the busiest host sent and received
	// in the second with the most traffic.
	PeakBytes int `json:"bytes_peak"`
}

// leaveDivisor gives the number of hosts that leave and join at once: the number
// of running hosts divided by it.
const leaveDivisor = 3

// Measure runs all phases of a measurement: start, quiet time, deaths, and the
// leaving and joining of many hosts at once.
func Measure(options Options) (Result, error) {
	f, err := NewFleet(options.Hosts, options.DataCentres, options.Config, options.Seed)
	if err != nil {
		return Result{}, errors.Wrapf(err, "measure %d hosts", options.Hosts)
	}
	r := &measurement{Fleet: f, options: options, rng: rand.New(rand.NewPCG(options.Seed, options.Seed+1))}
	r.result = Result{Hosts: options.Hosts, DataCentres: options.DataCentres}
	r.scheduleAfter(0, r.changeLoads)
	r.result.Start = r.waitForAgreement(f.ViewsAgreeWithinDataCentres, f.ViewsAgree)
	r.measureQuietTraffic()
	r.measureDeaths()
	if options.SkipMassChanges {
		return r.result, nil
	}
	if err := r.measureMassLeaveAndJoin(); err != nil {
		return Result{}, err
	}
	return r.result, nil
}

// measurement is a running measurement.
type measurement struct {
	*Fleet
	options Options
	rng     *rand.Rand
	result  Result
}

// changeLoads gives every host new work in flight and repeats this once a
// second. It does nothing if RequestsPerHost is 0.
func (r *measurement) changeLoads() {
	if r.options.RequestsPerHost == 0 {
		return
	}
	for _, node := range r.Running() {
		r.Step(node, membership.LoadsChanged{Loads: r.drawLoads()})
	}
	r.scheduleAfter(time.Second, r.changeLoads)
}

// drawLoads draws the work in flight of one host. Most prompts are short, and
// one in fifty is long.
func (r *measurement) drawLoads() []wire.UpstreamLoad {
	const longOneIn, longTokens, shortTokens = 50, 300_000, 4_000
	loads := make([]wire.UpstreamLoad, r.options.UpstreamsPerDataCentre)
	for range r.options.RequestsPerHost {
		tokens := 1 + r.rng.IntN(shortTokens)
		if r.rng.IntN(longOneIn) == 0 {
			tokens = 1 + r.rng.IntN(longTokens)
		}
		l := &loads[r.rng.IntN(len(loads))]
		l.Requests++
		l.PrefillTokens += r.rng.IntN(tokens)
		l.MemoryTokens += tokens
	}
	for i := range loads {
		loads[i].Upstream = fmt.Sprintf("engine-%03d", i)
	}
	return loads
}

// waitForAgreement runs the simulation until the first condition has held once
// and then the second one holds, or until OutcomeTimeout. It returns the times
// and the peak traffic.
func (r *measurement) waitForAgreement(withinDataCentres, everywhere func() bool) Change {
	start := r.Now()
	change := Change{WithinDataCentresSeconds: r.options.OutcomeTimeout.Seconds(), EverywhereSeconds: r.options.OutcomeTimeout.Seconds()}
	withinHeld := false
	condition := func() bool {
		if !withinHeld && withinDataCentres() {
			withinHeld = true
			change.WithinDataCentresSeconds = (r.Now() - start).Seconds()
		}
		return withinHeld && everywhere()
	}
	for r.Now()-start < r.options.OutcomeTimeout {
		before := r.trafficByNode()
		took, ok := r.RunUntil(time.Second, condition)
		if ok {
			change.EverywhereSeconds = (r.Now() - start).Seconds()
			r.Run(time.Second - took)
		}
		change.PeakBytes = max(change.PeakBytes, r.maxTrafficSince(before))
		if ok {
			break
		}
	}
	return change
}

// trafficByNode returns the bytes that each node has sent and received so far.
func (r *measurement) trafficByNode() map[*Node]int {
	bytes := make(map[*Node]int, len(r.Nodes()))
	for _, n := range r.Nodes() {
		bytes[n] = n.SentBytes + n.ReceivedBytes
	}
	return bytes
}

// maxTrafficSince returns the most bytes that a node has sent and received since
// the given counts were taken.
func (r *measurement) maxTrafficSince(before map[*Node]int) int {
	highest := 0
	for _, n := range r.Nodes() {
		highest = max(highest, n.SentBytes+n.ReceivedBytes-before[n])
	}
	return highest
}

// measureQuietTraffic measures the traffic and the false alarms while no member
// changes. It first waits for QuietDuration until the effects of the start are
// over.
func (r *measurement) measureQuietTraffic() {
	r.Run(r.options.QuietDuration)
	messages := 0
	r.OnSend = func(*Node, wire.Message) { messages++ }
	r.OnEffect = func(_ time.Duration, _ string, e membership.Effect) {
		if m, ok := e.(membership.MemberChanged); ok && m.State != wire.Alive {
			r.result.FalseAlarms++
		}
	}
	before := r.trafficByNode()
	r.Run(r.options.QuietDuration)
	r.OnSend, r.OnEffect = nil, nil
	seconds, sum := r.options.QuietDuration.Seconds(), 0
	for _, n := range r.Nodes() {
		sum += n.SentBytes + n.ReceivedBytes - before[n]
	}
	hosts := float64(r.options.Hosts)
	r.result.BytesPerSecondMean = float64(sum) / seconds / hosts
	r.result.BytesPerSecondMax = float64(r.maxTrafficSince(before)) / seconds
	r.result.MessagesPerSecondMean = 2 * float64(messages) / seconds / hosts
	r.result.WireBytesPerSecondMean = r.result.BytesPerSecondMean + membership.TCPOverheadBytes*r.result.MessagesPerSecondMean
}
