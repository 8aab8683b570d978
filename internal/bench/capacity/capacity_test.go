package capacity

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
)

func TestMeasurementsOfSmallSizesAreNotZero(t *testing.T) {
	r := &measurementRun{progress: io.Discard, started: time.Now()}
	d, err := measureDirectory(7, 21)
	if err != nil || d.listBytes == 0 || d.decode.cpu == 0 {
		t.Errorf("the platform's list: %+v, %v", d, err)
	}
	m, err := measureMembers(6, 2)
	if err != nil || m.bytesPerSecond == 0 || m.messagesPerSecond == 0 || m.firstDetection == 0 || m.fullDetection < m.dataCentreDetection {
		t.Errorf("membership: %+v, %v", m, err)
	}
	p, err := measureProbes(2)
	if err != nil || p.bytesPerSecond == 0 || p.requestsPerSecond == 0 {
		t.Errorf("probes: %+v, %v", p, err)
	}
	c := measureClaims(&Table{}, claimRun{hosts: 4, actions: 10, shards: 2, window: time.Minute, pace: 20 * time.Millisecond})
	if c.writesPerSecond == 0 || c.bytesPerKey == 0 {
		t.Errorf("claims: %+v", c)
	}
	if err := r.measureCatalogue(&Table{}, 10); err != nil || r.figures.configuration.storedBytes == 0 {
		t.Errorf("configuration: %+v, %v", r.figures.configuration, err)
	}
	r.figures.dispatch.costs = make(map[experiment.Size]map[string]cost)
	for _, s := range []experiment.Size{{Engines: 6, Hosts: 2, InFlight: 20}, {Engines: 6, Hosts: 2, InFlight: 20, Waiting: 5}} {
		if err := r.measureDispatchCosts(&Table{}, s); err != nil {
			t.Error(err)
		}
		for _, o := range experiment.Operations(s) {
			if r.figures.dispatch.costOf(s, o.Name).cpu == 0 {
				t.Errorf("%v: %s cost nothing", s, o.Name)
			}
		}
	}
}

func TestTablesAreMarkdown(t *testing.T) {
	table := Table{Title: "Title", Columns: []string{"size", "bytes"}}
	table.add(formatNumber(3), formatBytes(2048))
	var b strings.Builder
	if err := (Report{Tables: []*Table{&table}}).Write(&b); err != nil {
		t.Fatal(err)
	}
	const want = "### Title\n\n| size | bytes |\n| --- | --- |\n| 3 | 2.0 KB |\n\n"
	if b.String() != want {
		t.Errorf("%q, not %q", b.String(), want)
	}
}
