package main

import (
	"fmt"
	"sync"
	"time"
)

const domain = "ficu95.example"

// configuration has one route, of a service without an engine.
func configuration(version int, kind string, routes ...map[string]any) map[string]any {
	all := append([]map[string]any{{
		"name": "act", "host": domain, "pathPrefix": "/puxa403/", "routeType": kind, "timeoutMs": 3000,
		"targetLatencyMs": 300, "priority": 2, "service": "order-desk", "maxAttempts": 2,
	}}, routes...)
	return map[string]any{
		"version": version, "routes": all,
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/health", "maxConnections": 48}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
		"tenants":  []any{},
	}
}

// scaleIn plays two scale-ins, 2 s apart. All servers that leave report that they drain, but
// for one of the second scale-in.
func scaleIn(r *rig, trouble bool) []string {
	b := bounds{drainMs: 2000, configApplyMs: 2000, stableWindowMs: 3000, maxSkewMs: 5000}
	const (
		work     = 100 * time.Millisecond
		firstAt  = 6 * time.Second
		length   = 13 * time.Second
		interval = 8 * time.Millisecond
		// longer is "a little longer" for which a server goes on after drainMs, silentAfter how
		// long after the beginning of the second scale-in the entry of the server is removed
		// that reports nothing.
		longer      = 120 * time.Millisecond
		silentAfter = 200 * time.Millisecond
	)
	drain := time.Duration(b.drainMs) * time.Millisecond
	r.store.put("config", "main", configuration(7, "unsafe"))
	zones := []string{"x-a", "x-b", "x-c"}
	var servers []*server
	for i := range 12 {
		servers = append(servers, r.addServer(fmt.Sprintf("i-%04x", 0x51a7+i*977), "order-desk", zones[i%3], r.ip(2, i+1), work))
	}
	for _, zone := range zones {
		r.addHost(zone, b)
	}
	r.awaitReady()
	began := time.Now()
	c := newConsumer(r)
	var mu sync.Mutex
	leaving := map[*server]time.Time{}
	acknowledge := func(s *server, at time.Time, what string) {
		mu.Lock()
		defer mu.Unlock()
		leaving[s] = at
		r.noteAt(at, "server %s leaves: %s, confirmed by the store", s.id, what)
	}
	announce := func(s *server) {
		acknowledge(s, s.register("draining"), "it reports that it drains")
		time.AfterFunc(drain+longer, func() {
			s.exit()
			r.noteAt(r.store.remove("servers", s.id), "the entry of %s is removed", s.id)
		})
	}
	first, announced, silent := servers[:3], servers[3], servers[4]
	if trouble {
		time.AfterFunc(firstAt, func() {
			for _, s := range first {
				announce(s)
			}
		})
		time.AfterFunc(firstAt+drain, func() { announce(announced) })
		time.AfterFunc(firstAt+drain+silentAfter, func() {
			acknowledge(silent, r.store.remove("servers", silent.id), "its entry is removed, it has reported nothing")
			time.AfterFunc(drain+longer, silent.exit)
		})
	}
	for i := 0; time.Since(began) < length; i++ {
		c.send(r.hosts[i%len(r.hosts)], "POST", domain, "/puxa403/2f", "order", 3*time.Second)
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * interval)))
	}
	c.wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	lost := 0
	for s, at := range leaving {
		for _, a := range s.arrivals() {
			k := c.calls[a.id]
			if k != nil && a.at.Sub(at) > drain && k.sentAt.After(at.Add(drain)) {
				broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent by its consumer %d ms after the store's confirmation, reached %s %d ms after it (bound %d ms); answered %d",
					a.id, k.sentAt.Sub(at).Milliseconds(), s.id, a.at.Sub(at).Milliseconds(), b.drainMs, k.status))
				if k.status != 200 {
					lost++
				}
			}
		}
	}
	failed := 0
	for _, k := range c.calls {
		if k.status != 200 {
			failed++
		}
	}
	r.note("%d requests, %d not answered 200; %d reached a server too late, of which %d were lost", len(c.calls), failed, len(broken), lost)
	fmt.Printf("%d requests, %d not answered 200; %d reached a server too late, of which %d were lost\n", len(c.calls), failed, len(broken), lost)
	return broken
}
