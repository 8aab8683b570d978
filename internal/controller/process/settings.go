package process

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// Settings are the settings of a controller process.
type Settings struct {
	Host       string `env:"CHESTNUT_HOST" flag:"host" help:"name of this host, unique in the system"`
	DataCentre string `env:"CHESTNUT_DATA_CENTRE" flag:"data-centre" help:"data centre of this host, whose engines get the orders"`
	Admin      string `env:"CHESTNUT_CONTROLLER_ADMIN" flag:"admin" default:"127.0.0.1:8083" help:"address for operators (ip:port)"`
	Platform   string `env:"CHESTNUT_PLATFORM" flag:"platform" help:"base URL of the platform's object API"`

	LeaseDuration time.Duration `env:"CHESTNUT_LEASE_DURATION" flag:"lease-duration" default:"10s" help:"time that a renewal of the lease lasts; the same on all hosts of a data centre"`
	LeaseMargin   time.Duration `env:"CHESTNUT_LEASE_MARGIN" flag:"lease-margin" default:"1s" help:"time by which the holder stops early and a candidate waits longer"`
	LeaseRenew    time.Duration `env:"CHESTNUT_LEASE_RENEW" flag:"lease-renew" default:"3s" help:"time between two renewals"`
	PollRate      float64       `env:"CHESTNUT_LEASE_POLL_RATE" flag:"lease-poll-rate" default:"2" help:"reads of the lease by all candidates of a data centre, a second"`

	LoadsAtOnce  int           `env:"CHESTNUT_LOADS_AT_ONCE" flag:"loads-at-once" default:"4" help:"most engines of the data centre that load at the same time"`
	RollingShare float64       `env:"CHESTNUT_ROLLING_SHARE" flag:"rolling-share" default:"0.25" help:"share of a model's engines that change its version at the same time, above 0 to 1; one always may"`
	StartSpread  time.Duration `env:"CHESTNUT_START_SPREAD" flag:"start-spread" default:"3s" help:"longest random wait of a new holder before its first load"`
	OrderTimeout time.Duration `env:"CHESTNUT_ORDER_TIMEOUT" flag:"order-timeout" default:"2s" help:"longest wait for the answer to an order"`

	Seed      uint64        `env:"CHESTNUT_SEED" flag:"seed" default:"0" help:"seed of the random waits; 0 draws one"`
	StopLimit time.Duration `env:"CHESTNUT_STOP_LIMIT" flag:"stop-limit" default:"8s" help:"longest time that a stopping holder takes to end its orders and give the lease up"`
	LogLevel  string        `env:"CHESTNUT_LOG_LEVEL" flag:"log-level" default:"info" help:"least level logged: debug, info, warn or error"`
}

// flagOf maps the fields that the state machine's configuration checks to the
// flags that set them.
var flagOf = map[string]string{
	"Holder": "--host", "DataCentre": "--data-centre",
	"Duration": "--lease-duration", "Margin": "--lease-margin", "RenewEvery": "--lease-renew",
	"PollRate": "--lease-poll-rate", "LoadsAtOnce": "--loads-at-once",
	"RollingShare": "--rolling-share", "StartSpread": "--start-spread", "OrderTimeout": "--order-timeout",
}

// Level implements daemon.Settings.
func (s *Settings) Level() string { return s.LogLevel }

// Validate implements settings.Validator.
func (s *Settings) Validate() finding.List {
	var l finding.List
	for _, f := range s.controllerConfig("checked").Validate() {
		if flag, ok := flagOf[f.Place]; ok {
			f.Place = flag
		}
		l = append(l, f)
	}
	settings.CheckAddress(&l, "--admin", s.Admin)
	settings.CheckURL(&l, "--platform", s.Platform)
	if s.StopLimit <= 0 {
		l.Add("--stop-limit", "must be above 0")
	}
	return l
}

// controllerConfig returns the configuration of the state machine.
func (s *Settings) controllerConfig(instance string) controller.Config {
	c := controller.DefaultConfig(s.DataCentre, s.Host, instance, s.Seed)
	c.Lease.Duration, c.Lease.Margin, c.Lease.RenewEvery = s.LeaseDuration, s.LeaseMargin, s.LeaseRenew
	c.Lease.PollRate = s.PollRate
	c.Order.LoadsAtOnce, c.Order.RollingShare = s.LoadsAtOnce, s.RollingShare
	c.Order.StartSpread, c.Order.OrderTimeout = s.StartSpread, s.OrderTimeout
	return c
}
