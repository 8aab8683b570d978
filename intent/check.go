package intent

import (
	"fmt"
	"math"
	"regexp"

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

var (
	plainName   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	modelName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,126}$`)
	versionName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

const (
	plainNameRule   = "use 1 to 63 of a-z, 0-9, '.', '_' and '-', the first a letter or digit"
	modelNameRule   = "use 1 to 127 of A-Z, a-z, 0-9, '.', '_', '/', ':' and '-', the first a letter or digit"
	versionNameRule = "use 1 to 63 of A-Z, a-z, 0-9, '.', '_' and '-', the first a letter or digit"
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

func (k *checker) addf(place, format string, args ...any) {
	k.findings.Add(place, fmt.Sprintf(format, args...))
}

// declare checks a name's form and that it is new, and remembers it.
func (k *checker) declare(seen map[string]int, list string, i int, name string, form *regexp.Regexp, rule string) {
	place := fmt.Sprintf("%s[%d].name", list, i)
	if !form.MatchString(name) {
		k.addf(place, "%q is no valid name; %s", name, rule)
		return
	}
	if first, taken := seen[name]; taken {
		k.addf(place, "%q is declared before in %s[%d]; every name must differ", name, list, first)
		return
	}
	seen[name] = i
}

// references checks that every name of a list is declared and named once.
func (k *checker) references(place, what string, names []string, declared map[string]int) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", place, i)
		if _, ok := declared[name]; !ok {
			k.addf(at, "%q is no declared %s", name, what)
		}
		if seen[name] {
			k.addf(at, "%q is named twice", name)
		}
		seen[name] = true
	}
}

// unique checks the form of every name of a list and that it is named once.
func (k *checker) unique(place string, names []string, form *regexp.Regexp, rule string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", place, i)
		if !form.MatchString(name) {
			k.addf(at, "%q is no valid name; %s", name, rule)
		}
		if seen[name] {
			k.addf(at, "%q is named twice", name)
		}
		seen[name] = true
	}
}

func (k *checker) between(place string, value, least, most int) {
	if value < least || value > most {
		k.addf(place, "%d is out of range; use %d to %d", value, least, most)
	}
}

func (k *checker) positive(place string, value float64) {
	if math.IsNaN(value) || value <= 0 || value > MaxShare {
		k.addf(place, "%v is out of range; use a number above 0, at most %d", value, MaxShare)
	}
}

func (k *checker) checkDataCentres(all []DataCentre) {
	if len(all) == 0 {
		k.addf("data_centres", "is empty; declare at least one")
	}
	for i, d := range all {
		k.declare(k.dataCentres, "data_centres", i, d.Name, plainName, plainNameRule)
		if d.Region != "" && !plainName.MatchString(d.Region) {
			k.addf(fmt.Sprintf("data_centres[%d].region", i), "%q is no valid name; %s", d.Region, plainNameRule)
		}
	}
}

func (k *checker) checkModels(all []Model) {
	for i, m := range all {
		place := fmt.Sprintf("models[%d]", i)
		k.declare(k.models, "models", i, m.Name, modelName, modelNameRule)
		if !versionName.MatchString(m.Version) {
			k.addf(place+".version", "%q is no valid version; %s", m.Version, versionNameRule)
		}
		k.unique(place+".adapters", m.Adapters, versionName, versionNameRule)
		k.between(place+".max_prompt_tokens", m.MaxPromptTokens, 1, MaxPromptTokens)
		k.checkPlacements(place+".placements", m.Placements)
	}
}

func (k *checker) checkPlacements(place string, all []Placement) {
	if len(all) == 0 {
		k.addf(place, "is empty; name at least one data centre")
	}
	names := make([]string, len(all))
	for i, p := range all {
		names[i] = p.DataCentre
		k.between(fmt.Sprintf("%s[%d].engines", place, i), p.Engines, 0, MaxEngines)
	}
	k.references(place, "data centre", names, k.dataCentres)
}

func (k *checker) checkServices(all []Service) {
	for i, s := range all {
		k.declare(k.services, "services", i, s.Name, plainName, plainNameRule)
	}
}

func (k *checker) checkKinds(all []Kind) {
	if len(all) == 0 {
		k.addf("kinds", "is empty; declare at least one")
	}
	for i, kind := range all {
		place := fmt.Sprintf("kinds[%d]", i)
		k.declare(k.kinds, "kinds", i, kind.Name, plainName, plainNameRule)
		k.checkKindTarget(place, kind)
		k.between(place+".priority", kind.Priority, 0, MaxPriority)
		k.positive(place+".weight", kind.Weight)
		k.between(place+".max_limit_ms", kind.MaxLimitMillis, 1, MaxLimitMillis)
		k.between(place+".default_limit_ms", kind.DefaultLimitMillis, 1, MaxLimitMillis)
		if kind.DefaultLimitMillis > kind.MaxLimitMillis {
			k.addf(place+".default_limit_ms", "%d is above max_limit_ms, %d", kind.DefaultLimitMillis, kind.MaxLimitMillis)
		}
	}
}

// checkKindTarget checks that the kind names a declared service, or that a
// model is declared for it. At-most-once delivery exists for services only.
func (k *checker) checkKindTarget(place string, kind Kind) {
	if kind.Service == "" {
		if len(k.models) == 0 {
			k.addf(place+".service", "is empty, but no model is declared; name a service or declare a model")
		}
		if kind.NeverRepeat {
			k.addf(place+".never_repeat", "holds only for kinds of a service; name the service or remove it")
		}
		return
	}
	if _, ok := k.services[kind.Service]; !ok {
		k.addf(place+".service", "%q is no declared service", kind.Service)
	}
}

func (k *checker) checkOrganisations(all []Organisation) {
	if len(all) == 0 {
		k.addf("organisations", "is empty; declare at least one")
	}
	seen := make(map[string]int, len(all))
	for i, o := range all {
		place := fmt.Sprintf("organisations[%d]", i)
		k.declare(seen, "organisations", i, o.Name, plainName, plainNameRule)
		k.positive(place+".share", o.Share)
		k.between(place+".max_in_flight", o.MaxInFlight, 0, MaxInFlight)
		k.references(place+".models", "model", o.Models, k.models)
		k.references(place+".kinds", "kind", o.Kinds, k.kinds)
	}
}

func (k *checker) checkEngines(names []string) {
	k.unique("orders.checks_fencing", names, versionName, versionNameRule)
}
