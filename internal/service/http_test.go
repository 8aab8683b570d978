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

// TestErrorsOfServiceAnswers checks the error for each kind of answer. An answer
// with a status other than 2xx proves nothing, whatever its status, unless the
// service states the outcome. Each call must be sent exactly once.
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
	for _, one := range cases {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			_, _ = io.Copy(io.Discard, r.Body)
			if one.outcome != "" {
				w.Header().Set(service.HeaderOutcome, one.outcome)
			}
			w.Header().Set("Location", r.URL.Path)
			w.WriteHeader(one.status)
		}))
		c := service.NewHTTPClient(httpcall.DefaultConfig())
		_, err := c.Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), service.Call{Kind: "order", Body: []byte("oats")})
		c.Close()
		server.Close()
		if !errors.Is(err, one.want) || calls != 1 {
			t.Errorf("status %d, outcome %q: got %v after %d calls, want %v", one.status, one.outcome, err, calls, one.want)
		}
	}
}
