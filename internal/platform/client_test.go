package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
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
