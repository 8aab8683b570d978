package intent

import "time"

// The functions below build a Configuration in a small program:
//
//	c := intent.New()
//	c.AddDataCentres("lima", "lima-a", "lima-b")
//	c.AddModel(intent.NewModel("moderator", "v1", 1_000_000).PlacedIn("lima-a", 0).PlacedIn("lima-b", 0))
//	c.AddKinds(intent.ModelKind("comment").Limits(10*time.Second, 30*time.Second))
//	c.AddOrganisations(intent.NewOrganisation("org-01", 1))
//	err := c.Print(os.Stdout)

// New returns an empty configuration.
func New() *Configuration {
	return &Configuration{}
}

// AddDataCentres declares data centres of one region.
func (c *Configuration) AddDataCentres(region string, names ...string) {
	for _, name := range names {
		c.DataCentres = append(c.DataCentres, DataCentre{Name: name, Region: region})
	}
}

// AddModel declares models.
func (c *Configuration) AddModel(models ...Model) {
	c.Models = append(c.Models, models...)
}

// AddServices declares plain services.
func (c *Configuration) AddServices(names ...string) {
	for _, name := range names {
		c.Services = append(c.Services, Service{Name: name})
	}
}

// AddKinds declares kinds of request.
func (c *Configuration) AddKinds(kinds ...Kind) {
	c.Kinds = append(c.Kinds, kinds...)
}

// AddOrganisations declares organisations.
func (c *Configuration) AddOrganisations(organisations ...Organisation) {
	c.Organisations = append(c.Organisations, organisations...)
}

// AddFencedEngines declares engines that refuse an order with an old fencing number.
func (c *Configuration) AddFencedEngines(names ...string) {
	c.Orders.ChecksFencing = append(c.Orders.ChecksFencing, names...)
}

// NewModel returns a model without placements.
func NewModel(name, version string, maxPromptTokens int) Model {
	return Model{Name: name, Version: version, MaxPromptTokens: maxPromptTokens}
}

// WithAdapters returns the model with adapters added.
func (m Model) WithAdapters(names ...string) Model {
	m.Adapters = append(append([]string(nil), m.Adapters...), names...)
	return m
}

// PlacedIn returns the model placed on at least the given number of engines of
// a data centre; 0 places it on all of them.
func (m Model) PlacedIn(dataCentre string, engines int) Model {
	m.Placements = append(append([]Placement(nil), m.Placements...), Placement{DataCentre: dataCentre, Engines: engines})
	return m
}

// Defaults of a new kind.
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
// defaults as ModelKind. It may be repeated until NotRepeated says otherwise.
func ServiceKind(service, name string) Kind {
	return Kind{Name: name, Service: service, Weight: defaultWeight}.Limits(defaultLimit, defaultLimitBound)
}

// Limits returns the kind with its default and its longest time limit.
func (k Kind) Limits(standard, longest time.Duration) Kind {
	k.DefaultLimitMillis = int(standard.Milliseconds())
	k.MaxLimitMillis = int(longest.Milliseconds())
	return k
}

// Prioritised returns the kind with a priority; lower numbers go first.
func (k Kind) Prioritised(priority int) Kind {
	k.Priority = priority
	return k
}

// Weighted returns the kind with what one request delivered in time counts.
func (k Kind) Weighted(weight float64) Kind {
	k.Weight = weight
	return k
}

// NotRepeated returns the kind as one whose requests are carried out at most once.
func (k Kind) NotRepeated() Kind {
	k.NeverRepeat = true
	return k
}

// NewOrganisation returns an organisation that may use every model and kind.
func NewOrganisation(name string, share float64) Organisation {
	return Organisation{Name: name, Share: share}
}

// Bounded returns the organisation with a bound on admitted requests per host.
func (o Organisation) Bounded(maxInFlight int) Organisation {
	o.MaxInFlight = maxInFlight
	return o
}

// OnlyModels returns the organisation restricted to the models named.
func (o Organisation) OnlyModels(names ...string) Organisation {
	o.Models = append([]string(nil), names...)
	return o
}

// OnlyKinds returns the organisation restricted to the kinds named.
func (o Organisation) OnlyKinds(names ...string) Organisation {
	o.Kinds = append([]string(nil), names...)
	return o
}
