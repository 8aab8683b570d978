// Command order-desk prints the configuration of an order desk deployment: store
// managers ask a model short questions, buyers submit contracts and ledgers to
// it, and orders go to a plain order service.
//
//	go run ./examples/order-desk > order-desk.json
//	chestnutctl check order-desk.json
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
	c.AddDataCentres("accra", "accra-a", "accra-b", "accra-c")
	c.AddModel(intent.NewModel("assistant", "v1", maxPromptTokens).
		PlacedIn("accra-a", 0).PlacedIn("accra-b", 0).PlacedIn("accra-c", 0))
	c.AddServices("order-app")
	declareKinds(c)
	declareOrganisations(c)
	return c
}

// declareKinds declares the kinds of request. Short questions have priority over
// contracts, and contracts over ledgers.
func declareKinds(c *intent.Configuration) {
	c.AddKinds(
		intent.ModelKind("question").Prioritised(0).Weighted(1).Limits(10*time.Second, 30*time.Second),
		intent.ModelKind("contract").Prioritised(1).Weighted(1).Limits(30*time.Second, 60*time.Second),
		intent.ModelKind("ledger").Prioritised(2).Weighted(1).Limits(60*time.Second, 60*time.Second),
		intent.ServiceKind("order-app", "stock").Limits(2*time.Second, 10*time.Second),
		intent.ServiceKind("order-app", "order").Limits(5*time.Second, 30*time.Second).NotRepeated(),
	)
}

// declareOrganisations declares the organisations. The first two are the large
// ones and have a higher share.
func declareOrganisations(c *intent.Configuration) {
	for _, name := range []string{"org-01", "org-02"} {
		c.AddOrganisations(intent.NewOrganisation(name, 5))
	}
	for _, name := range []string{"org-03", "org-04", "org-05", "org-06", "org-07", "org-08", "org-09", "org-10"} {
		c.AddOrganisations(intent.NewOrganisation(name, 1))
	}
}
