package main

import (
	"net/http"
	"time"
)

// path is the case of consumers whose paths have characters that are sent as they are by many
// programs. The servers must get the same paths.
func path(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.configure(11, []map[string]any{
		route("sanction-write", "/sanction/", "unsafe", "case-desk", 800, 150, map[string]any{"priority": 2, "maxAttempts": 1}),
	}, []map[string]any{plainService("case-desk")}, []string{apiKey})
	for i := range 3 {
		if _, err := d.addServer("case-desk", zones[i], 6, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	g := d.addGateway("lima-a")
	if err := g.start(); err != nil {
		return false, err
	}
	if err := g.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	targets := []string{"/sanction/author%7C7", "/sanction/%7B7%7D", "/sanction/jos%C3%A9", "/sanction/2024%5E1", "/sanction/thread%2312"}
	if trouble {
		targets = []string{"/sanction/author|7", "/sanction/{7}", "/sanction/josé", "/sanction/2024^1", "/sanction/thread#12"}
	}
	changed := 0
	for _, target := range targets {
		a := d.ask(g, request{method: http.MethodPost, target: target, deadline: 2 * time.Second, body: []byte("block")}, apiKey)
		for _, x := range rec.runsOfID(a.id) {
			if x.target != target {
				changed++
			}
			rec.say("sent %s, answered %d, ran as %s", target, a.status, x.target)
		}
	}
	rec.say("requests that ran with another path: %d of %d", changed, len(targets))
	return changed > 0, nil
}
