package intent

import (
	"fmt"
	"math"
	"strconv"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Finding is one problem of a configuration and its place in the document.
type Finding = finding.Finding

// Bounds of the values in a configuration.
const (
	// MaxPriority is the highest number that a kind's priority may have; the lowest is 0.
	MaxPriority = 100
	// MaxLimitMillis is the longest time limit of a kind, in milliseconds.
	MaxLimitMillis = 60 * 60 * 1000
	// MaxPromptTokens is the longest prompt that a model may declare, in tokens.
	MaxPromptTokens = 16_000_000
	// MaxShare is the highest share of an organisation and the highest weight of a kind.
	MaxShare = 1_000_000
	// MaxEngines is the highest number of engines in one placement.
	MaxEngines = 100_000
	// MaxInFlight is the highest bound on an organisation's admitted requests per host.
	MaxInFlight = 1_000_000
)

// Check returns every problem of the configuration, in the order of the
// document. A finding's place has the form kinds[2].default_limit_ms. An empty
// result means that the configuration can be submitted.
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

// checker collects the findings of one configuration. Its maps hold, for each
// declared name, the index in the document's list at which it was declared.
type checker struct {
	findings    finding.List
	dataCentres map[string]int
	models      map[string]int
	services    map[string]int
	kinds       map[string]int
}

// place is the position of a value in the document, such as kinds[2].weight. It
// is formatted as text only when there is a finding.
type place struct {
	list string
	// index is the element of the list, or -1 for the whole list.
	index int
	// field is the name of the element's field; empty for the whole element.
	field string
}

// listPlace returns the place of a whole list, such as kinds.
func listPlace(list string) place {
	return place{list: list, index: -1}
}

// String returns the place as findings show it.
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

// addf adds a finding whose problem is the formatted text.
func (k *checker) addf(at place, format string, args ...any) {
	k.findings.Add(at.String(), fmt.Sprintf(format, args...))
}

// declareName checks that a declared name has the format and differs from all
// names in seen, and then adds it to seen.
func (k *checker) declareName(seen map[string]int, list string, i int, name string, format nameFormat) {
	at := place{list, i, "name"}
	if !format.matches(name) {
		k.addf(at, "%q is no valid name; %s", name, format.rule)
		return
	}
	if first, taken := seen[name]; taken {
		k.addf(at, "%q is declared before in %s[%d]; every name must differ", name, list, first)
		return
	}
	seen[name] = i
}

// checkReferences checks that every name of a list is declared and occurs only
// once. The entity, such as "data centre", is what the names should refer to.
func (k *checker) checkReferences(at place, entity string, names []string, declared map[string]int) {
	if len(names) == 0 {
		return
	}
	list := at.String()
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if _, ok := declared[name]; !ok {
			k.addf(place{list: list, index: i}, "%q is no declared %s", name, entity)
		}
		if seen[name] {
			k.addf(place{list: list, index: i}, "%q is named twice", name)
		}
		seen[name] = true
	}
}

// checkUniqueNames checks that every name of a list has the format and occurs only once.
func (k *checker) checkUniqueNames(list string, names []string, format nameFormat) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if !format.matches(name) {
			k.addf(place{list: list, index: i}, "%q is no valid name; %s", name, format.rule)
		}
		if seen[name] {
			k.addf(place{list: list, index: i}, "%q is named twice", name)
		}
		seen[name] = true
	}
}

// checkRange checks that a value lies between the minimum and the maximum, both included.
func (k *checker) checkRange(at place, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		k.addf(at, "%d is out of range; use %d to %d", value, minimum, maximum)
	}
}

// checkPositive checks that a share or weight is a number above 0 and at most MaxShare.
func (k *checker) checkPositive(at place, value float64) {
	if math.IsNaN(value) || value <= 0 || value > MaxShare {
		k.addf(at, "%v is out of range; use a number above 0, at most %d", value, MaxShare)
	}
}

func (k *checker) checkDataCentres(all []DataCentre) {
	if len(all) == 0 {
		k.addf(listPlace("data_centres"), "is empty; declare at least one")
	}
	for i, d := range all {
		k.declareName(k.dataCentres, "data_centres", i, d.Name, plainName)
		if d.Region != "" && !plainName.matches(d.Region) {
			k.addf(place{"data_centres", i, "region"}, "%q is no valid name; %s", d.Region, plainName.rule)
		}
	}
}

func (k *checker) checkModels(all []Model) {
	for i, m := range all {
		k.declareName(k.models, "models", i, m.Name, modelName)
		if !versionName.matches(m.Version) {
			k.addf(place{"models", i, "version"}, "%q is no valid version; %s", m.Version, versionName.rule)
		}
		k.checkUniqueNames(place{"models", i, "adapters"}.String(), m.Adapters, versionName)
		k.checkRange(place{"models", i, "max_prompt_tokens"}, m.MaxPromptTokens, 1, MaxPromptTokens)
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
		k.checkRange(place{list, i, "engines"}, p.Engines, 0, MaxEngines)
	}
	k.checkReferences(listPlace(list), "data centre", names, k.dataCentres)
}

func (k *checker) checkServices(all []Service) {
	for i, s := range all {
		k.declareName(k.services, "services", i, s.Name, plainName)
	}
}

func (k *checker) checkKinds(all []Kind) {
	if len(all) == 0 {
		k.addf(listPlace("kinds"), "is empty; declare at least one")
	}
	for i, kind := range all {
		k.declareName(k.kinds, "kinds", i, kind.Name, plainName)
		k.checkKindTarget(i, kind)
		k.checkRange(place{"kinds", i, "priority"}, kind.Priority, 0, MaxPriority)
		k.checkPositive(place{"kinds", i, "weight"}, kind.Weight)
		k.checkRange(place{"kinds", i, "max_limit_ms"}, kind.MaxLimitMillis, 1, MaxLimitMillis)
		defaultPlace := place{"kinds", i, "default_limit_ms"}
		k.checkRange(defaultPlace, kind.DefaultLimitMillis, 1, MaxLimitMillis)
		if kind.DefaultLimitMillis > kind.MaxLimitMillis {
			k.addf(defaultPlace, "%d is above max_limit_ms, %d", kind.DefaultLimitMillis, kind.MaxLimitMillis)
		}
	}
}

// checkKindTarget checks that the kind names a declared service or, without a
// service, that at least one model is declared. Only requests to services can
// be declared as never repeated.
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
		k.declareName(seen, list, i, o.Name, plainName)
		k.checkPositive(place{list, i, "share"}, o.Share)
		k.checkRange(place{list, i, "max_in_flight"}, o.MaxInFlight, 0, MaxInFlight)
		k.checkReferences(place{list, i, "models"}, "model", o.Models, k.models)
		k.checkReferences(place{list, i, "kinds"}, "kind", o.Kinds, k.kinds)
	}
}

// checkEngines checks the names of the engines that check fencing numbers.
// Engines are not declared in the configuration, so any valid name passes.
func (k *checker) checkEngines(names []string) {
	k.checkUniqueNames("orders.checks_fencing", names, versionName)
}
