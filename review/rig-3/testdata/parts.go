package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storyParts and partTokens make a prompt within the longest of its kind on the site. The
	// story follows the first part, which all prompts share, and its first part is the
	// one that crashes servers.
	storyParts, partTokens = 500, 46
	firstPart, fatalPart   = "5c1e07a2", "91bd3f06"
	// soundPerSecond, readsPerSecond and storyPerSecond are the traffic of all hosts; the
	// last is 0.03 of its kind of request.
	soundPerSecond, readsPerSecond, storyPerSecond = 194, 40, 6
	calmTime, storyTime                            = 6 * time.Second, 20 * time.Second
	// readTime is how long servers take before an answer begins, restartTime how long one
	// that has crashed is away.
	readTime, restartTime = 200 * time.Millisecond, 3 * time.Second
	modelServers          = 60
)

// parts is the case of a part of long prompts that crashes servers. The hosts must go on
// answering all other requests.
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
		route("comment-check", "/check/", "streaming", "verdict-llm", 10000, 300, map[string]any{"streamResume": true, "gapAimMs": 250, "sessionAffinity": true}),
	}, []map[string]any{modelService("verdict-llm"), plainService("case-desk")}, []string{apiKey})
	crashes := &crashLog{}
	for i := range modelServers {
		if _, err := d.addCrashingServer(zones[i%3], trouble, crashes); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := d.addServer("case-desk", zones[i], 12, 15*time.Millisecond); err != nil {
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
	storyBegins, storyEnds := began.Add(calmTime), began.Add(calmTime+storyTime)
	reads := d.sendEvenly(readsPerSecond, began, storyEnds, false, readRequest)
	sound := d.sendEvenly(soundPerSecond, began, storyEnds, false, soundRequest)
	story := d.sendEvenly(storyPerSecond, storyBegins, storyEnds, true, storyRequest)
	readAnswers, soundAnswers, storyAnswers := <-reads, <-sound, <-story

	atTimeout, late := 0, 0
	for _, a := range readAnswers {
		if a.took > statusTimeout {
			atTimeout++
		}
		if a.took > statusTimeout+500*time.Millisecond {
			late++
		}
	}
	fifth, all := crashes.fifth()
	judgedFrom := fifth.Add(2 * stableWindow)
	var calm, judged []answer
	for _, a := range soundAnswers {
		switch {
		case a.sentAt.Before(storyBegins.Add(-time.Second)):
			calm = append(calm, a)
		case all > 0 && a.sentAt.After(judgedFrom):
			judged = append(judged, a)
		}
	}
	calmBegun, judgedBegun := statusCounts(calm)[http.StatusOK], statusCounts(judged)[http.StatusOK]
	rec.say("servers crashed %d times; requests about the story, by status: %v", all, statusCounts(storyAnswers))
	rec.say("status reads: %d, by status: %v, unanswered at timeoutMs: %d, of these half a second later: %d", len(readAnswers), statusCounts(readAnswers), atTimeout, late)
	rec.say("sound prompts, by status: %v", statusCounts(soundAnswers))
	rec.say("sound prompts that began at the first attempt: in calm %d of %d, from 2 x stableWindowMs after the fifth or last crash %d of %d", calmBegun, len(calm), judgedBegun, len(judged))
	const fewRequests = 20
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

// sendEvenly sends requests to the hosts in turn, and returns a channel for the answers. With
// again, a consumer comes back once within its deadline after a failure, on another host.
func (d *deployment) sendEvenly(perSecond int, from, until time.Time, again bool, q func(i int) request) chan []answer {
	result := make(chan []answer, 1)
	go func() {
		var mu sync.Mutex
		var work sync.WaitGroup
		var answers []answer
		ask := func(host int, r request) answer {
			a := d.ask(d.gateways[host%len(d.gateways)], r, apiKey)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			return a
		}
		for i := 0; ; i++ {
			at := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if !at.Before(until) {
				break
			}
			time.Sleep(time.Until(at))
			work.Go(func() {
				r := q(i)
				a := ask(i, r)
				timeLeft := r.deadline - a.took
				if !again || a.status == http.StatusOK || a.err != nil {
					return
				}
				// Consumers honour Retry-After up to a third of the time that they have left.
				pause := time.Duration(0)
				if seconds, err := strconv.ParseFloat(a.headers.Get("Retry-After"), 64); err == nil {
					pause = min(time.Duration(seconds*float64(time.Second)), timeLeft/3)
				}
				if r.deadline = timeLeft - pause; r.deadline > 0 {
					time.Sleep(pause)
					ask(i+1, r)
				}
			})
		}
		work.Wait()
		result <- answers
	}()
	return result
}

// readRequest returns a read of a status.
func readRequest(int) request {
	return request{method: http.MethodGet, target: "/status/7", deadline: 5 * time.Second}
}

// soundRequest returns a prompt that shares only the first part with others.
func soundRequest(i int) request {
	return request{method: http.MethodPost, target: "/check/s", deadline: 10 * time.Second, body: fmt.Appendf(nil, `{"sound":%d}`, i), headers: []string{
		"Model: m", "Token-Usage: 5000,680", fmt.Sprintf("Prompt-Prefix: %s:40,%08x:4960", firstPart, 0x10000000+i),
	}}
}

// storyRequest returns a prompt about the story; its last part is its own.
func storyRequest(i int) request {
	var prefix strings.Builder
	fmt.Fprintf(&prefix, "%s:40,%s:%d,", firstPart, fatalPart, partTokens)
	for n := range storyParts - 1 {
		fmt.Fprintf(&prefix, "%08x:%d,", 0x5c1e0800+n*7919, partTokens)
	}
	fmt.Fprintf(&prefix, "%08x:%d", 0xe4402b7d+i, partTokens)
	return request{method: http.MethodPost, target: "/check/2f", deadline: 10 * time.Second, body: fmt.Appendf(nil, `{"story":%d}`, i), headers: []string{
		"Model: m", fmt.Sprintf("Token-Usage: %d,680", storyParts*partTokens), "Prompt-Prefix: " + prefix.String(),
	}}
}

// crashLog holds when servers crashed.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// fifth returns when the fifth crash was, or the last one if there were fewer, and the number
// of crashes.
func (l *crashLog) fifth() (time.Time, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.at) == 0 {
		return time.Time{}, 0
	}
	return l.at[min(4, len(l.at)-1)], len(l.at)
}

// addCrashingServer starts a model server. If crashing is set, it crashes when it begins to
// write an answer on the fatal part, and another one is there some seconds later.
func (d *deployment) addCrashingServer(zone string, crashing bool, crashes *crashLog) (*server, error) {
	s, err := d.addModelServer(zone)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work, s.gap = readTime, 20*time.Millisecond
	if crashing {
		s.beforeAnswer = func(r *http.Request) {
			if strings.Contains(r.Header.Get("Prompt-Prefix"), fatalPart) {
				s.crashOnce.Do(func() { d.crash(s, crashes) })
				panic(http.ErrAbortHandler)
			}
		}
	}
	return s, nil
}

// crash ends a server, and starts another one in its place some seconds later.
func (d *deployment) crash(s *server, crashes *crashLog) {
	crashes.add()
	d.record.log("trouble %s crashes", s.id)
	s.close()
	time.AfterFunc(restartTime, func() {
		d.store.remove("servers", s.id)
		if _, err := d.addCrashingServer(s.zone, true, crashes); err != nil {
			d.record.log("start a server: %v", err)
		}
	})
}
