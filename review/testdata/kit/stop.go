package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stop"] = stopWhileWaiting }

// stopWhileWaiting: all places of the servers are taken by answers that last nine seconds.
// Four archive audits wait at one machine, which is then stopped with SIGTERM.
func stopWhileWaiting(k *kit) {
	serve := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		events := 79
		if r.URL.Path[:6] == "/audit" {
			events = 16
		}
		serveEvents(s, w, r, events, 120*time.Millisecond)
	}
	var servers []*server
	for _, zone := range k.zones[:2] {
		servers = append(servers, k.startServer("verdict-llm", zone, 16, serve))
	}
	k.configure(7, []map[string]any{
		streamRoute("comment", "/comment/", "verdict-llm", 10000, 300, 250),
		streamRoute("audit", "/audit/", "verdict-llm", 15000, 2500, 1000),
	}, []map[string]any{modelServers("verdict-llm")})
	k.startGateways(3)
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	taken := func() (n int64) {
		for _, s := range servers {
			n += s.running.Load()
		}
		return n
	}
	for i := 0; i < 60 && taken() < 32; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.send(k.gateways[1+i%2], call{method: "POST", path: fmt.Sprintf("/comment/%d", i), body: "a comment", deadline: 10 * time.Second, header: map[string]string{
				"Model": "m", "Token-Usage": "5000,3397", "Prompt-Prefix": fmt.Sprintf("5c1e%02x:40,e440%04x:4960", i%4, i),
			}})
		}()
		time.Sleep(12 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if n := taken(); n != 32 {
		k.fail("only %d of 32 places are taken", n)
	}
	stopped := k.gateways[0]
	var answers [4]answer
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = k.send(stopped, call{method: "POST", path: fmt.Sprintf("/audit/%d", i), body: "an archive", deadline: 15 * time.Second, header: map[string]string{
				"Model": "m", "Token-Usage": "45000,688", "Prompt-Prefix": fmt.Sprintf("77aa%02x:40,ad10%04x:44960", i%2, i),
			}})
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if k.trouble {
		stopped.signal(syscall.SIGTERM)
		kill := time.AfterFunc(8*time.Second, func() { stopped.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	wg.Wait()
	lost, served, refused := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.err == nil && a.status == http.StatusOK && bytes.Count(a.body, []byte("\n\n")) == 16:
			served++
		case a.err == nil:
			refused++
		case a.took < 14*time.Second && a.took > 200*time.Millisecond && !k.reachedServer(a.id):
			lost++
			k.record("lost_while_waiting", "request", a.id, "after_ms", fmt.Sprint(a.took.Milliseconds()))
		}
	}
	k.finish(lost > 0, "LOST: of 4 requests that waited at the stopped machine, %d ended with a closed channel and no answer though no server had them; %d were served, %d refused", lost, served, refused)
}
