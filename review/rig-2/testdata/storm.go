package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// storm plays a series of configurations, each in force later than the one before, while the
// store turns one machine away.
func storm(r *rig, trouble bool) []string {
	b := bounds{drainMs: 3000, configApplyMs: 3000, stableWindowMs: 4000, maxSkewMs: 6000}
	const (
		routes   = 2800
		versions = 24
		gap      = 60 * time.Millisecond
		away     = 5500 * time.Millisecond
		after    = 20 * time.Second
	)
	var more []map[string]any
	for i := range routes {
		more = append(more, map[string]any{
			"name": fmt.Sprintf("idle-%d", i), "host": domain, "pathPrefix": fmt.Sprintf("/idle%04d/", i), "routeType": "safe", "timeoutMs": 3000,
			"targetLatencyMs": 300, "priority": 2, "service": "order-desk", "maxAttempts": 2, "public": false,
		})
	}
	config := func(version int, newRoute bool, key string) map[string]any {
		all := append([]map[string]any(nil), more...)
		if newRoute {
			all = append(all, map[string]any{"name": "new", "host": domain, "pathPrefix": "/new/", "routeType": "safe", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "order-desk", "maxAttempts": 2})
		}
		c := configuration(version, "unsafe", all...)
		c["tenants"] = []any{map[string]any{"name": "hule930", "apiKeys": []string{"steady", key}}}
		return c
	}
	version := 7
	text, err := json.Marshal(config(version, false, "old"))
	check(err)
	r.note("a version has %d bytes (valueBytes is 1048576)", len(text))
	r.store.put("config", "main", config(version, false, "old"))
	var servers []*server
	zones := []string{"x-a", "x-b", "x-c"}
	for i := range 3 {
		servers = append(servers, r.addServer(fmt.Sprintf("i-%04x", 0x51a7+i*977), "order-desk", zones[i], r.ip(2, i+1), 20*time.Millisecond))
	}
	for _, zone := range zones {
		r.addHost(zone, b)
	}
	r.awaitReady()
	time.Sleep(3 * time.Second)
	h := r.hosts[0]
	if trouble {
		h.gate.shut.Store(true)
		h.gate.cut()
		r.note("the store turns %s away", h.name)
	}
	shutAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	for range versions {
		version += 3
		at := r.store.put("config", "main", config(version, false, "old"))
		r.noteAt(at, "version %d confirmed", version)
		time.Sleep(gap)
	}
	version++
	last := r.store.put("config", "main", config(version, true, "fresh"))
	r.noteAt(last, "version %d confirmed: it has the route /new/ and the key fresh, and no more the key old", version)
	time.Sleep(time.Until(shutAt.Add(away)))
	h.gate.shut.Store(false)
	opened := time.Now()
	r.note("the store serves %s again", h.name)
	c := newConsumer(r)
	inTouch := opened.Add(time.Duration(b.stableWindowMs) * time.Millisecond)
	// maxSkewMs is what an unstable core would add: it is granted though the store serves
	// all others all the while.
	due := last.Add(time.Duration(b.configApplyMs+b.maxSkewMs) * time.Millisecond)
	from := inTouch
	if due.After(from) {
		from = due
	}
	type probeCall struct {
		id   string
		kind string
	}
	var probes []probeCall
	for time.Now().Before(opened.Add(after)) {
		for _, h := range r.hosts {
			c.key = "fresh"
			probes = append(probes, probeCall{c.send(h, "GET", domain, "/new/x", "", 3*time.Second), "new route"})
			c.key = "old"
			probes = append(probes, probeCall{c.send(h, "GET", domain, "/puxa403/x", "", 3*time.Second), "dropped key"})
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.wg.Wait()
	ran := map[string]bool{}
	for _, s := range servers {
		for _, a := range s.arrivals() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	var broken []string
	for _, p := range probes {
		k := c.calls[p.id]
		if k.sentAt.Before(from) {
			continue
		}
		switch {
		case p.kind == "new route" && (k.status == 401 || k.status == 404):
			broken = append(broken, fmt.Sprintf("CONFIG: request %s on the new route, sent %d ms after the confirmation and %d ms after the store served %s again, is answered %d", p.id, k.sentAt.Sub(last).Milliseconds(), k.sentAt.Sub(opened).Milliseconds(), k.host, k.status))
		case p.kind == "dropped key" && ran[p.id]:
			broken = append(broken, fmt.Sprintf("CONFIG: request %s with the dropped key, sent %d ms after the confirmation and %d ms after the store served %s again, was run", p.id, k.sentAt.Sub(last).Milliseconds(), k.sentAt.Sub(opened).Milliseconds(), k.host))
		}
	}
	counts := map[string]int{}
	for _, p := range probes {
		k := c.calls[p.id]
		if k.sentAt.After(from) {
			counts[k.host+", "+p.kind+", "+fmt.Sprint(k.status)]++
		}
	}
	for _, line := range slices.Sorted(maps.Keys(counts)) {
		r.note("judged: %s: %d", line, counts[line])
		fmt.Printf("judged: %s: %d\n", line, counts[line])
	}
	return broken
}
