package driver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// fakeSender notes the addresses tried; those in dead can't be connected to.
type fakeSender struct {
	mu    sync.Mutex
	tried map[int][]string
	dead  map[string]bool
	hold  chan struct{}
}

func (f *fakeSender) Send(_ context.Context, s client.Sending) (client.Outcome, error) {
	f.mu.Lock()
	f.tried[s.Request.Index] = append(f.tried[s.Request.Index], s.Address)
	f.mu.Unlock()
	o := client.Outcome{Request: s.Request, Again: s.Again, Result: client.Delivered}
	if f.dead[s.Address] {
		o.Result = client.Broken
		return o, client.ErrNoConnection
	}
	if f.hold != nil {
		<-f.hold
	}
	return o, nil
}

type fixedHosts []string

func (h fixedHosts) Hosts(int) []string { return h }

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	const requests = 50
	sender := &fakeSender{tried: make(map[int][]string), hold: make(chan struct{})}
	var plan []*workload.Request
	for i := range requests {
		plan = append(plan, &workload.Request{Index: i, ArrivalOffset: time.Duration(i) * time.Millisecond})
	}
	finished := make(chan []client.Outcome)
	go func() {
		finished <- Run(context.Background(), Config{Sender: sender, Balancer: fixedHosts{"a"}}, plan)
	}()
	for {
		sender.mu.Lock()
		sent := len(sender.tried)
		sender.mu.Unlock()
		if sent == requests {
			break
		}
		time.Sleep(time.Millisecond)
	}
	close(sender.hold)
	if outcomes := <-finished; len(outcomes) != requests {
		t.Fatalf("%d outcomes of %d requests", len(outcomes), requests)
	}
}

func TestBalancerPassesOverDeadHosts(t *testing.T) {
	sender := &fakeSender{tried: make(map[int][]string), dead: map[string]bool{"b": true}}
	outcomes := Run(context.Background(), Config{Sender: sender, Balancer: fixedHosts{"a", "b"}}, []*workload.Request{{Host: 1}})
	if len(outcomes) != 1 || outcomes[0].Result != client.Delivered {
		t.Fatalf("outcomes %+v", outcomes)
	}
	if tried := sender.tried[0]; len(tried) != 2 || tried[0] != "b" || tried[1] != "a" {
		t.Fatalf("tried %v", tried)
	}
}

func TestActionIsSentAgainToItsOtherHost(t *testing.T) {
	sender := &fakeSender{tried: make(map[int][]string)}
	plan := []*workload.Request{{IdempotencyKey: "k", Repeat: &workload.Repeat{After: time.Millisecond, Host: 1}}}
	outcomes := Run(context.Background(), Config{Sender: sender, Balancer: fixedHosts{"a", "b"}}, plan)
	if len(outcomes) != 2 || outcomes[0].Again == outcomes[1].Again {
		t.Fatalf("outcomes %+v", outcomes)
	}
}

func TestEndOfContextStopsArrivals(t *testing.T) {
	sender := &fakeSender{tried: make(map[int][]string)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	plan := []*workload.Request{{ArrivalOffset: time.Hour}}
	if outcomes := Run(ctx, Config{Sender: sender, Balancer: fixedHosts{"a"}}, plan); len(outcomes) != 0 {
		t.Fatalf("outcomes %+v", outcomes)
	}
}
