package main

import (
	"fmt"
	"net/http"
	"time"
)

// modelServers declares a service of model servers with the figures of the page.
func modelServers(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 434, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 16, "kvCapacity": 232000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 43, "models": []map[string]any{{"name": "m"}},
			"step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
			"report_lag_ms": 200.0, "delays": []any{}, "usual": map[string]any{"prompt": 12331, "answer": 1303}, "hopMs": 0.075,
		},
	}
}

func streamRoute(name, prefix, service string, timeoutMs, targetMs, gapMs int) map[string]any {
	r := route(name, prefix, "streaming", service, timeoutMs, targetMs, 2)
	r["sessionAffinity"], r["streamResume"], r["gapAimMs"], r["priority"] = true, true, gapMs, 1
	return r
}

// serveEvents answers with a stream of events at the given interval.
func serveEvents(s *server, w http.ResponseWriter, r *http.Request, events int, interval time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		select {
		case <-time.After(interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", i, r.Header.Get("Request-Id"), s.currentID()); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
