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

// pollEvery is the time between two questions to the hosts while waiting.
const pollEvery = 250 * time.Millisecond

// submitResult is the JSON form of submit.
type submitResult struct {
	Accepted configuration.Change `json:"accepted"`
	// Waited says whether the hosts were asked.
	Waited  bool            `json:"waited"`
	Seconds float64         `json:"seconds_until_in_force,omitempty"`
	Force   operate.Rollout `json:"force"`
}

func runSubmit(ctx context.Context, t *terminal, s *submitSettings, file string) error {
	c, err := load(file)
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
	t.progress(fmt.Sprintf("version %d is accepted", change.Version))
	if change.Version%registry.VersionsPerSweep == 0 {
		sweep(ctx, t, client)
	}
	if s.Wait == 0 {
		return t.show(submitResult{Accepted: change, Force: operate.Rollout{Version: change.Version}},
			fmt.Sprintf("version %d is accepted; its hosts were not asked", change.Version))
	}
	return wait(ctx, t, s, change, dataCentres(c))
}

// sweep removes unused parts. A failure harms nothing; a later one makes up for it.
func sweep(ctx context.Context, t *terminal, client *platform.Client) {
	removed, err := registry.RemoveUnusedParts(ctx, client)
	if err != nil {
		t.progress(fmt.Sprintf("unused parts are left for a later submission: %v", err))
		return
	}
	t.progress(fmt.Sprintf("%d unused parts were removed from the object API", removed))
}

// wait asks the hosts until the version is in force in every data centre,
// telling each change of the progress.
func wait(ctx context.Context, t *terminal, s *submitSettings, change configuration.Change, declared []string) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Wait)
	defer cancel()
	admin := operate.Admin{Addresses: s.Admin}
	told := ""
	for {
		statuses := admin.Status(ctx)
		force := operate.EvaluateRollout(change.Version, declared, statuses)
		if line := force.String(); line != told && ctx.Err() == nil {
			t.progress(line)
			told = line
		}
		r := submitResult{Accepted: change, Waited: true, Force: force}
		if force.Everywhere {
			r.Seconds = time.Since(began).Seconds()
			return t.show(r, fmt.Sprintf("version %d is in force in every data centre after %.1f s", change.Version, r.Seconds))
		}
		select {
		case <-ctx.Done():
			if t.json {
				if err := t.show(r); err != nil {
					return err
				}
			}
			return shownError{notInForceError{force}}
		case <-time.After(pollEvery):
		}
	}
}
