package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// Way is a way to keep claims in the store.
type Way string

// The ways that are compared.
const (
	// PerKey has one object for each action.
	PerKey Way = "one object per key"
	// EveryHost has shard objects that all hosts write.
	EveryHost Way = "every host writes"
	// Owners has shard objects that one host each writes.
	Owners Way = "owner per shard"
)

// Size is what one measurement is made at.
type Size struct {
	Hosts            int
	ActionsPerSecond float64
	Shards           int
	WindowLength     time.Duration
	Pace             time.Duration
	// BodyBytes is the size of a recorded answer.
	BodyBytes int
	ArrivalDuration    time.Duration
}

// perKeyShards spreads keys so far that hardly two share an object.
const perKeyShards = 1 << 40

// Figures are the results of one measurement. Rates are over the time in
// which actions arrived.
type Figures struct {
	Way  Way
	Size Size

	WritesPerSecond    float64
	ReadsPerSecond     float64
	ConflictsPerSecond float64
	ThrottledPerSecond float64
	// RecordsPerWrite is how many claims and outcomes one write carried.
	RecordsPerWrite float64
	// BytesPerKey is the size of a key's record in the store.
	BytesPerKey float64
	// LargestBytes is the largest value written.
	LargestBytes          int
	WrittenBytesPerSecond float64
	// WaitP50 and WaitP99 are from asking to the grant.
	WaitP50 time.Duration
	WaitP99 time.Duration
	// GrantedShare is the share of first requests that were granted.
	GrantedShare float64
}

// Measure runs one size without faults, within the platform's limits.
func Measure(way Way, size Size, seed uint64) Figures {
	c := DefaultConfig()
	c.Seed = seed
	c.Hosts, c.Shards = size.Hosts, size.Shards
	c.ActionsPerSecond, c.ArrivalDuration = size.ActionsPerSecond, size.ArrivalDuration
	c.WindowLength, c.BodyBytes = size.WindowLength, size.BodyBytes
	c.Core.Pace = size.Pace
	c.RepeatShare = 0
	c.ForwardToOwner = way == Owners
	if way == PerKey {
		c.Shards = perKeyShards
	}
	return Run(c).figures(way, size)
}

func (w *Simulation) figures(way Way, size Size) Figures {
	s := w.store
	seconds := size.ArrivalDuration.Seconds()
	keys, bytes := w.stored()
	granted := float64(w.counts[shard.Granted])
	slices.Sort(w.waits)
	return Figures{
		Way: way, Size: size,
		WritesPerSecond:       float64(s.Writes) / seconds,
		ReadsPerSecond:        float64(s.Reads) / seconds,
		ConflictsPerSecond:    float64(s.Conflicts) / seconds,
		ThrottledPerSecond:    float64(s.Throttled) / seconds,
		RecordsPerWrite:       2 * granted / float64(max(1, s.Writes)),
		BytesPerKey:           float64(bytes) / float64(max(1, keys)),
		LargestBytes:          s.LargestBytes,
		WrittenBytesPerSecond: float64(s.BytesWritten) / seconds,
		WaitP50:               quantile(w.waits, 0.50),
		WaitP99:               quantile(w.waits, 0.99),
		GrantedShare:          granted / float64(max(1, w.attempts)),
	}
}

// stored counts the keys in the store and the bytes of all objects.
func (w *Simulation) stored() (keys, bytes int) {
	for _, o := range w.store.objects.List("claims/") {
		bytes += len(o.Value)
		if t, err := shard.Decode(o.Value); err == nil {
			keys += t.Len()
		}
	}
	return keys, bytes
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Sizes are those of the design note: today's, and the aim's with actions
// being one, five and ten in a hundred of 46,000 requests a second.
func Sizes() []Size {
	today := Size{Hosts: 8, Shards: 8, WindowLength: time.Minute, Pace: 20 * time.Millisecond, BodyBytes: 64, ArrivalDuration: 30 * time.Second}
	aim := Size{Hosts: 470, Shards: 16, WindowLength: 10 * time.Second, Pace: 50 * time.Millisecond, BodyBytes: 64, ArrivalDuration: 30 * time.Second}
	var sizes []Size
	for _, actions := range []float64{10, 50, 200} {
		size := today
		size.ActionsPerSecond = actions
		sizes = append(sizes, size)
	}
	for _, actions := range []float64{460, 2300, 4600} {
		size := aim
		size.ActionsPerSecond = actions
		sizes = append(sizes, size)
	}
	return sizes
}

// Print writes figures as a table.
func Print(out io.Writer, figures []Figures) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\thosts\tactions/s\twrites/s\treads/s\tconflicts/s\tthrottled/s\trecords/write\tB/key\tlargest kB\twritten MB/s\twait p50 ms\tp99 ms\tgranted\t")
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.3f\t\n",
			f.Way, f.Size.Hosts, f.Size.ActionsPerSecond, f.WritesPerSecond, f.ReadsPerSecond, f.ConflictsPerSecond,
			f.ThrottledPerSecond, f.RecordsPerWrite, f.BytesPerKey, float64(f.LargestBytes)/1e3, f.WrittenBytesPerSecond/1e6,
			milliseconds(f.WaitP50), milliseconds(f.WaitP99), f.GrantedShare)
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
