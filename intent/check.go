package intent

import (
	"fmt"
	"math"
	"strconv"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Finding is one problem of a configuration with its place.
type Finding = finding.Finding

// Bounds of what a configuration may declare.
const (
	// MaxPriority is the highest number a kind's priority may have.
	MaxPriority = 100
	// MaxLimitMillis is the longest time limit, in milliseconds.
	MaxLimitMillis = 60 * 60 * 1000
	// MaxPromptTokens is the longest prompt a model may declare, in tokens.
	MaxPromptTokens = 16_000_000
	// MaxShare bounds an organisation's share and a kind's weight.
	MaxShare = 1_000_000
	// MaxEngines bounds the engines of one placement.
	MaxEngines = 100_000
	// MaxInFlight bounds an organisation's admitted requests per host.
	MaxInFlight = 1_000_000
)

// Check returns every problem of the configuration, in the order of the
// document. Places read like kinds[2].default_limit_ms. An empty result means
// that the configuration can be submitted.
func (c Configuration) Check() []Finding {
	k := checker{
		dataCentres: make(map[string]int),
		models:      make(map[string]int),
		services:    make(map[string]int),
		kinds:       make(map[string]int),
	}
	k.checkDataCentres(c.DataCentres)
	k.checkModels(c.Models)
	k.checkServices(c.Services)
	k.checkKinds(c.Kinds)
	k.checkOrganisations(c.Organisations)
	k.checkEngines(c.Orders.ChecksFencing)
	return k.findings
}

// checker collects findings; the maps hold the index at which a name was declared.
type checker struct {
	findings    finding.List
	dataCentres map[string]int
	models      map[string]int
	services    map[string]int
	kinds       map[string]int
}

// place is where a finding is, such as kinds[2].weight. It is formatted only
// when there is a finding.
type place struct {
	list  string
	index int
	field string
}

// listPlace is a whole list, such as kinds.
func listPlace(list string) place {
	return place{list: list, index: -1}
}

func (p place) String() string {
	text := p.list
	if p.index >= 0 {
		text += "[" + strconv.Itoa(p.index) + "]"
	}
	if p.field != "" {
		text += "." + p.field
	}
	return text
}

func (k *checker) addf(at place, format string, args ...any) {
	k.findings.Add(at.String(), fmt.Sprintf(format, args...))
}

// declare checks a name's form and that it is new, and remembers it.
func (k *checker) declare(seen map[string]int, list string, i int, name string, form nameForm) {
	at := place{list, i, "name"}
	if !form.matches(name) {
		k.addf(at, "%q is no valid name; %s", name, form.rule)
		return
	}
	if first, taken := seen[name]; taken {
		k.addf(at, "%q is declared before in %s[%d]; every name must differ", name, list, first)
		return
	}
	seen[name] = i
}

// references checks that every name of a list is declared and named once.
func (k *checker) references(at place, what string, names []string, declared map[string]int) {
	if len(names) == 0 {
		return
	}
	list := at.String()
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if _, ok := declared[name]; !ok {
			k.addf(place{list: list, index: i}, "%q is no declared %s", name, what)
		}
		if seen[name] {
			k.addf(place{list: list, index: i}, "%q is named twice", name)
		}
		seen[name] = true
	}
}

// unique checks the form of every name of a list and that it is named once.
func (k *checker) unique(list string, names []string, form nameForm) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if !form.matches(name) {
			k.addf(place{list: list, index: i}, "%q is no valid name; %s", name, form.rule)
		}
		if seen[name] {
			k.addf(place{list: list, index: i}, "%q is named twice", name)
		}
		seen[name] = true
	}
}

func (k *checker) between(at place, value, least, most int) {
	if value < least || value > most {
		k.addf(at, "%d is out of range; use %d to %d", value, least, most)
	}
}

func (k *checker) positive(at place, value float64) {
	if math.IsNaN(value) || value <= 0 || value > MaxShare {
		k.addf(at, "%v is out of range; use a number above 0, at most %d", value, MaxShare)
	}
}

