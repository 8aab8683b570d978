package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/platform"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// follower is a host's watcher with what it knows of one kind.
type follower struct {
	*watcher
	peers *peers

	mu    sync.Mutex
	known map[string]string
}

func (f *follower) take(objects []platform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range objects {
		f.known[o.Name] = string(o.Spec)
		if o.Deleted {
			delete(f.known, o.Name)
		}
	}
}

func (f *follower) replaceAll(objects []platform.Object) {
	f.mu.Lock()
	f.known = make(map[string]string)
	f.mu.Unlock()
	f.take(objects)
}

func (f *follower) names() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.known)
}

func object(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: json.RawMessage(`1`)}
}

func newFollower(store *platform.Store) *follower {
	f := &follower{known: make(map[string]string)}
	f.watcher = &watcher{
		store: store, kind: "k", pace: time.Millisecond, others: func() int { return 0 },
		logger: &log.Logger{Handler: discard.New()}, replace: f.replaceAll, change: f.take,
	}
	return f
}

func TestNewsOfOthersAreTakenInTheirOrder(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(nil)
	f.fed(feed{From: 1, To: 5, Objects: []platform.Object{object("early", 5)}})
	g.Expect(f.reached()).To(BeZero(), "news before the first list lead nowhere")
	f.takeList([]platform.Object{object("a", 8)}, 10)
	f.fed(feed{From: 9, To: 12, Objects: []platform.Object{object("b", 12)}})
	g.Expect([]any{f.names(), f.reached()}).To(Equal([]any{2, uint64(12)}))
	f.fed(feed{From: 8, To: 11, Objects: []platform.Object{{Name: "b", Revision: 11, Deleted: true}}})
	g.Expect([]any{f.names(), f.reached()}).To(Equal([]any{2, uint64(12)}), "older news change nothing")
	f.fed(feed{From: 15, To: 16, Objects: []platform.Object{object("c", 16)}})
	g.Expect(f.names()).To(Equal(3), "news after a gap are used")
	g.Expect(f.reached()).To(BeZero(), "and what is missing is read")
	f.takeList([]platform.Object{object("c", 16)}, 17)
	g.Expect([]any{f.names(), f.reached()}).To(Equal([]any{1, uint64(17)}))
	f.takeList([]platform.Object{object("a", 8)}, 10)
	g.Expect(f.reached()).To(Equal(uint64(17)), "an older list changes nothing")
}

// fleetOf starts hosts of two data centres that follow a kind of the store.
func fleetOf(t *testing.T, store *standin.Store, hosts int) ([]*follower, []context.CancelFunc) {
	t.Helper()
	g := NewWithT(t)
	var all []*follower
	var stops []context.CancelFunc
	var objects []platform.Object
	for i := range hosts {
		client := platform.NewStore(store.Address(), time.Second, time.Second, func(string, error) {})
		t.Cleanup(client.Close)
		f := newFollower(client)
		self := member{name: fmt.Sprintf("h%02d", i), address: freeAddress(t), dataCentre: fmt.Sprint("dc", i%2), power: 0.2}
		p, err := newPeers(self, clock.Start(), &log.Logger{Handler: discard.New()}, func(balance.Event) {})
		g.Expect(err).NotTo(HaveOccurred())
		p.seen = func() []uint64 { return []uint64{f.watcher.known()} }
		p.heard = func(revisions []uint64) { f.hear(revisions[0]) }
		p.fed = f.fed
		f.peers, f.feeds, f.others = p, p, p.watching
		servePeers(t, p)
		all = append(all, f)
		spec := fmt.Sprintf(`{"address":%q,"data_centre":%q,"power":0.2}`, self.address, self.dataCentre)
		objects = append(objects, platform.Object{Name: self.name, Spec: []byte(spec)})
	}
	for _, f := range all {
		f.peers.listed(objects)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		stops = append(stops, cancel)
		go f.run(ctx)
	}
	return all, stops
}

