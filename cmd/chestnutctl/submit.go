package main

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/configuration/registry"
	"github.com/chestnutline/chestnutline/internal/operate"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// pollInterval is the pause between two status requests to the hosts while the
// tool waits for a version to be in force.
const pollInterval = 250 * time.Millisecond

// submitResult is the JSON form of the result of submit.
type submitResult struct {
	Accepted configuration.Change `json:"accepted"`
	// Waited reports whether the hosts were asked.
	Waited bool `json:"waited"`
	// Seconds is the time from the acceptance until the version was in force in
	// every data centre; 0 if that was not seen.
	Seconds float64 `json:"seconds_until_in_force,omitempty"`
	// Rollout reports where the version is in force.
	Rollout operate.Rollout `json:"force"`
}

// runSubmit submits a configuration and, unless the wait is 0, waits until the
// hosts have it in force. Each time the version is a multiple of
// registry.VersionsPerSweep, it also removes unused parts from the object API.
func runSubmit(ctx context.Context, out *outputWriter, s *submitSettings, file string) error {
	c, err := loadConfiguration(file)
	if err != nil {
		return err
	}
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: s.Platform})
	if err != nil {
		return err
	}
	defer client.Close()
	change, err := registry.Submit(ctx, client, c, s.Base, s.Author, s.Note)
	if err != nil {
		return err
	}
	out.writeProgress(fmt.Sprintf("version %d is accepted", change.Version))
	if change.Version%registry.VersionsPerSweep == 0 {
		removeUnusedParts(ctx, out, client)
	}
	if s.Wait == 0 {
		return out.writeResult(submitResult{Accepted: change, Rollout: operate.Rollout{Version: change.Version}},
			fmt.Sprintf("version %d is accepted; its hosts were not asked", change.Version))
	}
	return waitUntilInForce(ctx, out, s, change, dataCentreNames(c))
}

// removeUnusedParts removes the parts of earlier versions that are no longer used
// from the object API. A failure is only shown: the unused parts do no harm, and
// a later submission removes them.
func removeUnusedParts(ctx context.Context, out *outputWriter, client *platform.Client) {
	removed, err := registry.RemoveUnusedParts(ctx, client)
	if err != nil {
		out.writeProgress(fmt.Sprintf("unused parts are left for a later submission: %v", err))
		return
	}
	out.writeProgress(fmt.Sprintf("%d unused parts were removed from the object API", removed))
}

// waitUntilInForce asks the hosts for their status until the version is in force
// in every declared data centre, and writes each change of the progress. It
// returns a notInForceError when the time limit of the settings has passed.
func waitUntilInForce(ctx context.Context, out *outputWriter, s *submitSettings, change configuration.Change, declared []string) error {
	startTime := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Wait)
	defer cancel()
	admin := operate.Admin{Addresses: s.Admin}
	lastReported := ""
	for {
		statuses := admin.Status(ctx)
		rollout := operate.EvaluateRollout(change.Version, declared, statuses)
		if line := rollout.String(); line != lastReported && ctx.Err() == nil {
			out.writeProgress(line)
			lastReported = line
		}
		r := submitResult{Accepted: change, Waited: true, Rollout: rollout}
		if rollout.Everywhere {
			r.Seconds = time.Since(startTime).Seconds()
			return out.writeResult(r, fmt.Sprintf("version %d is in force in every data centre after %.1f s", change.Version, r.Seconds))
		}
		select {
		case <-ctx.Done():
			if out.json {
				if err := out.writeResult(r); err != nil {
					return err
				}
			}
			return reportedError{notInForceError{rollout}}
		case <-time.After(pollInterval):
		}
	}
}
