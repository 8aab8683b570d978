package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["retire"] = retire }

// retiredMachines is the number of machines of the scenario retire.
const retiredMachines = 132

// retire: in a fleet of 132 machines, a version moves all routes from one service to
// another and drops the old one, whose servers drain and leave. Meanwhile a few archive
// audits wait for the old servers, all of whose places are taken.
func retire(k *kit) {
	serve := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		events := 33
		switch {
		case strings.HasPrefix(r.URL.Path, "/audit"):
			events = 16
		case strings.HasPrefix(r.URL.Path, "/thread"):
			events = 47
		}
		serveEvents(s, w, r, events, 120*time.Millisecond)
	}
	var old []*server
	for _, zone := range k.zones[:2] {
		old = append(old, k.startServer("verdict-old", zone, 16, serve))
	}
	for i := range 6 {
		k.startServer("verdict-new", k.zones[i%3], 16, serve)
	}
	routes := func(service string) []map[string]any {
		return []map[string]any{
			streamRoute("thread", "/thread/", "verdict-new", 10000, 1500, 600),
			streamRoute("comment", "/comment/", service, 10000, 300, 250),
			streamRoute("audit", "/audit/", service, 15000, 2500, 1000),
		}
	}
	k.configure(7, routes("verdict-old"), []map[string]any{modelServers("verdict-old"), modelServers("verdict-new")})
	k.startGateways(retiredMachines)
	time.Sleep(12 * time.Second)

	var wg sync.WaitGroup
	for i := range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.send(k.gateways[60+i%9], call{method: "POST", path: fmt.Sprintf("/comment/%d", i), body: "a comment", deadline: 10 * time.Second, header: map[string]string{
				"Model": "m", "Token-Usage": "5000,1548", "Prompt-Prefix": fmt.Sprintf("5c1e%02x:40,e440%04x:4960", i%4, i),
			}})
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	var answers [12]answer
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = k.send(k.gateways[90+i], call{method: "POST", path: fmt.Sprintf("/audit/%d", i), body: "an archive", deadline: 15 * time.Second, header: map[string]string{
				"Model": "m", "Token-Usage": "45000,688", "Prompt-Prefix": fmt.Sprintf("77aa%02x:40,ad10%04x:44960", i%2, i),
			}})
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1300 * time.Millisecond)
	// Other requests of the same machines, whose service is not touched by the change.
	var others [12]answer
	for i := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			others[i] = k.send(k.gateways[90+i], call{method: "POST", path: fmt.Sprintf("/thread/%d", i), body: "a thread", deadline: 10 * time.Second, header: map[string]string{
				"Model": "m", "Token-Usage": "20000,2021", "Prompt-Prefix": fmt.Sprintf("88bb%02x:40,be20%04x:19960", i%2, i),
			}})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if k.trouble {
		k.configure(8, routes("verdict-new"), []map[string]any{modelServers("verdict-new")})
		for _, s := range old {
			s.drain(2*time.Second, &wg)
		}
	}
	wg.Wait()
	lost, ended, cut := 0, 0, 0
	for _, a := range others {
		if a.err != nil && a.took < 9*time.Second {
			cut++
			k.record("cut_in_its_answer", "request", a.id, "after_ms", fmt.Sprint(a.took.Milliseconds()), "bytes", fmt.Sprint(len(a.body)))
		}
	}
	for _, a := range answers {
		if a.err != nil && a.took < 14*time.Second && !k.reachedServer(a.id) {
			lost++
			k.record("lost_while_waiting", "request", a.id, "after_ms", fmt.Sprint(a.took.Milliseconds()))
		}
	}
	time.Sleep(200 * time.Millisecond)
	for _, g := range k.gateways {
		select {
		case <-g.exited:
			ended++
		default:
		}
	}
	k.finish(lost+cut > 0, "LOST: %d of %d machines ended by themselves; of %d requests that waited, %d ended with a closed channel and no answer; of %d others there, whose service stays, %d were cut", ended, len(k.gateways), len(answers), lost, len(others), cut)
}
