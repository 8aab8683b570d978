package workload

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
)

// Deployment describes the fleet of one user of the system and the requests of
// its callers.
type Deployment struct {
	// Name is the name of the deployment on the command line.
	Name string
	// DataCentres are the names of the data centres.
	DataCentres []string
	// Model and ModelVersion identify the model that all prompts ask for; on
	// engines it is written as "name@version".
	Model, ModelVersion string
	// Engines, Services and Hosts are the total numbers of engines, service
	// instances and hosts over all data centres.
	Engines, Services, Hosts int
	// Service is the name of the plain service.
	Service string
	// LookupKind is the kind of service call that may be repeated.
	LookupKind string
	// ActionKinds are the kinds of service calls that may not be repeated.
	ActionKinds []string
	// KindByClass maps each prompt class to the request kind.
	KindByClass map[Class]string
	// Organisations lists the customers, ordered from high to low traffic.
	Organisations []OrganisationTraffic
	// LinkDelay is the one-way delay between data centres, and ClientDelay that
	// between callers and hosts.
	LinkDelay, ClientDelay time.Duration
	// LinkJitter is the mean of the exponentially distributed delay that is added
	// between data centres.
	LinkJitter time.Duration
	// LinkLoss is the probability, from 0 to 1, that a packet between data
	// centres is lost.
	LinkLoss float64
}

// OrganisationTraffic is an organisation and its part of the traffic.
type OrganisationTraffic struct {
	Name string
	// Weight is the organisation's relative part of the arrivals; weights need
	// not add up to 1.
	Weight float64
}

// The names of the deployments on the command line.
const (
	ModerationName = "moderation"
	OrderDeskName  = "order-desk"
)

// ByName returns the deployment with the given name, or an error if there is
// none.
func ByName(name string) (Deployment, error) {
	switch name {
	case ModerationName:
		return Moderation(), nil
	case OrderDeskName:
		return OrderDesk(), nil
	}
	return Deployment{}, errors.Errorf("unknown deployment %q: give %s or %s", name, ModerationName, OrderDeskName)
}

// Moderation returns the deployment that moderates comments, threads and
// archives.
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
		Organisations: newOrganisations(3, 8, 7),
		LinkDelay:     3 * time.Millisecond,
		LinkJitter:    time.Millisecond,
		LinkLoss:      0.005,
		ClientDelay:   3 * time.Millisecond,
	}
}

// OrderDesk returns the deployment that answers questions, reads contracts and
// takes orders.
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
		Organisations: newOrganisations(2, 10, 8),
		LinkDelay:     6 * time.Millisecond,
		LinkJitter:    2 * time.Millisecond,
		LinkLoss:      0.01,
		ClientDelay:   time.Millisecond,
	}
}

// newOrganisations returns a number of large organisations with the given weight,
// followed by small ones with weight 1.
func newOrganisations(large int, weight float64, small int) []OrganisationTraffic {
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

// WithSize returns a copy of the deployment that is reduced to the first
// dataCentres data centres, with the given total number of engines and hosts and
// one service instance for each data centre.
func (d Deployment) WithSize(dataCentres, engines, hosts int) Deployment {
	d.DataCentres = d.DataCentres[:dataCentres]
	d.Engines = engines
	d.Services = dataCentres
	d.Hosts = hosts
	return d
}

// The time limits that callers give are the sum of an allowance until the first
// token, which depends on the class, and one for each token of the answer.
const (
	shortAllowance    = 3 * time.Second
	mediumAllowance   = 5 * time.Second
	longAllowance     = 10 * time.Second
	veryLongAllowance = 60 * time.Second
	perTokenLimit     = 60 * time.Millisecond
	serviceLimit      = 5 * time.Second
	longestKindLimit  = 150 * time.Second
)

// TimeLimit returns the time limit that a caller gives with a prompt of the class
// and an answer of the given length, or with a service call.
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
		return veryLongAllowance + answer
	default:
		return serviceLimit
	}
}

// MaxPromptTokens is the longest prompt that the configurations accept, in
// tokens.
const MaxPromptTokens = 1_000_000

// Configuration returns the configuration that declares the data centres, model,
// service, kinds and organisations of the deployment.
func (d Deployment) Configuration() *intent.Configuration {
	c := intent.New()
	c.AddDataCentres(d.Name, d.DataCentres...)
	model := intent.NewModel(d.Model, d.ModelVersion, MaxPromptTokens)
	for _, dc := range d.DataCentres {
		model = model.PlacedIn(dc, 0)
	}
	c.AddModel(model)
	c.AddServices(d.Service)
	c.AddKinds(d.declaredKinds()...)
	for _, organisation := range d.Organisations {
		c.AddOrganisations(intent.NewOrganisation(organisation.Name, organisation.Weight))
	}
	return c
}

func (d Deployment) declaredKinds() []intent.Kind {
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
