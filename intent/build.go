package intent

import "time"

// An operator's program builds a Configuration with the functions below:
//
//	c := intent.New()
//	c.AddDataCentres("lima", "lima-a", "lima-b")
//	c.AddModel(intent.NewModel("moderator", "v1", 1_000_000).PlacedIn("lima-a", 0).PlacedIn("lima-b", 0))
//	c.AddKinds(intent.ModelKind("comment").Limits(10*time.Second, 30*time.Second))
//	c.AddOrganisations(intent.NewOrganisation("org-01", 1))
//	err := c.Print(os.Stdout)

// New returns an empty configuration, which declares nothing yet.
func New() *Configuration {
	return &Configuration{}
}

// AddDataCentres declares one data centre for each name, all in one region.
func (c *Configuration) AddDataCentres(region string, names ...string) {
	for _, name := range names {
		c.DataCentres = append(c.DataCentres, DataCentre{Name: name, Region: region})
	}
}

// AddModel declares one or more models.
func (c *Configuration) AddModel(models ...Model) {
	c.Models = append(c.Models, models...)
}

// AddServices declares one plain service for each name.
func (c *Configuration) AddServices(names ...string) {
	for _, name := range names {
		c.Services = append(c.Services, Service{Name: name})
	}
}

// AddKinds declares one or more kinds of request.
func (c *Configuration) AddKinds(kinds ...Kind) {
	c.Kinds = append(c.Kinds, kinds...)
}

// AddOrganisations declares one or more organisations.
func (c *Configuration) AddOrganisations(organisations ...Organisation) {
	c.Organisations = append(c.Organisations, organisations...)
}

// AddFencedEngines declares, by name, the engines that refuse an order with an
// old fencing number.
func (c *Configuration) AddFencedEngines(names ...string) {
	c.Orders.ChecksFencing = append(c.Orders.ChecksFencing, names...)
}

// NewModel returns a model without placements; PlacedIn adds them. The longest
// prompt is given in tokens.
func NewModel(name, version string, maxPromptTokens int) Model {
	return Model{Name: name, Version: version, MaxPromptTokens: maxPromptTokens}
}

// WithAdapters returns a copy of the model with the named adapters added.
func (m Model) WithAdapters(names ...string) Model {
	m.Adapters = append(append([]string(nil), m.Adapters...), names...)
	return m
}

// PlacedIn returns a copy of the model that is also placed on at least the given
// number of engines of a data centre; 0 places it on all of them.
func (m Model) PlacedIn(dataCentre string, engines int) Model {
	m.Placements = append(append([]Placement(nil), m.Placements...), Placement{DataCentre: dataCentre, Engines: engines})
	return m
}

// Defaults of a new kind: its weight, its default time limit, and the longest
// time limit that a caller may ask for.
const (
	defaultWeight     = 1
	defaultLimit      = 10 * time.Second
	defaultLimitBound = 60 * time.Second
)

// ModelKind returns a kind of request to a model, with weight 1, priority 0
// and a time limit of 10 s that callers may raise to 60 s.
func ModelKind(name string) Kind {
	return ServiceKind("", name)
}

// ServiceKind returns a kind of request to a plain service, with the same
// defaults as ModelKind. Its requests may be repeated unless NotRepeated is
// called on the kind.
func ServiceKind(service, name string) Kind {
	return Kind{Name: name, Service: service, Weight: defaultWeight}.Limits(defaultLimit, defaultLimitBound)
}

// Limits returns a copy of the kind with another default time limit and another
// longest time limit. Both are cut to whole milliseconds.
func (k Kind) Limits(defaultTimeLimit, maxTimeLimit time.Duration) Kind {
	k.DefaultLimitMillis = int(defaultTimeLimit.Milliseconds())
	k.MaxLimitMillis = int(maxTimeLimit.Milliseconds())
	return k
}

// Prioritised returns a copy of the kind with another priority, from 0 to
// MaxPriority. Requests of a kind with a lower number go first.
func (k Kind) Prioritised(priority int) Kind {
	k.Priority = priority
	return k
}

// Weighted returns a copy of the kind with another weight: the value of one
// request that is delivered within its time limit.
func (k Kind) Weighted(weight float64) Kind {
	k.Weight = weight
	return k
}

// NotRepeated returns a copy of the kind whose requests are carried out at most once.
func (k Kind) NotRepeated() Kind {
	k.NeverRepeat = true
	return k
}

// NewOrganisation returns an organisation that may use every model and kind. The
// share is its weight, relative to the others, when capacity is short.
func NewOrganisation(name string, share float64) Organisation {
	return Organisation{Name: name, Share: share}
}

// Bounded returns a copy of the organisation with an upper bound on its admitted
// requests per host; 0 means no bound.
func (o Organisation) Bounded(maxInFlight int) Organisation {
	o.MaxInFlight = maxInFlight
	return o
}

// OnlyModels returns a copy of the organisation that may use only the named models.
func (o Organisation) OnlyModels(names ...string) Organisation {
	o.Models = append([]string(nil), names...)
	return o
}

// OnlyKinds returns a copy of the organisation that may use only the named kinds.
func (o Organisation) OnlyKinds(names ...string) Organisation {
	o.Kinds = append([]string(nil), names...)
	return o
}
