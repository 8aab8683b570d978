package intent

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// validConfiguration returns a configuration without findings that uses every
// part of the document. Its lists are not in canonical order.
func validConfiguration() *Configuration {
	c := New()
	c.AddDataCentres("lima", "lima-b", "lima-a")
	c.AddModel(NewModel("moderator", "v1", 1000).WithAdapters("es").PlacedIn("lima-b", 0).PlacedIn("lima-a", 2))
	c.AddServices("case-record")
	c.AddKinds(
		ModelKind("comment").Limits(time.Second, 2*time.Second),
		ServiceKind("case-record", "sanction").Prioritised(1).Weighted(2).NotRepeated(),
	)
	c.AddOrganisations(NewOrganisation("org-02", 1).Bounded(9), NewOrganisation("org-01", 4).OnlyModels("moderator").OnlyKinds("comment"))
	c.AddFencedEngines("engine-1")
	return c
}

// TestValidConfigurationPassesCheckAndRoundTrips checks that a printed
// configuration is parsed to the same values, and that the printed bytes don't
// depend on the order of declaration.
func TestValidConfigurationPassesCheckAndRoundTrips(t *testing.T) {
	c := validConfiguration()
	if got := c.Check(); len(got) != 0 {
		t.Fatalf("findings of a good configuration: %v", got)
	}
	var first, second bytes.Buffer
	if err := c.Print(&first); err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(bytes.NewReader(first.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(parsed, c.Canonical()) {
		t.Errorf("parsed differs:\n%+v\n%+v", parsed, c.Canonical())
	}
	parsed.Organisations[0], parsed.Organisations[1] = parsed.Organisations[1], parsed.Organisations[0]
	if err := parsed.Print(&second); err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Error("the printed form depends on the order of declaration")
	}
}

// TestCheckReportsAllFindings applies each fault alone, where its finding must
// come first, and then all faults together, where every finding must be reported.
func TestCheckReportsAllFindings(t *testing.T) {
	faults := []struct {
		place string
		apply func(*Configuration)
	}{
		{"data_centres[1].name", func(c *Configuration) { c.DataCentres[1].Name = "lima-b" }},
		{"data_centres[0].region", func(c *Configuration) { c.DataCentres[0].Region = "Lima Norte" }},
		{"models[0].version", func(c *Configuration) { c.Models[0].Version = "" }},
		{"models[0].adapters[1]", func(c *Configuration) { c.Models[0].Adapters = []string{"es", "es"} }},
		{"models[0].max_prompt_tokens", func(c *Configuration) { c.Models[0].MaxPromptTokens = 0 }},
		{"models[0].placements[0].engines", func(c *Configuration) { c.Models[0].Placements[0].Engines = -1 }},
		{"models[0].placements[1]", func(c *Configuration) { c.Models[0].Placements[1].DataCentre = "quito" }},
		{"services[0].name", func(c *Configuration) { c.Services[0].Name = "Case" }},
		{"kinds[0].never_repeat", func(c *Configuration) { c.Kinds[0].NeverRepeat = true }},
		{"kinds[0].priority", func(c *Configuration) { c.Kinds[0].Priority = -1 }},
		{"kinds[0].weight", func(c *Configuration) { c.Kinds[0].Weight = math.NaN() }},
		{"kinds[0].default_limit_ms", func(c *Configuration) { c.Kinds[0].DefaultLimitMillis = 5000 }},
		{"kinds[1].max_limit_ms", func(c *Configuration) { c.Kinds[1].MaxLimitMillis = MaxLimitMillis + 1 }},
		{"kinds[1].service", func(c *Configuration) { c.Kinds[1].Service = "nothing" }},
		{"organisations[0].share", func(c *Configuration) { c.Organisations[0].Share = math.Inf(1) }},
		{"organisations[0].max_in_flight", func(c *Configuration) { c.Organisations[0].MaxInFlight = -1 }},
		{"organisations[1].models[0]", func(c *Configuration) { c.Organisations[1].Models = []string{"gone"} }},
		{"organisations[1].kinds[1]", func(c *Configuration) { c.Organisations[1].Kinds = []string{"comment", "comment"} }},
		{"orders.checks_fencing[0]", func(c *Configuration) { c.Orders.ChecksFencing[0] = "" }},
	}
	all := validConfiguration()
	for _, f := range faults {
		one := validConfiguration()
		f.apply(one)
		if got := one.Check(); len(got) == 0 || got[0].Place != f.place {
			t.Errorf("want first a finding at %s, got %v", f.place, got)
		}
		f.apply(all)
	}
	places := make(map[string]bool)
	for _, f := range all.Check() {
		places[f.Place] = true
	}
	for _, f := range faults {
		if !places[f.place] {
			t.Errorf("not reported with the others: %s", f.place)
		}
	}
	if err := all.Print(&bytes.Buffer{}); err == nil {
		t.Error("a configuration with findings was printed")
	}
}

func TestCheckReportsEmptyConfiguration(t *testing.T) {
	var places []string
	for _, f := range New().Check() {
		places = append(places, f.Place)
	}
	if want := []string{"data_centres", "kinds", "organisations"}; !reflect.DeepEqual(places, want) {
		t.Errorf("places %v, want %v", places, want)
	}
}

func TestParseReportsAllFindings(t *testing.T) {
	document := `{"data_centres":[{"name":"a","name":"b","zone":{"x":[1]}}],"kinds":[{"priority":1.5,"weight":"much","Name":"x"}],
		"organisations":{},"models":[{"placements":[{"engines":true}]}],"orders":null}`
	_, err := Parse(strings.NewReader(document))
	var all finding.Error
	if !errors.As(err, &all) {
		t.Fatalf("want findings, got %v", err)
	}
	var places []string
	for _, f := range all.Findings {
		places = append(places, f.Place)
	}
	want := []string{
		"data_centres[0].name", "data_centres[0].zone", "kinds[0].priority", "kinds[0].weight",
		"kinds[0].Name", "organisations", "models[0].placements[0].engines", "orders",
	}
	if !reflect.DeepEqual(places, want) {
		t.Errorf("places\n%v, want\n%v", places, want)
	}
}

func TestParseRejectsMalformedDocuments(t *testing.T) {
	for _, document := range []string{"", "{", strings.Repeat("[", 1<<20), `{"kinds":[}`, "{}{}", "[]", "12", `{"kinds":[{"priority":99999999999999999999}]}`} {
		if _, err := Parse(strings.NewReader(document)); err == nil {
			t.Errorf("accepted %q", document)
		}
	}
}

// FuzzParse checks that every document that Parse and Check accept is printed
// and parsed again to the same configuration.
func FuzzParse(f *testing.F) {
	var good bytes.Buffer
	if err := validConfiguration().Print(&good); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte(`{"kinds":[null,{"weight":1e999}]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := Parse(bytes.NewReader(document))
		if err != nil || len(c.Check()) > 0 {
			return
		}
		var printed bytes.Buffer
		if err := c.Print(&printed); err != nil {
			t.Fatalf("a checked configuration is not printed: %v", err)
		}
		again, err := Parse(&printed)
		if err != nil || !reflect.DeepEqual(again, c.Canonical()) {
			t.Fatalf("printed form differs: %v", err)
		}
	})
}
