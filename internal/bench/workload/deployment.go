package workload

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
)

// Deployment describes one user's fleet and what its callers ask for.
type Deployment struct {
	// Name is what the command line calls it.
	Name string
	// DataCentres are the names of the places.
	DataCentres []string
	// Model is the model that all prompts ask for, as "name@version" on engines.
	Model, ModelVersion string
	// Engines, Services and Hosts are the numbers of each over all data centres.
	Engines, Services, Hosts int
	// Service is the name of the plain service.
	Service string
	// LookupKind is the service's kind that may be repeated.
	LookupKind string
	// ActionKinds are the service's kinds that may not be repeated.
	ActionKinds []string
	// KindByClass names the kind of each prompt class.
	KindByClass map[Class]string
	// Organisations are ordered from large to small.
	Organisations []OrganisationTraffic
	// LinkDelay is the delay one way between data centres, ClientDelay between
	// callers and hosts.
	LinkDelay, ClientDelay time.Duration
	// LinkJitter is the mean of the exponential delay added between data centres.
	LinkJitter time.Duration
	// LinkLoss is the probability that a packet between data centres is lost.
	LinkLoss float64
}

// OrganisationTraffic is an organisation and its part of the traffic.
type OrganisationTraffic struct {
	Name string
	// Weight is the organisation's part of the arrivals.
	Weight float64
}

// Names of the deployments.
const (
	ModerationName = "moderation"
	OrderDeskName  = "order-desk"
)

// ByName returns the deployment called name.
func ByName(name string) (Deployment, error) {
	switch name {
	case ModerationName:
		return Moderation(), nil
	case OrderDeskName:
		return OrderDesk(), nil
	}
	return Deployment{}, errors.Errorf("unknown deployment %q: give %s or %s", name, ModerationName, OrderDeskName)
}

// Moderation is the fleet that judges comments, threads and archives.
func Moderation() Deployment {
	return Deployment{
		Name:        ModerationName,
		DataCentres: []string{"lima-a", "lima-b", "lima-c"},
		Model:       "moderator", ModelVersion: "v1",
		Engines: 18, Services: 3, Hosts: 6,
		Service: "case-record", LookupKind: "status",
		ActionKinds: []string{"takedown", "sanction"},
		KindByClass: map[Class]string{
			ClassShort: "comment", ClassMedium: "thread",
			ClassLong: "thread", ClassVeryLong: "archive",
		},
		Organisations: customers(3, 8, 7),
		LinkDelay:     3 * time.Millisecond,
		LinkJitter:    time.Millisecond,
		LinkLoss:      0.005,
		ClientDelay:   3 * time.Millisecond,
	}
}

// OrderDesk is the fleet that answers questions, reads contracts and takes orders.
func OrderDesk() Deployment {
	return Deployment{
		Name:        OrderDeskName,
		DataCentres: []string{"accra-a", "accra-b", "accra-c"},
		Model:       "assistant", ModelVersion: "v1",
		Engines: 16, Services: 3, Hosts: 6,
		Service: "order-app", LookupKind: "stock",
		ActionKinds: []string{"order"},
		KindByClass: map[Class]string{
			ClassShort: "question", ClassMedium: "contract",
			ClassLong: "contract", ClassVeryLong: "ledger",
		},
		Organisations: customers(2, 10, 8),
		LinkDelay:     6 * time.Millisecond,
		LinkJitter:    2 * time.Millisecond,
		LinkLoss:      0.01,
		ClientDelay:   time.Millisecond,
	}
}

func customers(large int, weight float64, small int) []OrganisationTraffic {
	names := []string{
		"org-01", "org-02", "org-03", "org-04", "org-05",
		"org-06", "org-07", "org-08", "org-09", "org-10",
	}
	all := make([]OrganisationTraffic, 0, large+small)
	for i := range large + small {
		c := OrganisationTraffic{Name: names[i], Weight: 1}
		if i < large {
			c.Weight = weight
		}
		all = append(all, c)
	}
	return all
}

// WithSize returns the deployment cut down to some data centres with the given
// number of engines and hosts in all.
func (d Deployment) WithSize(dataCentres, engines, hosts int) Deployment {
	d.DataCentres = d.DataCentres[:dataCentres]
	d.Engines = engines
	d.Services = dataCentres
	d.Hosts = hosts
	return d
}

// Time limits that callers give: an allowance until the first token by class,
// and one for each token of the answer.
const (
	shortAllowance   = 3 * time.Second
	mediumAllowance  = 5 * time.Second
	longAllowance    = 10 * time.Second
	bookAllowance    = 60 * time.Second
	perTokenLimit    = 60 * time.Millisecond
	serviceLimit     = 5 * time.Second
	longestKindLimit = 150 * time.Second
)

// TimeLimit is the time limit that a caller gives with a prompt.
func TimeLimit(class Class, answerTokens int) time.Duration {
	answer := time.Duration(answerTokens) * perTokenLimit
	switch class {
	case ClassShort:
		return shortAllowance + answer
	case ClassMedium:
		return mediumAllowance + answer
	case ClassLong:
		return longAllowance + answer
	case ClassVeryLong:
		return bookAllowance + answer
	default:
		return serviceLimit
	}
}

// MaxPromptTokens is the longest prompt of the configurations.
const MaxPromptTokens = 1_000_000

// Configuration declares the deployment's intent.
func (d Deployment) Configuration() *intent.Configuration {
	c := intent.New()
	c.AddDataCentres(d.Name, d.DataCentres...)
	model := intent.NewModel(d.Model, d.ModelVersion, MaxPromptTokens)
	for _, dc := range d.DataCentres {
		model = model.PlacedIn(dc, 0)
	}
	c.AddModel(model)
	c.AddServices(d.Service)
	c.AddKinds(d.kinds()...)
	for _, customer := range d.Organisations {
		c.AddOrganisations(intent.NewOrganisation(customer.Name, customer.Weight))
	}
	return c
}

func (d Deployment) kinds() []intent.Kind {
	var kinds []intent.Kind
	declared := make(map[string]bool)
	for priority, class := range Classes() {
		name := d.KindByClass[class]
		if declared[name] {
			continue
		}
		declared[name] = true
		kinds = append(kinds, intent.ModelKind(name).Prioritised(priority).Weighted(1).
			Limits(longestKindLimit, longestKindLimit))
	}
	kinds = append(kinds, intent.ServiceKind(d.Service, d.LookupKind).Limits(serviceLimit, serviceLimit))
	for _, action := range d.ActionKinds {
		kinds = append(kinds, intent.ServiceKind(d.Service, action).Limits(serviceLimit, serviceLimit).NotRepeated())
	}
	return kinds
}
