package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// storyParts and partTokens make a prompt as long as the site's longest kind of request.
	storyParts, partTokens = 500, 380
	// storyRequests come within storyTime. The servers take readTime for such a prompt.
	storyRequests       = 60
	storyTime, readTime = time.Second, 1500 * time.Millisecond
	// crashedServers is 0.17 of the model servers, and downTime how long they are away.
	modelServers, crashedServers = 60, 10
	downTime                     = 4500 * time.Millisecond
	// lapseTime is three check-in intervals.
	lapseTime = 3600 * time.Millisecond
)

// parts is the case of servers that crash while they read long prompts of many parts. The
// hosts must go on answering all other requests.
func parts(rec *record, trouble bool) (broken bool, err error) {
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
	for i := range modelServers {
		if _, err := d.addReadingServer(zones[i%3]); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := d.addServer("case-desk", zones[i], 6, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if err := d.addGateway(zones[i]).start(); err != nil {
			return false, err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow)

	began := time.Now()
	storyBegins := began.Add(4 * time.Second)
	storyEnds := storyBegins.Add(storyTime)
	reads := d.sendEvenly(40, began, began.Add(30*time.Second), func(int) request {
		return request{method: http.MethodGet, target: "/status/7", deadline: 5 * time.Second}
	})
	story := d.sendEvenly(storyRequests, storyBegins, storyEnds, storyRequest)
	if trouble {
		time.AfterFunc(time.Until(storyEnds.Add(200*time.Millisecond)), func() { crashServers(d) })
	}
	readAnswers, storyAnswers := <-reads, <-story

	atTimeout, late := 0, 0
	longest := time.Duration(0)
	for _, a := range readAnswers {
		longest = max(longest, a.took)
		if a.took > statusTimeout {
			atTimeout++
		}
		if a.took > statusTimeout+500*time.Millisecond {
			late++
		}
	}
	rec.say("requests about the story: %d, by status: %v", len(storyAnswers), statusCounts(storyAnswers))
	rec.say("status reads: %d, by status: %v, the longest took %d ms", len(readAnswers), statusCounts(readAnswers), longest.Milliseconds())
	rec.say("status reads unanswered at timeoutMs: %d, of these half a second later: %d", atTimeout, late)
	const fewRequests = 8
	return late >= fewRequests && 2*late > atTimeout, nil
}

// statusCounts returns the number of answers by their status; 0 stands for none.
func statusCounts(answers []answer) map[int]int {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	return counts
}

// sendEvenly sends requests to the hosts in turn, and returns a channel for the answers.
func (d *deployment) sendEvenly(perSecond int, from, until time.Time, q func(i int) request) chan []answer {
	result := make(chan []answer, 1)
	go func() {
		var mu sync.Mutex
		var work sync.WaitGroup
		var answers []answer
		for i := 0; ; i++ {
			at := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if !at.Before(until) {
				break
			}
			time.Sleep(time.Until(at))
			work.Go(func() {
				a := d.ask(d.gateways[i%len(d.gateways)], q(i), apiKey)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
		work.Wait()
		result <- answers
	}()
	return result
}

// storyRequest returns a prompt about the story; its last part is its own.
func storyRequest(i int) request {
	var prefix strings.Builder
	for n := range storyParts {
		fmt.Fprintf(&prefix, "%08x:%d,", 0x5c1e07a2+n*7919, partTokens)
	}
	fmt.Fprintf(&prefix, "%08x:%d", 0xe4402b7d+i, partTokens)
	return request{method: http.MethodPost, target: "/audit/2f", deadline: 15 * time.Second, body: fmt.Appendf(nil, `{"audit":%d}`, i), headers: []string{
		"Model: m", fmt.Sprintf("Token-Usage: %d,680", (storyParts+1)*partTokens), "Prompt-Prefix: " + prefix.String(),
	}}
}

// addReadingServer starts a model server that takes readTime for a prompt.
func (d *deployment) addReadingServer(zone string) (*server, error) {
	s, err := d.addModelServer(zone)
	if err == nil {
		s.mu.Lock()
		s.work = readTime
		s.mu.Unlock()
	}
	return s, err
}

// crashServers makes model servers crash; others start in their place some seconds later.
func crashServers(d *deployment) {
	var crashed []*server
	for i := range crashedServers {
		s := d.server(i)
		s.close()
		crashed = append(crashed, s)
	}
	d.record.log("trouble %d of %d model servers crash", crashedServers, modelServers)
	time.Sleep(lapseTime)
	for _, s := range crashed {
		d.store.remove("servers", s.id)
	}
	time.Sleep(downTime - lapseTime)
	for _, s := range crashed {
		if _, err := d.addReadingServer(s.zone); err != nil {
			d.record.say("start a server: %v", err)
			return
		}
	}
}