// TestOneHostOfADataCentreWatchesForTheOthers counts the calls of 20 hosts,
// each of which once watched for itself.
func TestOneHostOfADataCentreWatchesForTheOthers(t *testing.T) {
	g := NewWithT(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.Put("k", "first", 0)
	const hosts, changes = 20, 20
	all, stops := fleetOf(t, store, hosts)
	know := func(n int) {
		t.Helper()
		for _, f := range all {
			g.Eventually(f.names, 5*time.Second).Should(Equal(n))
		}
	}
	know(1)
	// The first watches of all hosts end before they follow the first host.
	store.Put("k", "second", 0)
	know(2)
	time.Sleep(2 * minWatchWait)
	before := store.CallCount()
	for i := range changes {
		store.Put("k", fmt.Sprint("more-", i), 0)
		time.Sleep(20 * time.Millisecond)
	}
	know(2 + changes)
	if calls := store.CallCount() - before; calls > 4*changes {
		t.Errorf("%d calls for %d changes", calls, changes)
	}
	// The first host of a data centre ends; another one takes over.
	stops[0]()
	all[0].peers.transport.Close()
	store.Put("k", "after the end", 0)
	for _, f := range all[1:] {
		g.Eventually(f.names, 3*time.Second).Should(Equal(3 + changes))
	}
}

// TestAHostThatStartsCountsOnTheNewsOfOthers has hosts learn of each other, and
// no news come.
func TestAHostThatStartsCountsOnTheNewsOfOthers(t *testing.T) {
	g := NewWithT(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	const hosts = 20
	all, stops := fleetOf(t, store, hosts)
	for _, stop := range stops {
		stop()
	}
	for i, f := range all {
		place := i / 2
		g.Expect(f.peers.following()).To(Equal(place >= relayCandidates), "host %d, the %dth of its data centre", i, place)
	}
	time.Sleep(feedPatience + 100*time.Millisecond)
	g.Expect(all[hosts-1].peers.following()).To(BeFalse(), "a host that hears nothing watches for itself")
}

// TestEntriesOfHostsThatAreGoneAreSwept has hosts fall silent for good. Their
// entries once stayed for ever, as the strongest of the data centre at that.
func TestEntriesOfHostsThatAreGoneAreSwept(t *testing.T) {
	g := NewWithT(t)
	newHost := func(name string) *peers {
		self := member{name: name, address: freeAddress(t), dataCentre: "a", power: 0.2}
		p, err := newPeers(self, clock.Start(), &log.Logger{Handler: discard.New()}, func(balance.Event) {})
		g.Expect(err).NotTo(HaveOccurred())
		p.seen = func() []uint64 { return nil }
		var objects []platform.Object
		for _, h := range []string{"h1", "h2", "h3", "h4"} {
			spec := `{"address":"127.0.0.1:1","data_centre":"a","power":0.2}`
			objects = append(objects, platform.Object{Name: h, Revision: 7, Spec: []byte(spec)})
		}
		p.listed(objects)
		return p
	}
	names := func(members []member) []string {
		var all []string
		for _, m := range members {
			all = append(all, m.name)
		}
		return all
	}
	hears := func(p *peers, hosts ...string) {
		var m message
		for _, h := range hosts {
			m.Items = append(m.Items, item{Host: h})
		}
		p.note("", m)
	}
	const silence = 50 * time.Millisecond
	second, third := newHost("h2"), newHost("h3")
	g.Expect(second.silent(silence)).To(BeEmpty(), "nothing is swept before its time")
	time.Sleep(2 * silence)
	hears(second, "h3")
	hears(third, "h2")
	g.Expect(names(second.silent(silence))).To(Equal([]string{"h1", "h4"}))
	g.Expect(third.silent(silence)).To(BeEmpty(), "another host goes before this one")
	second.changed([]platform.Object{{Name: "h2", Deleted: true}})
	g.Expect(second.removed).To(Receive(), "a host whose entry is gone enters itself again")
	second.listed(nil)
	g.Expect(second.removed).NotTo(Receive(), "one that has not entered itself yet does so anyway")
	second.registered.Store(true)
	second.listed(nil)
	g.Expect(second.removed).To(Receive(), "a list without its entry")
}
