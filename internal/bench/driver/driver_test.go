package driver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// fakeSender records the addresses that were tried for each request, by the
// request's index. It fails to connect to the unreachable addresses, and holds its
// answers until release is closed, unless that is nil.
type fakeSender struct {
	mu             sync.Mutex
	triedAddresses map[int][]string
	unreachable    map[string]bool
	release        chan struct{}
}

func (f *fakeSender) Send(_ context.Context, attempt client.Attempt) (client.Outcome, error) {
	f.mu.Lock()
	f.triedAddresses[attempt.Request.Index] = append(f.triedAddresses[attempt.Request.Index], attempt.Address)
	f.mu.Unlock()
	o := client.Outcome{Request: attempt.Request, IsRepeat: attempt.IsRepeat, Result: client.Delivered}
	if f.unreachable[attempt.Address] {
		o.Result = client.Broken
		return o, client.ErrNoConnection
	}
	if f.release != nil {
		<-f.release
	}
	return o, nil
}

// fixedHosts is a balancer with the same hosts in all data centres.
type fixedHosts []string

func (h fixedHosts) Hosts(int) []string { return h }

func TestRequestsAreSentWithoutWaitingForAnswers(t *testing.T) {
	const requests = 50
	sender := &fakeSender{triedAddresses: make(map[int][]string), release: make(chan struct{})}
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
		sent := len(sender.triedAddresses)
		sender.mu.Unlock()
		if sent == requests {
			break
		}
		time.Sleep(time.Millisecond)
	}
	close(sender.release)
	if outcomes := <-finished; len(outcomes) != requests {
		t.Fatalf("%d outcomes of %d requests", len(outcomes), requests)
	}
}

func TestUnreachableHostsAreSkipped(t *testing.T) {
	sender := &fakeSender{triedAddresses: make(map[int][]string), unreachable: map[string]bool{"b": true}}
	outcomes := Run(context.Background(), Config{Sender: sender, Balancer: fixedHosts{"a", "b"}}, []*workload.Request{{Host: 1}})
	if len(outcomes) != 1 || outcomes[0].Result != client.Delivered {
		t.Fatalf("outcomes %+v", outcomes)
	}
	if tried := sender.triedAddresses[0]; len(tried) != 2 || tried[0] != "b" || tried[1] != "a" {
		t.Fatalf("tried %v", tried)
	}
}

func TestRepeatOfActionIsSentOnce(t *testing.T) {
	sender := &fakeSender{triedAddresses: make(map[int][]string)}
	plan := []*workload.Request{{IdempotencyKey: "k", Repeat: &workload.Repeat{After: time.Millisecond, Host: 1}}}
	outcomes := Run(context.Background(), Config{Sender: sender, Balancer: fixedHosts{"a", "b"}}, plan)
	if len(outcomes) != 2 || outcomes[0].IsRepeat == outcomes[1].IsRepeat {
		t.Fatalf("outcomes %+v", outcomes)
	}
}

func TestCancelledContextStopsSending(t *testing.T) {
	sender := &fakeSender{triedAddresses: make(map[int][]string)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	plan := []*workload.Request{{ArrivalOffset: time.Hour}}
	if outcomes := Run(ctx, Config{Sender: sender, Balancer: fixedHosts{"a"}}, plan); len(outcomes) != 0 {
		t.Fatalf("outcomes %+v", outcomes)
	}
}
