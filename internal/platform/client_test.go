package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// TestCallAfterTimeoutUsesNewConnection guards against calls that keep using a
// connection on which nothing is answered any more. The server answers only the
// first request of each connection; after a call timed out on such a silent
// connection, the next call must open a new one.
func TestCallAfterTimeoutUsesNewConnection(t *testing.T) {
	g := NewWithT(t)
	var seenConnections sync.Map
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, known := seenConnections.LoadOrStore(r.RemoteAddr, true); known {
			<-release
			return
		}
		w.Header().Set(platform.VersionHeader, "1")
	}))
	defer server.Close()
	defer close(release)
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: server.URL, Timeout: time.Minute})
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()

	_, err = client.Put(context.Background(), "k", nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Put(short, "k", nil, 0)
	g.Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue(), "a write that was sent may have taken effect")
	_, err = client.Put(context.Background(), "k", nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
}

// TestInvalidAnswerConfirmsNothing guards against writes that are taken for done on bytes that
// are no answer, or on one whose head or body has no end.
func TestInvalidAnswerConfirmsNothing(t *testing.T) {
	const maxAnswer = 1 << 20
	version := platform.VersionHeader + ": 2\r\n"
	for name, raw := range map[string]struct{ first, again string }{
		"status":         {first: "HTTP/1.1 000 OK\r\n" + version + "\r\n"},
		"version":        {first: "HTTP/2.0 200 OK\r\n" + version + "\r\n"},
		"space in name":  {first: "HTTP/1.1 200 OK\r\n" + version + "X Odd: 1\r\n\r\n"},
		"head cut off":   {first: "HTTP/1.1 200 OK\r\n" + version},
		"endless head":   {first: "HTTP/1.1 200 OK\r\n" + version, again: "X: 1\r\n"},
		"endless body":   {first: "HTTP/1.1 200 OK\r\n" + version + "\r\n", again: "        "},
		"endless chunks": {first: "HTTP/1.1 200 OK\r\n" + version + "Transfer-Encoding: chunked\r\n\r\n", again: "8\r\n        \r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var written atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				io.WriteString(conn, raw.first)
				again := strings.Repeat(raw.again, 1<<10)
				for err == nil && raw.again != "" {
					_, err = io.WriteString(conn, again)
					written.Add(int64(len(again)))
				}
			}))
			defer server.Close()
			client, err := platform.NewClient(platform.ClientConfig{BaseURL: server.URL, MaxAnswerBytes: maxAnswer})
			g.Expect(err).NotTo(HaveOccurred())
			defer client.Close()
			start := time.Now()
			_, err = client.Put(context.Background(), "k", nil, 1)
			g.Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue(), "%v", err)
			g.Expect(time.Since(start)).To(BeNumerically("<", platform.DefaultTimeout), "not read until the time limit")
			t.Logf("%d bytes were taken from the server", written.Load())
		})
	}
}

func TestStatusOfAndErrorOfAreInverse(t *testing.T) {
	g := NewWithT(t)
	for _, err := range []error{
		nil, platform.ErrNotFound, platform.ErrConflict, platform.ErrThrottled,
		platform.ErrUnavailable, platform.ErrTooLarge,
	} {
		g.Expect(errors.Is(platform.ErrorOf(platform.StatusOf(errors.WithStack(err))), err)).To(BeTrue())
	}
	g.Expect(platform.ErrorOf(http.StatusBadGateway)).To(Equal(platform.ErrUnknown))
	g.Expect(platform.StatusOf(platform.ErrUnknown)).To(BeZero())
}
