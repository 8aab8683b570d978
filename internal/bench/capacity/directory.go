package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/router"
)

// directorySizes are pairs of numbers of entry hosts and of upstreams in the
// platform's list.
var directorySizes = [][2]int{{7, 21}, {30, 340}, {120, 1350}, {targetNodes, targetServers}}

// directoryFigures are the costs of reading the platform's list once.
type directoryFigures struct {
	listBytes  int
	decode     cost
	step       cost
	stateBytes int64
}

func (r *measurementRun) addDirectoryTable() error {
	t := r.newTable("The platform's list: one reading, and a router's control state after it, without requests",
		"hosts", "upstreams", "as JSON", "decoding", "reducer's step, unchanged", "allocated by both", "control state kept")
	for _, s := range directorySizes {
		r.printProgress(fmt.Sprintf("list of %d hosts and %d upstreams", s[0], s[1]))
		f, err := measureDirectory(s[0], s[1])
		if err != nil {
			return err
		}
		r.figures.directory = f
		t.add(formatNumber(float64(s[0])), formatNumber(float64(s[1])), formatBytes(float64(f.listBytes)), formatDuration(f.decode.cpu), formatDuration(f.step.cpu),
			formatBytes(f.decode.bytes+f.step.bytes), formatBytes(float64(f.stateBytes)))
	}
	return nil
}

func measureDirectory(hosts, upstreams int) (directoryFigures, error) {
	var f directoryFigures
	body, err := json.Marshal(hostList(hosts, upstreams))
	if err != nil {
		return f, errors.Wrap(err, "encode the platform's list")
	}
	f.listBytes = len(body)
	read := func() []platform.Host {
		var list []platform.Host
		_ = json.Unmarshal(body, &list)
		return list
	}
	f.decode = measure(func() { read() }, nil)
	now := time.Second
	kept, state, err := heapGrowth(func() (any, error) {
		c, err := newRouter()
		if err == nil {
			c.Step(now, router.HostsListed{Hosts: read()})
		}
		return c, err
	})
	if err != nil {
		return f, err
	}
	f.stateBytes = state
	c, list := kept.(*router.Core), read()
	f.step = measure(func() {
		now += time.Second
		c.Step(now, router.HostsListed{Hosts: list})
	}, nil)
	return f, nil
}

func newRouter() (*router.Core, error) {
	d := dispatch.DefaultConfig()
	d.Host, d.Incarnation, d.DataCentre = "host-0000", 1, "dc-00"
	m := membership.DefaultConfig()
	m.Self = membership.Host{Name: d.Host, DataCentre: d.DataCentre, Address: "127.0.0.1:7000", Incarnation: 1}
	c, err := router.New(router.Config{
		Dispatch: d, Membership: m, Configuration: configuration.DefaultConfig(d.Host, d.DataCentre, seed),
		MembershipInterval: 100 * time.Millisecond,
	})
	return c, errors.Wrap(err, "measure a router's control state")
}

func hostList(hosts, upstreams int) []platform.Host {
	var list []platform.Host
	for i := range hosts {
		list = append(list, platform.Host{
			Name: fmt.Sprintf("host-%04d", i), Address: fmt.Sprintf("127.0.%d.%d:7000", i/250, 1+i%250),
			DataCentre: fmt.Sprintf("dc-%02d", i%targetDataCentres), Role: "entry",
		})
	}
	for i := range upstreams {
		list = append(list, platform.Host{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("127.1.%d.%d:8000", i/250, 1+i%250),
			DataCentre: fmt.Sprintf("dc-%02d", i%targetDataCentres), Role: "engine",
		})
	}
	return list
}
