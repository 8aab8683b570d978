package main

import (
	"fmt"
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

// scaleIn plays the scale-in of a zone's servers, none of which reports that it is draining.
func scaleIn(r *rig, trouble bool) []string {
	b := bounds{drainMs: 2000, configApplyMs: 2000, stableWindowMs: 3000}
	const (
		work     = 100 * time.Millisecond
		leaveAt  = 8 * time.Second
		length   = 13 * time.Second
		interval = 8 * time.Millisecond
		// longer is "a little longer" for which a server goes on after drainMs.
		longer = 120 * time.Millisecond
	)
	drain := time.Duration(b.drainMs) * time.Millisecond
	r.store.put("config", "main", configuration(7, "unsafe"))
	zones := []string{"x-a", "x-b", "x-c"}
	var servers []*server
	for i := range 9 {
		servers = append(servers, r.addServer(fmt.Sprintf("i-%04x", 0x51a7+i*977), "order-desk", zones[i%3], r.ip(2, i+1), work))
	}
	for _, zone := range zones {
		r.addHost(zone, b)
	}
	r.awaitReady()
	began := time.Now()
	c := newConsumer(r)
	leaving := map[*server]time.Time{}
	var last *time.Timer
	for i := 0; time.Since(began) < length; i++ {
		if trouble && len(leaving) == 0 && time.Since(began) >= leaveAt {
			for _, s := range servers {
				if s.zone == "x-c" {
					at := r.store.remove("servers", s.id)
					leaving[s] = at
					r.noteAt(at, "server %s leaves: its entry is removed, confirmed by the store", s.id)
					last = time.AfterFunc(drain+longer, s.exit)
				}
			}
		}
		c.send(r.hosts[i%len(r.hosts)], "POST", domain, "/puxa403/2f", "order", 3*time.Second)
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * interval)))
	}
	c.wg.Wait()
	if last != nil {
		last.Stop()
	}
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
