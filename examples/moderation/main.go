// Command moderation prints the configuration of a moderation deployment: one
// model evaluates comments, threads and whole archives, and a case record service
// records the decisions.
//
//	go run ./examples/moderation > moderation.json
//	chestnutctl check moderation.json
package main

import (
	"os"
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// maxPromptTokens is the longest prompt that the model serves, in tokens.
const maxPromptTokens = 1_000_000

func main() {
	os.Exit(intent.Run(declare(), os.Stdout, os.Stderr))
}

// declare returns the whole configuration.
func declare() *intent.Configuration {
	c := intent.New()
	c.AddDataCentres("lima", "lima-a", "lima-b", "lima-c")
	c.AddModel(intent.NewModel("moderator", "v1", maxPromptTokens).
		PlacedIn("lima-a", 0).PlacedIn("lima-b", 0).PlacedIn("lima-c", 0))
	c.AddServices("case-record")
	declareKinds(c)
	declareOrganisations(c)
	return c
}

// declareKinds declares the kinds of request. Archives have the same weight as
// single comments, because a late archive costs as much as a late comment.
func declareKinds(c *intent.Configuration) {
	c.AddKinds(
		intent.ModelKind("comment").Prioritised(0).Weighted(1).Limits(10*time.Second, 30*time.Second),
		intent.ModelKind("thread").Prioritised(1).Weighted(1).Limits(20*time.Second, 45*time.Second),
		intent.ModelKind("archive").Prioritised(2).Weighted(1).Limits(60*time.Second, 60*time.Second),
		intent.ServiceKind("case-record", "status").Limits(2*time.Second, 10*time.Second),
		intent.ServiceKind("case-record", "takedown").Limits(5*time.Second, 30*time.Second).NotRepeated(),
		intent.ServiceKind("case-record", "sanction").Limits(5*time.Second, 30*time.Second).NotRepeated(),
	)
}

// declareOrganisations declares the organisations. The first three are the large
// ones and have a higher share.
func declareOrganisations(c *intent.Configuration) {
	for _, name := range []string{"org-01", "org-02", "org-03"} {
		c.AddOrganisations(intent.NewOrganisation(name, 4))
	}
	for _, name := range []string{"org-04", "org-05", "org-06", "org-07", "org-08", "org-09", "org-10"} {
		c.AddOrganisations(intent.NewOrganisation(name, 1))
	}
}