func (k *checker) checkDataCentres(all []DataCentre) {
	if len(all) == 0 {
		k.addf(listPlace("data_centres"), "is empty; declare at least one")
	}
	for i, d := range all {
		k.declare(k.dataCentres, "data_centres", i, d.Name, plainName)
		if d.Region != "" && !plainName.matches(d.Region) {
			k.addf(place{"data_centres", i, "region"}, "%q is no valid name; %s", d.Region, plainName.rule)
		}
	}
}

func (k *checker) checkModels(all []Model) {
	for i, m := range all {
		k.declare(k.models, "models", i, m.Name, modelName)
		if !versionName.matches(m.Version) {
			k.addf(place{"models", i, "version"}, "%q is no valid version; %s", m.Version, versionName.rule)
		}
		k.unique(place{"models", i, "adapters"}.String(), m.Adapters, versionName)
		k.between(place{"models", i, "max_prompt_tokens"}, m.MaxPromptTokens, 1, MaxPromptTokens)
		k.checkPlacements(place{"models", i, "placements"}.String(), m.Placements)
	}
}

func (k *checker) checkPlacements(list string, all []Placement) {
	if len(all) == 0 {
		k.addf(listPlace(list), "is empty; name at least one data centre")
	}
	names := make([]string, len(all))
	for i, p := range all {
		names[i] = p.DataCentre
		k.between(place{list, i, "engines"}, p.Engines, 0, MaxEngines)
	}
	k.references(listPlace(list), "data centre", names, k.dataCentres)
}

func (k *checker) checkServices(all []Service) {
	for i, s := range all {
		k.declare(k.services, "services", i, s.Name, plainName)
	}
}

func (k *checker) checkKinds(all []Kind) {
	if len(all) == 0 {
		k.addf(listPlace("kinds"), "is empty; declare at least one")
	}
	for i, kind := range all {
		k.declare(k.kinds, "kinds", i, kind.Name, plainName)
		k.checkKindTarget(i, kind)
		k.between(place{"kinds", i, "priority"}, kind.Priority, 0, MaxPriority)
		k.positive(place{"kinds", i, "weight"}, kind.Weight)
		k.between(place{"kinds", i, "max_limit_ms"}, kind.MaxLimitMillis, 1, MaxLimitMillis)
		standard := place{"kinds", i, "default_limit_ms"}
		k.between(standard, kind.DefaultLimitMillis, 1, MaxLimitMillis)
		if kind.DefaultLimitMillis > kind.MaxLimitMillis {
			k.addf(standard, "%d is above max_limit_ms, %d", kind.DefaultLimitMillis, kind.MaxLimitMillis)
		}
	}
}

// checkKindTarget checks that the kind names a declared service, or that a
// model is declared for it. At-most-once delivery exists for services only.
func (k *checker) checkKindTarget(i int, kind Kind) {
	at := place{"kinds", i, "service"}
	if kind.Service == "" {
		if len(k.models) == 0 {
			k.addf(at, "is empty, but no model is declared; name a service or declare a model")
		}
		if kind.NeverRepeat {
			k.addf(place{"kinds", i, "never_repeat"}, "holds only for kinds of a service; name the service or remove it")
		}
		return
	}
	if _, ok := k.services[kind.Service]; !ok {
		k.addf(at, "%q is no declared service", kind.Service)
	}
}

func (k *checker) checkOrganisations(all []Organisation) {
	const list = "organisations"
	if len(all) == 0 {
		k.addf(listPlace(list), "is empty; declare at least one")
	}
	seen := make(map[string]int, len(all))
	for i, o := range all {
		k.declare(seen, list, i, o.Name, plainName)
		k.positive(place{list, i, "share"}, o.Share)
		k.between(place{list, i, "max_in_flight"}, o.MaxInFlight, 0, MaxInFlight)
		k.references(place{list, i, "models"}, "model", o.Models, k.models)
		k.references(place{list, i, "kinds"}, "kind", o.Kinds, k.kinds)
	}
}

func (k *checker) checkEngines(names []string) {
	k.unique("orders.checks_fencing", names, versionName)
}
