package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// The configuration has idleRoutes like the site, and grows by moreRoutes.
	idleRoutes, moreRoutes = 240, 1680
	stormTime, stormPause  = 4200 * time.Millisecond, 180 * time.Millisecond
	turnedAwayTime         = 9 * time.Second
	configApply, maxSkew   = 3 * time.Second, 6 * time.Second
)

// storm is the case of a host that the store turns away while many versions of a large
// configuration come, the last of which takes a key away. Some time after the store serves
// the host again, it must refuse that key.
func storm(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	const revokedKey = "q7w2n5m8z1x4c6v9b3t0"
	version := 11
	configure := func(keys ...string) time.Time {
		d.configure(version, stormRoutes(version), []map[string]any{modelService("verdict-llm"), plainService("case-desk")}, keys)
		rec.log("config  version %d is confirmed, with %d keys", version, len(keys))
		version += 3
		return time.Now()
	}
	configure(apiKey, revokedKey)
	for i := range 3 {
		if _, err := d.addServer("case-desk", zones[i], 6, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	var doors []*door
	for i := range 3 {
		g := d.addGateway(zones[i])
		g.store = d.net.address(30+i, storePort)
		door, err := d.store.listen(g.store)
		if err != nil {
			return false, err
		}
		doors = append(doors, door)
		if err := g.start(); err != nil {
			return false, err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow)

	turnedAway := time.Now()
	if trouble {
		doors[1].closed.Store(true)
		rec.log("trouble the store turns host %d away", d.gateways[1].host)
	}
	time.Sleep(500 * time.Millisecond)
	for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormPause) {
		configure(apiKey, revokedKey)
	}
	confirmed := configure(apiKey)
	rec.log("config  the confirmed configuration has %d bytes", d.store.size("config", "main"))
	time.Sleep(time.Until(turnedAway.Add(turnedAwayTime)))
	doors[1].closed.Store(false)
	rec.log("trouble the store serves host %d again", d.gateways[1].host)

	// All hosts are in touch from then on, and the bound is over even if it is stretched.
	judgedFrom := turnedAway.Add(turnedAwayTime + stableWindow)
	if bound := confirmed.Add(configApply + maxSkew); bound.After(judgedFrom) {
		judgedFrom = bound
	}
	time.Sleep(time.Until(judgedFrom))
	var mu sync.Mutex
	var work sync.WaitGroup
	outcomes := make([]map[int]int, len(d.gateways))
	ran := 0
	for range 40 {
		for i, g := range d.gateways {
			work.Go(func() {
				a := d.ask(g, request{method: http.MethodGet, target: "/status/9", deadline: 2 * time.Second}, revokedKey)
				runs := len(rec.runsOfID(a.id))
				mu.Lock()
				defer mu.Unlock()
				if outcomes[i] == nil {
					outcomes[i] = map[int]int{}
				}
				outcomes[i][a.status]++
				ran += runs
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	work.Wait()
	for i, g := range d.gateways {
		rec.say("host %d answered requests with the key that was taken away (status: number): %v", g.host, outcomes[i])
	}
	rec.say("sent %.1f to %.1f s after the confirmation; of them ran: %d", judgedFrom.Sub(confirmed).Seconds(), time.Since(confirmed).Seconds(), ran)
	return ran > 0, nil
}

// stormRoutes returns the routes of a version of the configuration, which differ between two
// versions.
func stormRoutes(version int) []map[string]any {
	routes := []map[string]any{route("r-st4t0s1", "/status/", "safe", "case-desk", 600, 150, map[string]any{"priority": 2})}
	for i := range idleRoutes + moreRoutes {
		routes = append(routes, route(fmt.Sprintf("r-m%06d", i), fmt.Sprintf("/x%04d/", i), "streaming", "verdict-llm", 10000, 300+version%2, map[string]any{
			"sessionAffinity": true, "streamResume": true, "gapAimMs": 250,
		}))
	}
	return routes
}
