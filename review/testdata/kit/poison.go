package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["poison"] = poison }

// poison: one request crashes each server that begins to run it; the server is back after
// two seconds. It comes again, with the same path, caller and body, at any machine. Sound
// requests come beside it. CRASH_MS is how long the server has run it when it crashes; 0 for
// a crash as soon as it begins.
func poison(k *kit) {
	crashAfter := 0
	if text := os.Getenv("CRASH_MS"); text != "" {
		crashAfter, _ = strconv.Atoi(text)
	}
	var mu sync.Mutex
	var crashes []time.Time
	arrivals := make(map[string]time.Time)
	serve := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		if strings.Contains(string(body), "broken record") {
			mu.Lock()
			arrivals[r.Header.Get("Request-Id")] = time.Now()
			mu.Unlock()
			if k.trouble {
				time.Sleep(time.Duration(crashAfter) * time.Millisecond)
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				s.crash(2 * time.Second)
				return
			}
		}
		time.Sleep(60 * time.Millisecond)
		answer := wholeBody(s.currentID(), r.Header.Get("Request-Id"), 800)
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		w.Write(answer)
	}
	for _, zone := range k.zones {
		k.startServer("order-desk", zone, 6, serve)
	}
	k.configure(7, []map[string]any{
		route("place-order", "/order/", "unsafe", "order-desk", 3000, 300, 1),
		route("order-lookup", "/lookup/", "safe", "order-desk", 3000, 300, 2),
	}, []map[string]any{plainService("order-desk")})
	k.startGateways(3)
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	var sound, soundServed, soundLost atomic.Int64
	type sentPoison struct {
		id string
		at time.Time
	}
	var poisons []sentPoison
	began := time.Now()
	for i := 0; time.Since(began) < 40*time.Second; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := call{method: "POST", path: fmt.Sprintf("/order/%d", i), body: fmt.Sprintf("order %d", i), deadline: 3 * time.Second}
			if i%2 == 1 {
				c = call{method: "GET", path: fmt.Sprintf("/lookup/%d", i%60), deadline: 3 * time.Second}
			}
			a := k.send(k.gateways[rand.IntN(3)], c)
			sound.Add(1)
			switch {
			case a.err == nil && a.status == http.StatusOK:
				soundServed.Add(1)
			case k.reachedServer(a.id):
				soundLost.Add(1)
				k.record("sound_request_lost", "request", a.id, "status", fmt.Sprint(a.status))
			}
		}()
		if i%6 == 5 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(rand.IntN(75)) * time.Millisecond)
				at := time.Now()
				a := k.send(k.gateways[rand.IntN(3)], call{method: "POST", path: "/order/bad", body: "broken record", deadline: 3 * time.Second})
				mu.Lock()
				poisons = append(poisons, sentPoison{a.id, at})
				mu.Unlock()
			}()
		}
		time.Sleep(75 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	reached := 0
	if len(crashes) >= 3 {
		for _, p := range poisons {
			if _, arrived := arrivals[p.id]; arrived && p.at.After(crashes[2].Add(3*time.Second)) {
				reached++
			}
		}
	}
	k.finish(reached > 3, "BUDGET: the request crashed %d servers; sent later than 3 s after the third crash, it reached servers %d times (3 allowed). Of %d sound requests %d were served, %d were lost after they had reached a server, the others were refused or failed", len(crashes), reached, sound.Load(), soundServed.Load(), soundLost.Load())
}
