package main

import (
	"context"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration/registry"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// author is the author recorded with the configurations that the bench submits.
const author = "chestnut-load"

// submitter submits configurations through the registry, as chestnutctl does.
type submitter struct{}

// Submit implements bench.Submitter.
func (submitter) Submit(ctx context.Context, platformURL string, c *intent.Configuration, base uint64) (uint64, error) {
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: platformURL})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	change, err := registry.Submit(ctx, client, *c, base, author, "bench")
	return change.Version, err
}
