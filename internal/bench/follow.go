package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// statusPoll is how often each router is asked for its status.
const statusPoll = 50 * time.Millisecond

// follower watches which configuration version each router has in force.
type follower struct {
	fleet *fleet.Fleet
	stop  context.CancelFunc
	ended sync.WaitGroup

	mu       sync.Mutex
	newest   map[string]fleet.RouterStatus
	highest  map[string]uint64
	reverted int
	notes    []string
}

// follow starts to watch all routers until Stop.
func follow(ctx context.Context, f *fleet.Fleet) *follower {
	ctx, stop := context.WithCancel(ctx)
	w := &follower{
		fleet:   f,
		stop:    stop,
		newest:  make(map[string]fleet.RouterStatus),
		highest: make(map[string]uint64),
	}
	for _, h := range f.Hosts {
		w.ended.Add(1)
		go func() {
			defer w.ended.Done()
			w.watch(ctx, h)
		}()
	}
	return w
}

// Stop ends the watching.
func (w *follower) Stop() {
	w.stop()
	w.ended.Wait()
}

func (w *follower) watch(ctx context.Context, h fleet.Host) {
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, err := w.fleet.Status(ctx, h)
		if err == nil {
			w.note(h.Name, status)
		}
	}
}

// note takes a status in; a router that is ready with a version below one
// that its host had before has reverted, also when it was replaced meanwhile.
func (w *follower) note(host string, status fleet.RouterStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest[host] = status
	if !status.Ready {
		return
	}
	if before := w.highest[host]; status.ConfigVersion < before {
		w.reverted++
		w.highest[host] = status.ConfigVersion
		w.notes = append(w.notes, fmt.Sprintf("%s went back from version %d to %d", host, before, status.ConfigVersion))
		return
	}
	w.highest[host] = status.ConfigVersion
}

// forget drops what a host's process said last, because it is being replaced.
func (w *follower) forget(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.newest, host)
}

// Reverted counts the reversions seen and tells of them.
func (w *follower) Reverted() (int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reverted, w.notes
}

// waitVersion waits until every router that the balancer uses is ready with at
// least the version.
func (w *follower) waitVersion(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		behind := w.behind(version)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "version %d is not in force on %v", version, behind)
		case <-ticker.C:
		}
	}
}

func (w *follower) behind(version uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var behind []string
	for _, h := range w.fleet.Hosts {
		status, known := w.newest[h.Name]
		if !w.fleet.IsInBalancer(h.Name) {
			continue
		}
		if !known || !status.Ready || status.ConfigVersion < version {
			behind = append(behind, h.Name)
		}
	}
	return behind
}
