package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["endless"] = endless }

// endless: one of three servers of a service answers one safe request in twenty with bytes
// that do not end until the caller closes. With LARGE=1, it is a sound server that falls
// silent for a second in the middle of one answer in twenty instead, each of which has
// 400 KiB.
func endless(k *kit) {
	large := osFlag("LARGE")
	var count atomic.Int64
	size := 800
	if large {
		size = 400 << 10
	}
	serve := func(spoils bool) func(*server, http.ResponseWriter, *http.Request, []byte) {
		return func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(15 * time.Millisecond)
			request := r.Header.Get("Request-Id")
			body := wholeBody(s.currentID(), request, size)
			w.Header().Set("Content-Type", "text/plain")
			flusher := w.(http.Flusher)
			spoiled := k.trouble && spoils && count.Add(1)%20 == 0
			switch {
			case spoiled && large:
				k.record("silent_for_a_second", "request", request, "server", s.currentID())
				w.Write(body[:300<<10])
				flusher.Flush()
				select {
				case <-time.After(time.Second):
				case <-r.Context().Done():
				}
				w.Write(body[300<<10:])
			case spoiled:
				k.record("answers_without_end", "request", request, "server", s.currentID())
				junk := bytes.Repeat([]byte{0xfe}, 32<<10)
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if _, err := w.Write(junk); err != nil || r.Context().Err() != nil {
						return
					}
					flusher.Flush()
				}
			case large:
				w.Write(body)
			default:
				w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				w.Write(body)
			}
		}
	}
	for i, zone := range k.zones {
		k.startServer("case-desk", zone, 6, serve(i == 0))
	}
	k.configure(7, []map[string]any{route("status", "/status/", "safe", "case-desk", 600, 120, 2)}, []map[string]any{plainService("case-desk")})
	k.startGateways(3)
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	var mixed, whole, failed atomic.Int64
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := k.send(k.gateways[i%3], call{method: "GET", path: fmt.Sprintf("/status/%d", i%60), deadline: 600 * time.Millisecond})
			switch {
			case a.err != nil || a.status != http.StatusOK || a.header.Get("Response-Signature") == "":
				failed.Add(1)
			case isWholeBody(a.body, a.id, size):
				whole.Add(1)
			default:
				mixed.Add(1)
				k.record("not_the_servers_body", "request", a.id, "bytes", fmt.Sprint(len(a.body)), "signature", a.header.Get("Response-Signature"), "end", fmt.Sprintf("%.60q", a.body[max(0, len(a.body)-size):]))
			}
		}()
		time.Sleep(66 * time.Millisecond)
	}
	wg.Wait()
	k.finish(mixed.Load() > 0, "MIXED: %d of 300 consumers got a complete, signed 200 whose body is no server's whole body; %d got a whole one, %d a failure", mixed.Load(), whole.Load(), failed.Load())
}

// wholeBody is the answer of a server to a request.
func wholeBody(server, request string, size int) []byte {
	head := fmt.Sprintf("answer of %s to %s ", server, request)
	return []byte(head + strings.Repeat(".", size-len(head)))
}

// isWholeBody reports whether a body is the whole answer of any server to the request.
func isWholeBody(body []byte, request string, size int) bool {
	if len(body) != size || !bytes.HasPrefix(body, []byte("answer of ")) {
		return false
	}
	server, rest, ok := strings.Cut(string(body[len("answer of "):]), " to ")
	return ok && strings.HasPrefix(rest, request+" ") && bytes.Equal(body, wholeBody(server, request, size))
}
