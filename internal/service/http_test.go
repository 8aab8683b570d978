package service_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/service"
)

// TestErrorsOfServiceAnswers checks the error for each kind of answer. No status
// other than 2xx proves anything by itself; only an outcome that the service
// states does. Each call must be sent exactly once.
func TestErrorsOfServiceAnswers(t *testing.T) {
	cases := []struct {
		status  int
		outcome string
		want    error
	}{
		{200, "", nil},
		{204, "", nil},
		{404, "not_run", service.ErrNotRun},
		{503, "not_run", service.ErrNotRun},
		{500, "failed", service.ErrFailed},
		{400, "", service.ErrOutcomeUnknown},
		{404, "", service.ErrOutcomeUnknown},
		{429, "", service.ErrOutcomeUnknown},
		{500, "", service.ErrOutcomeUnknown},
		{502, "", service.ErrOutcomeUnknown},
		{503, "", service.ErrOutcomeUnknown},
		{503, "unheard-of", service.ErrOutcomeUnknown},
		{307, "", service.ErrOutcomeUnknown},
	}
	for _, test := range cases {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			_, _ = io.Copy(io.Discard, r.Body)
			if test.outcome != "" {
				w.Header().Set(service.HeaderOutcome, test.outcome)
			}
			w.Header().Set("Location", r.URL.Path)
			w.WriteHeader(test.status)
		}))
		c := service.NewHTTPClient(httpcall.DefaultConfig())
		_, err := c.Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), service.Call{Kind: "order", Body: []byte("oats")})
		c.Close()
		server.Close()
		if !errors.Is(err, test.want) || calls != 1 {
			t.Errorf("status %d, outcome %q: got %v after %d calls, want %v", test.status, test.outcome, err, calls, test.want)
		}
	}
}
