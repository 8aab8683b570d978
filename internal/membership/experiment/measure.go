package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Options describe one measurement.
type Options struct {
	// Hosts are spread evenly over DataCentres.
	Hosts       int
	DataCentres int
	// Config is that of every host, but for Self and Seed.
	Config membership.Config
	Seed   uint64
	// Upstreams is how many each data centre has, and InFlight how many
	// requests each host has under way on them.
	Upstreams int
	InFlight  int
	// Quiet is how long traffic is measured with no change of members.
	Quiet time.Duration
	// Deaths is how many hosts die to measure detection.
	Deaths int
	// Brief leaves out the leaving and joining of many.
	Brief bool
	// Limit bounds the wait for every single outcome.
	Limit time.Duration
}

// Result is what was measured. Bytes are those of frames, without the headers
// of TCP and IP. Seconds are virtual; one that reaches Options.Limit means
// that the outcome was not reached.
type Result struct {
	Hosts       int `json:"hosts"`
	DataCentres int `json:"data_centres"`
	// BytesMean and BytesMax are sent and received together per host and
	// second while nothing changes; the maximum is over the hosts.
	BytesMean float64 `json:"bytes_per_second_mean"`
	BytesMax  float64 `json:"bytes_per_second_max"`
	// WireMean is BytesMean with the headers of TCP and IPv4 and an
	// acknowledgement for every message.
	WireMean float64 `json:"wire_bytes_per_second_mean"`
	// MessagesMean is sent and received together per host and second.
	MessagesMean float64 `json:"messages_per_second_mean"`
	// DetectionP50 and DetectionMax are from a host's death until a host of
	// its data centre calls it dead; EverywhereMax until the last host anywhere.
	DetectionP50  float64 `json:"detection_seconds_p50"`
	DetectionMax  float64 `json:"detection_seconds_max"`
	EverywhereMax float64 `json:"everywhere_seconds_max"`
	// Missed counts the observations of a death that were not made in time.
	Missed int `json:"missed"`
	// FalseAlarms counts live hosts called suspect or dead while nothing failed.
	FalseAlarms int `json:"false_alarms"`
	// Start is the start of all hosts at once, Leave and Join are those of a
	// third of them at once.
	Start Change `json:"start"`
	Leave Change `json:"leave"`
	Join  Change `json:"join"`
}

// Change is what a change of many members does.
type Change struct {
	// InsideSeconds is until the hosts of each data centre agree among
	// themselves, Seconds until all agree.
	InsideSeconds float64 `json:"inside_seconds"`
	Seconds       float64 `json:"seconds"`
	// BytesPeak is what the busiest host sent and received in the worst second.
	BytesPeak int `json:"bytes_peak"`
}

// leaveShare is the part of the hosts that leave and join at once.
const leaveShare = 3

// Measure runs all phases: start, quiet, deaths, mass leave, mass join.
func Measure(o Options) (Result, error) {
	f, err := NewFleet(o.Hosts, o.DataCentres, o.Config, o.Seed)
	if err != nil {
		return Result{}, errors.Wrapf(err, "measure %d hosts", o.Hosts)
	}
	r := &run{Fleet: f, o: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed+1))}
	r.result = Result{Hosts: o.Hosts, DataCentres: o.DataCentres}
	r.after(0, r.changeLoads)
	r.result.Start = r.settle(f.AgreeInside, f.Agree)
	r.quiet()
	r.deaths()
	if o.Brief {
		return r.result, nil
	}
	if err := r.massLeaveAndJoin(); err != nil {
		return Result{}, err
	}
	return r.result, nil
}

type run struct {
	*Fleet
	o      Options
	rng    *rand.Rand
	result Result
}

// changeLoads gives every host new work in flight once a second.
func (r *run) changeLoads() {
	if r.o.InFlight == 0 {
		return
	}
	for _, node := range r.Running() {
		r.Step(node, membership.LoadsChanged{Loads: r.loads()})
	}
	r.after(time.Second, r.changeLoads)
}

// loads draws the work of one host: mostly short prompts, one in fifty long.
func (r *run) loads() []wire.UpstreamLoad {
	const longOneIn, longTokens, shortTokens = 50, 300_000, 4_000
	loads := make([]wire.UpstreamLoad, r.o.Upstreams)
	for range r.o.InFlight {
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

// settle runs until both conditions held.
func (r *run) settle(inside, everywhere func() bool) Change {
	start := r.Now()
	change := Change{InsideSeconds: r.o.Limit.Seconds(), Seconds: r.o.Limit.Seconds()}
	insideHeld := false
	condition := func() bool {
		if !insideHeld && inside() {
			insideHeld = true
			change.InsideSeconds = (r.Now() - start).Seconds()
		}
		return insideHeld && everywhere()
	}
	for r.Now()-start < r.o.Limit {
		before := r.traffic()
		took, ok := r.RunUntil(time.Second, condition)
		if ok {
			change.Seconds = (r.Now() - start).Seconds()
			r.Run(time.Second - took)
		}
		change.BytesPeak = max(change.BytesPeak, r.worst(before))
		if ok {
			break
		}
	}
	return change
}

func (r *run) traffic() map[*Node]int {
	bytes := make(map[*Node]int, len(r.Nodes()))
	for _, n := range r.Nodes() {
		bytes[n] = n.SentBytes + n.ReceivedBytes
	}
	return bytes
}

func (r *run) worst(before map[*Node]int) int {
	worst := 0
	for _, n := range r.Nodes() {
		worst = max(worst, n.SentBytes+n.ReceivedBytes-before[n])
	}
	return worst
}

// quiet measures the traffic when nothing changes, after the effects of the
// start are over.
func (r *run) quiet() {
	r.Run(r.o.Quiet)
	messages := 0
	r.OnSend = func(*Node, wire.Message) { messages++ }
	r.OnEffect = func(_ time.Duration, _ string, e membership.Effect) {
		if m, ok := e.(membership.MemberChanged); ok && m.State != wire.Alive {
			r.result.FalseAlarms++
		}
	}
	before := r.traffic()
	r.Run(r.o.Quiet)
	r.OnSend, r.OnEffect = nil, nil
	seconds, sum := r.o.Quiet.Seconds(), 0
	for _, n := range r.Nodes() {
		sum += n.SentBytes + n.ReceivedBytes - before[n]
	}
	hosts := float64(r.o.Hosts)
	r.result.BytesMean = float64(sum) / seconds / hosts
	r.result.BytesMax = float64(r.worst(before)) / seconds
	r.result.MessagesMean = 2 * float64(messages) / seconds / hosts
	r.result.WireMean = r.result.BytesMean + membership.TCPOverheadBytes*r.result.MessagesMean
}
