package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/platform"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// unlimited has no rate limits and no latency, so that no test depends on the
// clock.
var unlimited = standin.Config{}

// startServer serves a stand-in over HTTP and returns it with a client in the
// data centre and the base URL.
func startServer(t *testing.T, config standin.Config, dataCentre string) (*standin.Server, *platform.Client, string) {
	t.Helper()
	s := standin.NewServer(config)
	h := httptest.NewServer(s.Handler())
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: h.URL, DataCentre: dataCentre, Timeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		h.Close()
	})
	return s, client, h.URL
}

func sendJSON(t *testing.T, method, url string, body any) int {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

func TestConditionalWrites(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s, client, _ := startServer(t, unlimited, "a")

	_, err := client.Get(ctx, "x/1 &")
	g.Expect(errors.Is(err, platform.ErrNotFound)).To(BeTrue())
	first, err := client.Put(ctx, "x/1 &", []byte{0, 255}, 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(ctx, "x/1 &", []byte("other"), 0)
	g.Expect(errors.Is(err, platform.ErrConflict)).To(BeTrue())
	second, err := client.Put(ctx, "x/1 &", []byte("new"), first.Version)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Version).To(BeNumerically(">", first.Version))
	read, err := client.Get(ctx, "x/1 &")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(second))
	g.Expect(errors.Is(client.Delete(ctx, "x/1 &", first.Version), platform.ErrConflict)).To(BeTrue())
	g.Expect(client.Delete(ctx, "x/1 &", second.Version)).To(Succeed())
	g.Expect(s.Inspect()).To(BeEmpty())
	g.Expect(s.Store().Stats().Calls).To(HaveKeyWithValue(standin.KindPut, 3))
}

func TestValueLimit(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, client, url := startServer(t, unlimited, "a")
	_, err := client.Put(ctx, "k", make([]byte, platform.MaxValueBytes), 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(ctx, "k2", make([]byte, platform.MaxValueBytes+1), 0)
	g.Expect(errors.Is(err, platform.ErrTooLarge)).To(BeTrue())
	r, err := http.NewRequest(http.MethodPut, url+"/object?key=k3&base=0", bytes.NewReader(make([]byte, platform.MaxValueBytes+1)))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
}

func TestListAndWatch(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, client, _ := startServer(t, unlimited, "a")
	_, err := client.Put(ctx, "p/b", []byte("1"), 0)
	g.Expect(err).NotTo(HaveOccurred())
	a, err := client.Put(ctx, "p/a", []byte("2"), 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(ctx, "q/a", []byte("3"), 0)
	g.Expect(err).NotTo(HaveOccurred())

	listed, err := client.List(ctx, "p/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]string{listed[0].Key, listed[1].Key}).To(Equal([]string{"p/a", "p/b"}))
	_, reached, err := client.Watch(ctx, "p/", 0, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan []platform.Object)
	go func() {
		changed, _, _ := client.Watch(ctx, "p/", reached, time.Minute)
		done <- changed
	}()
	g.Expect(client.Delete(ctx, "p/a", a.Version)).To(Succeed())
	changed := <-done
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Deleted).To(BeTrue())
	changed, _, err = client.Watch(ctx, "p/", changed[0].Version, time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeEmpty())
}

// TestOutcomesUnderFaults checks that a client reports each fault with the
// outcome that lets its caller decide about a repetition, and that a write whose
// answer is lost is applied once.
func TestOutcomesUnderFaults(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s, client, url := startServer(t, unlimited, "a")

	g.Expect(sendJSON(t, http.MethodPost, url+"/faults", standin.Faults{LoseAnswerProbability: 1})).To(Equal(http.StatusOK))
	_, err := client.Put(ctx, "lost", []byte("v"), 0)
	g.Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue())
	g.Expect(s.Inspect()).To(HaveLen(1), "a write whose answer is lost must be applied exactly once")
	g.Expect(s.Store().Stats().Calls[standin.KindPut]).To(Equal(1))

	s.Store().SetFaults(standin.Faults{LoseRequestProbability: 1})
	_, err = client.Put(ctx, "never", []byte("v"), 0)
	g.Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue())
	s.Store().SetFaults(standin.Faults{CutOff: []string{"a"}})
	_, err = client.Put(ctx, "never", []byte("v"), 0)
	g.Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue())
	s.Store().SetFaults(standin.Faults{Down: true})
	_, err = client.Put(ctx, "never", []byte("v"), 0)
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	g.Expect(s.Inspect()).To(HaveLen(1))

	s.Store().SetFaults(standin.Faults{SilentWatch: true})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, _, err = client.Watch(short, "", 0, time.Minute)
	g.Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue())
	g.Expect(sendJSON(t, http.MethodPost, url+"/faults", standin.Faults{LoseAnswerProbability: 2})).To(Equal(http.StatusBadRequest))
}

func TestUnreachableServerIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	h := httptest.NewServer(http.NotFoundHandler())
	h.Close()
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: h.URL})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(context.Background(), "k", nil, 0)
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	_, err = platform.NewClient(platform.ClientConfig{BaseURL: "127.0.0.1:1"})
	g.Expect(err).To(HaveOccurred())
}

func TestThrottling(t *testing.T) {
	g := NewWithT(t)
	_, client, _ := startServer(t, standin.Config{WritesPerSecond: 1, ReadsPerSecond: 1}, "a")
	throttled := 0
	for range 20 {
		if _, err := client.Put(context.Background(), "k", nil, 0); errors.Is(err, platform.ErrThrottled) {
			throttled++
		}
	}
	g.Expect(throttled).To(BeNumerically(">", 0))
	_, err := client.List(context.Background(), "")
	g.Expect(err).NotTo(HaveOccurred(), "reads must not be limited by the limit for writes")
}

func TestHostListUsesAddressesOfTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	_, client, url := startServer(t, unlimited, "b")
	entries := []standin.HostEntry{
		{Host: platform.Host{Name: "e1", Address: "127.0.0.1:1", DataCentre: "a", Role: "engine"}, AddressFrom: map[string]string{"b": "127.0.0.1:2"}},
		{Host: platform.Host{Name: "e2", Address: "127.0.0.1:3", DataCentre: "b", Role: "engine", Leaving: true}},
	}
	g.Expect(sendJSON(t, http.MethodPut, url+"/hosts", entries)).To(Equal(http.StatusOK))
	hosts, err := client.Hosts(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts).To(HaveLen(2))
	g.Expect(hosts[0].Address).To(Equal("127.0.0.1:2"))
	g.Expect(hosts[1].Leaving).To(BeTrue())
}

func TestHostListIsVisibleOnlyAfterItsLag(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore(standin.Config{HostsLagMillis: 1 << 30})
	s.SetHosts([]standin.HostEntry{{Host: platform.Host{Name: "e1"}}})
	hosts, err := s.ViewFrom("a").Hosts(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts).To(BeEmpty())
}
