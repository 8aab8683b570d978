package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// Strategy is a strategy for keeping claims in the store.
type Strategy string

// The strategies that are compared.
const (
	// ObjectPerKey has one object for each action.
	ObjectPerKey Strategy = "one object per key"
	// EveryHostWrites has shard objects that all hosts write.
	EveryHostWrites Strategy = "every host writes"
	// OneWriterPerShard has shard objects each of which one host writes.
	OneWriterPerShard Strategy = "owner per shard"
)

// Size is the size of the system in one measurement. Its fields have the meaning
// of the fields of Config; Pace is that of Config.Core.
type Size struct {
	Hosts            int
	ActionsPerSecond float64
	Shards           int
	WindowLength     time.Duration
	Pace             time.Duration
	// BodyBytes is the size of a recorded answer in bytes.
	BodyBytes       int
	ArrivalDuration time.Duration
}

// perKeyShards is a number of shards so large that hardly ever two keys share
// an object.
const perKeyShards = 1 << 40

// Measurement holds the results of one measurement. Rates are averages over the
// time in which actions arrived.
type Measurement struct {
	Strategy Strategy
	Size     Size

	WritesPerSecond    float64
	ReadsPerSecond     float64
	ConflictsPerSecond float64
	ThrottledPerSecond float64
	// RecordsPerWrite is the mean number of claims and outcomes in one write, as
	// each granted claim is written twice: as a claim and with its outcome.
	RecordsPerWrite float64
	// BytesPerKey is the mean size of a key's record in the store in bytes.
	BytesPerKey float64
	// LargestBytes is the size of the largest value written, in bytes.
	LargestBytes          int
	WrittenBytesPerSecond float64
	// WaitP50 and WaitP99 are the median and the 99th percentile of the time
	// from a request to its granted claim.
	WaitP50 time.Duration
	WaitP99 time.Duration
	// GrantedShare is the share of requests whose claim was granted, from 0 to
	// 1. Measurements repeat no request.
	GrantedShare float64
}

// Measure runs the simulation at one size, without faults and with the rate
// limits of the platform's store.
func Measure(strategy Strategy, size Size, seed uint64) Measurement {
	c := DefaultConfig()
	c.Seed = seed
	c.Hosts, c.Shards = size.Hosts, size.Shards
	c.ActionsPerSecond, c.ArrivalDuration = size.ActionsPerSecond, size.ArrivalDuration
	c.WindowLength, c.BodyBytes = size.WindowLength, size.BodyBytes
	c.Core.Pace = size.Pace
	c.RepeatShare = 0
	c.ForwardToOwner = strategy == OneWriterPerShard
	if strategy == ObjectPerKey {
		c.Shards = perKeyShards
	}
	return Run(c).measurement(strategy, size)
}

// measurement returns the results of a run that has ended.
func (sim *Simulation) measurement(strategy Strategy, size Size) Measurement {
	s := sim.store
	seconds := size.ArrivalDuration.Seconds()
	keys, bytes := sim.storedKeys()
	granted := float64(sim.decisionCounts[shard.Granted])
	slices.Sort(sim.grantWaits)
	return Measurement{
		Strategy: strategy, Size: size,
		WritesPerSecond:       float64(s.Writes) / seconds,
		ReadsPerSecond:        float64(s.Reads) / seconds,
		ConflictsPerSecond:    float64(s.Conflicts) / seconds,
		ThrottledPerSecond:    float64(s.Throttled) / seconds,
		RecordsPerWrite:       2 * granted / float64(max(1, s.Writes)),
		BytesPerKey:           float64(bytes) / float64(max(1, keys)),
		LargestBytes:          s.LargestBytes,
		WrittenBytesPerSecond: float64(s.BytesWritten) / seconds,
		WaitP50:               quantile(sim.grantWaits, 0.50),
		WaitP99:               quantile(sim.grantWaits, 0.99),
		GrantedShare:          granted / float64(max(1, sim.attempts)),
	}
}

// storedKeys returns the number of keys in the store and the size of all its
// objects in bytes.
func (sim *Simulation) storedKeys() (keys, bytes int) {
	for _, o := range sim.store.objects.List("claims/") {
		bytes += len(o.Value)
		if t, err := shard.Decode(o.Value); err == nil {
			keys += t.Len()
		}
	}
	return keys, bytes
}

// quantile returns the quantile q, from 0 to 1, of sorted durations, or 0 if
// there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Sizes returns the sizes at which the strategies are compared: the present size
// of the system at three rates of actions, and the target size where one, five
// and ten in a hundred of 46,000 requests a second are actions.
func Sizes() []Size {
	current := Size{Hosts: 8, Shards: 8, WindowLength: time.Minute, Pace: 20 * time.Millisecond, BodyBytes: 64, ArrivalDuration: 30 * time.Second}
	target := Size{Hosts: 470, Shards: 16, WindowLength: 10 * time.Second, Pace: 50 * time.Millisecond, BodyBytes: 64, ArrivalDuration: 30 * time.Second}
	var sizes []Size
	for _, actions := range []float64{10, 50, 200} {
		size := current
		size.ActionsPerSecond = actions
		sizes = append(sizes, size)
	}
	for _, actions := range []float64{460, 2300, 4600} {
		size := target
		size.ActionsPerSecond = actions
		sizes = append(sizes, size)
	}
	return sizes
}

// Print writes the measurements to out as a table.
func Print(out io.Writer, measurements []Measurement) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "strategy\thosts\tactions/s\twrites/s\treads/s\tconflicts/s\tthrottled/s\trecords/write\tB/key\tlargest kB\twritten MB/s\twait p50 ms\tp99 ms\tgranted\t")
	for _, m := range measurements {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.3f\t\n",
			m.Strategy, m.Size.Hosts, m.Size.ActionsPerSecond, m.WritesPerSecond, m.ReadsPerSecond, m.ConflictsPerSecond,
			m.ThrottledPerSecond, m.RecordsPerWrite, m.BytesPerKey, float64(m.LargestBytes)/1e3, m.WrittenBytesPerSecond/1e6,
			milliseconds(m.WaitP50), milliseconds(m.WaitP99), m.GrantedShare)
	}
	return t.Flush()
}

// milliseconds returns a duration as a number of milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
