package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// TestOddEntriesOfTheStoreHideNoOthers guards against hosts that end, or follow the store
// no more, since another writer has left an entry that they can't read. An odd entry is
// written among the servers, the hosts and the configurations; then all servers are
// replaced.
func TestOddEntriesOfTheStoreHideNoOthers(t *testing.T) {
	for name, odd := range map[string]string{
		"deep arrays":       strings.Repeat("[", 300000) + strings.Repeat("]", 300000),
		"deep objects":      strings.Repeat(`{"a":`, 60000) + "1" + strings.Repeat("}", 60000),
		"number too large":  `{"service":"desk","address":"127.0.0.1:1","state":"ready","slots":1e999,"born":1}`,
		"slots too large":   `{"service":"desk","address":"127.0.0.1:1","state":"ready","slots":1e300,"born":1e300}`,
		"port out of range": `{"service":"desk","address":"127.0.0.1:70000","state":"ready","slots":1,"born":1,"power":1e300,"data_centre":"a"}`,
		"no fields":         `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, store, _, desks := setUp(t)
			for _, kind := range []string{standin.KindServers, hostsKind, standin.KindConfiguration} {
				store.PutRaw(kind, "odd", json.RawMessage(odd))
			}
			for i := range 2 {
				s := standin.NewServer(fmt.Sprint("i-new", i))
				t.Cleanup(s.Close)
				s.Register(store, "desk", "a", standin.StateReady)
				store.Remove(standin.KindServers, desks[i].ID)
				desks[i].Close()
			}
			store.PutConfiguration(2, "k2")
			h.await(func() bool {
				return h.send("GET", "/g/", "", standin.HeaderRequestID, "r", standin.HeaderKey, standin.KeyHeaderValue("k2")).status == http.StatusOK
			}, "the new servers and the new key are known")
			later := startHost(t, "h2", store)
			later.await(func() bool {
				return later.send("GET", "/g/", "", standin.HeaderRequestID, "r", standin.HeaderKey, standin.KeyHeaderValue("k2")).status == http.StatusOK
			}, "a host that starts later serves")
			h.await(h.canForward, "the hosts know each other")
			g.Expect(h.process.peers.memberNames()).To(Equal([]string{"h2"}))
		})
	}
}

// memberNames returns the names of the other hosts that are known here.
func (p *peers) memberNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name := range p.members {
		names = append(names, name)
	}
	return names
}
