package capacity

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
)

func TestSmallSizesAreMeasured(t *testing.T) {
	r := &run{progress: io.Discard, started: time.Now()}
	d, err := measureDirectory(7, 21)
	if err != nil || d.bytes == 0 || d.decode.cpu == 0 {
		t.Errorf("the platform's list: %+v, %v", d, err)
	}
	m, err := measureMembers(6, 2)
	if err != nil || m.bytes == 0 || m.messages == 0 || m.first == 0 || m.everyone < m.detected {
		t.Errorf("membership: %+v, %v", m, err)
	}
	p, err := measureProbes(2)
	if err != nil || p.bytes == 0 || p.messages == 0 {
		t.Errorf("probes: %+v, %v", p, err)
	}
	c := measureClaims(&Table{}, claimRun{hosts: 4, actions: 10, shards: 2, window: time.Minute, pace: 20 * time.Millisecond})
	if c.writes == 0 || c.perKey == 0 {
		t.Errorf("claims: %+v", c)
	}
	if err := r.catalogueOf(&Table{}, 10); err != nil || r.figures.configuration.stored == 0 {
		t.Errorf("configuration: %+v, %v", r.figures.configuration, err)
	}
	r.figures.dispatch.costs = make(map[experiment.Size]map[string]cost)
	for _, s := range []experiment.Size{{Engines: 6, Hosts: 2, InFlight: 20}, {Engines: 6, Hosts: 2, InFlight: 20, Waiting: 5}} {
		if err := r.dispatchCosts(&Table{}, s); err != nil {
			t.Error(err)
		}
		for _, o := range experiment.Operations(s) {
			if r.figures.dispatch.at(s, o.Name).cpu == 0 {
				t.Errorf("%v: %s cost nothing", s, o.Name)
			}
		}
	}
}

func TestTablesAreMarkdown(t *testing.T) {
	table := Table{Title: "Title", Columns: []string{"size", "bytes"}}
	table.add(count(3), size(2048))
	var b strings.Builder
	if err := (Report{Tables: []*Table{&table}}).Write(&b); err != nil {
		t.Fatal(err)
	}
	const want = "### Title\n\n| size | bytes |\n| --- | --- |\n| 3 | 2.0 KB |\n\n"
	if b.String() != want {
		t.Errorf("%q, not %q", b.String(), want)
	}
}
