package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Of the crowd, one in two leaves within crowdPatience and comes again. The others wait
	// for their answers.
	crowdLeaving, crowdStaying = 300, 300
	crowdTime                  = 5 * time.Second
	crowdPatience              = 40 * time.Millisecond
	// auditTokens is the mean prompt of the site's longest kind of request.
	auditTokens = 190000
	// chokedTime and stableWindow are how long after the crowd ordinary requests are judged
	// by how many are served.
	chokedTime, stableWindow = 5 * time.Second, 4 * time.Second
)

// crowd is the case of a host in front of many consumers that leave early, while servers are
// replaced one after the other. Ordinary requests must get an answer during the crowd and
// after it.
func crowd(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	const statusTimeout = 600 * time.Millisecond
	d.configure(11, []map[string]any{
		route("status-read", "/status/", "safe", "case-desk", int(statusTimeout.Milliseconds()), 150, map[string]any{"priority": 2}),
		route("archive-audit", "/audit/", "streaming", "verdict-llm", 15000, 3000, map[string]any{"streamResume": true, "gapAimMs": 1000, "sessionAffinity": true}),
	}, []map[string]any{modelService("verdict-llm"), plainService("case-desk")}, []string{apiKey})
	for i := range 60 {
		if _, err := d.addModelServer(zones[i%3]); err != nil {
			return false, err
		}
	}
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

	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { replaceServers(d, stop) })
	var left, stayed atomic.Int64
	crowdEnds := time.Now().Add(crowdTime)
	if trouble {
		rec.log("trouble %d consumers come, of which %d leave within %v and come again", crowdLeaving+crowdStaying, crowdLeaving, crowdPatience)
		for range crowdStaying {
			work.Go(func() {
				for time.Now().Before(crowdEnds) {
					stay(d, g)
					stayed.Add(1)
				}
			})
		}
		for range crowdLeaving {
			work.Go(func() {
				for time.Now().Before(crowdEnds) {
					leaveEarly(d, g)
					left.Add(1)
				}
			})
		}
	}
	var mu sync.Mutex
	var answers []answer
	ordinaryEnds := crowdEnds.Add(chokedTime + stableWindow + 10*time.Second)
	for time.Now().Before(ordinaryEnds) {
		work.Go(func() {
			a := d.ask(g, request{method: http.MethodGet, target: "/status/7", deadline: 5 * time.Second}, apiKey)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(25 * time.Millisecond)
	}
	close(stop)
	work.Wait()

	atTimeout, late, after, served := 0, 0, 0, 0
	for _, a := range answers {
		if a.took > statusTimeout {
			atTimeout++
		}
		if a.took > statusTimeout+500*time.Millisecond {
			late++
		}
		if a.sentAt.After(crowdEnds.Add(chokedTime + stableWindow)) {
			after++
			if a.status == http.StatusOK && a.whole {
				served++
			}
		}
	}
	status, readyErr := g.ready(3 * time.Second)
	rec.say("the crowd left %d times, and stayed to an answer or its deadline %d times; the process lives: %t; /v1/ready at the end: %d, %v", left.Load(), stayed.Load(), g.alive(), status, readyErr)
	rec.say("ordinary requests: %d, unanswered at timeoutMs: %d, of these half a second later: %d", len(answers), atTimeout, late)
	rec.say("ordinary requests sent %v and more after the crowd: %d, served: %d", chokedTime+stableWindow, after, served)
	// A handful of slow answers is no sign of a process that hangs.
	const fewRequests = 8
	return late >= fewRequests && 2*late > atTimeout && served == 0, nil
}

// auditRequest returns a long prompt.
func auditRequest(id string) request {
	return request{method: http.MethodPost, target: "/audit/2f", deadline: 15 * time.Second, body: []byte(`{"story":"` + id + `"}`), headers: []string{
		"Model: m", fmt.Sprintf("Token-Usage: %d,680", auditTokens), fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%s:%d", id, auditTokens-40),
	}}
}

// leaveEarly sends a long prompt and closes the channel before its answer.
func leaveEarly(d *deployment, g *gateway) {
	conn, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	id := d.newID()
	_ = conn.SetDeadline(time.Now().Add(crowdPatience/2 + rand.N(crowdPatience/2)))
	if _, err := conn.Write(auditRequest(id).bytes(id, apiKey)); err != nil {
		return
	}
	var first [1]byte
	_, _ = conn.Read(first[:])
}

// stay sends a long prompt, waits for its answer and comes back when it is told to.
func stay(d *deployment, g *gateway) {
	id := d.newID()
	q := auditRequest(id)
	_, _, _, headers, err := exchange(g.front(), q.bytes(id, apiKey), q.method, time.Now().Add(q.deadline))
	pause := 250 * time.Millisecond
	if err == nil {
		if seconds, err := strconv.ParseFloat(headers.Get("Retry-After"), 64); err == nil {
			pause = time.Duration(seconds * float64(time.Second))
		}
	}
	time.Sleep(min(pause, q.deadline/3))
}

// replaceServers replaces model servers one after the other: the new one starts first, then
// the old one drains and leaves.
func replaceServers(d *deployment, stop chan struct{}) {
	const pause, drainTime = time.Second, 4 * time.Second
	for i := range 24 {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		old := d.server(i)
		next, err := d.addModelServer(old.zone)
		if err != nil {
			d.record.say("start a server: %v", err)
			return
		}
		old.register(d.store, "draining")
		d.record.log("release %s is ready, %s drains", next.id, old.id)
		time.AfterFunc(drainTime, func() { d.store.remove("servers", old.id) })
	}
}
