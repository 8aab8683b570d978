package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// TestUnchangedHostListIsNotSentAgain guards against a list that is transferred
// on every poll. A client must get the list once, then an answer without content
// while the list stays the same, and the new list after a change.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	s := NewServer(Config{})
	s.store.SetHosts([]HostEntry{{Host: platform.Host{Name: "h1", Address: "127.0.0.1:1", Role: "entry"}}})
	var codes []int
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		s.Handler().ServeHTTP(recorder, r)
		codes = append(codes, recorder.Code)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"h1", "h1", "h2"} {
		if i == 2 {
			s.store.SetHosts([]HostEntry{{Host: platform.Host{Name: "h2"}}})
		}
		hosts, err := client.Hosts(context.Background())
		if err != nil || len(hosts) != 1 || hosts[0].Name != want {
			t.Fatalf("call %d returned %+v, %v", i, hosts, err)
		}
	}
	if codes[1] != http.StatusNotModified || codes[2] != http.StatusOK {
		t.Fatalf("status codes %v", codes)
	}
}
