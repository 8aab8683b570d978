package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["junk"] = junk }

// junk: three of six model servers spoil one stream in twenty: after ten events they send
// 256 KiB of random bytes and then zeros without end, until the caller closes. The route's
// streams may be resumed.
func junk(k *kit) {
	var count atomic.Int64
	const events = 32
	var bad [3]atomic.Pointer[server]
	serve := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		request := r.Header.Get("Request-Id")
		first := 0
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			fmt.Sscan(last, &first)
			first++
			k.record("resumes", "request", request, "server", s.currentID(), "after", last)
		}
		spoils := bad[0].Load() == s || bad[1].Load() == s || bad[2].Load() == s
		spoiled := k.trouble && spoils && first == 0 && count.Add(1)%20 == 0
		for i := first; i < events; i++ {
			if spoiled && i == 10 {
				k.record("spoils", "request", request, "server", s.currentID())
				bytes := make([]byte, 256<<10)
				for j := range bytes {
					bytes[j] = byte(rand.Uint32())
				}
				w.Write(bytes)
				w.(http.Flusher).Flush()
				zeros := make([]byte, 32<<10)
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if _, err := w.Write(zeros); err != nil || r.Context().Err() != nil {
						return
					}
					w.(http.Flusher).Flush()
				}
				return
			}
			time.Sleep(44 * time.Millisecond)
			if _, err := w.Write([]byte(streamEvent(request, i))); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
	var servers []*server
	for i := range 6 {
		servers = append(servers, k.startServer("verdict-llm", k.zones[i%3], 16, serve))
	}
	k.configure(7, []map[string]any{streamRoute("comment", "/comment/", "verdict-llm", 10000, 300, 250)}, []map[string]any{modelServers("verdict-llm")})
	k.startGateways(3)
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	var mixed, whole, failed atomic.Int64
	for i := range 1200 {
		if i == 100 {
			// The three that have served most turn bad; which they are depends on their ids.
			sort.Slice(servers, func(a, b int) bool { return servers[a].served.Load() > servers[b].served.Load() })
			bad[0].Store(servers[0])
			bad[1].Store(servers[1])
			bad[2].Store(servers[2])
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := k.send(k.gateways[i%3], call{method: "POST", path: fmt.Sprintf("/comment/%d", i%60), body: "a comment", deadline: 10 * time.Second, header: map[string]string{
				"Model": "m", "Token-Usage": "5000,1376", "Prompt-Prefix": fmt.Sprintf("5c1e%02x:40,e440%04x:4960", i%60, i),
			}})
			expected := ""
			for e := range events {
				expected += streamEvent(a.id, e)
			}
			switch {
			case a.err != nil || a.status != http.StatusOK || a.header.Get("Response-Signature") == "":
				failed.Add(1)
			case string(a.body) == expected:
				whole.Add(1)
			default:
				mixed.Add(1)
				text := string(a.body)
				k.record("not_the_servers_events", "request", a.id, "bytes", fmt.Sprint(len(text)), "expected", fmt.Sprint(len(expected)), "begins_right", fmt.Sprint(strings.HasPrefix(text, expected[:len(streamEvent(a.id, 0))*5])), "signature", a.header.Get("Response-Signature"))
			}
		}()
		time.Sleep(33 * time.Millisecond)
	}
	wg.Wait()
	k.finish(mixed.Load() > 0, "MIXED: %d of 1200 consumers got a complete, signed 200 with bytes between its events that are no events; %d got the whole stream, %d a failure", mixed.Load(), whole.Load(), failed.Load())
}

// streamEvent is the event of a request's stream with the given id, which is the same at
// all servers.
func streamEvent(request string, id int) string {
	return fmt.Sprintf("id: %d\ndata: part %d for %s %s\n\n", id, id, request, strings.Repeat("x", 20))
}
