package main

import (
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/internal/standin/service"
)

// serviceSettings holds the flags of the subcommand services.
type serviceSettings struct {
	Count      int           `env:"CHESTNUT_SERVICE_COUNT" flag:"count" default:"1" help:"number of services"`
	Service    string        `env:"CHESTNUT_SERVICE" flag:"service" default:"case-record" help:"what they are: case-record or order-app"`
	IP         string        `env:"CHESTNUT_SERVICE_IP" flag:"ip" default:"127.0.0.1" help:"loopback address of all services"`
	BasePort   int           `env:"CHESTNUT_SERVICE_BASE_PORT" flag:"base-port" default:"9400" help:"port of the first service; the others follow"`
	Control    string        `env:"CHESTNUT_SERVICE_CONTROL" flag:"control" default:"127.0.0.1:9390" help:"address for faults and counters (ip:port)"`
	DataCentre string        `env:"CHESTNUT_DATA_CENTRE" flag:"data-centre" default:"" help:"data centre, part of the services' names"`
	LookupTime time.Duration `env:"CHESTNUT_SERVICE_LOOKUP_TIME" flag:"lookup-time" default:"5ms" help:"time of a repeatable call"`
	ActionTime time.Duration `env:"CHESTNUT_SERVICE_ACTION_TIME" flag:"action-time" default:"20ms" help:"time of an action"`
	Scale      float64       `env:"CHESTNUT_SERVICE_SCALE" flag:"scale" default:"1" help:"divides all simulated times"`
}

// Validate implements settings.Validator.
func (s *serviceSettings) Validate() finding.List {
	var findings finding.List
	checkPorts(&findings, s.Count, s.BasePort)
	checkLoopbackIP(&findings, "--ip", s.IP)
	checkLoopback(&findings, "--control", s.Control)
	return append(findings, withFlagPlaces(s.config(0).Validate(), serviceFlags)...)
}

// serviceFlags maps each checked field of service.Config to the flag that sets it.
var serviceFlags = map[string]string{
	"Service": "--service", "LookupTime": "--lookup-time", "ActionTime": "--action-time", "Scale": "--scale",
}

// config returns the configuration of the stand-in service with the index i.
func (s *serviceSettings) config(i int) service.Config {
	name, address := nameAndAddress(s.Service, s.DataCentre, s.IP, s.BasePort, i)
	return service.Config{
		Name: name, Service: s.Service, Address: address,
		LookupTime: s.LookupTime, ActionTime: s.ActionTime, Scale: s.Scale,
	}
}

// servicesCommand returns the subcommand services.
func servicesCommand() command {
	s := &serviceSettings{}
	sub := flaggy.NewSubcommand("services")
	sub.Description = "runs stand-in services"
	return command{sub: sub, binding: settings.Bind(sub, s), run: s.run}
}

// run starts the stand-in services and adds them to the group.
func (s *serviceSettings) run(logger log.Interface, group *run.Group) error {
	all := standIns[*service.Service]{
		count: s.Count, control: s.Control, controlHandler: service.ControlHandler, role: s.Service, dataCentre: s.DataCentre,
		start: func(i int) (*service.Service, error) {
			config := s.config(i)
			config.Log = logger
			return service.Start(config)
		},
	}
	return all.addTo(logger, group)
}
