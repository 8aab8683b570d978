package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// statusPoll is the interval at which each router is asked for its status.
const statusPoll = 50 * time.Millisecond

// versionWatcher polls the configuration version that each router has in force,
// and counts the routers that went back to an older version.
type versionWatcher struct {
	fleet    *fleet.Fleet
	stop     context.CancelFunc
	watchers sync.WaitGroup

	mu             sync.Mutex
	latestStatus   map[string]fleet.RouterStatus
	highestVersion map[string]uint64
	reverted       int
	notes          []string
}

// watchVersions starts to poll all routers until Stop is called or ctx ends.
func watchVersions(ctx context.Context, f *fleet.Fleet) *versionWatcher {
	ctx, stop := context.WithCancel(ctx)
	w := &versionWatcher{
		fleet:          f,
		stop:           stop,
		latestStatus:   make(map[string]fleet.RouterStatus),
		highestVersion: make(map[string]uint64),
	}
	for _, h := range f.Hosts {
		w.watchers.Add(1)
		go func() {
			defer w.watchers.Done()
			w.watch(ctx, h)
		}()
	}
	return w
}

// Stop stops the polling and waits until it has ended.
func (w *versionWatcher) Stop() {
	w.stop()
	w.watchers.Wait()
}

func (w *versionWatcher) watch(ctx context.Context, h fleet.Host) {
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
			w.recordStatus(h.Name, status)
		}
	}
}

// recordStatus stores the status of a router. A router that is ready with a
// version below one that its host had before has reverted to an older version,
// even if the router was replaced in the meantime.
func (w *versionWatcher) recordStatus(host string, status fleet.RouterStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latestStatus[host] = status
	if !status.Ready {
		return
	}
	if before := w.highestVersion[host]; status.ConfigVersion < before {
		w.reverted++
		w.highestVersion[host] = status.ConfigVersion
		w.notes = append(w.notes, fmt.Sprintf("%s went back from version %d to %d", host, before, status.ConfigVersion))
		return
	}
	w.highestVersion[host] = status.ConfigVersion
}

// dropStatus removes the last status of a host's router, because the router is
// being replaced.
func (w *versionWatcher) dropStatus(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.latestStatus, host)
}

// Reverted returns the number of reversions detected so far, with a note on each.
func (w *versionWatcher) Reverted() (int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reverted, w.notes
}

// waitVersion waits until every router in the load balancer is ready with at
// least the given version.
func (w *versionWatcher) waitVersion(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		outdated := w.outdatedHosts(version)
		if len(outdated) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "version %d is not in force on %v", version, outdated)
		case <-ticker.C:
		}
	}
}

// outdatedHosts returns the hosts in the load balancer whose router is not known
// to be ready with at least the given version.
func (w *versionWatcher) outdatedHosts(version uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var outdated []string
	for _, h := range w.fleet.Hosts {
		status, known := w.latestStatus[h.Name]
		if !w.fleet.IsInBalancer(h.Name) {
			continue
		}
		if !known || !status.Ready || status.ConfigVersion < version {
			outdated = append(outdated, h.Name)
		}
	}
	return outdated
}
